package pacing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/pacing"
)

func start() time.Time { return time.Unix(1_700_000_000, 0) }

// replay plays a sidecar with sessions that were opened at different times, and returns how often
// it looked and sent a frame, and the longest time between two frames of a session.
func replay(count int, length time.Duration, tasks pacing.Tasks) (looks, frames int, longest time.Duration) {
	sessions := make([]pacing.Session, count)
	for n := range sessions {
		sessions[n].SentAt = start().Add(-time.Duration(n) * 11 * time.Millisecond)
	}
	for now := start(); now.Before(start().Add(length)); now = pacing.Next(now, sessions, tasks) {
		looks++
		heartbeatDue := pacing.HeartbeatDue(now, sessions)
		for n := range sessions {
			if sessions[n].Due(now, heartbeatDue) {
				longest = max(longest, now.Sub(sessions[n].SentAt))
				sessions[n].SentAt = now
				frames++
			}
		}
	}
	return looks, frames, longest
}

// Guards against too little served: the day of a large site was given up, since sidecars without
// tasks looked forty times a second whether something was due.
func TestIdleSidecarLooksRarely(t *testing.T) {
	i := is.New(t)
	for _, sessions := range []int{1, 8, 12} {
		looks, frames, longest := replay(sessions, 10*time.Second, pacing.Tasks{})
		t.Logf("%d sessions: %d looks, %d frames, at most %s apart", sessions, looks, frames, longest)
		i.True(looks <= 10*20)
		i.True(frames <= sessions*10*6)
		i.True(longest <= 175*time.Millisecond)
	}
}

func TestNextLook(t *testing.T) {
	sentNow := pacing.Session{SentAt: start(), ReportInterval: 75 * time.Millisecond}
	longAgo := pacing.Session{SentAt: start().Add(-time.Second)}
	withEvent, withReport := sentNow, sentNow
	withEvent.EventWaits, withReport.ReportChanged = true, true
	for name, test := range map[string]struct {
		sessions []pacing.Session
		tasks    pacing.Tasks
		want     time.Duration
	}{
		"no session":                  {nil, pacing.Tasks{}, pacing.IdleInterval},
		"nothing to send":             {[]pacing.Session{sentNow}, pacing.Tasks{}, pacing.IdleInterval},
		"tasks that run":              {[]pacing.Session{sentNow}, pacing.Tasks{Held: 3}, 25 * time.Millisecond},
		"tasks that wait":             {[]pacing.Session{sentNow}, pacing.Tasks{Held: 3, Waiting: 1}, 10 * time.Millisecond},
		"an event":                    {[]pacing.Session{sentNow, withEvent}, pacing.Tasks{}, 10 * time.Millisecond},
		"a report that can wait":      {[]pacing.Session{sentNow, withReport}, pacing.Tasks{}, 75 * time.Millisecond},
		"a heartbeat that is overdue": {[]pacing.Session{longAgo, sentNow}, pacing.Tasks{}, 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(pacing.Next(start(), test.sessions, test.tasks).Sub(start()), test.want)
		})
	}
}

func TestFramesThatAreDue(t *testing.T) {
	i := is.New(t)
	at := func(ms int) time.Time { return start().Add(time.Duration(ms) * time.Millisecond) }
	s := pacing.Session{SentAt: start(), ReportInterval: 75 * time.Millisecond}
	i.True(!pacing.HeartbeatDue(at(149), []pacing.Session{s}) && pacing.HeartbeatDue(at(150), []pacing.Session{s}))
	i.True(!s.Due(at(99), true) && s.Due(at(100), true) && !s.Due(at(149), false))
	s.ReportChanged = true
	i.True(!s.Due(at(74), false) && s.Due(at(75), false))
	s.EventWaits = true
	i.True(!s.Due(at(9), false) && s.Due(at(10), false))
}
