package sidecar

import (
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/process/registration"
	"github.com/corianderhook/corianderhook/sharing/startup"
	"github.com/corianderhook/corianderhook/wire"
)

// updateEndpointState decides whether the endpoint can take tasks, tells the runner, and
// sends the state to every dispatcher.
func (a *runnerActor) updateEndpointState() {
	current, known := a.registration.Current()
	if known {
		a.sidecar.reachStep(startup.Announced)
	}
	reason := ""
	a.evacuated = a.sidecar.evacuated()
	switch {
	case a.draining:
		reason = "the sidecar drains"
	case a.evacuated:
		reason = evacuatedReason
	case !known:
		reason = "no endpoint has announced itself"
	case current.Draining:
		reason = "the endpoint drains"
	case a.unavailableReason != "":
		reason = a.unavailableReason
	case a.leaseLimited:
		reason = leaseLimitedReason
	case a.epoch == nil || !current.Born.Equal(a.epoch.born):
		reason = "the endpoint has begun a new life"
	}
	state := &wire.EndpointState{
		Instance: current.Instance, Service: current.Service, Labels: current.Labels, Accepting: reason == "", Reason: reason,
		Capacity: current.Capacity.Wire(), StaysMs: uint32(current.MinRemaining.Milliseconds()),
	}
	if a.epoch != nil {
		state.BornMs = a.epoch.born.UnixMilli()
	}
	if state.GetReason() != a.endpointState.GetReason() || state.GetInstance() != a.endpointState.GetInstance() {
		klog.InfoS("CH1111 endpoint state", "agent", a.sidecar.deps.Name, "instance", state.GetInstance(), "accepting", state.GetAccepting(), "reason", reason,
			"capacity", current.Capacity, "labels", current.Labels)
	}
	a.endpointState = state
	switch {
	case reason == "":
		a.sidecar.reachStep(startup.Accepting)
		a.runner.Accept(current.Capacity)
	case a.evacuated:
		a.runner.Close(reason)
	default:
		a.runner.Refuse(reason)
	}
	a.capacityReport = nil
	for _, s := range a.sessions {
		a.sendFrame(s, &wire.SidecarFrame{Endpoint: a.stateFor(s)})
	}
}

// applyEvacuation updates the state of the endpoint if its zone was evacuated, or is no longer.
func (a *runnerActor) applyEvacuation() {
	if a.sidecar.evacuated() != a.evacuated {
		a.updateEndpointState()
	}
}

// stateFor returns the endpoint state to send in a session. In a retiring session it is not
// accepting, so that the dispatcher sends no more offers.
func (a *runnerActor) stateFor(s *session) *wire.EndpointState {
	if !s.retiring {
		return a.endpointState
	}
	state := proto.CloneOf(a.endpointState)
	state.Accepting, state.Reason = false, "the session is about to be closed"
	return state
}

// retireSession marks the session with an address as retiring and tells the dispatcher.
func (a *runnerActor) retireSession(address string) {
	for _, s := range a.sessions {
		if s.address == address && !s.retiring {
			s.retiring, s.retiringSince = true, a.Now()
			a.sendFrame(s, &wire.SidecarFrame{Endpoint: a.stateFor(s)})
		}
	}
}

// closeRetiredSessions closes the retiring sessions whose dispatcher holds no task here and
// has had sessionTimeout to hear of it.
func (a *runnerActor) closeRetiredSessions(now time.Time) {
	for _, s := range a.sessions {
		if s.retiring && now.Sub(s.retiringSince) > sessionTimeout && len(a.runner.HeldBy(s.dispatcher)) == 0 {
			klog.InfoS("CH1143 session with dispatcher closed", "agent", a.sidecar.deps.Name, "dispatcher", s.address)
			a.sidecar.sessions.closeSession(s.address)
		}
	}
}

// handleAnnouncement applies an announcement of the endpoint.
func (a *runnerActor) handleAnnouncement(n registration.Announcement) {
	verdict := a.registration.Announce(n)
	if verdict != registration.Stale && n.Draining {
		a.noteDeparture()
	}
	switch verdict {
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
	a.sidecar.storeAnnouncement(current)
}

// restoreAnnouncement applies the announcement stored by an earlier sidecar if the endpoint
// is still the same incarnation.
func (a *runnerActor) restoreAnnouncement() {
	if a.storedAnnouncement == nil || a.epoch == nil || !a.registration.Restore(*a.storedAnnouncement, a.epoch.born) {
		return
	}
	klog.InfoS("CH1115 stored announcement restored", "agent", a.sidecar.deps.Name, "instance", a.storedAnnouncement.Instance, "born", a.epoch.born)
	a.sidecar.keeper.setIncarnation(a.storedAnnouncement.Instance, a.epoch.born)
	a.updateEndpointState()
}
