package remoteclock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/connection/remoteclock"
)

func TestTimesAreConvertedToTheRemoteClock(t *testing.T) {
	i := is.New(t)
	var c remoteclock.Clock
	now := time.Unix(1_700_000_000, 0)
	converted := func(at time.Duration) int64 {
		ms, known := c.Convert(now.Add(at))
		i.True(known)
		return ms
	}
	_, known := c.Convert(now)
	i.True(!known)
	c.Observe(5000, now)
	i.Equal(converted(1200*time.Millisecond), int64(6200))
	// A delayed response would set the clock back, so it is ignored.
	c.Observe(5100, now.Add(300*time.Millisecond))
	i.Equal(converted(300*time.Millisecond), int64(5300))
	// After readingTTL it is accepted, since the remote clock may be slow.
	c.Observe(6900, now.Add(2*time.Second))
	i.Equal(converted(2*time.Second), int64(6900))
}
