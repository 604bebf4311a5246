package dispatcher

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/process/scheduler"
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
	if d.cancelHere(ctx, id) {
		return true
	}
	d.learnCancellations(ctx, []*wire.Cancellation{{Job: id}})
	return d.peers.cancelElsewhere(ctx, id)
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

// learnCancellations cancels the jobs that other processes say are canceled, and passes them on.
// It returns when the jobs that are held here have ended, or with the context.
func (d *Dispatcher) learnCancellations(ctx context.Context, list []*wire.Cancellation) {
	added := d.cancellations.AddAll(list, d.deps.Clock.Now())
	for _, job := range added {
		d.noteCanceled(job, d.cancelHere(ctx, job))
	}
	d.passOnCancellations(added)
}

// learnCancellations does the same within the actor.
func (a *schedulerActor) learnCancellations(list []*wire.Cancellation) {
	added := a.dispatcher.cancellations.AddAll(list, a.Now())
	for _, job := range added {
		a.dispatcher.noteCanceled(job, a.scheduler.Cancel(job, canceledDetail))
	}
	a.dispatcher.passOnCancellations(added)
}

// noteCanceled records whether a canceled job was held here.
func (d *Dispatcher) noteCanceled(job string, held bool) {
	klog.InfoS("CH1014 canceled job looked for", "entry", d.deps.Name, "job", job, "held", held)
	if held {
		d.cancellations.Add(job, true, d.deps.Clock.Now())
	}
}

// passOnCancellations tells the sidecars and the other dispatchers of canceled jobs.
func (d *Dispatcher) passOnCancellations(jobs []string) {
	if len(jobs) == 0 {
		return
	}
	f := &wire.DispatcherFrame{}
	for _, job := range jobs {
		f.Cancellations = append(f.Cancellations, &wire.Cancellation{Job: job})
	}
	d.peers.sendToSidecars(f)
	d.peers.requestRound()
}

// sendToSidecars queues a frame for every sidecar with a session.
func (p *peers) sendToSidecars(f *wire.DispatcherFrame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.out.Put(f)
	}
}

// cancelElsewhere asks the other dispatchers to cancel a job. It returns false if none holds it.
func (p *peers) cancelElsewhere(ctx context.Context, job string) bool {
	var others []string
	for _, a := range p.addresses() {
		if a != p.dispatcher.deps.Address {
			others = append(others, a)
		}
	}
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
	_, found := p.dispatcher.cancellations.Contains(job, p.dispatcher.deps.Clock.Now())
	return found || !all
}
