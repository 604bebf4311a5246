// Package dispatcher runs the entry process for jobs that may be restarted from the
// beginning. It connects the callers, the scheduler and the sessions of sidecars.
package dispatcher

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/cputime"
	"github.com/corianderhook/corianderhook/common/instance"
	"github.com/corianderhook/corianderhook/process/cancellation"
	"github.com/corianderhook/corianderhook/process/cpupressure"
	"github.com/corianderhook/corianderhook/process/crash"
	"github.com/corianderhook/corianderhook/process/inquiry"
	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/process/scheduler"
	"github.com/corianderhook/corianderhook/process/stall"
	"github.com/corianderhook/corianderhook/process/transfer"
	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/process/zonegate"
	"github.com/corianderhook/corianderhook/sharing/startup"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/version/config"
	"github.com/corianderhook/corianderhook/version/evacuation"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// maxReportsPerSecond is the rate of plain capacity reports, those not sent with events
	// or heartbeats, that a dispatcher asks for from all sidecars together. Each takes some
	// 30 us, which makes 2 % of a core.
	maxReportsPerSecond = 700
	// minReportInterval and maxReportInterval limit the time between two plain capacity
	// reports of a sidecar; the heartbeats, every 150 ms, carry one too. The interval is
	// rounded to reportIntervalStep so that it does not change with each session.
	minReportInterval  = 10 * time.Millisecond
	maxReportInterval  = 100 * time.Millisecond
	reportIntervalStep = 5 * time.Millisecond
	// Runs are numbered by the time of day: each runTimeSlice has runsPerTimeSlice numbers.
	// That suffices because a job is resubmitted after 1.3 s at the earliest and runs at
	// most a few times.
	runTimeSlice     = 500 * time.Millisecond
	runsPerTimeSlice = 8
	// runTimeSlices is the number of time slices after which run numbers repeat: a year,
	// which keeps run numbers within 31 bits.
	runTimeSlices = 1 << 26
)

// Dependencies holds the identity, the addresses and the services of a dispatcher.
type Dependencies struct {
	Name string
	Zone string
	// Address is the address at which sidecars and other dispatchers reach this one.
	Address string
	// Peers holds addresses of some other dispatchers; they may be out of date.
	Peers  []string
	Clock  clockwork.Clock
	System *actor.ActorSystem
	// Decode parses a configuration received from another dispatcher.
	Decode  func(text []byte) (*catalog.Catalog, error)
	Metrics *metrics.Metrics
	// Sharing switches the parts that dispatchers and sidecars share.
	Sharing config.Sharing
}

// Dispatcher is a dispatcher process. It is safe for concurrent use.
type Dispatcher struct {
	deps        Dependencies
	incarnation uint64
	startup     *startup.Timeline
	createdAt   time.Time
	// configured is closed once a configuration is known.
	configured chan struct{}
	metrics    *metrics.Metrics
	scheduler  *actor.PID
	catalog    atomic.Pointer[catalog.Catalog]
	// gate holds the evacuated zones.
	gate *zonegate.Gate
	// crashes holds the recent crashes of endpoints.
	crashes *crash.Log
	// cancellations holds the recently canceled jobs that were not held where they were
	// canceled.
	cancellations *cancellation.Log
	// inquiries holds the jobs that other dispatchers may ask about.
	inquiries *inquiry.Log
	inquirer  *inquirer
	// holders is nil if registrars are not asked.
	holders  *holders
	peers    *peers
	pressure cpupressure.Monitor
	stalls   *stall.Monitor
	usage    usage.Meter
	// usageReporter is used by the ticker only.
	usageReporter *usage.Reporter
	draining      atomic.Bool
	// jobCount is the number of running and parked jobs; parked jobs wait for endpoints.
	jobCount atomic.Int64
	// stopsAt is the time at which a planned stop ends; nil if none has begun.
	stopsAt    atomic.Pointer[time.Time]
	agentCount atomic.Int64
	// quarantines holds the queues confined to a part of the endpoints.
	quarantines atomic.Pointer[[]*wire.Quarantine]
	// keptApart is the number of pairs of queues that are kept apart.
	keptApart atomic.Int64
	// longestSilence is the longest time, in nanoseconds, since any agent was last heard;
	// adoptedAt is when the configuration in force was adopted, or initially the start time.
	longestSilence atomic.Int64
	adoptedAt      atomic.Pointer[time.Time]
	// tickedAt is when the scheduler actor last handled a tick, or initially the start time.
	tickedAt atomic.Pointer[time.Time]
	// tickWait is how long that tick had waited, in nanoseconds.
	tickWait atomic.Int64
	// storeAnsweredAt is when the platform's store last answered, storeProgressAt when a
	// further chunk of a long answer last arrived from it.
	storeAnsweredAt atomic.Pointer[time.Time]
	storeProgressAt atomic.Pointer[time.Time]
}

// New returns a dispatcher that has not started; Run starts it.
func New(deps Dependencies) *Dispatcher {
	d := &Dispatcher{
		deps:          deps,
		incarnation:   instance.Hash(deps.Address, deps.Clock.Now()),
		startup:       startup.New(deps.Clock.Now()),
		createdAt:     deps.Clock.Now(),
		configured:    make(chan struct{}),
		metrics:       deps.Metrics,
		gate:          zonegate.New(),
		crashes:       crash.NewLog(),
		cancellations: cancellation.New(),
		stalls:        stall.New(scheduler.TickInterval),
	}
	d.inquiries = inquiry.New(d.incarnation, runner.OrphanTime())
	d.inquirer = newInquirer(d)
	if deps.Sharing.Holders {
		d.holders = newHolders(d)
	}
	d.metrics.RegisterGauge("corianderhook_jobs_under_way", "Jobs that have been taken and not answered.", func() float64 { return float64(d.jobCount.Load()) })
	d.metrics.RegisterGauge("corianderhook_agents_attached", "Agents with a session.", func() float64 { return float64(d.agentCount.Load()) })
	d.quarantines.Store(&[]*wire.Quarantine{})
	d.metrics.RegisterGauge("corianderhook_quarantined_queues", "Queues confined to some of the endpoints, as their tasks crash endpoints.", func() float64 { return float64(len(*d.quarantines.Load())) })
	d.metrics.RegisterGauge("corianderhook_queues_kept_apart", "Pairs of queues kept apart, as one slows the other.", func() float64 { return float64(d.keptApart.Load()) })
	d.metrics.RegisterGauge("corianderhook_agent_word_age_seconds", "Age of the oldest last word of an agent that takes tasks.", func() float64 {
		return time.Duration(d.longestSilence.Load()).Seconds()
	})
	d.metrics.RegisterGauge("corianderhook_config_age_seconds", "Time since the configuration in force was adopted.", func() float64 {
		return deps.Clock.Since(*d.adoptedAt.Load()).Seconds()
	})
	d.metrics.RegisterGauge("corianderhook_scheduler_lag_seconds", "Time since the sending of the last tick that the scheduler has handled.", func() float64 {
		return (deps.Clock.Since(*d.tickedAt.Load()) + time.Duration(d.tickWait.Load())).Seconds()
	})
	d.metrics.RegisterGauge("corianderhook_dispatchers_known", "Dispatchers that are known by address, this one included.", func() float64 {
		return float64(len(d.peers.addresses()))
	})
	zonegate.RegisterMetrics(d.metrics, d.gate, deps.Clock)
	d.metrics.RegisterUsage(&d.usage, cputime.Used)
	now := deps.Clock.Now()
	d.usageReporter = usage.NewReporter(&d.usage, now, cputime.Used())
	d.adoptedAt.Store(&now)
	d.tickedAt.Store(&now)
	d.storeAnsweredAt.Store(&time.Time{})
	d.storeProgressAt.Store(&time.Time{})
	d.peers = newPeers(d)
	d.scheduler = deps.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newSchedulerActor(d) }))
	return d
}

// Metrics returns the metrics of this process.
func (d *Dispatcher) Metrics() *metrics.Metrics { return d.metrics }

// Catalog returns the configuration in force, or nil.
func (d *Dispatcher) Catalog() *catalog.Catalog { return d.catalog.Load() }

// Ready reports whether callers should be routed here, and the reason if not.
func (d *Dispatcher) Ready() (bool, string) {
	switch {
	case d.draining.Load():
		return false, "draining"
	case d.catalog.Load() == nil:
		return false, "no configuration is known"
	}
	return true, ""
}

// Adopt puts a configuration into force if it is newer than the current one, and
// announces its version to other dispatchers.
func (d *Dispatcher) Adopt(c *catalog.Catalog, source string) {
	for {
		old := d.catalog.Load()
		if old != nil && c.Version() <= old.Version() {
			return
		}
		if d.catalog.CompareAndSwap(old, c) {
			if old == nil {
				close(d.configured)
			}
			break
		}
	}
	d.metrics.SetConfigVersion(c.Version())
	now := d.deps.Clock.Now()
	d.adoptedAt.Store(&now)
	klog.InfoS("CH1001 configuration in force", "entry", d.deps.Name, "version", c.Version(), "queues", c.QueueCount(), "source", source)
	d.reachStep(startup.Configured)
	d.peers.announceVersion(c.Version())
}

// ObserveEvacuation puts a set of evacuated zones into force if it is newer than the current
// one, and passes a change on to sidecars and other dispatchers. ConfirmedAt is when the set
// was known to be the newest; the zero time means that it is not known.
func (d *Dispatcher) ObserveEvacuation(s evacuation.State, confirmedAt time.Time, source string) {
	if !d.gate.Observe(s, confirmedAt) {
		return
	}
	inForce := d.gate.State()
	klog.InfoS("CH1010 evacuated zones changed", "entry", d.deps.Name, "zones", inForce.Zones(), "version", inForce.Version(), "source", source)
	d.deps.System.Root.Send(d.scheduler, evacuationChanged{})
	d.peers.announceEvacuation()
}

// Evacuation returns the evacuated zones in force.
func (d *Dispatcher) Evacuation() evacuation.State { return d.gate.State() }

// RecordStoreAnswer records that the platform's store has just answered.
func (d *Dispatcher) RecordStoreAnswer() {
	now := d.deps.Clock.Now()
	d.storeAnsweredAt.Store(&now)
	d.reachStep(startup.StoreAnswered)
}

// RecordStoreProgress records that a further chunk of a long answer has just arrived from
// the platform's store.
func (d *Dispatcher) RecordStoreProgress() {
	now := d.deps.Clock.Now()
	d.storeProgressAt.Store(&now)
}

// storeActivity returns when the store last answered and when a further chunk of a long
// answer last arrived from it.
func (d *Dispatcher) storeActivity() transfer.StoreActivity {
	return transfer.StoreActivity{LastAnswer: *d.storeAnsweredAt.Load(), LastProgress: *d.storeProgressAt.Load()}
}

// Learn adds addresses of other dispatchers.
func (d *Dispatcher) Learn(addresses []string) { d.peers.learn(addresses) }

// Run serves sidecars and other dispatchers until the context ends.
func (d *Dispatcher) Run(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(serverOptions(d.metrics)...)
	wire.RegisterDispatcherServer(server, &service{dispatcher: d, cache: configCache{readers: map[string]time.Time{}}})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	defer server.Stop()
	go d.runTicker(ctx)
	go d.peers.run(ctx)
	if d.holders != nil {
		go d.holders.run(ctx)
	}
	defer d.peers.close()
	defer d.inquirer.close()
	d.peers.learn(d.deps.Peers)
	klog.InfoS("CH1002 dispatcher started", "entry", d.deps.Name, "incarnation", d.incarnation, "address", d.deps.Address, "zone", d.deps.Zone)
	d.reachStep(startup.Listening)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return errors.Wrap(err, "dispatcher")
	}
}

// runTicker sends ticks to the scheduler actor. While the scheduler handles none, it keeps the
// sessions open, which have no echoes then.
func (d *Dispatcher) runTicker(ctx context.Context) {
	ticker := d.deps.Clock.NewTicker(scheduler.TickInterval)
	defer ticker.Stop()
	now := d.deps.Clock.Now()
	d.tickedAt.Store(&now)
	keptOpenAt := now
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			now := d.deps.Clock.Now()
			d.noteTick(now)
			if now.Sub(*d.tickedAt.Load()) > maxTickGap && now.Sub(keptOpenAt) > maxTickGap {
				keptOpenAt = now
				d.peers.sendToSidecars(&wire.DispatcherFrame{})
			}
			d.peers.closeSilentSessions(now)
			d.deps.System.Root.Send(d.scheduler, tick{sentAt: now})
		}
	}
}

// noteTick records that the process runs, and logs for how long it did not and, every
// usage.ReportInterval, what it has done.
func (d *Dispatcher) noteTick(now time.Time) {
	if s := d.stalls.Tick(now); s > 0 {
		klog.InfoS("CH1029 process stood still", "entry", d.deps.Name, "for", s, "jobs", d.jobCount.Load())
		d.metrics.CountStall(s)
	}
	if d.usageReporter.Due(now) {
		r := d.usageReporter.Next(now, cputime.Used())
		klog.InfoS("CH1046 work of the dispatcher", append([]any{"entry", d.deps.Name}, r.Details()...)...)
	}
}

// CountWork counts work of this process that is not done by the dispatcher itself.
func (d *Dispatcher) CountWork(k usage.Kind) { d.usage.Add(k, 1) }

// RecentStall returns the length of a stall of this process in which what is read now may have
// arrived, or 0.
func (d *Dispatcher) RecentStall() time.Duration { return d.stalls.Recent(d.deps.Clock.Now()) }

// JobState returns whether a job is known here, whether a task of it has started, and
// whether it has recently been completed here.
func (d *Dispatcher) JobState(ctx context.Context, id string) (known, started, completed bool) {
	d.runOnScheduler(ctx, func(s *scheduler.Scheduler) {
		known, started = s.JobState(id)
		completed = s.RecentlyCompleted(id)
	})
	return known, started, completed
}

// UnstartedJobs returns the number of a queue's jobs of which no task has started.
func (d *Dispatcher) UnstartedJobs(ctx context.Context, queue string) int {
	count := 0
	d.runOnScheduler(ctx, func(s *scheduler.Scheduler) { count = s.UnstartedJobs(queue) })
	return count
}

// UsableEndpoints returns the number of endpoints of a service that can be given tasks.
func (d *Dispatcher) UsableEndpoints(ctx context.Context, service string) int {
	count := 0
	d.runOnScheduler(ctx, func(s *scheduler.Scheduler) { count = s.Fleet().CountUsable(service, d.deps.Clock.Now()) })
	return count
}

// runOnScheduler runs a function on the scheduler, within the actor, and waits until it has
// returned or the context ends.
func (d *Dispatcher) runOnScheduler(ctx context.Context, run func(s *scheduler.Scheduler)) {
	done := make(chan struct{})
	d.deps.System.Root.Send(d.scheduler, schedulerCall{run: run, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// DrainUntil begins a planned stop: the dispatcher is no longer ready, new jobs that cannot
// end by the given time are refused, and the running and parked jobs are aborted at that time.
// The time is one of the clock in Dependencies.
func (d *Dispatcher) DrainUntil(at time.Time) {
	d.draining.Store(true)
	d.stopsAt.Store(&at)
	d.deps.System.Root.Send(d.scheduler, drainUntil{at: at})
	klog.InfoS("CH1004 dispatcher draining", "entry", d.deps.Name, "jobs", d.jobCount.Load(), "within", at.Sub(d.deps.Clock.Now()))
}

// JobCount returns the number of running and parked jobs.
func (d *Dispatcher) JobCount() int { return int(d.jobCount.Load()) }

// LogStopped logs the end of a planned stop.
func (d *Dispatcher) LogStopped() {
	klog.InfoS("CH1005 dispatcher stopped", "entry", d.deps.Name, "jobs", d.jobCount.Load())
}

// reportInterval returns the time that a sidecar should leave between two plain capacity
// reports. It grows with the number of sidecars, so that their reports together stay near
// maxReportsPerSecond, within the limits of the interval.
func (d *Dispatcher) reportInterval() time.Duration {
	interval := time.Duration(d.agentCount.Load()) * time.Second / maxReportsPerSecond
	return min(max(interval, minReportInterval), maxReportInterval).Truncate(reportIntervalStep)
}

// firstRun returns the number of the first run of a job submitted now.
func (d *Dispatcher) firstRun() uint64 {
	timeSlice := d.deps.Clock.Now().UnixMilli() / runTimeSlice.Milliseconds()
	return uint64(timeSlice%runTimeSlices) * runsPerTimeSlice
}
