// Package cpupressure detects that a process is short of processor time: its input queue
// never empties, not only in bursts. This happens when the callers of an availability zone
// send more than its one entry can handle. Without refusals, every answer would then come
// too late. It does no I/O.
package cpupressure

import (
	"sync"
	"time"
)

const (
	// window is the time over which the minimum wait is taken. During a burst some waits
	// in the window are close to zero; with a standing queue none is.
	window = 100 * time.Millisecond
	// targetDelay is the largest standing delay at which nothing is refused. It is well below
	// the slack of the shortest jobs.
	targetDelay = 20 * time.Millisecond
	// measurementTTL is how long a measurement is used.
	measurementTTL = 500 * time.Millisecond
)

// Monitor measures the standing delay of one process: the minimum wait of the last full
// window. It is safe for concurrent use.
type Monitor struct {
	mu            sync.Mutex
	windowStart   time.Time
	minWait       time.Duration
	standingDelay time.Duration
	measuredAt    time.Time
	// requests counts the requests seen above the target.
	requests int
}

// Observe records how long a message has waited for processing.
func (m *Monitor) Observe(waited time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.windowStart.IsZero() {
		m.windowStart, m.minWait = now, waited
		return
	}
	m.minWait = min(m.minWait, waited)
	if now.Sub(m.windowStart) >= window {
		m.standingDelay, m.measuredAt = m.minWait, now
		m.windowStart, m.minWait = now, waited
	}
}

// ShouldRefuse reports whether the next request should be refused at once. At a standing
// delay of n times the target, one of n+1 requests is still accepted, so that the delay
// keeps being measured.
func (m *Monitor) ShouldRefuse(now time.Time) (refuse bool, standingDelay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.standingDelay <= targetDelay || now.Sub(m.measuredAt) > measurementTTL {
		return false, m.standingDelay
	}
	m.requests++
	return m.requests%(1+int(m.standingDelay/targetDelay)) != 0, m.standingDelay
}
