// Package residual foretells how soon one of the tasks that run at an endpoint ends. It
// answers a full endpoint with tasks of 50 ms beside tasks of a second: what has to wait
// for room waits for the first of the ends, of which a mean rest says nothing. It does
// no I/O.
package residual

import "time"

const (
	// leastShare of its expected run time is what a task is taken to go on at least:
	// forecasts are off by some 30 %.
	leastShare = 0.25
	// least keeps the rate of ends in bounds.
	least = 5 * time.Millisecond
)

// Residual is the rate at which tasks of one endpoint end. The zero value has none.
type CompletionRate struct {
	// perSecond is the expected number of ends a second.
	perSecond float64
}

// After returns the residual of tasks of which one is expected to end within a time; a
// time of 0 means that none runs.
func FromNext(next time.Duration) CompletionRate {
	if next <= 0 {
		return CompletionRate{}
	}
	return CompletionRate{perSecond: 1 / next.Seconds()}
}

// Add counts a task. One that runs for longer than expected is taken to go on for as
// long again as it is over.
func (r *CompletionRate) Add(expected, elapsed time.Duration) {
	over := elapsed - expected
	rest := max(-over, time.Duration(leastShare*float64(expected)), over, least)
	r.perSecond += 1 / rest.Seconds()
}

// Next returns the expected time until a task ends; 0 where none runs.
func (r *CompletionRate) UntilNext() time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / r.perSecond)
}
