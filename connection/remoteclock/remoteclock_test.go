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
	c.Observe(5000, now, now)
	i.Equal(converted(1200*time.Millisecond), int64(6200))
	// A delayed response would set the clock back, so it is ignored.
	i.True(c.Observe(5100, now, now.Add(300*time.Millisecond)))
	i.Equal(converted(300*time.Millisecond), int64(5300))
	// After readingTTL it is accepted, since the remote clock may be slow.
	i.True(c.Observe(6900, now.Add(1500*time.Millisecond), now.Add(2*time.Second)))
	i.Equal(converted(2*time.Second), int64(6900))
}

// The clock of another incarnation is behind what the least delayed reading leads to expect, also
// if it is ahead of that reading.
func TestRestartIsToldByTheClock(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		readingMS            int64
		requestedAt, arrived time.Duration
		restarted            bool
	}{
		"same clock":              {readingMS: 5800, requestedAt: 800 * time.Millisecond, arrived: 810 * time.Millisecond},
		"slow clock":              {readingMS: 5784, requestedAt: 800 * time.Millisecond, arrived: 810 * time.Millisecond},
		"requested before":        {readingMS: 4820, requestedAt: -180 * time.Millisecond, arrived: 900 * time.Millisecond},
		"started anew":            {readingMS: 20, requestedAt: 800 * time.Millisecond, arrived: 810 * time.Millisecond, restarted: true},
		"started anew long since": {readingMS: 5100, requestedAt: 5900 * time.Millisecond, arrived: 5910 * time.Millisecond, restarted: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			var clock remoteclock.Clock
			i.True(clock.Observe(5000, now, now))
			i.Equal(clock.Observe(c.readingMS, now.Add(c.requestedAt), now.Add(c.arrived)), !c.restarted)
			i.Equal(clock.Restarted(), c.restarted)
			converted, _ := clock.Convert(now.Add(c.arrived))
			i.True(!c.restarted || converted > c.readingMS)
		})
	}
}
