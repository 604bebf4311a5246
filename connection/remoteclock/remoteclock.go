// Package remoteclock converts local times to the clock of a remote process.
package remoteclock

import (
	"sync"
	"time"
)

// Clock gives lower bounds of the clock of one incarnation of a remote process, from the readings
// in its responses. It is safe for concurrent use.
type Clock struct {
	mu         sync.Mutex
	hasReading bool
	readingMS  int64
	observedAt time.Time
	restarted  bool
}

const (
	// maxSlowness and maxFastness are how much slower and faster the remote clock may run, in
	// thousandths. The platform allows for 2 %; the rest is for the local clock, and lets a bound by
	// an old reading fall behind that by a new one.
	maxSlowness = 25
	maxFastness = 10
	// toleranceMS allows for readings in whole milliseconds.
	toleranceMS = 5
)

// Observe records a reading of the remote clock, in milliseconds, from the response to a request.
// Both times are local monotonic ones. The remote clock was read between them. Observe returns
// false if the reading is that of another incarnation, whose clock has started anew.
func (c *Clock) Observe(remoteMS int64, requestedAt, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasReading && remoteMS+toleranceMS < c.lowerBound(requestedAt) {
		c.restarted = true
		return false
	}
	// Responses may overtake each other and be delayed: the highest bound counts.
	if c.hasReading && remoteMS < c.lowerBound(at) {
		return true
	}
	c.hasReading, c.readingMS, c.observedAt = true, remoteMS, at
	return true
}

// lowerBound returns a remote time that the remote clock has reached at a local time.
func (c *Clock) lowerBound(local time.Time) int64 {
	elapsed := local.Sub(c.observedAt)
	if elapsed < 0 {
		elapsed += elapsed * maxFastness / 1000
	} else {
		elapsed -= elapsed * maxSlowness / 1000
	}
	return c.readingMS + elapsed.Milliseconds()
}

// Restarted reports whether a reading has shown another incarnation.
func (c *Clock) Restarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restarted
}

// ReadingAge returns the time since the reading that local times are converted by.
func (c *Clock) ReadingAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.observedAt)
}

// Convert returns a remote time, in milliseconds, that the remote clock has reached at a local
// monotonic time, however slow it is. It returns false if there is no reading yet.
func (c *Clock) Convert(local time.Time) (remoteMS int64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lowerBound(local), c.hasReading
}
