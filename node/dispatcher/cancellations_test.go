package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

const canceledJob = "00000000000000aa"

// submitParked submits a job that waits for endpoints, and returns its answer.
func submitParked(t *testing.T, d *Dispatcher, job string) <-chan answer.Answer {
	t.Helper()
	work, err := workload.New(job, "", []workload.Step{{Count: 1, Estimate: 50 * time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan answer.Answer, 1)
	go func() {
		answered <- d.Submit(t.Context(), work, catalog.Queue{Name: "q", Service: "s", Stretch: 20, TargetLatency: 10 * time.Second}, 20*time.Second)
	}()
	return answered
}

// awaitJob waits until a dispatcher has a job.
func awaitJob(t testing.TB, d *Dispatcher) {
	t.Helper()
	for d.JobCount() == 0 {
		time.Sleep(time.Millisecond)
	}
}

func awaitPeers(t testing.TB, d *Dispatcher, count int) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); len(d.peers.addresses()) < count; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d dispatchers are known, want %d", len(d.peers.addresses()), count)
		}
	}
}

// Guards against a job that goes on after its cancellation was acknowledged: the request reached a
// dispatcher that does not hold the job.
func TestJobIsCanceledAtAnotherDispatcher(t *testing.T) {
	i := is.New(t)
	d1, address := startDispatcher(t, "d1")
	d2, _ := startDispatcher(t, "d2", address)
	adopt(t, d1, 3)
	adopt(t, d2, 3)
	awaitPeers(t, d2, 2)
	i.True(!d2.Cancel(t.Context(), canceledJob)) // nobody holds it yet

	other := "00000000000000bb"
	answered := submitParked(t, d1, other)
	awaitJob(t, d1)
	i.True(d2.Cancel(t.Context(), other))
	i.Equal((<-answered).Reason(), "canceled")

	// The job is not taken elsewhere either.
	i.Equal((<-submitParked(t, d2, canceledJob)).Reason(), "canceled")
}

// A dispatcher that does not answer may hold the job. It learns of the cancellation from the first
// sidecar that opens a session with it.
func TestCancellationReachesADispatcherThatDidNotAnswer(t *testing.T) {
	i := is.New(t)
	silent := listen(t)
	t.Cleanup(func() { silent.Close() })
	d2, _ := startDispatcher(t, "d2", silent.Addr().String())
	adopt(t, d2, 3)
	i.True(d2.Cancel(t.Context(), canceledJob))

	d1, address := startDispatcher(t, "d1")
	adopt(t, d1, 3)
	answered := submitParked(t, d1, canceledJob)
	awaitJob(t, d1)
	stream, err := dialWork(t, address)
	i.NoErr(err)
	i.NoErr(stream.Send(&wire.SidecarFrame{
		StampUs: 1, Hello: &wire.SidecarHello{Name: "s", Incarnation: 1}, Cancellations: d2.cancellations.Recent(time.Now()),
	}))
	i.Equal((<-answered).Reason(), "canceled")
}
