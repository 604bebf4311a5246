// Package shifted is a clock whose time of day is off by a fixed amount, as on a VM
// whose clock is wrong.
package shifted

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock shifts the time of day of another clock.
type Clock struct {
	clockwork.Clock
	by time.Duration
}

// New returns a clock that is ahead of another one by the given time.
func New(clock clockwork.Clock, by time.Duration) *Clock { return &Clock{Clock: clock, by: by} }

// Now returns the shifted time.
func (c *Clock) Now() time.Time { return c.Clock.Now().Add(c.by) }

// Since returns the time that has passed since a time of this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time that is left until a time of this clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
