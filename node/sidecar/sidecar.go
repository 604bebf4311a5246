// Package sidecar runs the agent process beside an endpoint for jobs that may be restarted
// from the beginning. It connects the endpoint, the runner and the sessions with dispatchers.
package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/cputime"
	"github.com/corianderhook/corianderhook/common/instance"
	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/connection/remoteclock"
	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/process/pacing"
	"github.com/corianderhook/corianderhook/process/registration"
	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/process/stall"
	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/process/zonegate"
	"github.com/corianderhook/corianderhook/sharing/startup"
	"github.com/corianderhook/corianderhook/version/config"
)

const (
	// storeRetryInterval is the time between two attempts to store an announcement.
	storeRetryInterval = time.Second
)

// ErrRejected is the error of a call to which the endpoint's process has answered that it does not
// carry it out.
var ErrRejected = errors.New("the endpoint rejects the call")

// Endpoint calls the endpoint beside the sidecar. Each call has a timeout of its own.
type Endpoint interface {
	// Start sends a start order, which extends the lease up to the given time; the text is the
	// reason if it has not been accepted.
	Start(ctx context.Context, at Target, o runner.Order, leaseEnd time.Time) (runner.Result, string)
	// Stop sends a stop order; true means that the endpoint has accepted it.
	Stop(ctx context.Context, at Target, run runner.RunName) bool
	// List extends the lease up to the given time unless that is zero, acknowledges the ended
	// runs with numbers up to last, and returns the current and the ended runs. It waits up to
	// the given time for another run to end.
	List(ctx context.Context, at Target, last uint64, wait time.Duration, leaseEnd time.Time) (ListResult, error)
}

// AnnouncementStore stores the last announcement of the endpoint for later sidecars.
type AnnouncementStore interface {
	// Remember stores an announcement in place of the previous one.
	Remember(ctx context.Context, a registration.Announcement) error
	// Restore returns the stored announcement, if there is one.
	Restore(ctx context.Context) (a registration.Announcement, found bool, err error)
}

// Target identifies the endpoint instance that an order is meant for and, by the fence, the
// sidecar that sends it.
type Target struct {
	// Instance is empty while it is not known.
	Instance string
	// Fence makes the endpoint reject orders of earlier sidecars, which have a lower fence.
	Fence uint64
	// Clock converts the ends of leases to the endpoint's clock and learns from the answers.
	Clock *remoteclock.Clock
}

// ListResult is the endpoint's answer to List.
type ListResult struct {
	runner.Report
	// Born is the start time of the endpoint's incarnation.
	Born time.Time
	// LastSeq is the number of the last ended run in the list, or the one of the request if
	// the list has none.
	LastSeq uint64
	// Fenced means that the endpoint knows a higher fence and has ignored the request.
	Fenced bool
}

// Dependencies holds the identity, the settings and the services of a sidecar.
type Dependencies struct {
	Name string
	Zone string
	// Dispatchers holds addresses of some dispatchers; they may be out of date.
	Dispatchers []string
	// Sessions is the maximum number of dispatchers with which sessions are held.
	Sessions          int
	Metrics           *metrics.Metrics
	Endpoint          Endpoint
	AnnouncementStore AnnouncementStore
	Evacuations       EvacuationReader
	// EvacuationTime is the time within which an evacuation must be in force.
	EvacuationTime time.Duration
	// Sharing switches the parts that dispatchers and sidecars share.
	Sharing config.Sharing
	Clock   clockwork.Clock
	System  *actor.ActorSystem
}

// Sidecar is a sidecar process. It is safe for concurrent use.
type Sidecar struct {
	deps        Dependencies
	incarnation uint64
	startedAt   time.Time
	startup     *startup.Timeline
	metrics     *metrics.Metrics
	runner      *actor.PID
	// gate holds the evacuated zones.
	gate   *zonegate.Gate
	stalls *stall.Monitor
	usage  usage.Meter
	// usageReporter is used by the ticker only.
	usageReporter *usage.Reporter
	ticker        *ticker
	sessions      *sessionPool
	keeper        *leaseKeeper
	// announcements holds the newest announcement that is to be stored.
	announcements chan registration.Announcement
	// taskCount is the number of tasks that wait or may run.
	taskCount atomic.Int64
	// runsInDoubt is the number of runs of which an order has not been answered,
	// lastListStamp the time of the last list as a stamp.
	runsInDoubt   atomic.Int64
	lastListStamp atomic.Uint64
	// slowedPairs is the number of pairs of queues that slow each other down.
	slowedPairs atomic.Int64
	// slownessPercent is the slowness of the endpoint in the last capacity report; 0 if it is not
	// slow.
	slownessPercent atomic.Uint32
}

// New returns a sidecar that has not started; Run starts it.
func New(deps Dependencies) *Sidecar {
	s := &Sidecar{
		deps:          deps,
		incarnation:   instance.Hash(deps.Name, deps.Clock.Now()),
		startedAt:     deps.Clock.Now(),
		startup:       startup.New(deps.Clock.Now()),
		metrics:       deps.Metrics,
		gate:          zonegate.New(),
		stalls:        stall.New(pacing.IdleInterval),
		announcements: make(chan registration.Announcement, 1),
	}
	zonegate.RegisterMetrics(s.metrics, s.gate, deps.Clock)
	s.metrics.RegisterGauge("corianderhook_tasks_held", "Tasks that wait or may run at the endpoint.", func() float64 { return float64(s.taskCount.Load()) })
	s.metrics.RegisterGauge("corianderhook_fence", "Fence of the orders to the endpoint.", func() float64 { return float64(s.keeper.fence.Load()) })
	s.metrics.RegisterGauge("corianderhook_runs_in_doubt", "Runs whose order to start or stop has had no answer.", func() float64 { return float64(s.runsInDoubt.Load()) })
	s.metrics.RegisterGauge("corianderhook_endpoint_word_age_seconds", "Time since the endpoint last listed what it runs.", func() float64 {
		return deps.Clock.Since(s.stampTime(max(1, s.lastListStamp.Load()))).Seconds()
	})
	s.metrics.RegisterGauge("corianderhook_endpoint_slowness", "Run times at the endpoint relative to the expected ones, 0 if it is not slow.", func() float64 { return float64(s.slownessPercent.Load()) / 100 })
	s.metrics.RegisterGauge("corianderhook_slowed_queues", "Pairs of a queue and another that slows it at the endpoint.", func() float64 { return float64(s.slowedPairs.Load()) })
	s.metrics.RegisterUsage(&s.usage, cputime.Used)
	s.usageReporter = usage.NewReporter(&s.usage, s.startedAt, cputime.Used())
	s.ticker = newTicker(deps.Clock)
	s.sessions = newSessionPool(s)
	s.keeper = newLeaseKeeper(s)
	s.runner = deps.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newRunnerActor(s) }))
	return s
}

// Metrics returns the metrics of this process.
func (s *Sidecar) Metrics() *metrics.Metrics { return s.metrics }

// Learn adds addresses of dispatchers.
func (s *Sidecar) Learn(addresses []string) { s.sessions.learn(learnedList{addresses: addresses}) }

// DispatchersStarted adds addresses that dispatchers have written to the store at their start.
// Those without a session are tried at once.
func (s *Sidecar) DispatchersStarted(addresses []string) {
	s.sessions.learn(learnedList{addresses: addresses, announced: true})
}

// Announce handles an announcement of the endpoint.
func (s *Sidecar) Announce(a registration.Announcement) {
	s.deps.System.Root.Send(s.runner, announcementReceived{announcement: a})
}

// EndpointLeft handles the message of an endpoint instance that it has left for good.
func (s *Sidecar) EndpointLeft(instance string) {
	s.deps.System.Root.Send(s.runner, endpointLeft{instance: instance})
}

// Run takes the endpoint over and holds sessions with dispatchers until the context ends.
func (s *Sidecar) Run(ctx context.Context) {
	s.Learn(s.deps.Dispatchers)
	klog.InfoS("CH1101 sidecar started", "agent", s.deps.Name, "zone", s.deps.Zone, "incarnation", s.incarnation)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.keeper.run(ctx) })
	group.Go(func() { s.restoreAnnouncement(ctx) })
	group.Go(func() { s.storeAnnouncements(ctx) })
	group.Go(func() { s.watchEvacuations(ctx) })
	group.Go(func() {
		s.awaitEndpointEmpty(ctx)
		s.sessions.run(ctx)
	})
	s.ticker.run(ctx, func() {
		s.noteTick()
		s.deps.System.Root.Send(s.runner, tick{})
	})
}

// noteTick records that the process runs, and logs for how long it did not and, every
// usage.ReportInterval, what it has done.
func (s *Sidecar) noteTick() {
	now := s.deps.Clock.Now()
	if d := s.stalls.Tick(now); d > 0 {
		klog.InfoS("CH1108 process stood still", "agent", s.deps.Name, "for", d, "tasks", s.taskCount.Load())
		s.metrics.CountStall(d)
	}
	if s.usageReporter.Due(now) {
		r := s.usageReporter.Next(now, cputime.Used())
		klog.InfoS("CH1109 work of the sidecar", append([]any{"agent", s.deps.Name}, r.Details()...)...)
	}
}

// restoreAnnouncement reads the announcement that an earlier sidecar has stored. It tries again while
// the store does not answer and the endpoint has not announced itself.
func (s *Sidecar) restoreAnnouncement(ctx context.Context) {
	backoff := minReadBackoff
	for ctx.Err() == nil && !s.startup.Reached(startup.Announced) {
		a, found, err := s.deps.AnnouncementStore.Restore(ctx)
		if err == nil {
			if found {
				s.deps.System.Root.Send(s.runner, announcementRestored{announcement: a})
			}
			return
		}
		klog.InfoS("CH1104 stored announcement cannot be read", "agent", s.deps.Name, "error", err)
		pause.For(ctx, s.deps.Clock, time.Duration((0.75+rand.Float64()/2)*float64(backoff)))
		backoff = min(2*backoff, maxReadBackoff)
	}
}

// storeAnnouncement has an announcement stored in place of the previous one.
func (s *Sidecar) storeAnnouncement(a registration.Announcement) {
	// Only the newest one counts.
	select {
	case <-s.announcements:
	default:
	}
	s.announcements <- a
}

// storeAnnouncements stores the newest announcement until the context ends, and tries again
// until it succeeds: a later sidecar must not start tasks by a capacity that has shrunk since.
func (s *Sidecar) storeAnnouncements(ctx context.Context) {
	for {
		var a registration.Announcement
		select {
		case <-ctx.Done():
			return
		case a = <-s.announcements:
		}
		for {
			err := s.deps.AnnouncementStore.Remember(ctx, a)
			if err == nil || ctx.Err() != nil {
				break
			}
			klog.InfoS("CH1105 announcement cannot be stored", "agent", s.deps.Name, "instance", a.Instance, "error", err)
			pause.For(ctx, s.deps.Clock, storeRetryInterval)
			select {
			case a = <-s.announcements:
			default:
			}
		}
	}
}

// awaitEndpointEmpty returns when no run of an earlier sidecar can exist at the endpoint: after
// the takeover, or when every lease from before this process has lapsed and nothing listens at
// the endpoint. At an endpoint that only does not answer, an order of the earlier sidecar may
// still be carried out. Sessions must not be opened earlier, because dispatchers take the first
// frame of a new sidecar as proof that the tasks sent to the earlier one have ended.
func (s *Sidecar) awaitEndpointEmpty(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.keeper.endpointEmpty:
	}
}

// Drain stops accepting tasks and returns when none is left or the context ends.
func (s *Sidecar) Drain(ctx context.Context) {
	klog.InfoS("CH1102 sidecar draining", "agent", s.deps.Name, "tasks", s.taskCount.Load())
	done := make(chan struct{})
	s.deps.System.Root.Send(s.runner, drain{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	for ctx.Err() == nil && s.taskCount.Load() > 0 {
		pause.For(ctx, s.deps.Clock, pacing.MinInterval)
	}
	// Leave time to send the last events to the dispatchers.
	pause.For(ctx, s.deps.Clock, 2*pacing.MinInterval)
	klog.InfoS("CH1103 sidecar stopped", "agent", s.deps.Name, "tasks", s.taskCount.Load())
}

// stamp returns the monotonic time since the start of this process, plus one, in
// microseconds; 0 is no stamp.
func (s *Sidecar) stamp() uint64 { return uint64(s.deps.Clock.Since(s.startedAt).Microseconds()) + 1 }

// stampTime returns the time of a stamp.
func (s *Sidecar) stampTime(us uint64) time.Time {
	return s.startedAt.Add(time.Duration(us-1) * time.Microsecond)
}
