// Package sidecar is the agent process beside an endpoint for jobs that may run
// again from the start: it wires the endpoint, the runner's decisions and the
// sessions with dispatchers.
package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/instance"
	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/process/registration"
	"github.com/corianderhook/corianderhook/process/runner"
)

const (
	// tickEvery is also the least time between two reports of room without a cause: a
	// few tasks start and end at an endpoint meanwhile.
	tickEvery = 10 * time.Millisecond
	// idleTick is the time between ticks while no task is held: a sixth of a heartbeat.
	idleTick = 25 * time.Millisecond
)

// Endpoint is the endpoint beside the sidecar. Its calls return within a bound of
// their own.
type Endpoint interface {
	// Start orders a run.
	Start(ctx context.Context, at Target, o runner.Order) (runner.Result, string)
	// Stop orders the end of a run; true means that the endpoint has taken the order.
	Stop(ctx context.Context, at Target, run runner.RunName) bool
	// List renews the lease, acknowledges ends up to the number last, and waits for
	// an end.
	List(ctx context.Context, at Target, last uint64, wait time.Duration) (ListResult, error)
	// Look is a List that renews nothing: the lease of an endpoint that does not answer
	// has to run out.
	ListWithoutRenewal(ctx context.Context, at Target, last uint64, wait time.Duration) (ListResult, error)
	// Reset forgets the endpoint's clock: a new life has begun.
	ResetClock()
	// LeaseEnds is the latest local time to which a lease was asked for.
	LeaseExpiry() time.Time
}

// Memory keeps what the endpoint last said of itself beyond the life of a sidecar.
type Memory interface {
	Remember(ctx context.Context, a registration.Announcement) error
	Restore(ctx context.Context) (a registration.Announcement, found bool, err error)
}

// Life is whom orders are meant for and who gives them.
type Target struct {
	// Instance is empty where it is not known.
	Instance string
	// Fence keeps orders of an earlier sidecar out; a later one has a higher fence.
	Fence uint64
}

// List is an endpoint's answer.
type ListResult struct {
	runner.Report
	// Born is the start of the endpoint's life.
	Born time.Time
	// Last is the number of the last end in the list, or the one asked with.
	LastSeq uint64
	// Fenced: the endpoint knows a higher fence and has done nothing.
	Fenced bool
}

// Dependencies are what a sidecar works with.
type Dependencies struct {
	Name string
	Zone string
	// Dispatchers are addresses of some dispatchers; they may be out of date.
	Dispatchers []string
	// Sessions is how many dispatchers a session is held with at the most.
	Sessions int
	Metrics  *metrics.Metrics
	Endpoint Endpoint
	Memory   Memory
	Clock    clockwork.Clock
	System   *actor.ActorSystem
}

// Sidecar is one sidecar process.
type Sidecar struct {
	deps        Dependencies
	incarnation uint64
	began       time.Time
	metrics     *metrics.Metrics
	runner      *actor.PID
	links       *links
	keeper      *keeper
	// tasks is the number of tasks that wait or may run.
	tasks atomic.Int64
	// doubts is the number of runs in doubt, listedAt the stamp of the last list.
	doubts   atomic.Int64
	listedAt atomic.Uint64
}

// New returns a sidecar that has not started.
func New(deps Dependencies) *Sidecar {
	s := &Sidecar{
		deps:        deps,
		incarnation: instance.Hash(deps.Name, deps.Clock.Now()),
		began:       deps.Clock.Now(),
		metrics:     deps.Metrics,
	}
	s.metrics.RegisterGauge("corianderhook_tasks_held", "Tasks that wait or may run at the endpoint.", func() float64 { return float64(s.tasks.Load()) })
	s.metrics.RegisterGauge("corianderhook_fence", "Fence of the orders to the endpoint.", func() float64 { return float64(s.keeper.fence.Load()) })
	s.metrics.RegisterGauge("corianderhook_runs_in_doubt", "Runs whose order to start or stop has had no answer.", func() float64 { return float64(s.doubts.Load()) })
	s.metrics.RegisterGauge("corianderhook_endpoint_word_age_seconds", "Time since the endpoint last listed what it runs.", func() float64 {
		return deps.Clock.Since(s.stamped(max(1, s.listedAt.Load()))).Seconds()
	})
	s.links = newLinks(s)
	s.keeper = newKeeper(s)
	s.runner = deps.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newRunnerActor(s) }))
	return s
}

// Metrics returns the metrics of this process.
func (s *Sidecar) Metrics() *metrics.Metrics { return s.metrics }

// Learn adds addresses of dispatchers.
func (s *Sidecar) Learn(addresses []string) { s.links.learn(addresses) }

// Announce takes what the endpoint says of itself.
func (s *Sidecar) Announce(a registration.Announcement) {
	s.deps.System.Root.Send(s.runner, announced{announcement: a})
}

// Leave takes the endpoint's word that it is gone.
func (s *Sidecar) EndpointLeft(instance string) {
	s.deps.System.Root.Send(s.runner, left{instance: instance})
}

// Run works until the context ends.
func (s *Sidecar) Run(ctx context.Context) {
	s.links.learn(s.deps.Dispatchers)
	klog.InfoS("CH1101 sidecar started", "agent", s.deps.Name, "zone", s.deps.Zone, "incarnation", s.incarnation)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.keeper.run(ctx) })
	group.Go(func() { s.recall(ctx) })
	group.Go(func() {
		s.awaitEmpty(ctx)
		s.links.run(ctx)
	})
	for pause.For(ctx, s.deps.Clock, s.nextTick()) {
		s.deps.System.Root.Send(s.runner, tick{})
	}
}

func (s *Sidecar) nextTick() time.Duration {
	if s.tasks.Load() > 0 {
		return tickEvery
	}
	return idleTick
}

// recall brings back what the endpoint said to an earlier sidecar, if the store answers.
func (s *Sidecar) recall(ctx context.Context) {
	a, found, err := s.deps.Memory.Restore(ctx)
	switch {
	case err != nil:
		klog.InfoS("CH1104 earlier announcement cannot be read", "agent", s.deps.Name, "error", err)
	case found:
		s.deps.System.Root.Send(s.runner, recalled{announcement: a})
	}
}

// remember writes what the endpoint says. A failure costs the next sidecar the wait for
// an announcement.
func (s *Sidecar) remember(a registration.Announcement) {
	if err := s.deps.Memory.Remember(context.Background(), a); err != nil {
		klog.InfoS("CH1105 announcement cannot be written", "agent", s.deps.Name, "instance", a.Instance, "error", err)
	}
}

// awaitEmpty returns when nothing of an earlier sidecar can run at the endpoint: it
// was taken over, or every lease from before this process has run out. Dispatchers
// take a new sidecar's first words as the end of what they gave to the earlier one.
func (s *Sidecar) awaitEmpty(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.keeper.taken:
	case <-s.deps.Clock.After(runner.LeaseLapseTime()):
	}
}

// Drain takes no new tasks and returns when none is left or the context ends.
func (s *Sidecar) Drain(ctx context.Context) {
	klog.InfoS("CH1102 sidecar drains", "agent", s.deps.Name, "tasks", s.tasks.Load())
	done := make(chan struct{})
	s.deps.System.Root.Send(s.runner, drain{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	for ctx.Err() == nil && s.tasks.Load() > 0 {
		pause.For(ctx, s.deps.Clock, tickEvery)
	}
	// The last ends go out to the dispatchers.
	pause.For(ctx, s.deps.Clock, 2*tickEvery)
	klog.InfoS("CH1103 sidecar stopped", "agent", s.deps.Name, "tasks", s.tasks.Load())
}

// stamp is the steady time of this process in microseconds.
func (s *Sidecar) stamp() uint64 { return uint64(s.deps.Clock.Since(s.began).Microseconds()) + 1 }

// stamped is the time at which a stamp was made.
func (s *Sidecar) stamped(us uint64) time.Time {
	return s.began.Add(time.Duration(us-1) * time.Microsecond)
}
