// Package remoteclock converts local times to the clock of a remote process.
package remoteclock

import (
	"sync"
	"time"
)

// Clock estimates a remote clock from the readings in responses. It is safe for concurrent
// use.
type Clock struct {
	mu             sync.Mutex
	hasReading     bool
	readingMS      int64
	observedAt     time.Time
	latestDeadline time.Time
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

// Reset drops all readings, after a restart of the remote process.
func (c *Clock) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasReading = false
	c.latestDeadline = time.Time{}
}

// Deadline returns the remote time, in milliseconds, of a moment that is a duration after a
// local monotonic time, or 0 without a reading.
func (c *Clock) Deadline(now time.Time, after time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasReading {
		return 0
	}
	if deadline := now.Add(after); deadline.After(c.latestDeadline) {
		c.latestDeadline = deadline
	}
	return c.readingMS + now.Sub(c.observedAt).Milliseconds() + after.Milliseconds()
}

// LatestDeadline returns the local time of the latest deadline returned since the last
// reset.
func (c *Clock) LatestDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latestDeadline
}
