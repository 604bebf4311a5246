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
	"github.com/corianderhook/corianderhook/connection/remoteclock"
	"github.com/corianderhook/corianderhook/process/lease"
	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/sharing/startup"
)

const (
	// idlePollTime is how long a poll waits for the end of a run while no task is held. A
	// poll also renews the lease, so this is well under half of the lease duration.
	idlePollTime = 180 * time.Millisecond
	// busyPollTime is how long a poll waits while tasks are held. Under load a run ends
	// about every 20 ms. The ends in a lost answer are reported again to the next poll.
	busyPollTime = 40 * time.Millisecond
	// maxMissedPolls is the number of consecutive polls without an answer after which the
	// endpoint counts as unavailable. At times a few answers in a hundred are lost.
	maxMissedPolls = 3
	// renewalGrace is how long the lease of an unavailable endpoint is still renewed, as the
	// endpoint may only be slow. It is not renewed once a connection has broken.
	renewalGrace = 400 * time.Millisecond
	// maxStopOrders is the number of stop orders for a run after which the runner decides again,
	// maxPendingStopOrders that of the orders without an answer at a time.
	maxStopOrders        = 8
	maxPendingStopOrders = 4
	// maxStoppedAtOnce is the number of runs that are being stopped at a time. Each takes requests to
	// the endpoint, some 50 KiB.
	maxStoppedAtOnce = 256
	// listRetryInterval is the time between polls of an endpoint that does not answer.
	listRetryInterval = 40 * time.Millisecond
	// initialFenceStep is added to the fence when the endpoint rejects it as too low. The
	// step doubles each time, as the time of day, from which a sidecar takes its first fence,
	// may have jumped back by any amount.
	initialFenceStep = uint64(time.Hour / time.Microsecond)
)

// Reasons why a start order is not sent.
const (
	takingOverReason   = "the endpoint is being taken over"
	leaseLimitedReason = "the lease is limited, or too long for a dispatcher that has been silent"
	unconfirmedReason  = "the connection to the endpoint has broken"
)

// leaseKeeper takes the endpoint over, then polls it: it renews the lease and reads which
// runs have ended.
type leaseKeeper struct {
	sidecar *Sidecar
	// fence is the fence of the last takeover.
	fence    atomic.Uint64
	instance atomic.Pointer[string]
	// epoch is the current epoch, nil while the endpoint is being taken over.
	epoch atomic.Pointer[epoch]
	// announcedBorn holds the start time of the incarnation that was announced last.
	announcedBorn chan time.Time
	// takeoverRequested is signaled when the takeover has to be repeated.
	takeoverRequested chan struct{}
	// endpointEmpty is closed once no run of an earlier sidecar can exist at the endpoint.
	endpointEmpty     chan struct{}
	endpointEmptyOnce sync.Once
	lastSeq           uint64
	// stops has an entry for each run that is being stopped.
	stops chan struct{}
}

func newLeaseKeeper(s *Sidecar) *leaseKeeper {
	k := &leaseKeeper{sidecar: s, announcedBorn: make(chan time.Time, 1), takeoverRequested: make(chan struct{}, 1), endpointEmpty: make(chan struct{}), stops: make(chan struct{}, maxStoppedAtOnce)}
	k.fence.Store(uint64(s.deps.Clock.Now().UnixMicro()))
	none := ""
	k.instance.Store(&none)
	return k
}

// target returns the target of the calls of an epoch.
func (k *leaseKeeper) target(e *epoch) Target {
	return Target{Instance: *k.instance.Load(), Fence: e.fence, Clock: e.clock}
}

// setIncarnation sets the incarnation that orders are meant for. The takeover is skipped if it
// was done before the instance was known: a second one would stop the tasks started since.
func (k *leaseKeeper) setIncarnation(instance string, born time.Time) {
	k.instance.Store(&instance)
	select {
	case <-k.announcedBorn:
	default:
	}
	k.announcedBorn <- born
}

// requestTakeover requests another takeover of the endpoint.
func (k *leaseKeeper) requestTakeover() {
	select {
	case k.takeoverRequested <- struct{}{}:
	default:
	}
}

// pollTime returns how long the next poll may wait for the end of a run.
func (k *leaseKeeper) pollTime() time.Duration {
	if k.sidecar.taskCount.Load() > 0 {
		return busyPollTime
	}
	return idlePollTime
}

// start sends a start order that was decided in an epoch at the given time, unless the zone has
// been evacuated since. The takeover that ends the epoch ends the run. The end of the lease is
// counted from the decision, so that the endpoint refuses the order if this process stands still
// before it is sent. Nothing starts under a lease that may already go beyond endBy, by which the
// run has to end if its dispatcher is not heard of again.
func (k *leaseKeeper) start(e *epoch, o runner.Order, decidedAt, endBy time.Time) (runner.Result, string) {
	if k.sidecar.evacuated() {
		return runner.Refused, evacuatedReason
	}
	if e == nil || e != k.epoch.Load() || e.clock.Restarted() {
		return runner.Doubtful, takingOverReason
	}
	if e.unconfirmed.Load() {
		return runner.Refused, unconfirmedReason
	}
	leaseEnd := e.lease.Extend(decidedAt)
	if leaseEnd.Before(decidedAt.Add(lease.Duration)) || e.lease.End().After(endBy) {
		return runner.Refused, leaseLimitedReason
	}
	return k.sidecar.deps.Endpoint.Start(e.orders, k.target(e), o, leaseEnd)
}

// stop has a task's run stopped and notifies the runner of the result.
func (k *leaseKeeper) stop(name string, run runner.RunName) {
	k.stops <- struct{}{}
	defer func() { <-k.stops }()
	k.notifyRunner(stopResult{name: name, acknowledged: k.sendStopOrders(run)})
}

// sendStopOrders sends stop orders for a run until one is acknowledged or all have failed. It
// does not wait for an answer before it sends the next order, since orders without an answer take
// a third of a lease to time out on a slow endpoint.
func (k *leaseKeeper) sendStopOrders(run runner.RunName) bool {
	clock := k.sidecar.deps.Clock
	e := k.epoch.Load()
	if e == nil {
		// The takeover stops all runs itself.
		pause.For(context.Background(), clock, stopRetryInterval)
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := make(chan bool, maxStopOrders)
	timer := clock.NewTimer(0)
	defer timer.Stop()
	for sent, failed := 0, 0; failed < maxStopOrders; {
		select {
		case <-timer.Chan():
			if sent < maxStopOrders && sent-failed < maxPendingStopOrders {
				sent++
				go func() { answers <- k.sidecar.deps.Endpoint.Stop(ctx, k.target(e), run) }()
			}
			timer.Reset(stopRetryInterval)
		case acknowledged := <-answers:
			if acknowledged {
				return true
			}
			failed++
		}
	}
	return false
}

// stopStray sends one stop order for a run that the runner does not know. Each list that shows
// the run has it sent again.
func (k *leaseKeeper) stopStray(run runner.RunName) {
	if e := k.epoch.Load(); e != nil {
		k.sidecar.deps.Endpoint.Stop(context.Background(), k.target(e), run)
	}
}

func (k *leaseKeeper) notifyRunner(m any) { k.sidecar.deps.System.Root.Send(k.sidecar.runner, m) }

// run takes the endpoint over and polls it, repeatedly until the context ends.
func (k *leaseKeeper) run(ctx context.Context) {
	var brokenAt time.Time
	for ctx.Err() == nil {
		if e := k.takeOver(ctx); e != nil {
			k.epoch.Store(e)
			k.noteEmpty()
			k.sidecar.reachStep(startup.EndpointTaken)
			k.notifyRunner(endpointTakenOver{epoch: e, brokenAt: brokenAt, reason: "the endpoint was taken over anew"})
			brokenAt = k.pollEndpoint(ctx, e)
			k.epoch.Store(nil)
			e.stop()
		}
	}
}

// noteEmpty notes that no run of an earlier sidecar can exist.
func (k *leaseKeeper) noteEmpty() { k.endpointEmptyOnce.Do(func() { close(k.endpointEmpty) }) }

// takeOver raises the fence and stops all runs until the endpoint is empty. From then on no
// run of an earlier epoch or sidecar exists, and a delayed order cannot start one. The lease is
// not extended, so that it ends the runs whose stop orders get no answer. It returns nil if the
// context ends.
func (k *leaseKeeper) takeOver(ctx context.Context) *epoch {
	// The endpoint rejects delayed orders that have the previous fence.
	e := newEpoch(k.fence.Add(1))
	k.lastSeq = 0
	step := initialFenceStep
	for ctx.Err() == nil {
		// The endpoint may restart at any time, so that only the last answer tells the clock of
		// the incarnation that is taken over.
		e.clock = &remoteclock.Clock{}
		list, err := k.sidecar.deps.Endpoint.List(ctx, k.target(e), k.lastSeq, 0, time.Time{})
		switch {
		case err != nil:
			if errors.Is(err, syscall.ECONNREFUSED) && k.sidecar.deps.Clock.Since(k.sidecar.startedAt) > lease.MaxLapseTime() {
				k.noteEmpty()
			}
			pause.For(ctx, k.sidecar.deps.Clock, listRetryInterval)
		case list.Fenced:
			e.fence = k.fence.Add(step)
			klog.InfoS("CH1131 fence raised", "agent", k.sidecar.deps.Name, "fence", e.fence)
			step *= 2
		case !e.born.IsZero() && !list.Born.Equal(e.born):
			// The next incarnation numbers its ends anew.
			k.lastSeq, e.born = 0, list.Born
		case len(list.Running) > 0:
			k.lastSeq = list.LastSeq
			e.born = list.Born
			klog.InfoS("CH1132 endpoint still runs earlier tasks", "agent", k.sidecar.deps.Name, "tasks", len(list.Running))
			for _, run := range list.Running {
				go k.sidecar.deps.Endpoint.Stop(ctx, k.target(e), run)
			}
			pause.For(ctx, k.sidecar.deps.Clock, listRetryInterval)
		default:
			k.lastSeq = list.LastSeq
			e.born = list.Born
			// Calls of an earlier epoch may have reached this incarnation before the fence, with the
			// end of a lease by the clock of the previous one.
			e.lease = lease.New(k.sidecar.deps.Clock.Now().Add(lease.MaxDuration))
			klog.InfoS("CH1133 endpoint taken over", "agent", k.sidecar.deps.Name, "instance", k.target(e).Instance, "born", e.born, "fence", e.fence)
			return e
		}
	}
	e.stop()
	return nil
}

// pollEndpoint renews the lease and reports the ended runs to the runner, until the endpoint
// has to be taken over again. It returns since when the connection has been broken, or zero.
func (k *leaseKeeper) pollEndpoint(ctx context.Context, e *epoch) time.Time {
	var o outage
	for ctx.Err() == nil {
		select {
		case born := <-k.announcedBorn:
			if !born.Equal(e.born) {
				k.notifyRunner(endpointUnavailable{reason: "the endpoint has begun a new life"})
				return o.brokenSince
			}
		case <-k.takeoverRequested:
			k.notifyRunner(endpointUnavailable{reason: "the endpoint is taken over anew after an unexpected error"})
			return o.brokenSince
		default:
		}
		if e.clock.Restarted() {
			klog.InfoS("CH1137 endpoint's clock has started anew", "agent", k.sidecar.deps.Name, "born", e.born)
			k.notifyRunner(endpointUnavailable{reason: "the endpoint has restarted"})
			return o.brokenSince
		}
		var leaseEnd time.Time
		wait := k.pollTime()
		switch {
		case e.unconfirmed.Load():
			// The end of a lease must not reach an incarnation with another clock.
			if o.missed == 1 {
				wait = 0
			}
		case o.lostSince.IsZero() || k.sidecar.deps.Clock.Since(o.lostSince) <= renewalGrace:
			leaseEnd = e.lease.Extend(k.sidecar.deps.Clock.Now())
		}
		list, err := k.sidecar.deps.Endpoint.List(ctx, k.target(e), k.lastSeq, wait, leaseEnd)
		now := k.sidecar.deps.Clock.Now()
		switch {
		case err != nil:
			k.handleNoAnswer(e, &o, err, now)
			if !o.lostSince.IsZero() {
				pause.For(ctx, k.sidecar.deps.Clock, listRetryInterval)
			}
			continue
		case list.Fenced || !list.Born.Equal(e.born):
			klog.InfoS("CH1135 endpoint has restarted or another sidecar has taken it over", "agent", k.sidecar.deps.Name, "born", list.Born, "fenced", list.Fenced)
			k.notifyRunner(endpointUnavailable{reason: "the endpoint is being taken over"})
			return o.brokenSince
		}
		if !o.lostSince.IsZero() {
			klog.InfoS("CH1136 endpoint answers again", "agent", k.sidecar.deps.Name, "after", now.Sub(o.lostSince))
		}
		o = outage{}
		e.unconfirmed.Store(false)
		k.lastSeq = list.LastSeq
		k.notifyRunner(listReceived{report: list.Report})
	}
	return o.brokenSince
}

// outage is what is known of an endpoint that does not answer.
type outage struct {
	// missed is the number of consecutive polls without an answer.
	missed int
	// brokenSince is when a connection first broke, lostSince when the endpoint was taken for
	// unavailable.
	brokenSince, lostSince time.Time
}

// handleNoAnswer notifies the runner of what follows from a poll without an answer.
func (k *leaseKeeper) handleNoAnswer(e *epoch, o *outage, err error, now time.Time) {
	o.missed++
	if !errors.Is(err, context.DeadlineExceeded) {
		e.unconfirmed.Store(e.unconfirmed.Load() || !errors.Is(err, ErrRejected))
		if o.brokenSince.IsZero() {
			o.brokenSince = now
		}
	}
	if o.missed < maxMissedPolls {
		return
	}
	if o.lostSince.IsZero() {
		o.lostSince = now
		klog.InfoS("CH1134 endpoint does not answer", "agent", k.sidecar.deps.Name, "error", err)
		k.notifyRunner(endpointUnavailable{reason: "the endpoint does not answer"})
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		// The process has gone, or a firewall refuses for it. Its runs end with the lease either way.
		k.notifyRunner(endpointGone{born: e.born, at: o.brokenSince})
	}
}
