package dispatcher

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/process/scheduler"
	"github.com/corianderhook/corianderhook/sharing/holder/register"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// canceledDetail explains the answer to a job that its caller has canceled.
	canceledDetail = "canceled by the caller"
	// maxAskedDispatchers limits the dispatchers that are asked at once for a canceled job. The
	// others hear of it in the rounds.
	maxAskedDispatchers = 16
)

// Cancel cancels a job, whichever dispatcher holds it. It returns false if none does. If one does
// not answer, it may hold the job: its sidecars, and the rounds, tell it later.
func (d *Dispatcher) Cancel(ctx context.Context, id string) bool {
	if d.holders != nil {
		// Before the scheduler releases the job: others are told at no time that it is free.
		d.holders.register.End(id, register.Canceled, d.deps.Clock.Now())
	}
	if d.cancelHere(ctx, id) {
		if d.holders != nil {
			d.holders.cancel(id)
			d.spreadCancellation(id)
		}
		return true
	}
	// This looks once more for the job, which may have been submitted meanwhile.
	d.learnCancellations(ctx, []*wire.Cancellation{{Job: id}})
	return d.peers.cancelElsewhere(ctx, id)
}

// spreadCancellation tells the sidecars and the other dispatchers of a job that was canceled here.
func (d *Dispatcher) spreadCancellation(id string) {
	now := d.deps.Clock.Now()
	d.cancellations.Add(id, true, now)
	if c := d.cancellations.Find(id, now); c != nil {
		d.peers.sendToSidecars(&wire.DispatcherFrame{Cancellations: []*wire.Cancellation{c}})
	}
	d.peers.requestRound()
}

// cancelHere cancels a job that this dispatcher holds and reports whether it does.
func (d *Dispatcher) cancelHere(ctx context.Context, id string) bool {
	known := make(chan bool, 1)
	d.runOnScheduler(ctx, func(s *scheduler.Scheduler) { known <- s.Cancel(id, canceledDetail) })
	select {
	case k := <-known:
		return k
	default:
		return false
	}
}

// learnCancellations cancels the jobs that other processes say are canceled. It returns when the
// jobs that are held here have ended, or with the context.
func (d *Dispatcher) learnCancellations(ctx context.Context, list []*wire.Cancellation) {
	d.applyCancellations(list, func(job string) bool { return d.cancelHere(ctx, job) })
}

// learnCancellations does the same within the actor.
func (a *schedulerActor) learnCancellations(list []*wire.Cancellation) {
	a.dispatcher.applyCancellations(list, func(job string) bool { return a.scheduler.Cancel(job, canceledDetail) })
}

// applyCancellations cancels the jobs that are new in a list, records which of them were held
// here, and passes them on to the sidecars and the other dispatchers.
func (d *Dispatcher) applyCancellations(list []*wire.Cancellation, cancel func(job string) (held bool)) {
	added := d.cancellations.AddAll(list, d.deps.Clock.Now())
	if len(added) == 0 {
		return
	}
	for _, m := range added {
		held := cancel(m.GetJob())
		klog.InfoS("CH1014 canceled job looked for", "entry", d.deps.Name, "job", m.GetJob(), "held", held)
		if held {
			d.cancellations.Add(m.GetJob(), true, d.deps.Clock.Now())
			if d.holders != nil {
				d.holders.cancel(m.GetJob())
			}
		}
	}
	d.peers.sendToSidecars(&wire.DispatcherFrame{Cancellations: added})
	d.peers.requestRound()
}

// cancelElsewhere asks the other dispatchers to cancel a job. It returns false if none holds it.
func (p *peers) cancelElsewhere(ctx context.Context, job string) bool {
	others := p.others()
	asked := others[:min(len(others), maxAskedDispatchers)]
	answered := make(chan bool, len(asked))
	for _, a := range asked {
		go func() {
			requestedAt := p.dispatcher.deps.Clock.Now()
			k, err := p.exchangeOnce(ctx, a, 0)
			if err != nil {
				klog.InfoS("CH1015 canceled job may be held by a dispatcher without an answer", "address", a, "job", job, "error", err)
				answered <- false
				return
			}
			p.handleKnowledge(k, requestedAt)
			answered <- true
		}()
	}
	all := len(asked) == len(others)
	for range asked {
		all = <-answered && all
	}
	return !all || p.dispatcher.cancellations.Find(job, p.dispatcher.deps.Clock.Now()).GetFound()
}
