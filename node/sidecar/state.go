package sidecar

import (
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/process/registration"
	"github.com/corianderhook/corianderhook/wire"
)

// updateEndpointState decides whether the endpoint can take tasks, tells the runner, and
// sends the state to every dispatcher.
func (a *runnerActor) updateEndpointState() {
	current, known := a.registration.Current()
	reason := ""
	switch {
	case a.draining:
		reason = "the sidecar drains"
	case !known:
		reason = "no endpoint has announced itself"
	case current.Draining:
		reason = "the endpoint drains"
	case a.unavailableReason != "":
		reason = a.unavailableReason
	case !current.Born.Equal(a.endpointBorn):
		reason = "the endpoint has begun a new life"
	}
	s := &wire.EndpointState{
		Instance: current.Instance, Service: current.Service, Labels: current.Labels, Accepting: reason == "", Reason: reason,
		Capacity: current.Capacity.Wire(), StaysMs: uint32(current.MinRemaining.Milliseconds()),
	}
	if s.GetReason() != a.endpointState.GetReason() || s.GetInstance() != a.endpointState.GetInstance() {
		klog.InfoS("CH1111 endpoint state", "agent", a.sidecar.deps.Name, "instance", s.GetInstance(), "accepting", s.GetAccepting(), "reason", reason,
			"capacity", current.Capacity, "labels", current.Labels)
	}
	a.endpointState = s
	if reason == "" {
		a.runner.Accept(current.Capacity)
	} else {
		a.runner.Refuse(reason)
	}
	a.room = a.runner.Room()
	for _, l := range a.sessions {
		a.sendFrame(l, &wire.SidecarFrame{Endpoint: a.stateFor(l)})
	}
}

// stateFor returns the endpoint state to send in a session. In a retiring session it is not
// accepting, so that the dispatcher sends no more offers.
func (a *runnerActor) stateFor(l *link) *wire.EndpointState {
	if !l.retiring {
		return a.endpointState
	}
	s := proto.CloneOf(a.endpointState)
	s.Accepting, s.Reason = false, "the session is about to be closed"
	return s
}

// retireSession marks the session with an address as retiring and tells the dispatcher.
func (a *runnerActor) retireSession(address string) {
	for _, l := range a.sessions {
		if l.address == address && !l.retiring {
			l.retiring, l.retiringSince = true, a.Now()
			a.sendFrame(l, &wire.SidecarFrame{Endpoint: a.stateFor(l)})
		}
	}
}

// closeRetiredSessions closes the retiring sessions whose dispatcher holds no task here and
// has had sessionTimeout to hear of it.
func (a *runnerActor) closeRetiredSessions(now time.Time) {
	for _, l := range a.sessions {
		if l.retiring && now.Sub(l.retiringSince) > sessionTimeout && len(a.runner.HeldBy(l.dispatcher)) == 0 {
			klog.InfoS("CH1143 session with dispatcher closed", "agent", a.sidecar.deps.Name, "dispatcher", l.address)
			a.sidecar.links.closeSession(l.address)
		}
	}
}

func (a *runnerActor) handleAnnouncement(n registration.Announcement) {
	switch a.registration.Announce(n) {
	case registration.Stale:
		klog.InfoS("CH1113 announcement is out of date", "agent", a.sidecar.deps.Name, "instance", n.Instance, "born", n.Born, "sequence", n.Sequence)
	case registration.Same:
	case registration.Changed:
		a.storeAnnouncement()
		a.updateEndpointState()
	case registration.Reborn:
		a.storeAnnouncement()
		a.sidecar.keeper.setIncarnation(n.Instance, n.Born)
		a.updateEndpointState()
	}
}

// storeAnnouncement stores the current announcement for the next sidecar.
func (a *runnerActor) storeAnnouncement() {
	current, _ := a.registration.Current()
	go a.sidecar.storeAnnouncement(current)
}

// restoreAnnouncement applies the announcement stored by an earlier sidecar if the endpoint
// is still the same incarnation.
func (a *runnerActor) restoreAnnouncement() {
	if a.storedAnnouncement == nil || a.endpointBorn.IsZero() || !a.registration.Restore(*a.storedAnnouncement, a.endpointBorn) {
		return
	}
	klog.InfoS("CH1115 stored announcement restored", "agent", a.sidecar.deps.Name, "instance", a.storedAnnouncement.Instance, "born", a.endpointBorn)
	a.sidecar.keeper.setIncarnation(a.storedAnnouncement.Instance, a.endpointBorn)
	a.updateEndpointState()
}
