// Package dispatcher is the entry process for jobs that may run again from the
// start: it wires callers, the scheduler's decisions and the sessions of sidecars.
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

	"github.com/corianderhook/corianderhook/common/instance"
	"github.com/corianderhook/corianderhook/common/suspension"
	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/process/pressure"
	"github.com/corianderhook/corianderhook/process/scheduler"
	"github.com/corianderhook/corianderhook/process/transfer"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// stoodStill is the suspension after which agents have stopped this process's
	// tasks, or may have.
	stoodStill = 100 * time.Millisecond
	// busyRetry is when a caller should come back to an entry under pressure.
	busyRetry = time.Second
	// roomReports is how many reports of room without another cause a dispatcher takes
	// in a second: some 30 us each, 2 % of a core.
	roomReports = 700
	// leastRoomEvery and mostRoomEvery bound the time between two reports of a sidecar:
	// a heartbeat, which carries one, comes every 150 ms. RoomStep keeps the time from
	// changing with each session.
	leastRoomEvery = 10 * time.Millisecond
	mostRoomEvery  = 100 * time.Millisecond
	roomStep       = 5 * time.Millisecond
	// runsPerSlice and runSlice number runs by the time of day: a job comes again
	// after 1.3 s at the earliest, and runs at most a few times.
	runSlice     = 500 * time.Millisecond
	runsPerSlice = 8
	// runSlices is after how many slices numbers repeat: a year, which keeps runs
	// within 31 bits.
	runSlices = 1 << 26
)

// Dependencies are what a dispatcher works with.
type Dependencies struct {
	Name string
	Zone string
	// Address is where sidecars and other dispatchers reach this one.
	Address string
	// Peers are addresses of some other dispatchers; they may be out of date.
	Peers  []string
	Clock  clockwork.Clock
	System *actor.ActorSystem
	// Decode reads a catalog that another dispatcher has passed on.
	Decode  func(text []byte) (*catalog.Catalog, error)
	Metrics *metrics.Metrics
}

// Dispatcher is one dispatcher process.
type Dispatcher struct {
	deps        Dependencies
	incarnation uint64
	metrics     *metrics.Metrics
	scheduler   *actor.PID
	catalog     atomic.Pointer[catalog.Catalog]
	peers       *peers
	pressure    pressure.Monitor
	draining    atomic.Bool
	// jobs is the number of jobs under way.
	jobs atomic.Int64
	// stopsAt is when a planned stop ends.
	stopsAt atomic.Pointer[time.Time]
	agents  atomic.Int64
	// oldest is the age of the oldest last word of an agent in nanoseconds, adopted the
	// steady time at which the configuration in force was, or of the start.
	oldest  atomic.Int64
	adopted atomic.Pointer[time.Time]
	// storeAnswered and storeDelivers are the steady times of the store's last answer
	// and of the last piece of a configuration from it.
	storeAnswered atomic.Pointer[time.Time]
	storeDelivers atomic.Pointer[time.Time]
}

// New returns a dispatcher that has not started.
func New(deps Dependencies) *Dispatcher {
	d := &Dispatcher{
		deps:        deps,
		incarnation: instance.Hash(deps.Address, deps.Clock.Now()),
		metrics:     deps.Metrics,
	}
	d.metrics.RegisterGauge("corianderhook_jobs_under_way", "Jobs that have been taken and not answered.", func() float64 { return float64(d.jobs.Load()) })
	d.metrics.RegisterGauge("corianderhook_agents_attached", "Agents with a session.", func() float64 { return float64(d.agents.Load()) })
	d.metrics.RegisterGauge("corianderhook_agent_word_age_seconds", "Age of the oldest last word of an agent that takes tasks.", func() float64 {
		return time.Duration(d.oldest.Load()).Seconds()
	})
	d.metrics.RegisterGauge("corianderhook_config_age_seconds", "Time since the configuration in force was adopted.", func() float64 {
		return deps.Clock.Since(*d.adopted.Load()).Seconds()
	})
	d.metrics.RegisterGauge("corianderhook_dispatchers_known", "Dispatchers that are known by address, this one included.", func() float64 {
		return float64(len(d.peers.addresses()))
	})
	now := deps.Clock.Now()
	d.adopted.Store(&now)
	d.storeAnswered.Store(&time.Time{})
	d.storeDelivers.Store(&time.Time{})
	d.peers = newPeers(d)
	d.scheduler = deps.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newSchedulerActor(d) }))
	return d
}

// Metrics returns the metrics of this process.
func (d *Dispatcher) Metrics() *metrics.Metrics { return d.metrics }

// Catalog returns the configuration in force, or nil.
func (d *Dispatcher) Catalog() *catalog.Catalog { return d.catalog.Load() }

// Ready reports whether callers should be sent here, and if not why.
func (d *Dispatcher) Ready() (bool, string) {
	switch {
	case d.draining.Load():
		return false, "draining"
	case d.catalog.Load() == nil:
		return false, "no configuration is known"
	}
	return true, ""
}

// Adopt puts a configuration into force where it is newer, and passes it on.
func (d *Dispatcher) Adopt(c *catalog.Catalog, source string) {
	for {
		old := d.catalog.Load()
		if old != nil && c.Version() <= old.Version() {
			return
		}
		if d.catalog.CompareAndSwap(old, c) {
			break
		}
	}
	d.metrics.SetConfigVersion(c.Version())
	now := d.deps.Clock.Now()
	d.adopted.Store(&now)
	klog.InfoS("CH1001 configuration in force", "entry", d.deps.Name, "version", c.Version(), "queues", c.QueueCount(), "source", source)
	d.peers.adopted(c.Version())
}

// StoreAnswered notes that the platform's store answers.
func (d *Dispatcher) RecordStoreAnswer() {
	now := d.deps.Clock.Now()
	d.storeAnswered.Store(&now)
}

// StoreDelivers notes that the text of a configuration arrives from the store.
func (d *Dispatcher) RecordStoreText() {
	now := d.deps.Clock.Now()
	d.storeDelivers.Store(&now)
}

// store is when the store was last heard.
func (d *Dispatcher) store() transfer.StoreActivity {
	return transfer.StoreActivity{LastAnswer: *d.storeAnswered.Load(), LastText: *d.storeDelivers.Load()}
}

// Learn adds addresses of other dispatchers.
func (d *Dispatcher) Learn(addresses []string) { d.peers.learn(addresses) }

// Run serves sidecars and other dispatchers until the context ends.
func (d *Dispatcher) Run(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(serverOptions(d.metrics)...)
	wire.RegisterDispatcherServer(server, &service{dispatcher: d, shelf: shelf{readers: map[string]time.Time{}}})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	defer server.Stop()
	go d.tick(ctx)
	go d.peers.run(ctx)
	defer d.peers.close()
	d.peers.learn(d.deps.Peers)
	klog.InfoS("CH1002 dispatcher started", "entry", d.deps.Name, "incarnation", d.incarnation, "address", d.deps.Address, "zone", d.deps.Zone)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return errors.Wrap(err, "dispatcher")
	}
}

func (d *Dispatcher) tick(ctx context.Context) {
	ticker := d.deps.Clock.NewTicker(scheduler.TickInterval)
	defer ticker.Stop()
	stood := suspension.New()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			if s := stood.SuspendedSinceLastCall(); s > stoodStill {
				klog.InfoS("CH1003 process was suspended", "entry", d.deps.Name, "for", s)
				d.deps.System.Root.Send(d.scheduler, suspended{stood: s})
			}
			d.deps.System.Root.Send(d.scheduler, tick{})
		}
	}
}

// Submit takes a job and waits for its answer. The end of the context means that
// the caller has left.
func (d *Dispatcher) Submit(ctx context.Context, work *workload.Workload, queue catalog.Queue, budget time.Duration) answer.Answer {
	began := d.deps.Clock.Now()
	if at := d.stopsAt.Load(); at != nil {
		budget = min(budget, at.Sub(began))
	}
	if refuse, standing := d.pressure.ShouldRefuse(began); refuse {
		klog.InfoS("CH1028 job refused by an entry under pressure", "job", work.ID(), "queue", queue.Name, "standing", standing)
		d.metrics.CountRefusal(queue.Name, "busy")
		return answer.New(outcome.NotRun, "busy", "this entry is short of processor time").WithRetryAfter(busyRetry)
	}
	reply := make(chan answer.Answer, 1)
	d.deps.System.Root.Send(d.scheduler, submit{sentAt: began, request: scheduler.Request{
		Work: work, Queue: queue, Budget: budget, ConfigVersion: d.Catalog().Version(),
		Reply: func(a answer.Answer) { reply <- a },
	}})
	var a answer.Answer
	select {
	case a = <-reply:
	case <-ctx.Done():
		d.deps.System.Root.Send(d.scheduler, leave{job: work.ID()})
		a = answer.New(outcome.Unknown, "canceled", "the caller has left")
	}
	d.metrics.ObserveJob(queue.Name, a.Outcome().String(), d.deps.Clock.Since(began))
	if a.Outcome() == outcome.NotRun {
		d.metrics.CountRefusal(queue.Name, a.Reason())
	}
	return a
}

// State tells of a job whether it is under way here, whether it has begun to run,
// and whether it has lately been completed.
func (d *Dispatcher) JobState(ctx context.Context, id string) (known, begun, completed bool) {
	d.inspect(ctx, func(s *scheduler.Scheduler) {
		known, begun = s.JobState(id)
		completed = s.RecentlyCompleted(id)
	})
	return known, begun, completed
}

// Pending returns how many jobs of a queue have not begun to run.
func (d *Dispatcher) UnstartedJobs(ctx context.Context, queue string) int {
	count := 0
	d.inspect(ctx, func(s *scheduler.Scheduler) { count = s.UnstartedJobs(queue) })
	return count
}

// Usable returns how many endpoints of a service can be given tasks.
func (d *Dispatcher) UsableEndpoints(ctx context.Context, service string) int {
	count := 0
	d.inspect(ctx, func(s *scheduler.Scheduler) { count = s.Fleet().CountUsable(service, d.deps.Clock.Now()) })
	return count
}

// Cancel ends a job; it reports whether the job was here.
func (d *Dispatcher) Cancel(ctx context.Context, id string) bool {
	known := false
	d.inspect(ctx, func(s *scheduler.Scheduler) { known = s.Cancel(id, "canceled by the caller") })
	return known
}

func (d *Dispatcher) inspect(ctx context.Context, run func(s *scheduler.Scheduler)) {
	done := make(chan struct{})
	d.deps.System.Root.Send(d.scheduler, inspect{run: run, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// StopBy begins a planned stop: callers should go elsewhere, no job is taken that
// cannot end by the given steady time, and those under way are given up then.
func (d *Dispatcher) DrainUntil(at time.Time) {
	d.draining.Store(true)
	d.stopsAt.Store(&at)
	d.deps.System.Root.Send(d.scheduler, stopBy{at: at})
	klog.InfoS("CH1004 dispatcher drains", "entry", d.deps.Name, "jobs", d.jobs.Load(), "within", at.Sub(d.deps.Clock.Now()))
}

// Jobs returns how many jobs are under way.
func (d *Dispatcher) JobCount() int { return int(d.jobs.Load()) }

// Stopped notes the end of a planned stop.
func (d *Dispatcher) LogStopped() {
	klog.InfoS("CH1005 dispatcher stopped", "entry", d.deps.Name, "jobs", d.jobs.Load())
}

// roomEvery is how often a sidecar should report its room: the reports of all sidecars
// together stay within a budget, whatever their number.
func (d *Dispatcher) roomEvery() time.Duration {
	every := time.Duration(d.agents.Load()) * time.Second / roomReports
	return min(max(every, leastRoomEvery), mostRoomEvery).Truncate(roomStep)
}

// firstRun numbers the first run of a job that comes now.
func (d *Dispatcher) firstRun() uint64 {
	slice := d.deps.Clock.Now().UnixMilli() / runSlice.Milliseconds()
	return uint64(slice%runSlices) * runsPerSlice
}
