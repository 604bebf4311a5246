// Package completion predicts when the next of the tasks running at an endpoint ends. A task
// that waits at a full endpoint waits for this. If tasks of 50 ms run beside tasks of a second,
// the mean remaining time is no estimate of it. It does no I/O.
package completion

import "time"

const (
	// minRemainingShare is the smallest remaining run time assumed for a task, as a share of
	// its expected run time: forecasts are off by some 30 %.
	minRemainingShare = 0.25
	// minRemaining is the smallest remaining run time assumed for any task; it bounds the
	// completion rate.
	minRemaining = 5 * time.Millisecond
)

// Rate is the rate at which running tasks of one endpoint end. The zero value means
// that none runs.
type Rate struct {
	// perSecond is the expected number of tasks that end per second.
	perSecond float64
}

// FromNext returns the rate of tasks of which the next is expected to end after the given
// time; 0 means that none runs.
func FromNext(next time.Duration) Rate {
	if next <= 0 {
		return Rate{}
	}
	return Rate{perSecond: 1 / next.Seconds()}
}

// Add adds a running task. A task that exceeds its expected run time is assumed to run on
// for as long again as it has exceeded it.
func (r *Rate) Add(expected, elapsed time.Duration) {
	overrun := elapsed - expected
	remaining := max(-overrun, time.Duration(minRemainingShare*float64(expected)), overrun, minRemaining)
	r.perSecond += 1 / remaining.Seconds()
}

// UntilNext returns the expected time until a task ends, or 0 if none runs.
func (r *Rate) UntilNext() time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / r.perSecond)
}
