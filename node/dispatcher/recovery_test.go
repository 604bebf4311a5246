package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/corianderhook/corianderhook/process/scheduler"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

// A panic while handling a message loses this message only: the parked job of another
// caller is kept and answered.
func TestPanicKeepsOtherJobs(t *testing.T) {
	i := is.New(t)
	d, _ := startDispatcher(t, "d1")
	adopt(t, d, 3)
	work, err := workload.New("00000000000000aa", "", []workload.Step{{Count: 1, Estimate: 50 * time.Millisecond}})
	i.NoErr(err)
	answered := make(chan answer.Answer, 1)
	go func() {
		answered <- d.Submit(t.Context(), work, catalog.Queue{Name: "q", Service: "s", Stretch: 20, TargetLatency: time.Second}, 2*time.Second)
	}()
	awaitJob(t, d)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	d.runOnScheduler(ctx, func(*scheduler.Scheduler) { panic("malformed") })
	known := false
	d.runOnScheduler(t.Context(), func(s *scheduler.Scheduler) { known, _ = s.JobState("00000000000000aa") })
	i.True(known)
	i.True((<-answered).Reason() != "")
}

// panickingService implements the dispatcher service with handlers that panic.
type panickingService struct {
	wire.UnimplementedDispatcherServer
}

func (panickingService) Exchange(context.Context, *wire.Knowledge) (*wire.Knowledge, error) {
	panic("malformed")
}

func (panickingService) Work(grpc.BidiStreamingServer[wire.SidecarFrame, wire.DispatcherFrame]) error {
	panic("malformed")
}

// A call whose handler panics returns an error, and the server keeps serving.
func TestPanicFailsOneCall(t *testing.T) {
	i := is.New(t)
	d, _ := startDispatcher(t, "d1")
	server := grpc.NewServer(serverOptions(d.metrics)...)
	wire.RegisterDispatcherServer(server, panickingService{})
	l := listen(t)
	go func() {
		// Serve ends when the server is stopped.
		_ = server.Serve(l)
	}()
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	i.NoErr(err)
	defer conn.Close()
	client := wire.NewDispatcherClient(conn)
	for range 2 {
		_, err = client.Exchange(t.Context(), &wire.Knowledge{})
		i.True(err != nil)
		stream, err := client.Work(t.Context())
		i.NoErr(err)
		_, err = stream.Recv()
		i.True(err != nil)
	}
}

// Guards against a job that outlives its caller: the process stands still between reading the
// request and the decision on it, and the caller's time counts from the decision.
func TestBudgetCountsFromTheRequest(t *testing.T) {
	i := is.New(t)
	d, _ := startDispatcher(t, "d1")
	adopt(t, d, 3)
	work, err := workload.New("00000000000000aa", "", []workload.Step{{Count: 1, Estimate: 50 * time.Millisecond}})
	i.NoErr(err)
	const standstill, budget = time.Second, 800 * time.Millisecond
	began := time.Now()
	go d.runOnScheduler(t.Context(), func(*scheduler.Scheduler) { time.Sleep(standstill) })
	time.Sleep(standstill / 8)
	// The job would wait for endpoints, as the dispatcher has just started.
	d.Submit(t.Context(), work, catalog.Queue{Name: "q", Service: "s", Stretch: 20, TargetLatency: time.Second}, budget)
	i.True(time.Since(began) < standstill+budget/2)
}
