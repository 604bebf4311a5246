package dispatcher

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/process/scheduler"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/sharing/holder/claim"
	"github.com/corianderhook/corianderhook/sharing/startup"
	"github.com/corianderhook/corianderhook/version/catalog"
)

// busyRetryAfter is the Retry-After of an entry under pressure.
const busyRetryAfter = time.Second

// Caller is the caller of a job.
type Caller interface {
	// HasLeft reports whether the caller has closed its connection. It does not block, and is
	// current at any time.
	HasLeft() bool
}

// submission is a request that Submit submits.
type submission struct {
	scheduler.Request
	// recent is set if the request has not been on its way for long.
	recent bool
}

// SubmitOption changes how Submit submits a job.
type SubmitOption func(s *submission)

// WithCaller has the caller asked whether it is still there, whenever tasks are about to be placed.
func WithCaller(c Caller) SubmitOption {
	return func(s *submission) { s.HasLeft = c.HasLeft }
}

// WithElapsed takes the time that the caller has waited already off its budget.
func WithElapsed(d time.Duration) SubmitOption {
	return func(s *submission) { s.Elapsed = d }
}

// WithRecentRequest says that the request was sent a short time ago, as its caller has just had an
// answer on the same connection. Any other may have been on its way for as long as a caller waits.
func WithRecentRequest(recent bool) SubmitOption {
	return func(s *submission) { s.recent = recent }
}

// Submit submits a job and waits for its answer. The end of the context means that the
// caller has left.
func (d *Dispatcher) Submit(ctx context.Context, work *workload.Workload, queue catalog.Queue, budget time.Duration, options ...SubmitOption) answer.Answer {
	submittedAt := d.deps.Clock.Now()
	d.reachStep(startup.JobTaken)
	if stopsAt := d.stopsAt.Load(); stopsAt != nil {
		budget = min(budget, stopsAt.Sub(submittedAt))
	}
	if refuse, standingDelay := d.pressure.ShouldRefuse(submittedAt); refuse {
		klog.InfoS("CH1028 job refused by an entry under pressure", "job", work.ID(), "queue", queue.Name, "standing", standingDelay)
		d.metrics.CountRefusal(queue.Name, "busy")
		return answer.New(outcome.NotRun, "busy", "this entry is short of processor time").WithRetryAfter(busyRetryAfter)
	}
	reply := make(chan answer.Answer, 1)
	s := submission{Request: scheduler.Request{
		Work: work, Queue: queue, Budget: budget, ConfigVersion: d.Catalog().Version(),
		Reply: func(a answer.Answer) { reply <- a },
	}}
	for _, apply := range options {
		apply(&s)
	}
	if d.holders != nil {
		if v := d.holders.take(ctx, work.ID(), budget, s.recent); v != claim.Granted {
			return d.answerNotGranted(queue, v)
		}
	}
	a := d.submitGranted(ctx, s.Request, reply, submittedAt)
	if d.holders != nil {
		d.holders.leave(work.ID(), a.Outcome())
	}
	return a
}

// answerNotGranted returns the answer to a job that another dispatcher has, or has had.
func (d *Dispatcher) answerNotGranted(queue catalog.Queue, v claim.Verdict) answer.Answer {
	switch v {
	case claim.Completed:
		return answer.New(outcome.Complete, "complete", "the job was completed before")
	case claim.Canceled:
		d.metrics.CountRefusal(queue.Name, "canceled")
		return answer.New(outcome.NotRun, "canceled", canceledDetail)
	case claim.Held:
		d.metrics.CountRefusal(queue.Name, "held")
		return answer.New(outcome.NotRun, "held", "another entry has the job; nothing was started here").WithRetryAfter(busyRetryAfter)
	default:
		d.metrics.CountRefusal(queue.Name, "unsure")
		return answer.New(outcome.NotRun, "unsure", "another entry may have the job and does not answer; nothing was started here").WithRetryAfter(busyRetryAfter)
	}
}

// submitGranted passes a job to the scheduler and waits for its answer.
func (d *Dispatcher) submitGranted(ctx context.Context, request scheduler.Request, reply <-chan answer.Answer, readAt time.Time) answer.Answer {
	work, queue := request.Work, request.Queue
	submittedAt := d.deps.Clock.Now()
	// The caller may have canceled its job while the registrars were asked.
	if d.cancellations.Find(work.ID(), submittedAt) != nil {
		klog.InfoS("CH1016 canceled job refused", "job", work.ID(), "queue", queue.Name)
		d.metrics.CountRefusal(queue.Name, "canceled")
		return answer.New(outcome.NotRun, "canceled", canceledDetail)
	}
	if !d.inquiries.Submit(work.ID(), submittedAt) {
		klog.InfoS("CH1020 job refused after a standstill", "job", work.ID(), "queue", queue.Name)
		d.metrics.CountRefusal(queue.Name, "stale")
		return answer.New(outcome.NotRun, "stale", "this entry stood still after it had asked for the job").WithRetryAfter(busyRetryAfter)
	}
	request.Elapsed += submittedAt.Sub(readAt)
	d.deps.System.Root.Send(d.scheduler, submit{sentAt: submittedAt, request: request})
	var a answer.Answer
	select {
	case a = <-reply:
		d.inquiries.End(work.ID(), a.Outcome(), d.deps.Clock.Now())
	case <-ctx.Done():
		d.deps.System.Root.Send(d.scheduler, callerLeft{job: work.ID()})
		a = answer.New(outcome.Unknown, "canceled", "the caller has left")
	}
	d.metrics.ObserveJob(queue.Name, a.Outcome().String(), d.deps.Clock.Since(readAt))
	if a.Outcome() == outcome.Complete {
		d.reachStep(startup.JobServed)
	}
	if a.Outcome() == outcome.NotRun {
		d.metrics.CountRefusal(queue.Name, a.Reason())
	}
	return a
}

// CountRefusal counts a request that was refused before it was submitted.
func (d *Dispatcher) CountRefusal(queue, reason string) { d.metrics.CountRefusal(queue, reason) }
