package sidecar

import (
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/process/registration"
	"github.com/corianderhook/corianderhook/wire"
)

// open lets the runner start tasks where everything is in place for it.
func (a *runnerActor) open() {
	current, known := a.registration.Current()
	reason := ""
	switch {
	case a.drains:
		reason = "the sidecar drains"
	case !known:
		reason = "no endpoint has announced itself"
	case current.Draining:
		reason = "the endpoint drains"
	case a.reach != "":
		reason = a.reach
	case !current.Born.Equal(a.born):
		reason = "the endpoint has begun a new life"
	}
	s := &wire.EndpointState{
		Instance: current.Instance, Service: current.Service, Labels: current.Labels, Accepting: reason == "", Reason: reason,
		Capacity: current.Capacity.Wire(), StaysMs: uint32(current.MinRemaining.Milliseconds()),
	}
	if s.GetReason() != a.state.GetReason() || s.GetInstance() != a.state.GetInstance() {
		klog.InfoS("CH1111 endpoint state", "agent", a.sidecar.deps.Name, "instance", s.GetInstance(), "accepting", s.GetAccepting(), "reason", reason,
			"capacity", current.Capacity, "labels", current.Labels)
	}
	a.state = s
	if reason == "" {
		a.runner.Accept(current.Capacity)
	} else {
		a.runner.Refuse(reason)
	}
	a.room = a.runner.Room()
	for _, l := range a.live {
		a.put(l, &wire.SidecarFrame{Endpoint: a.stateFor(l)})
	}
}

// stateFor is what a dispatcher is told of the endpoint: one whose session is about to
// be closed is to send nothing more.
func (a *runnerActor) stateFor(l *link) *wire.EndpointState {
	if !l.ends {
		return a.state
	}
	s := proto.CloneOf(a.state)
	s.Accepting, s.Reason = false, "the session is about to be closed"
	return s
}

// leave tells a dispatcher that its session is about to be closed.
func (a *runnerActor) leave(address string) {
	for _, l := range a.live {
		if l.address == address && !l.ends {
			l.ends, l.endsAt = true, a.Now()
			a.put(l, &wire.SidecarFrame{Endpoint: a.stateFor(l)})
		}
	}
}

// closeEnded closes sessions whose dispatchers know of it and have nothing here.
func (a *runnerActor) closeEnded(now time.Time) {
	for _, l := range a.live {
		if l.ends && now.Sub(l.endsAt) > sessionSilence && len(a.runner.HeldBy(l.dispatcher)) == 0 {
			klog.InfoS("CH1143 session with dispatcher closed", "agent", a.sidecar.deps.Name, "dispatcher", l.address)
			a.sidecar.links.end(l.address)
		}
	}
}

func (a *runnerActor) announce(n registration.Announcement) {
	switch a.registration.Announce(n) {
	case registration.Stale:
		klog.InfoS("CH1113 announcement is out of date", "agent", a.sidecar.deps.Name, "instance", n.Instance, "born", n.Born, "sequence", n.Sequence)
	case registration.Same:
	case registration.Changed:
		a.keep()
		a.open()
	case registration.Reborn:
		a.keep()
		a.sidecar.keeper.expect(n.Instance, n.Born)
		a.open()
	}
}

// keep writes what the endpoint says for the next sidecar.
func (a *runnerActor) keep() {
	current, _ := a.registration.Current()
	go a.sidecar.remember(current)
}

// recall goes by what an earlier sidecar was told while the endpoint lives the same life.
func (a *runnerActor) recall() {
	if a.kept == nil || a.born.IsZero() || !a.registration.Restore(*a.kept, a.born) {
		return
	}
	klog.InfoS("CH1115 announcement to an earlier sidecar counts", "agent", a.sidecar.deps.Name, "instance", a.kept.Instance, "born", a.born)
	a.sidecar.keeper.expect(a.kept.Instance, a.born)
	a.open()
}
