package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/corianderhook/corianderhook/connection/outbox"
	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/wire"
)

// newActor returns the actor of a sidecar with sessions to dispatchers 1 and 2, beside
// an endpoint with room that takes no orders.
func newActor(clock clockwork.Clock) (*runnerActor, map[uint64]*link) {
	s := New(Dependencies{Name: "s", Sessions: 2, Clock: clock, System: actor.NewActorSystem(), Metrics: metrics.New()})
	a := newRunnerActor(s)
	a.state = &wire.EndpointState{Accepting: true}
	a.runner.Accept(size.Size{})
	links := map[uint64]*link{}
	for dispatcher, address := range map[uint64]string{1: "d1", 2: "d2"} {
		links[dispatcher] = &link{address: address, out: outbox.New(), cancel: func() {}}
		a.opened(opened{link: links[dispatcher], welcome: &wire.DispatcherFrame{Incarnation: dispatcher}})
	}
	return a, links
}

// sent returns what has been queued for a dispatcher.
func sent(t *testing.T, l *link) []*wire.SidecarFrame {
	t.Helper()
	var frames []*wire.SidecarFrame
	ctx, cancel := context.WithCancel(t.Context())
	l.out.Put(&wire.SidecarFrame{})
	// Run ends with the context.
	_ = l.out.Run(ctx, func(batch []proto.Message) error {
		for _, m := range batch {
			frames = append(frames, m.(*wire.SidecarFrame))
		}
		cancel()
		return ctx.Err()
	})
	return frames
}

// A dispatcher whose session is about to be closed is told to send nothing more; the
// session stays while it has tasks here, so that no offer and no end is lost with it.
func TestClosingSessionTakesNoOffers(t *testing.T) {
	i := is.New(t)
	clock := clockwork.NewFakeClock()
	a, links := newActor(clock)
	closed := false
	a.sidecar.links.kept["d1"] = func() { closed = true }
	a.runner.Offer(1, &wire.Offer{Job: "j", StartWithinMs: 60_000, OnTimeWithinMs: 60_000, Tasks: []*wire.OfferedTask{
		{Ref: 7, Run: 1, Size: &wire.Size{Cpu: 1}},
	}})
	i.Equal(len(a.runner.HeldBy(1)), 1)
	sent(t, links[1])
	sent(t, links[2])

	a.leave("d1")
	a.leave("d1")
	frames := sent(t, links[1])
	i.Equal(len(frames), 2) // told once, and the mark of the reader
	i.True(!frames[0].GetEndpoint().GetAccepting())
	i.Equal(len(sent(t, links[2])), 1)
	i.True(a.state.GetAccepting())

	// What it is told later keeps to that.
	i.True(!a.stateFor(links[1]).GetAccepting())
	i.True(a.stateFor(links[2]).GetAccepting())

	a.closeEnded(clock.Now().Add(sessionSilence + time.Millisecond))
	i.True(!closed) // it has a task here
	a.runner.Cancel(1, 7)
	a.closeEnded(clock.Now())
	i.True(!closed) // it may not have heard yet
	a.closeEnded(clock.Now().Add(sessionSilence + time.Millisecond))
	i.True(closed)
}

// After a message that cannot be handled the endpoint is taken over anew, and the runner
// goes on.
func TestPanicRepeatsTakeover(t *testing.T) {
	i := is.New(t)
	a, _ := newActor(clockwork.NewFakeClock())
	before := a.sidecar.runner
	// A frame without a session cannot be handled.
	a.sidecar.deps.System.Root.Send(before, received{})
	a.sidecar.deps.System.Root.Send(before, opened{})
	select {
	case <-a.sidecar.keeper.doubted:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint is not taken over anew")
	}
	done := make(chan struct{})
	a.sidecar.deps.System.Root.Send(before, drain{done: done})
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the runner does not go on")
	}
	i.True(a.sidecar.tasks.Load() == 0)
}
