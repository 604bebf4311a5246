package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

// Guards against a second run of a task: the first frame of a session, held back by the network,
// arrives after that of the next session and lists none of the tasks sent there.
func TestDelayedSessionTakesNoTasksForEnded(t *testing.T) {
	i := is.New(t)
	d, address := startDispatcher(t, "d1")
	adopt(t, d, 3)
	open := func(stamp uint64) workStream {
		stream, err := dialWork(t, address)
		i.NoErr(err)
		capacity := size.Size{CPU: 1000, Memory: 1000}.Wire()
		i.NoErr(stream.Send(&wire.SidecarFrame{
			StampUs:  stamp,
			Hello:    &wire.SidecarHello{Name: "s", Zone: "z", Incarnation: 1, Dispatcher: d.incarnation},
			Endpoint: &wire.EndpointState{Instance: "i", Service: "s", Accepting: true, BornMs: 1, Capacity: capacity},
			Room:     &wire.Room{Free: capacity},
		}))
		return stream
	}
	current := open(2_000_000)
	work, err := workload.New("00000000000000aa", "", []workload.Step{{Count: 1, Size: size.Size{CPU: 100, Memory: 1}, Estimate: 50 * time.Millisecond}})
	i.NoErr(err)
	answered := make(chan answer.Answer, 1)
	go func() {
		answered <- d.Submit(t.Context(), work, catalog.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 20, TargetLatency: time.Second}, 5*time.Second)
	}()
	offered := awaitOffer(t, current)

	delayed := open(1_000_000)
	for err == nil {
		var f *wire.DispatcherFrame
		f, err = delayed.Recv()
		i.Equal(len(f.GetOffers()), 0)
	}
	i.NoErr(current.Send(&wire.SidecarFrame{StampUs: 3_000_000, Events: []*wire.TaskEvent{
		{Ref: offered.GetRef(), Kind: wire.TaskEventKind_TASK_EVENT_KIND_DONE, RanMs: 50},
	}}))
	i.Equal((<-answered).Outcome(), outcome.Complete)
}

type workStream = grpc.BidiStreamingClient[wire.SidecarFrame, wire.DispatcherFrame]

// dialWork opens a session with a dispatcher and reads its first frame.
func dialWork(t *testing.T, address string) (workStream, error) {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { conn.Close() })
	stream, err := wire.NewDispatcherClient(conn).Work(t.Context())
	if err != nil {
		return nil, err
	}
	_, err = stream.Recv()
	return stream, err
}

// awaitOffer returns the first task that is offered in a session.
func awaitOffer(t *testing.T, stream workStream) *wire.OfferedTask {
	t.Helper()
	for {
		f, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if offers := f.GetOffers(); len(offers) > 0 {
			return offers[0].GetTasks()[0]
		}
	}
}
