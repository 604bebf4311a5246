// Package timeout adapts the timeout of calls to the recent response times of a server. A
// fixed timeout below the response time of a slow server makes every call time out and be
// repeated on a new connection, which slows the server further.
package timeout

import (
	"sync"
	"time"
)

const (
	// smoothingFactor is the weight of the newest response time in the moving average.
	smoothingFactor = 0.25
	// meanMultiple is the timeout as a multiple of the moving average.
	meanMultiple = 4
)

// Timeout is the adaptive timeout for calls to one server. It is safe for concurrent use.
type Timeout struct {
	minTimeout, maxTimeout time.Duration
	mu                     sync.Mutex
	// meanResponseTime is an exponential moving average that starts at zero.
	meanResponseTime time.Duration
	current          time.Duration
	// lastResponse is when the last response arrived.
	lastResponse time.Time
}

// New returns a timeout between two bounds that starts at the lower one.
func New(minTimeout, maxTimeout time.Duration) *Timeout {
	return &Timeout{minTimeout: minTimeout, maxTimeout: maxTimeout, current: minTimeout}
}

// Current returns the timeout for a call that starts now.
func (t *Timeout) Current() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// RecordResponse records the response time of a call whose response arrived now.
func (t *Timeout) RecordResponse(responseTime time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.meanResponseTime += time.Duration(smoothingFactor * float64(responseTime-t.meanResponseTime))
	t.current = min(max(meanMultiple*t.meanResponseTime, t.minTimeout), t.maxTimeout)
	t.lastResponse = now
}

// RecordTimeout records that a call which started at the given time got no response within
// limit, and doubles the timeout. It does not if another call got a response since then:
// the response was lost, and the server is not slow. Calls that started with a lower timeout
// than the current one do not raise it again.
func (t *Timeout) RecordTimeout(limit time.Duration, start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit >= t.current && t.lastResponse.Before(start) {
		t.current = min(2*t.current, t.maxTimeout)
	}
}
