package sidecar

import (
	"github.com/corianderhook/corianderhook/process/pacing"
	"github.com/corianderhook/corianderhook/wire"
)

// minCPUChange is the change of free CPU, in thousandths of a core, that is reported in
// a frame of its own. It is less than what a typical task takes.
const minCPUChange = 1000

// tick sends heartbeats, delayed events and changed capacity reports, closes sessions that
// have timed out or are retired, and drops old events.
func (a *runnerActor) tick() {
	now := a.Now()
	a.capacityReport = nil
	due := pacing.HeartbeatDue(now, a.paces())
	for d, s := range a.sessions {
		switch {
		case s.timedOut(a.sidecar):
			s.cancel()
		case a.pace(d, s).Due(now, due):
			a.sendPending(d)
		}
	}
	a.closeRetiredSessions(now)
	for d, list := range a.recentEvents {
		for len(list) > 0 && now.Sub(list[0].at) > replayWindow {
			list = list[1:]
		}
		if a.recentEvents[d] = list; len(list) == 0 {
			delete(a.recentEvents, d)
		}
	}
}

// pace returns what there is to send in the session with a dispatcher.
func (a *runnerActor) pace(dispatcher uint64, s *session) pacing.Session {
	return pacing.Session{
		SentAt: a.sidecar.stampTime(s.sentStamp.Load()), ReportInterval: s.reportInterval,
		EventWaits: len(a.pendingEvents[dispatcher]) > 0, ReportChanged: a.changed(s.sentReport),
	}
}

// paces returns what there is to send in all sessions.
func (a *runnerActor) paces() []pacing.Session {
	a.scratch = a.scratch[:0]
	for d, s := range a.sessions {
		a.scratch = append(a.scratch, a.pace(d, s))
	}
	return a.scratch
}

// changed reports whether a change since the reported state is relevant to dispatchers that place
// tasks: that of the free CPU, or of whether tasks wait.
func (a *runnerActor) changed(reported *wire.Room) bool {
	change := int(reported.GetFree().GetCpu()) - a.runner.Free().CPU
	return change >= minCPUChange || change <= -minCPUChange || (reported.GetWaiting() > 0) != (a.runner.Waiting() > 0)
}
