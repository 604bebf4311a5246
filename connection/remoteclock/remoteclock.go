// Package remoteclock dates times on the clock of the other end of a connection.
package remoteclock

import (
	"sync"
	"time"
)

// Clock follows the other end's clock by its answers. It is safe for concurrent use.
type Clock struct {
	mu     sync.Mutex
	known  bool
	remote int64
	local  time.Time
	latest time.Time
}

// Observe takes a reading of the other end's clock, in milliseconds, from an answer
// that came at a local steady time. The reading is no later than the answer.
func (c *Clock) Observe(remoteMS int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Answers may overtake each other: the one that puts the other clock furthest
	// ahead was the least delayed.
	if c.known && remoteMS <= c.remote+at.Sub(c.local).Milliseconds() && at.Sub(c.local) < keep {
		return
	}
	c.known, c.remote, c.local = true, remoteMS, at
}

// keep is how long the least delayed reading counts; a slow remote clock drifts by
// up to 2 % meanwhile.
const keep = time.Second

// Reset forgets all readings: the other end has begun a new life.
func (c *Clock) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = false
	c.latest = time.Time{}
}

// Deadline returns the other end's time, in milliseconds, of a moment that is a
// duration after a local steady time; 0 where no reading is known.
func (c *Clock) Deadline(now time.Time, after time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0
	}
	if ends := now.Add(after); ends.After(c.latest) {
		c.latest = ends
	}
	return c.remote + now.Sub(c.local).Milliseconds() + after.Milliseconds()
}

// Latest returns the local time of the latest deadline that was given out.
func (c *Clock) LatestDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}
