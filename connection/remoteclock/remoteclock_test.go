package remoteclock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/connection/remoteclock"
)

func TestDeadlinesAreOnTheRemoteClock(t *testing.T) {
	i := is.New(t)
	var c remoteclock.Clock
	now := time.Unix(1_700_000_000, 0)
	i.Equal(c.Deadline(now, time.Second), int64(0))
	c.Observe(5000, now)
	i.Equal(c.Deadline(now.Add(200*time.Millisecond), time.Second), int64(6200))
	i.Equal(c.LatestDeadline(), now.Add(1200*time.Millisecond))
	// An answer that was delayed puts the clock back; it does not count.
	c.Observe(5100, now.Add(300*time.Millisecond))
	i.Equal(c.Deadline(now.Add(300*time.Millisecond), 0), int64(5300))
	// Later it does: the other clock may be slow.
	c.Observe(6900, now.Add(2*time.Second))
	i.Equal(c.Deadline(now.Add(2*time.Second), 0), int64(6900))
	c.Reset()
	i.Equal(c.Deadline(now, 0), int64(0))
}
