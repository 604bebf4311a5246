// Package room measures how much of an endpoint's room work of each urgency takes, whichever
// dispatcher sent it. The more urgent work that has come lately is expected to go on coming, so
// that less urgent work cannot have all the room that is free now. Old news fades. It does no I/O.
package room

import (
	"math"
	"time"
)

const (
	// Levels is the number of urgencies that are told apart; the last stands for all beyond.
	Levels = 8
	// fadeTime is the time in which the weight of what has started falls to 1/e. It spans several
	// of the bursts of single callers and a fraction of those of a site, which last seconds.
	fadeTime = 500 * time.Millisecond
)

// Taken is the rate at which started work takes room, by urgency. The zero value has seen none.
// It is not safe for concurrent use.
type Taken struct {
	// work is the faded work of each level in millicore-milliseconds, as of at.
	work [Levels]float64
	at   time.Time
}

// level returns the level of an urgency; 0 is the most urgent.
func level(urgency int) int { return min(max(urgency, 0), Levels-1) }

// Observe records that a task has started that takes some millicores for the given time. A long task
// counts as what it takes while it is remembered, so that it never counts as more than its cores.
func (t *Taken) Observe(urgency, millicores int, run time.Duration, now time.Time) {
	t.fade(now)
	t.work[level(urgency)] += float64(max(0, millicores)) * float64(min(max(run, 0), fadeTime).Milliseconds())
}

// Millicores returns the rate by level, up to the last level that has one, or nil.
func (t *Taken) Millicores(now time.Time) []uint32 {
	t.fade(now)
	var rates []uint32
	for i, work := range t.work {
		if rate := uint32(min(work/float64(fadeTime.Milliseconds()), math.MaxUint32)); rate > 0 {
			rates = append(rates, make([]uint32, i+1-len(rates))...)
			rates[i] = rate
		}
	}
	return rates
}

func (t *Taken) fade(now time.Time) {
	if passed := now.Sub(t.at); passed > 0 {
		kept := math.Exp(-passed.Seconds() / fadeTime.Seconds())
		for i := range t.work {
			t.work[i] *= kept
		}
		t.at = now
	}
}

// MostUrgent returns the most urgent level that has a rate, if that is more urgent than the given
// urgency. The levels between are left to the limits of each: if room were kept for them too, long
// work would have none.
func MostUrgent(rates []uint32, urgency int) (mostUrgent int, found bool) {
	for i, rate := range rates[:min(level(urgency), len(rates))] {
		if rate > 0 {
			return i, true
		}
	}
	return 0, false
}
