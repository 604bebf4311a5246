// Package lease decides up to when an endpoint may run tasks without hearing from its sidecar.
package lease

import (
	"sync"
	"time"
)

const (
	// Duration is how long an endpoint runs tasks without a renewal.
	Duration = 500 * time.Millisecond
	// MaxDuration is how long a lease lasts at most by the local clock, whatever end a call asks
	// for. The endpoint shortens it to a second by its own clock, which may be slow.
	MaxDuration = 1025 * time.Millisecond
	// StopDuration is how long an endpoint takes to end a run.
	StopDuration = 50 * time.Millisecond
	// timerMargin allows for late timers at the endpoint.
	timerMargin = 10 * time.Millisecond
	// endTime is the time from the end of a lease to the end of its runs.
	endTime = StopDuration + timerMargin
)

// LapseTime returns the time after the last renewal of a lease within which every run has
// ended. The end of a lease is converted to the endpoint's clock so that a slow one does not delay
// it.
func LapseTime() time.Duration { return Duration + endTime }

// MaxLapseTime returns the time after the last renewal of a lease within which every run has
// ended, also if its end was meant for the clock of another incarnation.
func MaxLapseTime() time.Duration { return MaxDuration + endTime }

// Lease is the lease of the runs at one incarnation of an endpoint. All times are those of the
// sidecar's monotonic clock. It is safe for concurrent use.
type Lease struct {
	mu sync.Mutex
	// end is the latest time up to which the lease has been extended.
	end time.Time
	// limit is the time beyond which it must not be extended, or zero.
	limit time.Time
}

// New returns a lease that earlier calls may have extended up to the given time.
func New(end time.Time) *Lease { return &Lease{end: end} }

// SetLimit sets the time beyond which the lease must not be extended; zero is no limit.
func (l *Lease) SetLimit(limit time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// Limited reports whether the limit keeps the lease from being extended by Duration. Nothing
// must start then.
func (l *Lease) Limited(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.limit.IsZero() && l.limit.Before(now.Add(Duration))
}

// Extend extends the lease by Duration from the given time, which is when the order or the
// renewal was decided, but not beyond the limit. It returns the end for the message, the zero
// time if the message must not extend the lease. It has to be called before the message is sent.
func (l *Lease) Extend(from time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := from.Add(Duration)
	if !l.limit.IsZero() && l.limit.Before(end) {
		end = l.limit
	}
	if !end.After(from) {
		return time.Time{}
	}
	if end.After(l.end) {
		l.end = end
	}
	return end
}

// End returns the latest time up to which the lease has been extended.
func (l *Lease) End() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end
}

// Lapsed reports whether every run of the lease has ended, since it has not been extended.
func (l *Lease) Lapsed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.After(l.end.Add(endTime))
}
