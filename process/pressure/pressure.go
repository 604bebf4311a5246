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
	allowed = 20 * time.Millisecond
	// stale is how long a measurement counts.
	stale = 500 * time.Millisecond
)

// Pressure follows the waits of one process. It is safe for concurrent use.
type Monitor struct {
	mu       sync.Mutex
	began    time.Time
	least    time.Duration
	standing time.Duration
	at       time.Time
	count    int
}

// Observe takes how long something has waited for its turn.
func (p *Monitor) Observe(waited time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.began.IsZero() {
		p.began, p.least = now, waited
		return
	}
	p.least = min(p.least, waited)
	if now.Sub(p.began) >= window {
		p.standing, p.at = p.least, now
		p.began, p.least = now, waited
	}
}

// Refuse reports whether the next request should be refused at once. Of each so many
// one is let through, so that the wait is measured on.
func (p *Monitor) ShouldRefuse(now time.Time) (refuse bool, standing time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.standing <= allowed || now.Sub(p.at) > stale {
		return false, p.standing
	}
	p.count++
	return p.count%(1+int(p.standing/allowed)) != 0, p.standing
}
