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

// world is an entry "self" with a peer whose connection fails some times.
type world struct {
	wire.EntryClient
	owner  string
	fails  int
	calls  int
	last   *wire.SubmitRequest
	reply  *wire.SubmitReply
	locals int
}

func (w *world) Owner(uint32) (string, uint64) { return w.owner, 3 }
func (w *world) Reading(string) uint64         { return 42 }
func (w *world) Client(name string) (wire.EntryClient, bool) {
	return w, name == "peer#1"
}

func (w *world) Submit(_ context.Context, r *wire.SubmitRequest, _ ...grpc.CallOption) (*wire.SubmitReply, error) {
	w.calls++
	w.last = r
	if w.calls <= w.fails {
		return nil, errors.New("the connection was lost")
	}
	return w.reply, nil
}

type local struct{ w *world }

func (l local) Submit(context.Context, *submission.Submission, receipt.Receipt, time.Time) (answer.Answer, bool) {
	l.w.locals++
	return answer.New(outcome.Complete, "complete", ""), true
}

func (l local) Find(context.Context, string, bool, time.Time) (answer.Answer, bool) {
	return answer.Answer{}, false
}

func submit(w *world, limit time.Duration) answer.Answer {
	r := router.New(router.Dependencies{Self: "self#1", Table: w, Peers: w, Local: local{w}, Clock: clockwork.NewRealClock()})
	body := submission.New("team", "key", "kind", 0, [][]byte{[]byte("1")})
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return r.Submit(ctx, body, r.Receipt(body.Job()), time.Now().Add(limit))
}

func TestRetriesKeepTheReceipt(t *testing.T) {
	is := is.New(t)
	done := answer.New(outcome.Complete, "complete", "")
	w := &world{owner: "peer#1", fails: 2, reply: &wire.SubmitReply{Answer: done.Wire()}}
	is.Equal(submit(w, time.Minute).Outcome(), outcome.Complete)
	is.Equal(w.calls, 3)
	is.Equal(w.last.GetOwner(), "peer#1")
	is.Equal(w.last.GetOwnerClock(), uint64(42))
}

func TestUnreachableOwnerIsNeverNotRun(t *testing.T) {
	is := is.New(t)
	w := &world{owner: "peer#1", fails: 1 << 30}
	a := submit(w, 100*time.Millisecond)
	is.Equal(a.Outcome(), outcome.Unknown)
	is.True(a.RetryAfter() > 0)
	w.owner = "stranger#1"
	is.Equal(submit(w, 100*time.Millisecond).Outcome(), outcome.Unknown)
}

func TestOwnSlotsAreServedLocally(t *testing.T) {
	is := is.New(t)
	w := &world{owner: "self#1"}
	is.Equal(submit(w, time.Minute).Outcome(), outcome.Complete)
	is.Equal(w.locals, 1)
	is.Equal(w.calls, 0)
}
