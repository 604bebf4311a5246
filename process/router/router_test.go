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

// fakeCluster is a cluster of an entry "self" and a peer whose first calls fail.
type fakeCluster struct {
	wire.EntryClient
	owner       string
	failures    int
	calls       int
	lastRequest *wire.SubmitRequest
	reply       *wire.SubmitReply
	localCalls  int
}

func (f *fakeCluster) Owner(uint32) (string, uint64) { return f.owner, 3 }
func (f *fakeCluster) OwnerClock(string) uint64      { return 42 }
func (f *fakeCluster) Client(name string) (wire.EntryClient, bool) {
	return f, name == "peer#1"
}

func (f *fakeCluster) Submit(_ context.Context, r *wire.SubmitRequest, _ ...grpc.CallOption) (*wire.SubmitReply, error) {
	f.calls++
	f.lastRequest = r
	if f.calls <= f.failures {
		return nil, errors.New("the connection was lost")
	}
	return f.reply, nil
}

type local struct{ cluster *fakeCluster }

func (l local) Submit(context.Context, *submission.Submission, receipt.Receipt, time.Time) (answer.Answer, bool) {
	l.cluster.localCalls++
	return answer.New(outcome.Complete, "complete", ""), true
}

func (l local) Find(context.Context, string, bool, time.Time) (answer.Answer, bool) {
	return answer.Answer{}, false
}

func submit(f *fakeCluster, limit time.Duration) answer.Answer {
	r := router.New(router.Dependencies{Self: "self#1", Table: f, Peers: f, Local: local{f}, Clock: clockwork.NewRealClock()})
	body := submission.New("team", "key", "kind", 0, [][]byte{[]byte("1")})
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return r.Submit(ctx, body, r.Receipt(body.Job()), time.Now().Add(limit))
}

func TestRetriesKeepTheReceipt(t *testing.T) {
	is := is.New(t)
	done := answer.New(outcome.Complete, "complete", "")
	f := &fakeCluster{owner: "peer#1", failures: 2, reply: &wire.SubmitReply{Answer: done.Wire()}}
	is.Equal(submit(f, time.Minute).Outcome(), outcome.Complete)
	is.Equal(f.calls, 3)
	is.Equal(f.lastRequest.GetOwner(), "peer#1")
	is.Equal(f.lastRequest.GetOwnerClock(), uint64(42))
}

func TestUnreachableOwnerIsNeverNotRun(t *testing.T) {
	is := is.New(t)
	f := &fakeCluster{owner: "peer#1", failures: 1 << 30}
	a := submit(f, 100*time.Millisecond)
	is.Equal(a.Outcome(), outcome.Unknown)
	is.True(a.RetryAfter() > 0)
	f.owner = "stranger#1"
	is.Equal(submit(f, 100*time.Millisecond).Outcome(), outcome.Unknown)
}

func TestOwnSlotsAreServedLocally(t *testing.T) {
	is := is.New(t)
	f := &fakeCluster{owner: "self#1"}
	is.Equal(submit(f, time.Minute).Outcome(), outcome.Complete)
	is.Equal(f.localCalls, 1)
	is.Equal(f.calls, 0)
}
