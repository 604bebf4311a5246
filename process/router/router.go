// Package router forwards a submission from the entry that received it to the entry that
// owns its slot, and retries when the owner changes or cannot be reached. Retries are safe:
// the owner runs the attempts of one key as one job.
package router

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/receipt"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// lookupInterval is the pause before the owner is looked up again.
	lookupInterval = 20 * time.Millisecond
	// unreachableRetryAfter is the Retry-After if the owner of a key cannot be reached.
	unreachableRetryAfter = 2 * time.Second
)

// Table is the table of ownership slots.
type Table interface {
	// Owner returns the instance that owns a slot, and the epoch of its ownership.
	Owner(slot uint32) (instance string, epoch uint64)
}

// Peers holds the connections to the other entries.
type Peers interface {
	// OwnerClock returns the last known reading of an instance's clock.
	OwnerClock(instance string) uint64
	Client(instance string) (wire.EntryClient, bool)
}

// Local handles the requests for the ownership slots of this entry. Its methods return false
// if this entry does not own the slot of the job.
type Local interface {
	Submit(ctx context.Context, s *submission.Submission, r receipt.Receipt, until time.Time) (answer.Answer, bool)
	Find(ctx context.Context, job string, cancel bool, until time.Time) (answer.Answer, bool)
}

// Dependencies holds the dependencies of a router.
type Dependencies struct {
	Self  string
	Table Table
	Peers Peers
	Local Local
	Clock clockwork.Clock
}

// Router routes submissions and queries. It is safe for concurrent use.
type Router struct {
	deps Dependencies
}

// New returns a router.
func New(deps Dependencies) *Router { return &Router{deps: deps} }

// Receipt returns the job's owner and the last known reading of its clock at the time a
// request comes in.
func (r *Router) Receipt(job string) receipt.Receipt {
	owner, _ := r.deps.Table.Owner(ownership.Slot(job))
	return receipt.Receipt{Owner: owner, OwnerClock: r.deps.Peers.OwnerClock(owner)}
}

// Submit returns the answer to a submission, or Pending if the job is still under way at
// the given time. The context bounds the search for the owner.
func (r *Router) Submit(ctx context.Context, s *submission.Submission, received receipt.Receipt, until time.Time) answer.Answer {
	slot := ownership.Slot(s.Job())
	for {
		owner, epoch := r.deps.Table.Owner(slot)
		if a, ok := r.trySubmit(ctx, s, received, owner, epoch, until); ok {
			return a
		}
		if !r.pauseBeforeRetry(ctx) {
			return ownerUnreachable()
		}
	}
}

func (r *Router) trySubmit(ctx context.Context, s *submission.Submission, received receipt.Receipt, owner string, epoch uint64, until time.Time) (answer.Answer, bool) {
	if owner == r.deps.Self {
		return r.deps.Local.Submit(ctx, s, received, until)
	}
	client, connected := r.deps.Peers.Client(owner)
	if !connected {
		return answer.Answer{}, false
	}
	request := &wire.SubmitRequest{
		Job:        s.Key(),
		Team:       s.Team(),
		Kind:       s.Kind(),
		Payloads:   s.Payloads(),
		WaitMs:     r.remaining(until).Milliseconds(),
		DeadlineMs: s.Deadline().Milliseconds(),
		Owner:      received.Owner,
		OwnerClock: received.OwnerClock,
		Epoch:      epoch,
	}
	reply, err := client.Submit(ctx, request)
	if err != nil {
		return answer.Answer{}, false
	}
	return parseReply(reply)
}

func parseReply(reply *wire.SubmitReply) (answer.Answer, bool) {
	if reply.GetNotOwner() {
		return answer.Answer{}, false
	}
	a, err := answer.FromWire(reply.GetAnswer())
	return a, err == nil
}

func (r *Router) remaining(until time.Time) time.Duration {
	return max(0, until.Sub(r.deps.Clock.Now()))
}

// pauseBeforeRetry waits for lookupInterval. It returns false if the context ends first.
func (r *Router) pauseBeforeRetry(ctx context.Context) bool {
	return pause.For(ctx, r.deps.Clock, lookupInterval)
}

// ownerUnreachable returns the answer for a job whose owner has not answered. Its outcome is
// unknown: an earlier attempt of the key may have run, so that not_run could be wrong.
func ownerUnreachable() answer.Answer {
	return answer.New(outcome.Unknown, "owner-unreachable",
		"the owner of the key cannot be reached; whether the job ran is not known").WithRetryAfter(unreachableRetryAfter)
}

// Find returns the state of a job and cancels it if requested.
func (r *Router) Find(ctx context.Context, job string, cancel bool, until time.Time) answer.Answer {
	slot := ownership.Slot(job)
	for {
		owner, _ := r.deps.Table.Owner(slot)
		if a, ok := r.tryFind(ctx, job, cancel, owner, until); ok {
			return a
		}
		if !r.pauseBeforeRetry(ctx) {
			return ownerUnreachable()
		}
	}
}

func (r *Router) tryFind(ctx context.Context, job string, cancel bool, owner string, until time.Time) (answer.Answer, bool) {
	if owner == r.deps.Self {
		return r.deps.Local.Find(ctx, job, cancel, until)
	}
	client, connected := r.deps.Peers.Client(owner)
	if !connected {
		return answer.Answer{}, false
	}
	reply, err := client.Find(ctx, &wire.FindRequest{Job: job, Cancel: cancel, WaitMs: r.remaining(until).Milliseconds()})
	if err != nil {
		return answer.Answer{}, false
	}
	return parseReply(reply)
}
