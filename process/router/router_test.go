package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/corianderhook/corianderhook/process/router"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/receipt"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/wire"
)

// fakeCluster is an entry "self" with a peer whose connection fails some times.
type fakeCluster struct {
	wire.EntryClient
	owner       string
	failures    int
	calls       int
	lastRequest *wire.SubmitRequest
	reply       *wire.SubmitReply
	localCalls  int
}

func (w *fakeCluster) Owner(uint32) (string, uint64) { return w.owner, 3 }
func (w *fakeCluster) Reading(string) uint64         { return 42 }
func (w *fakeCluster) Client(name string) (wire.EntryClient, bool) {
	return w, name == "peer#1"
}

func (w *fakeCluster) Submit(_ context.Context, r *wire.SubmitRequest, _ ...grpc.CallOption) (*wire.SubmitReply, error) {
	w.calls++
	w.lastRequest = r
	if w.calls <= w.failures {
		return nil, errors.New("the connection was lost")
	}
	return w.reply, nil
}

type local struct{ w *fakeCluster }

func (l local) Submit(context.Context, *submission.Submission, receipt.Receipt, time.Time) (answer.Answer, bool) {
	l.w.localCalls++
	return answer.New(outcome.Complete, "complete", ""), true
}

func (l local) Find(context.Context, string, bool, time.Time) (answer.Answer, bool) {
	return answer.Answer{}, false
}

func submit(w *fakeCluster, limit time.Duration) answer.Answer {
	r := router.New(router.Dependencies{Self: "self#1", Table: w, Peers: w, Local: local{w}, Clock: clockwork.NewRealClock()})
	body := submission.New("team", "key", "kind", 0, [][]byte{[]byte("1")})
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return r.Submit(ctx, body, r.Receipt(body.Job()), time.Now().Add(limit))
}

func TestRetriesKeepTheReceipt(t *testing.T) {
	is := is.New(t)
	done := answer.New(outcome.Complete, "complete", "")
	w := &fakeCluster{owner: "peer#1", failures: 2, reply: &wire.SubmitReply{Answer: done.Wire()}}
	is.Equal(submit(w, time.Minute).Outcome(), outcome.Complete)
	is.Equal(w.calls, 3)
	is.Equal(w.lastRequest.GetOwner(), "peer#1")
	is.Equal(w.lastRequest.GetOwnerClock(), uint64(42))
}

func TestUnreachableOwnerIsNeverNotRun(t *testing.T) {
	is := is.New(t)
	w := &fakeCluster{owner: "peer#1", failures: 1 << 30}
	a := submit(w, 100*time.Millisecond)
	is.Equal(a.Outcome(), outcome.Unknown)
	is.True(a.RetryAfter() > 0)
	w.owner = "stranger#1"
	is.Equal(submit(w, 100*time.Millisecond).Outcome(), outcome.Unknown)
}

func TestOwnSlotsAreServedLocally(t *testing.T) {
	is := is.New(t)
	w := &fakeCluster{owner: "self#1"}
	is.Equal(submit(w, time.Minute).Outcome(), outcome.Complete)
	is.Equal(w.localCalls, 1)
	is.Equal(w.calls, 0)
}
