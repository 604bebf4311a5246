// Package remoteclock converts local times to the clock of a remote process.
package remoteclock

import (
	"sync"
	"time"
)

// Clock estimates the clock of one incarnation of a remote process from the readings in its
// responses. It is safe for concurrent use.
type Clock struct {
	mu         sync.Mutex
	hasReading bool
	readingMS  int64
	observedAt time.Time
}

// Observe records a reading of the remote clock, in milliseconds, from a response that
// arrived at a local monotonic time. The remote clock was read no later than that.
func (c *Clock) Observe(remoteMS int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Responses may overtake each other. The one that puts the remote clock furthest ahead
	// was the least delayed.
	if c.hasReading && remoteMS <= c.readingMS+at.Sub(c.observedAt).Milliseconds() && at.Sub(c.observedAt) < readingTTL {
		return
	}
	c.hasReading, c.readingMS, c.observedAt = true, remoteMS, at
}

// readingTTL is how long the least delayed reading is kept. A slow remote clock drifts by up
// to 2 % in this time.
const readingTTL = time.Second

// Convert returns the remote time, in milliseconds, of a local monotonic time. It returns false
// if there is no reading yet.
func (c *Clock) Convert(local time.Time) (remoteMS int64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readingMS + local.Sub(c.observedAt).Milliseconds(), c.hasReading
}
