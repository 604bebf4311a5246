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

// newActor returns the actor of a sidecar with sessions to dispatchers 1 and 2. Its endpoint
// is accepting but has no capacity, so that offered tasks wait.
func newActor(clock clockwork.Clock) (*runnerActor, map[uint64]*session) {
	sidecar := New(Dependencies{Name: "s", Sessions: 2, Clock: clock, System: actor.NewActorSystem(), Metrics: metrics.New()})
	a := newRunnerActor(sidecar)
	a.endpointState = &wire.EndpointState{Accepting: true}
	a.runner.Accept(size.Size{})
	sessions := map[uint64]*session{}
	for dispatcher, address := range map[uint64]string{1: "d1", 2: "d2"} {
		sessions[dispatcher] = &session{address: address, out: outbox.New(), cancel: func() {}}
		a.openSession(sessionOpened{session: sessions[dispatcher], welcome: &wire.DispatcherFrame{Incarnation: dispatcher}})
	}
	return a, sessions
}

// sentFrames returns the frames queued for a dispatcher, followed by an empty frame that it
// queues itself to end the read.
func sentFrames(t *testing.T, s *session) []*wire.SidecarFrame {
	t.Helper()
	var frames []*wire.SidecarFrame
	ctx, cancel := context.WithCancel(t.Context())
	s.out.Put(&wire.SidecarFrame{})
	// Run ends with the context.
	_ = s.out.Run(ctx, func(batch []proto.Message) error {
		for _, m := range batch {
			frames = append(frames, m.(*wire.SidecarFrame))
		}
		cancel()
		return ctx.Err()
	})
	return frames
}

// The dispatcher of a retiring session is told to send no more offers. The session stays open
// while tasks of the dispatcher are held, so that no offer and no event is lost.
func TestClosingSessionTakesNoOffers(t *testing.T) {
	i := is.New(t)
	clock := clockwork.NewFakeClock()
	a, sessions := newActor(clock)
	closed := false
	a.sidecar.sessions.holds["d1"] = &hold{cancel: func() { closed = true }}
	a.runner.Offer(1, &wire.Offer{Job: "j", StartWithinMs: 60_000, OnTimeWithinMs: 60_000, Tasks: []*wire.OfferedTask{
		{Ref: 7, Run: 1, Size: &wire.Size{Cpu: 1}},
	}})
	i.Equal(len(a.runner.HeldBy(1)), 1)
	sentFrames(t, sessions[1])
	sentFrames(t, sessions[2])

	a.retireSession("d1")
	a.retireSession("d1")
	frames := sentFrames(t, sessions[1])
	i.Equal(len(frames), 2) // sent once, followed by the empty frame of sentFrames
	i.True(!frames[0].GetEndpoint().GetAccepting())
	i.Equal(len(sentFrames(t, sessions[2])), 1)
	i.True(a.endpointState.GetAccepting())

	// Later states sent to that dispatcher are not accepting either.
	i.True(!a.stateFor(sessions[1]).GetAccepting())
	i.True(a.stateFor(sessions[2]).GetAccepting())

	a.closeRetiredSessions(clock.Now().Add(sessionTimeout + time.Millisecond))
	i.True(!closed) // a task of the dispatcher is held
	a.runner.Cancel(1, 7)
	a.closeRetiredSessions(clock.Now())
	i.True(!closed) // the dispatcher may not have received it yet
	a.closeRetiredSessions(clock.Now().Add(sessionTimeout + time.Millisecond))
	i.True(closed)
}

// After a panic in the handling of a message the takeover of the endpoint is repeated, and
// the runner keeps working.
func TestPanicRepeatsTakeover(t *testing.T) {
	i := is.New(t)
	a, _ := newActor(clockwork.NewFakeClock())
	pid := a.sidecar.runner
	// A frame without a session makes the handler panic.
	a.sidecar.deps.System.Root.Send(pid, frameReceived{})
	a.sidecar.deps.System.Root.Send(pid, sessionOpened{})
	select {
	case <-a.sidecar.keeper.takeoverRequested:
	case <-time.After(5 * time.Second):
		t.Fatal("the takeover of the endpoint was not requested")
	}
	done := make(chan struct{})
	a.sidecar.deps.System.Root.Send(pid, drain{done: done})
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the runner does not handle further messages")
	}
	i.True(a.sidecar.taskCount.Load() == 0)
}
