// Package agent is the process beside an endpoint: it announces the endpoint to
// the entries, pulls tasks and runs them. This package wires; the decisions are
// in process/executor and process/queue.
package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/instance"
	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/common/stopper"
	"github.com/corianderhook/corianderhook/connection/endpoint"
	"github.com/corianderhook/corianderhook/connection/guard"
	"github.com/corianderhook/corianderhook/connection/security"
	"github.com/corianderhook/corianderhook/process/executor"
	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/version/access"
	"github.com/corianderhook/corianderhook/version/config"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// tickEvery is also the time between two reports of a load that changes.
	tickEvery = 20 * time.Millisecond
	// fullGap is the least time between two reports that the slots are all taken,
	// or no longer are.
	fullGap     = 2 * time.Millisecond
	expireEvery = time.Second
	adminTime   = 5 * time.Second
	// restAfterRefusal is how long an agent waits with further pulls when its
	// endpoint does not start tasks, so that it does not attract them by speed.
	restAfterRefusal = 250 * time.Millisecond
	// lastWord is how long a stopping agent stays for its last frames to go out.
	lastWord = 200 * time.Millisecond
)

// Dependencies are what an agent works with.
type Dependencies struct {
	Config *config.Config
	// Files are the files that Config was merged from; published ones join them.
	Files  []config.File
	Clock  clockwork.Clock
	System *actor.ActorSystem
	// Security secures listeners and connections.
	Security security.Security
	// Gate, where set, may hold messages back.
	Gate Gate
}

// Gate lets the experiment tool hold this agent's messages in and out.
type Gate interface {
	// Pass returns at once, or when the gate opens.
	Pass()
}

// Agent is one agent process.
type Agent struct {
	deps     Dependencies
	id       string
	endpoint *endpoint.Client
	metrics  *metrics.Metrics
	executor *actor.PID
	// cancelTasks ends the requests to the endpoint.
	cancelTasks context.CancelFunc
	links       *links
	load        atomic.Pointer[wire.Load]
	config      atomic.Pointer[config.Config]
	// published is the version of the published files in force here.
	published atomic.Uint64
	adoptMu   sync.Mutex
	// idle tells that the executor needs no ticks but for expiry; wake ends that.
	idle    atomic.Bool
	wake    chan struct{}
	stopper *stopper.Stopper
}

// New returns an agent that has not started.
func New(deps Dependencies) *Agent {
	c := deps.Config
	a := &Agent{
		deps:     deps,
		id:       instance.New(c.Process().Name, deps.Clock.Now()).String(),
		endpoint: endpoint.New(c.Agent().Endpoint, c.Agent().Connections, deps.Clock),
		metrics:  metrics.New(),
		wake:     make(chan struct{}, 1),
		stopper:  stopper.New(),
	}
	a.config.Store(c)
	a.links = newLinks(a)
	var tasks context.Context
	tasks, a.cancelTasks = context.WithCancel(context.Background())
	// The actor is there from the start, so that status can be asked for at any time.
	a.executor = deps.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newExecutorActor(tasks, a) }))
	return a
}

// Instance returns name#incarnation of this run.
func (a *Agent) Instance() string { return a.id }

// Run serves until the context ends or Drain has finished.
func (a *Agent) Run(ctx context.Context, admin net.Listener) error {
	ctx, cancel := a.stopper.Context(ctx)
	defer a.stopper.MarkStopped()
	defer a.cancelTasks()
	defer cancel()
	defer a.deps.System.Root.Stop(a.executor)
	server := &http.Server{Handler: a.adminHandler(), ReadHeaderTimeout: adminTime}
	defer server.Close()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(a.deps.Security.WrapListener(admin)) }()
	go a.tick(ctx)
	a.links.seed(ctx, a.deps.Config.Agent().Entries)
	klog.InfoS("CH0011 agent started", "agent", a.id, "endpoint", a.deps.Config.Agent().Endpoint, "admin", admin.Addr())
	select {
	case <-ctx.Done():
		a.links.wait()
		return nil
	case err := <-failed:
		return errors.Wrap(err, "agent")
	}
}

// DrainAsked is closed when an operator asks the agent to drain.
func (a *Agent) DrainRequested() <-chan struct{} { return a.stopper.StopRequested() }

// Kill ends the agent at once, as a failure of its VM would.
func (a *Agent) Kill() { a.stopper.StopAndWait() }

// Drain takes no new work, lets the tasks that run end, and stops. It gives up
// at the end of the context.
func (a *Agent) Drain(ctx context.Context) error {
	klog.InfoS("CH0012 agent drains", "agent", a.id)
	a.deps.System.Root.Send(a.executor, drain{})
	for {
		left, err := a.running(ctx)
		if err != nil {
			a.Kill()
			return errors.Wrap(err, "the planned stop was cut short")
		}
		if left == 0 {
			break
		}
		pause.For(ctx, a.deps.Clock, tickEvery)
	}
	pause.For(ctx, a.deps.Clock, lastWord)
	a.Kill()
	klog.InfoS("CH0013 agent stopped", "agent", a.id)
	return nil
}

func (a *Agent) running(ctx context.Context) (int, error) {
	s, err := a.Status(ctx)
	return s.Running, err
}

// Status is what an agent shows of itself.
type Status struct {
	Agent    string `json:"agent"`
	Zone     string `json:"zone"`
	Endpoint string `json:"endpoint"`
	Slots    int    `json:"slots"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Keys     int    `json:"keys"`
	Jobs     int    `json:"jobs"`
	Draining bool   `json:"draining"`
	// Config is the number of published changes in force.
	Config  uint64   `json:"config"`
	Entries []string `json:"entries"`
}

// Status returns what the agent shows of itself.
func (a *Agent) Status(ctx context.Context) (Status, error) {
	s := Status{
		Agent:    a.id,
		Zone:     a.deps.Config.Process().Zone,
		Endpoint: a.deps.Config.Agent().Endpoint,
		Slots:    a.deps.Config.Agent().Slots,
		Entries:  a.links.connected(),
		Config:   a.published.Load(),
	}
	done := make(chan struct{})
	a.deps.System.Root.Send(a.executor, inspect{done: done, run: func(e *executor.Executor) {
		s.Running = e.Running()
		s.Waiting = int(e.Load().GetWaiting())
		s.Draining = e.Draining()
		s.Keys, s.Jobs = e.RecordCounts()
	}})
	select {
	case <-done:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

func (a *Agent) adminHandler() http.Handler {
	mux := http.NewServeMux()
	need := guard.New(func() *access.Access { return a.config.Load().Access() }).RequireRole
	mux.HandleFunc("GET /metrics", need(access.Read, a.metrics.Handler().ServeHTTP))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if len(a.links.connected()) == 0 {
			http.Error(w, "no entry is connected", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /v1/drain", need(access.Operate, func(w http.ResponseWriter, r *http.Request) {
		klog.InfoS("CH0602 operator asks to drain", "process", a.id, "operator", guard.Operator(r.Context()), "from", r.RemoteAddr)
		a.stopper.RequestStop()
		w.WriteHeader(http.StatusAccepted)
	}))
	mux.HandleFunc("GET /v1/status", need(access.Read, func(w http.ResponseWriter, r *http.Request) {
		s, err := a.Status(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the reader is gone.
		_ = json.NewEncoder(w).Encode(s)
	}))
	return mux
}

func (a *Agent) tick(ctx context.Context) {
	ticker := a.deps.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	expire := a.deps.Clock.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		var due <-chan time.Time
		if !a.idle.Load() {
			due = ticker.Chan()
		}
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-due:
			a.deps.System.Root.Send(a.executor, tick{})
		case <-expire.Chan():
			a.deps.System.Root.Send(a.executor, tick{})
		}
	}
}

// run posts a task and brings its end back to the actor.
func (a *Agent) run(ctx context.Context, t *wire.TaskStart) {
	name := t.GetJob() + "/" + strconv.FormatUint(uint64(t.GetIndex()), 10)
	record := a.endpoint.Do(ctx, name, t)
	if ctx.Err() != nil {
		return
	}
	if record.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
		pause.For(ctx, a.deps.Clock, restAfterRefusal)
	}
	a.deps.System.Root.Send(a.executor, finished{task: t, record: record})
}

// adopt puts published files into force where they are newer.
func (a *Agent) adopt(newer *wire.ConfigVersion) {
	a.adoptMu.Lock()
	defer a.adoptMu.Unlock()
	if newer.GetVersion() <= a.published.Load() {
		return
	}
	files := slices.Clone(a.deps.Files)
	for _, f := range newer.GetFiles() {
		files = append(files, config.File{Name: f.GetName(), Text: f.GetText()})
	}
	merged, err := config.Merge(files)
	if err != nil {
		klog.ErrorS(err, "CH0502 published configuration does not fit this process's own files", "agent", a.id, "version", newer.GetVersion())
		return
	}
	a.config.Store(merged)
	a.published.Store(newer.GetVersion())
	a.metrics.SetConfigVersion(newer.GetVersion())
	klog.InfoS("CH0501 configuration in force", "agent", a.id, "version", newer.GetVersion())
}

// KindWeight returns the weight of a kind in the configuration in force.
func (a *Agent) KindWeight(kind string) float64 { return a.config.Load().KindWeight(kind) }

// TeamWeight returns the weight of a team in the configuration in force.
func (a *Agent) TeamWeight(team string) float64 { return a.config.Load().TeamWeight(team) }

// recordTime is how long an agent keeps records that no owner forgets: longer
// than any job can run and its answer is kept.
func recordTime(c *config.Config) time.Duration {
	return c.Retention() + submission.MaxDeadline
}
