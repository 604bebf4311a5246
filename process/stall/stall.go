// Package stall measures for how long a process did not run: it was stopped by a signal, had no
// processor time, or collected garbage. What has arrived meanwhile is read later, and is older
// than it looks. The package does no I/O.
package stall

import (
	"sync"
	"time"
)

const (
	// threshold is the time beyond its due time at which a tick shows a stall.
	threshold = 100 * time.Millisecond
	// settleTime is how long after a stall the process still reads what has arrived during it.
	settleTime = 200 * time.Millisecond
)

// Monitor measures stalls by the lateness of ticks. It is safe for concurrent use.
type Monitor struct {
	interval time.Duration
	mu       sync.Mutex
	tickedAt time.Time
	// last is the length of the last stall, which ended at endedAt.
	last    time.Duration
	endedAt time.Time
}

// New returns a monitor of a process that ticks at least once in an interval.
func New(interval time.Duration) *Monitor { return &Monitor{interval: interval} }

// Tick records a tick. It returns the length of the stall that ends with it, or 0.
func (m *Monitor) Tick(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	stall := m.current(now)
	if stall > 0 {
		m.last, m.endedAt = stall, now
	}
	m.tickedAt = now
	return stall
}

// Recent returns the length of the stall in which something that is read now may have arrived,
// or 0. It includes a stall that no tick has ended yet.
func (m *Monitor) Recent(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := m.current(now)
	if !m.endedAt.IsZero() && now.Sub(m.endedAt) < settleTime {
		recent = max(recent, m.last+now.Sub(m.endedAt))
	}
	return recent
}

// current returns the time since the last tick if the next one is overdue by threshold, else 0.
func (m *Monitor) current(now time.Time) time.Duration {
	if since := now.Sub(m.tickedAt); !m.tickedAt.IsZero() && since > m.interval+threshold {
		return since
	}
	return 0
}
