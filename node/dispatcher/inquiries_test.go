package dispatcher

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/corianderhook/corianderhook/process/inquiry"
	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/process/scheduler"
	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

// startDispatchers starts dispatchers that know one another and have a configuration.
func startDispatchers(t testing.TB, count int) []*Dispatcher {
	t.Helper()
	var list []*Dispatcher
	var addresses []string
	for n := range count {
		d, address := startDispatcher(t, fmt.Sprint("d", n), addresses...)
		adopt(t, d, 3)
		list, addresses = append(list, d), append(addresses, address)
	}
	for _, d := range list {
		d.Learn(addresses)
		awaitPeers(t, d, count)
	}
	return list
}

// connect lets a dispatcher open its connections, so that an inquiry does not wait for them.
func connect(t *testing.T, d *Dispatcher) {
	t.Helper()
	for _, a := range d.peers.others() {
		if _, err := d.peers.exchangeOnce(t.Context(), a, 0); err != nil {
			t.Fatal(err)
		}
	}
}

// askOthers asks again as long as an answer is missing, as it may be on a busy machine.
func askOthers(t *testing.T, ask func(ctx context.Context, job string, arrivedAt time.Time) inquiry.Holding) inquiry.Holding {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); ; {
		if h := ask(t.Context(), canceledJob, time.Now()); h != inquiry.Unknown || time.Now().After(until) {
			return h
		}
	}
}

// A request that waited in a paused process is read after its caller has sent the job again
// elsewhere.
func TestJobIsHeldByAnotherDispatcher(t *testing.T) {
	i := is.New(t)
	list := startDispatchers(t, 3)
	connect(t, list[0])
	answered := submitParked(t, list[2], canceledJob)
	awaitJob(t, list[2])
	defer list[0].NoteArrival(canceledJob)()
	i.Equal(askOthers(t, list[0].HeldElsewhere), inquiry.Held)

	list[2].cancelHere(t.Context(), canceledJob)
	i.Equal((<-answered).Outcome(), outcome.NotRun)
	i.Equal(askOthers(t, list[0].HeldElsewhere), inquiry.NotHeld)
}

// Guards against the other order: the job arrives at another dispatcher after that has said that it
// does not hold it.
func TestAskerIsAskedByTheDispatcherThatGetsTheJobLater(t *testing.T) {
	i := is.New(t)
	list := startDispatchers(t, 2)
	connect(t, list[0])
	connect(t, list[1])
	i.True(!list[1].WasAskedFor(canceledJob))
	defer list[0].NoteArrival(canceledJob)()
	i.Equal(askOthers(t, list[0].HeldElsewhere), inquiry.NotHeld)
	submitParked(t, list[0], canceledJob)
	awaitJob(t, list[0])

	defer list[1].NoteArrival(canceledJob)()
	i.True(list[1].WasAskedFor(canceledJob))
	i.Equal(askOthers(t, list[1].HeldByAskers), inquiry.Held)
}

// Dispatchers that were cut off together read requests of the same jobs at the same time.
func TestAtMostOneOfSeveralAskersGoesOn(t *testing.T) {
	i := is.New(t)
	list := startDispatchers(t, 3)
	for _, d := range list {
		connect(t, d)
	}
	const jobs = 40
	var allowed [jobs]atomic.Int32
	var group sync.WaitGroup
	arrivedAt := time.Now()
	for n := range jobs {
		for _, d := range list {
			group.Go(func() {
				id := fmt.Sprintf("%016x", n)
				done := d.NoteArrival(id)
				if d.HeldElsewhere(t.Context(), id, arrivedAt) != inquiry.NotHeld {
					done()
					return
				}
				// The request stays in hand.
				allowed[n].Add(1)
			})
		}
	}
	group.Wait()
	total := int32(0)
	for n := range allowed {
		i.True(allowed[n].Load() <= 1)
		total += allowed[n].Load()
	}
	t.Logf("%d of %d jobs were allowed", total, jobs)
	i.True(total > 0)
}

// The runs of a job whose caller has left may not have been stopped yet.
func TestJobWhoseCallerHasJustLeftIsHeld(t *testing.T) {
	i := is.New(t)
	list := startDispatchers(t, 2)
	connect(t, list[0])
	work, err := workload.New(canceledJob, "", []workload.Step{{Count: 1, Estimate: 50 * time.Millisecond}})
	i.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan struct{})
	go func() {
		defer close(left)
		list[1].Submit(ctx, work, catalog.Queue{Name: "q", Service: "s", Stretch: 20, TargetLatency: 10 * time.Second}, 20*time.Second)
	}()
	awaitJob(t, list[1])
	cancel()
	<-left
	for list[1].JobCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	i.Equal(askOthers(t, list[0].HeldElsewhere), inquiry.Held)
	time.Sleep(runner.OrphanTime())
	i.Equal(askOthers(t, list[0].HeldElsewhere), inquiry.NotHeld)
}

// The answer does not wait for a scheduler that is behind with its messages: neither a job that it
// has not seen yet nor one whose caller's leaving it has not seen yet is free.
func TestJobOfABusySchedulerIsHeld(t *testing.T) {
	i := is.New(t)
	list := startDispatchers(t, 2)
	connect(t, list[0])
	work, err := workload.New(canceledJob, "", []workload.Step{{Count: 1, Estimate: 50 * time.Millisecond}})
	i.NoErr(err)
	go list[1].runOnScheduler(t.Context(), func(*scheduler.Scheduler) { time.Sleep(runner.OrphanTime() + 500*time.Millisecond) })
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan struct{})
	go func() {
		defer close(left)
		list[1].Submit(ctx, work, catalog.Queue{Name: "q", Service: "s", Stretch: 20, TargetLatency: 10 * time.Second}, 20*time.Second)
	}()
	time.Sleep(200 * time.Millisecond)
	i.Equal(askOthers(t, list[0].HeldElsewhere), inquiry.Held)
	cancel()
	<-left
	time.Sleep(runner.OrphanTime() + 100*time.Millisecond)
	i.Equal(askOthers(t, list[0].HeldElsewhere), inquiry.Held)
}

func TestDispatcherWithoutAnswerMayHoldTheJob(t *testing.T) {
	i := is.New(t)
	silent := listen(t)
	t.Cleanup(func() { silent.Close() })
	d, _ := startDispatcher(t, "d1", silent.Addr().String())
	awaitPeers(t, d, 2)
	began := time.Now()
	i.Equal(d.HeldElsewhere(t.Context(), canceledJob, began), inquiry.Unknown)
	i.True(time.Since(began) < 10*inquiryTimeout)
}

// earlierBuild implements the service of a dispatcher from before inquiries.
type earlierBuild struct {
	wire.UnimplementedDispatcherServer
}

func serve(t testing.TB, l net.Listener, s wire.DispatcherServer) *grpc.Server {
	server := grpc.NewServer()
	wire.RegisterDispatcherServer(server, s)
	go func() {
		// Serve ends when the server is stopped.
		_ = server.Serve(l)
	}()
	t.Cleanup(server.Stop)
	return server
}

// Builds run side by side in an upgrade, which must not refuse work.
func TestEarlierBuildDoesNotObject(t *testing.T) {
	i := is.New(t)
	l := listen(t)
	serve(t, l, earlierBuild{})
	d, _ := startDispatcher(t, "d1", l.Addr().String())
	awaitPeers(t, d, 2)
	i.Equal(askOthers(t, d.HeldElsewhere), inquiry.NotHeld)
}

// countingService counts messages and jobs, and answers for none of the jobs.
type countingService struct {
	wire.UnimplementedDispatcherServer
	messages, jobs atomic.Int32
}

func (c *countingService) Holds(_ context.Context, r *wire.HoldsRequest) (*wire.HoldsReply, error) {
	c.messages.Add(1)
	c.jobs.Add(int32(len(r.GetJobs())))
	return &wire.HoldsReply{}, nil
}

// A process that was paused reads many requests at once.
func TestInquiriesShareMessages(t *testing.T) {
	i := is.New(t)
	l, counting := listen(t), &countingService{}
	serve(t, l, counting)
	d, _ := startDispatcher(t, "d1", l.Addr().String())
	awaitPeers(t, d, 2)
	const jobs = 40
	var group sync.WaitGroup
	for n := range jobs {
		group.Go(func() {
			// An answer that lacks the job counts as none.
			i.Equal(d.HeldElsewhere(t.Context(), fmt.Sprintf("%016x", n), time.Now()), inquiry.Unknown)
		})
	}
	group.Wait()
	i.Equal(counting.jobs.Load(), int32(jobs))
	i.True(counting.messages.Load() <= jobs/4)
}

// The dispatchers that were asked forget a process that is paused after its inquiry.
func TestJobIsRefusedLongAfterItsInquiry(t *testing.T) {
	i := is.New(t)
	d, _ := startDispatcher(t, "d1")
	adopt(t, d, 3)
	defer d.NoteArrival(canceledJob)()
	i.Equal(d.HeldElsewhere(t.Context(), canceledJob, time.Now()), inquiry.NotHeld)
	time.Sleep(1100 * time.Millisecond)
	a := <-submitParked(t, d, canceledJob)
	i.Equal(a.Reason(), "stale")
	i.True(a.RetryAfter() > 0)
}

// BenchmarkHolds measures the asked side, for the 40 jobs of a process that was paused.
func BenchmarkHolds(b *testing.B) {
	r := &wire.HoldsRequest{Address: "10.0.0.1:1", Incarnation: 1}
	for n := range 40 {
		r.Jobs = append(r.Jobs, &wire.InquiredJob{Job: fmt.Sprintf("%016x", n), AgeMs: 2000})
	}
	b.Run("answer", func(b *testing.B) {
		clock := clockwork.NewFakeClock()
		v := &service{dispatcher: newDispatcher("10.0.0.2:1", clock)}
		for b.Loop() {
			clock.Advance(time.Second)
			if _, err := v.Holds(b.Context(), r); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("call", func(b *testing.B) {
		d, _ := startDispatcher(b, "d1")
		asked, address := startDispatcher(b, "d2")
		for b.Loop() {
			asked.inquiries = inquiry.New(asked.incarnation, runner.OrphanTime())
			if _, err := d.peers.holds(b.Context(), address, r); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// Guards against a second run of a task: the failure of a dead dispatcher comes before the answer
// of the one that holds the job.
func TestDeadDispatcherDoesNotHideThatTheJobIsHeld(t *testing.T) {
	i := is.New(t)
	dead := listen(t)
	dead.Close()
	list := startDispatchers(t, 2)
	connect(t, list[0])
	list[0].Learn([]string{dead.Addr().String()})
	submitParked(t, list[1], canceledJob)
	awaitJob(t, list[1])
	held := 0
	for range 10 {
		if list[0].HeldElsewhere(t.Context(), canceledJob, time.Now()) == inquiry.Held {
			held++
		}
	}
	// On a busy machine some answers are late.
	i.True(held >= 5)
}

// Guards against too little served: requests on idle connections, one by one, cost each of the other
// dispatchers a call.
func TestMessagesOfInquiriesAreBounded(t *testing.T) {
	const (
		others       = 8
		maxPerSecond = 1000
	)
	i := is.New(t)
	list := startDispatchers(t, others+1)
	connect(t, list[0])
	var group sync.WaitGroup
	before, began := list[0].usage.Total(usage.InquirySent), time.Now()
	for n := range 400 {
		group.Go(func() { list[0].HeldElsewhere(t.Context(), fmt.Sprintf("%016x", n), time.Now()) })
		time.Sleep(time.Millisecond)
	}
	sent, took := list[0].usage.Total(usage.InquirySent)-before, time.Since(began)
	group.Wait()
	if limit := maxPerSecond*took.Seconds() + 2*others; float64(sent) > limit {
		t.Errorf("%d messages in %s, expected at most %.0f", sent, took, limit)
	}
	i.True(sent > 0)
}

// A quiet inquiry needs no answer, unless the job is held.
func TestOnlyTheHolderAnswersAQuietInquiry(t *testing.T) {
	i := is.New(t)
	list := startDispatchers(t, 3)
	connect(t, list[0])
	defer list[0].NoteArrival(canceledJob)()
	// The streams are open after an inquiry that was answered.
	i.Equal(askOthers(t, list[0].HeldElsewhere), inquiry.NotHeld)
	received := list[0].usage.Total(usage.InquiryReceived)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	i.Equal(list[0].ObjectedElsewhere(ctx, canceledJob, time.Now()), inquiry.Unknown)
	i.Equal(list[0].usage.Total(usage.InquiryReceived), received)

	submitParked(t, list[2], canceledJob)
	awaitJob(t, list[2])
	ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	i.Equal(list[0].ObjectedElsewhere(ctx, canceledJob, time.Now()), inquiry.Held)
	i.Equal(list[0].usage.Total(usage.InquiryReceived), received+1)
}

// A stream that fails is replaced, and what was asked on it is not known.
func TestInquiriesReachADispatcherThatHasRestarted(t *testing.T) {
	i := is.New(t)
	l := listen(t)
	address := l.Addr().String()
	server := serve(t, l, &service{dispatcher: newDispatcher(address, clockwork.NewRealClock())})
	d, _ := startDispatcher(t, "d1", address)
	awaitPeers(t, d, 2)
	i.Equal(askOthers(t, d.HeldElsewhere), inquiry.NotHeld)
	server.Stop()
	i.Equal(d.HeldElsewhere(t.Context(), canceledJob, time.Now()), inquiry.Unknown)
	again, err := net.Listen("tcp", address)
	i.NoErr(err)
	serve(t, again, &service{dispatcher: newDispatcher(address, clockwork.NewRealClock())})
	i.Equal(askOthers(t, d.HeldElsewhere), inquiry.NotHeld)
}
