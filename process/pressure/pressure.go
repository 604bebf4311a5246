// Package pressure tells when a process itself is short of processor time: what comes
// in waits for its turn all the while, not only in bursts. It answers the load in
// which callers of a zone send more than its one entry can handle; without it every
// answer comes too late. It does no I/O.
package pressure

import (
	"sync"
	"time"
)

const (
	// window is the time over which the least wait is taken: a burst leaves some wait of
	// next to nothing in it, a standing queue does not.
	window = 100 * time.Millisecond
	// allowed is the standing wait at which nothing is refused: well under the slack of
	// the shortest jobs.
	targetDelay = 20 * time.Millisecond
	// stale is how long a measurement counts.
	measurementTTL = 500 * time.Millisecond
)

// Pressure follows the waits of one process. It is safe for concurrent use.
type Monitor struct {
	mu            sync.Mutex
	windowStart   time.Time
	minWait       time.Duration
	standingDelay time.Duration
	measuredAt    time.Time
	requests      int
}

// Observe takes how long something has waited for its turn.
func (p *Monitor) Observe(waited time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.windowStart.IsZero() {
		p.windowStart, p.minWait = now, waited
		return
	}
	p.minWait = min(p.minWait, waited)
	if now.Sub(p.windowStart) >= window {
		p.standingDelay, p.measuredAt = p.minWait, now
		p.windowStart, p.minWait = now, waited
	}
}

// Refuse reports whether the next request should be refused at once. Of each so many
// one is let through, so that the wait is measured on.
func (p *Monitor) ShouldRefuse(now time.Time) (refuse bool, standing time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.standingDelay <= targetDelay || now.Sub(p.measuredAt) > measurementTTL {
		return false, p.standingDelay
	}
	p.requests++
	return p.requests%(1+int(p.standingDelay/targetDelay)) != 0, p.standingDelay
}
