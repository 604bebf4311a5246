package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/sharing/interference"
	"github.com/corianderhook/corianderhook/wire"
)

func newObservedRunner() (*Runner, *host, *interference.Estimator) {
	h := &host{now: time.Unix(1_700_000_000, 0), details: map[string][]any{}}
	e := interference.New()
	r := New(h, WithNeighbors(e))
	r.Accept(size.Size{CPU: 4000, Memory: 1000})
	r.Heard(dispatcher, "10.0.0.1:1", h.now)
	return r, h, e
}

// offerOf returns an offer of one task of a queue.
func offerOf(queue string, ref uint64) *wire.Offer {
	o := offer(ref, 1, 1000)
	o.Job, o.Queue = fmt.Sprintf("%016x", ref), queue
	return o
}

func TestReportListsTheQueuesThatRun(t *testing.T) {
	i := is.New(t)
	r, h, _ := newObservedRunner()
	for ref, queue := range []string{"b", "a", "b", "b", "waits"} {
		r.Offer(dispatcher, offerOf(queue, uint64(ref+1)))
	}
	room := r.Room()
	i.Equal(room.GetQueues(), []uint32{interference.Hash("b"), interference.Hash("a")})
	i.Equal(room.GetQueueTasks(), []uint32{3, 1})
	r.HandleReport(Report{RequestedAt: h.now, Ended: []End{{RunName: run(h.starts[1]), Kind: EndFailed}}})
	i.Equal(r.Room().GetQueueTasks(), []uint32{3, 1}) // the one that waited has started
	r.EndpointRestarted("crashed")
	i.Equal(len(r.Room().GetQueues()), 0)
}

// Without an estimator a report is what it was before there were any.
func TestReportWithoutEstimatorSaysNothingOfQueues(t *testing.T) {
	i := is.New(t)
	off, _ := newRunner()
	on, _, _ := newObservedRunner()
	for _, r := range []*Runner{off, on} {
		r.Offer(dispatcher, offerOf("a", 1))
	}
	i.Equal(len(off.Room().GetQueues())+len(off.Room().GetQueueTasks()), 0)
	stripped := on.Room()
	stripped.Queues, stripped.QueueTasks = nil, nil
	i.True(proto.Equal(off.Room(), stripped))
}

// Waiting is not running: tasks that wait for long behind others are not taken for slowed.
func TestWaitingTasksAreNotSlowed(t *testing.T) {
	i := is.New(t)
	r, h, e := newObservedRunner()
	ref, begun := uint64(0), map[string]time.Time{}
	for range 3000 {
		h.advance(10 * time.Millisecond)
		r.Heard(dispatcher, "10.0.0.1:1", h.now)
		if r.Waiting() < 8 {
			ref++
			queue := "short"
			if ref%9 == 0 {
				queue = "long"
			}
			r.Offer(dispatcher, offerOf(queue, ref))
		}
		for _, name := range h.starts[max(0, len(h.starts)-8):] {
			if begun[name.Job].IsZero() {
				begun[name.Job] = h.now
			}
			if h.now.Sub(begun[name.Job]) >= 50*time.Millisecond {
				r.HandleReport(Report{RequestedAt: h.now, Ended: []End{{RunName: run(name)}}})
			}
		}
		i.Equal(len(e.Evaluate(h.now)), 0)
	}
	i.True(len(e.Estimates()) > 0)
}
