// Package pacing decides when a sidecar sends a frame without being asked, and when it next has to
// look whether one is due. Most of the wake-ups of a large site are those of sidecars that have
// nothing to do, so they are as rare as what is due allows. The package does no I/O.
package pacing

import (
	"slices"
	"time"
)

const (
	// heartbeat is the time between two frames to a dispatcher. Three fit into the silence after
	// which the dispatcher's tasks are stopped.
	heartbeat = 150 * time.Millisecond
	// heartbeatSlack is how much later a heartbeat may be, heartbeatLead how much earlier it goes out
	// with another one: sessions that were opened at different times soon share their heartbeats.
	heartbeatSlack = 25 * time.Millisecond
	heartbeatLead  = 50 * time.Millisecond
	// eventDelay is how long the event of a start may wait for a frame that is sent for another
	// reason.
	eventDelay = 10 * time.Millisecond
	// IdleInterval is the longest time between two looks. Without tasks, heartbeats go out at every
	// second one.
	IdleInterval = (heartbeat + heartbeatSlack) / 2
	// heldInterval is the same with tasks, whose dispatcher may fall silent, waitingInterval with
	// tasks that wait for their start.
	heldInterval    = 25 * time.Millisecond
	waitingInterval = 10 * time.Millisecond
	// MinInterval is the shortest time between two looks: a few tasks start and end at an endpoint
	// within it.
	MinInterval = 10 * time.Millisecond
)

// Session is what there is to send to one dispatcher.
type Session struct {
	// SentAt is when the last frame was sent.
	SentAt time.Time
	// ReportInterval is the least time between a frame and one that only has a changed report.
	ReportInterval time.Duration
	// EventWaits is set while the event of a start has not been sent, ReportChanged while the last
	// report is out of date.
	EventWaits, ReportChanged bool
}

// HeartbeatDue reports whether a heartbeat of one of the sessions is due.
func HeartbeatDue(now time.Time, sessions []Session) bool {
	return slices.ContainsFunc(sessions, func(s Session) bool { return now.Sub(s.SentAt) >= heartbeat })
}

// Due reports whether a frame has to be sent now. HeartbeatDue tells of all sessions.
func (s Session) Due(now time.Time, heartbeatDue bool) bool {
	silence := now.Sub(s.SentAt)
	return heartbeatDue && silence >= heartbeat-heartbeatLead || s.EventWaits && silence >= eventDelay || s.ReportChanged && silence >= s.ReportInterval
}

// lookAt returns when a frame is due at the latest.
func (s Session) lookAt() time.Time {
	at := s.SentAt.Add(heartbeat + heartbeatSlack)
	if s.EventWaits {
		at = earlier(at, s.SentAt.Add(eventDelay))
	}
	if s.ReportChanged {
		at = earlier(at, s.SentAt.Add(s.ReportInterval))
	}
	return at
}

// Tasks is the number of tasks at the endpoint: those that wait or may run, and those that wait.
type Tasks struct{ Held, Waiting int }

// maxInterval returns the longest time until the next look.
func (t Tasks) maxInterval() time.Duration {
	switch {
	case t.Waiting > 0:
		return waitingInterval
	case t.Held > 0:
		return heldInterval
	default:
		return IdleInterval
	}
}

// Next returns when to look next whether something is due.
func Next(now time.Time, sessions []Session, tasks Tasks) time.Time {
	next := now.Add(tasks.maxInterval())
	for _, s := range sessions {
		next = earlier(next, s.lookAt())
	}
	if first := now.Add(MinInterval); next.Before(first) {
		return first
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
