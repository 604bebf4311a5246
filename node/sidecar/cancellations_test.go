package sidecar

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/wire"
)

// A canceled job has no task left and gets none, also from a dispatcher that has not heard of the
// cancellation. The sidecar tells it.
func TestCanceledJobIsHeldForNoDispatcher(t *testing.T) {
	i := is.New(t)
	a, sessions := newActor(clockwork.NewFakeClock())
	a.handleFrame(sessions[1], &wire.DispatcherFrame{Offers: oneTask(1)})
	i.Equal(len(a.runner.HeldBy(1)), 1)
	a.handleFrame(sessions[2], &wire.DispatcherFrame{Cancellations: []*wire.Cancellation{{Job: "j"}}})
	i.Equal(len(a.runner.HeldBy(1)), 0)

	a.flush()
	sentFrames(t, sessions[1])
	a.handleFrame(sessions[1], &wire.DispatcherFrame{Offers: oneTask(2)})
	a.flush()
	i.Equal(len(a.runner.HeldBy(1)), 0)
	var told, returned bool
	for _, f := range sentFrames(t, sessions[1]) {
		told = told || len(f.GetCancellations()) == 1 && f.GetCancellations()[0].GetJob() == "j"
		for _, e := range f.GetEvents() {
			i.True(told) // the dispatcher must not place the task again
			returned = returned || e.GetRef() == 2 && e.GetKind() == wire.TaskEventKind_TASK_EVENT_KIND_RETURNED
		}
	}
	i.True(returned)

	// The next session of a dispatcher begins with it.
	a.openSession(sessionOpened{session: sessions[1], welcome: &wire.DispatcherFrame{Incarnation: 1}})
	frames := sentFrames(t, sessions[1])
	i.Equal(len(frames[0].GetCancellations()), 1)
}
