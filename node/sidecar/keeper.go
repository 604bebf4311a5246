package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/process/runner"
)

const (
	// idleWait is how long a call to the endpoint waits for an end while nothing runs.
	// It also renews the lease: well under half of it.
	idleWait = 180 * time.Millisecond
	// busyWait is how long a call waits while tasks run, which end every 20 ms or so
	// under load: ends whose answer is lost come with the next call.
	busyWait = 40 * time.Millisecond
	// silentAfter is how many calls in a row get no answer before the endpoint is
	// taken to be gone: a few in a hundred are lost at times.
	silentAfter = 3
	// renewFor is how long the lease of an endpoint that is taken to be gone is asked for
	// on: it may only be slow to answer. Where nothing listens it is not.
	renewFor = 400 * time.Millisecond
	// listPause is the time between calls to an endpoint that does not answer.
	listPause = 40 * time.Millisecond
	// fenceStep raises a fence that the endpoint refuses, doubled each time: the
	// time of day may have jumped back by any amount.
	fenceStep = uint64(time.Hour / time.Microsecond)
)

// keeper talks to the endpoint: it takes it over, then keeps the lease and reads
// the ends.
type keeper struct {
	sidecar  *Sidecar
	fence    atomic.Uint64
	instance atomic.Pointer[string]
	// announced holds the start of the life that announced itself last.
	announced chan time.Time
	// doubted is signaled when the endpoint has to be taken over anew.
	doubted chan struct{}
	// taken is closed after the first takeover.
	taken chan struct{}
	once  sync.Once
	last  uint64
	born  time.Time
}

func newKeeper(s *Sidecar) *keeper {
	k := &keeper{sidecar: s, announced: make(chan time.Time, 1), doubted: make(chan struct{}, 1), taken: make(chan struct{})}
	k.fence.Store(uint64(s.deps.Clock.Now().UnixMicro()))
	none := ""
	k.instance.Store(&none)
	return k
}

func (k *keeper) life() Target { return Target{Instance: *k.instance.Load(), Fence: k.fence.Load()} }

// expect names the life that announced itself. It is taken over unless it was
// before it had a name: a second time would end what was started since.
func (k *keeper) expect(instance string, born time.Time) {
	k.instance.Store(&instance)
	select {
	case <-k.announced:
	default:
	}
	k.announced <- born
}

// retake has the endpoint taken over anew.
func (k *keeper) retake() {
	select {
	case k.doubted <- struct{}{}:
	default:
	}
}

func (k *keeper) wait() time.Duration {
	if k.sidecar.tasks.Load() > 0 {
		return busyWait
	}
	return idleWait
}

func (k *keeper) start(o runner.Order) (runner.Result, string) {
	return k.sidecar.deps.Endpoint.Start(context.Background(), k.life(), o)
}

// stop orders the end of a run; a name has the runner told of the result.
func (k *keeper) stop(name string, run runner.RunName) {
	acknowledged := k.sidecar.deps.Endpoint.Stop(context.Background(), k.life(), run)
	if !acknowledged {
		pause.For(context.Background(), k.sidecar.deps.Clock, stopPause)
	}
	if name != "" {
		k.sidecar.deps.System.Root.Send(k.sidecar.runner, stopped{name: name, acknowledged: acknowledged})
	}
}

func (k *keeper) tell(m any) { k.sidecar.deps.System.Root.Send(k.sidecar.runner, m) }

// run takes the endpoint over and follows it, again and again.
func (k *keeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		if k.takeOver(ctx) {
			k.follow(ctx)
		}
	}
}

// takeOver raises the fence and stops all that runs, until the endpoint is empty.
// Then nothing of an earlier sidecar, and no late order of it, can run any more.
func (k *keeper) takeOver(ctx context.Context) bool {
	k.last = 0
	// Orders of before that are still on their way are void under a higher fence.
	k.fence.Add(1)
	step := fenceStep
	for ctx.Err() == nil {
		list, err := k.sidecar.deps.Endpoint.List(ctx, k.life(), k.last, 0)
		switch {
		case err != nil:
			pause.For(ctx, k.sidecar.deps.Clock, listPause)
		case list.Fenced:
			k.fence.Add(step)
			klog.InfoS("CH1131 fence raised", "agent", k.sidecar.deps.Name, "fence", k.fence.Load())
			step *= 2
		case len(list.Running) > 0:
			k.last = list.LastSeq
			klog.InfoS("CH1132 endpoint still runs tasks of before", "agent", k.sidecar.deps.Name, "tasks", len(list.Running))
			for _, run := range list.Running {
				go k.stop("", run)
			}
			pause.For(ctx, k.sidecar.deps.Clock, listPause)
		default:
			k.last = list.LastSeq
			k.born = list.Born
			klog.InfoS("CH1133 endpoint taken over", "agent", k.sidecar.deps.Name, "instance", k.life().Instance, "born", list.Born, "fence", k.fence.Load())
			k.once.Do(func() { close(k.taken) })
			k.tell(took{born: list.Born, reason: "the endpoint was taken over anew"})
			return true
		}
	}
	return false
}

// follow renews the lease and brings the ends until another life has begun.
func (k *keeper) follow(ctx context.Context) {
	var lost time.Time
	missed, lapse, refused := 0, false, false
	for ctx.Err() == nil {
		select {
		case born := <-k.announced:
			if !born.Equal(k.born) {
				k.tell(silent{reason: "the endpoint has begun a new life"})
				return
			}
		case <-k.doubted:
			k.tell(silent{reason: "the endpoint is taken over anew after an unexpected error"})
			return
		default:
		}
		ask := k.sidecar.deps.Endpoint.List
		if !lost.IsZero() && (refused || k.sidecar.deps.Clock.Since(lost) > renewFor) {
			ask = k.sidecar.deps.Endpoint.ListWithoutRenewal
		}
		list, err := ask(ctx, k.life(), k.last, k.wait())
		now := k.sidecar.deps.Clock.Now()
		switch {
		case err != nil:
			missed++
			refused = errors.Is(err, syscall.ECONNREFUSED)
			if missed < silentAfter {
				continue
			}
			if lost.IsZero() {
				lost = now
				klog.InfoS("CH1134 endpoint does not answer", "agent", k.sidecar.deps.Name, "error", err)
				k.tell(silent{reason: "the endpoint does not answer"})
			}
			if now.After(k.sidecar.deps.Endpoint.LeaseExpiry().Add(runner.LeaseLapseTime() - runner.LeaseDuration)) {
				// Results of orders may still come: what they name has lapsed too.
				k.tell(lapsed{})
				if !lapse {
					k.sidecar.metrics.CountLapsedLease()
				}
				lapse = true
			}
			pause.For(ctx, k.sidecar.deps.Clock, listPause)
			continue
		case list.Fenced || !list.Born.Equal(k.born):
			klog.InfoS("CH1135 endpoint is another or has another sidecar", "agent", k.sidecar.deps.Name, "born", list.Born, "fenced", list.Fenced)
			k.tell(silent{reason: "the endpoint is being taken over"})
			k.sidecar.deps.Endpoint.ResetClock()
			return
		}
		missed, lapse = 0, false
		if !lost.IsZero() {
			klog.InfoS("CH1136 endpoint answers again", "agent", k.sidecar.deps.Name, "after", now.Sub(lost))
			lost = time.Time{}
		}
		k.last = list.LastSeq
		k.tell(listed{report: list.Report})
	}
}
