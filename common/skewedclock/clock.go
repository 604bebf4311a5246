// Package skewedclock provides a clock with a constant offset, as on a VM whose clock is wrong.
package skewedclock

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock adds an offset to the time of day of another clock.
type Clock struct {
	clockwork.Clock
	offset time.Duration
}

// New returns a clock that is ahead of another one by the offset.
func New(clock clockwork.Clock, offset time.Duration) *Clock {
	return &Clock{Clock: clock, offset: offset}
}

// Now returns the time of the other clock plus the offset.
func (c *Clock) Now() time.Time { return c.Clock.Now().Add(c.offset) }

// Since returns the time elapsed since t, a time of this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time left until t, a time of this clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
