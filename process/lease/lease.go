// Package lease decides up to when an endpoint may run tasks without hearing from its sidecar.
package lease

import (
	"sync"
	"time"
)

const (
	// Duration is how long an endpoint runs tasks without a renewal.
	Duration = 500 * time.Millisecond
	// StopDuration is how long an endpoint takes to end a run.
	StopDuration = 50 * time.Millisecond
	// clockErrorPercent is how much slower the endpoint's clock may run.
	clockErrorPercent = 2
)

// LapseTime returns the time after the last renewal of a lease within which every run has
// ended. It allows for a slow clock at the endpoint.
func LapseTime() time.Duration {
	return Duration + Duration*clockErrorPercent/100 + StopDuration
}

// Lease is the lease of the runs at one incarnation of an endpoint. All times are those of the
// sidecar's monotonic clock. It is safe for concurrent use.
type Lease struct {
	mu sync.Mutex
	// end is the latest time up to which the lease has been extended.
	end time.Time
}

// New returns a lease of an endpoint that runs nothing at the given time.
func New(now time.Time) *Lease { return &Lease{end: now} }

// Extend extends the lease by Duration from the given time, which is when the order or the
// renewal was decided, and returns its end. It has to be called before the message is sent.
func (l *Lease) Extend(from time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := from.Add(Duration)
	if end.After(l.end) {
		l.end = end
	}
	return end
}

// Lapsed reports whether every run of the lease has ended, since it has not been extended.
func (l *Lease) Lapsed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.After(l.end.Add(LapseTime() - Duration))
}
