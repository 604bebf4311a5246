// Package agent implements the agent process, which runs beside an endpoint: it announces the
// endpoint to the entries, pulls tasks and runs them. It connects process/executor and
// process/queue, which make the decisions, to the network and the clock.
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
	"github.com/corianderhook/corianderhook/connection/doorway"
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
	// tickInterval is the time between two ticks of the executor, which also report a changed
	// number of free task slots.
	tickInterval = 20 * time.Millisecond
	// minFullReportInterval is the least time between two immediate reports that all task
	// slots are taken, or no longer are.
	minFullReportInterval = 2 * time.Millisecond
	// expireInterval is the time between two removals of expired task records.
	expireInterval     = time.Second
	adminHeaderTimeout = 5 * time.Second
	// adminIdleTimeout applies to an unused connection, adminHeaderBytes to the headers.
	adminIdleTimeout = 2 * time.Minute
	adminHeaderBytes = 16 << 10
	// refusalDelay is how long a task that the endpoint did not start keeps its task slot, so
	// that an endpoint which refuses tasks quickly does not attract more of them.
	refusalDelay = 250 * time.Millisecond
	// finalSendTime is how long a drained agent keeps its sessions open to send its last
	// frames.
	finalSendTime = 200 * time.Millisecond
)

// Dependencies are the settings and services that an agent is created with.
type Dependencies struct {
	Config *config.Config
	// Files are the local files that Config was merged from. Published files are merged
	// with them.
	Files  []config.File
	Clock  clockwork.Clock
	System *actor.ActorSystem
	// Security secures listeners and connections.
	Security security.Security
	// Gate may be nil.
	Gate Gate
}

// Gate lets the experiment tool delay messages to and from the agent.
type Gate interface {
	// Pass blocks while the gate is closed.
	Pass()
}

// Agent is an agent process.
type Agent struct {
	deps     Dependencies
	id       string
	endpoint *endpoint.Client
	metrics  *metrics.Metrics
	executor *actor.PID
	// cancelTasks cancels the requests to the endpoint.
	cancelTasks context.CancelFunc
	sessions    *sessions
	// load is the current load, which pings carry.
	load   atomic.Pointer[wire.Load]
	config atomic.Pointer[config.Config]
	// configVersion is the version of the published files in force.
	configVersion atomic.Uint64
	// configMu serializes applyConfig.
	configMu sync.Mutex
	// idle is true while the executor needs ticks only for expiry. wake is signaled when
	// idle becomes false.
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
	a.sessions = newSessions(a)
	var taskCtx context.Context
	taskCtx, a.cancelTasks = context.WithCancel(context.Background())
	// The actor exists before Run, so that Status works at any time.
	a.executor = deps.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newExecutorActor(taskCtx, a) }))
	return a
}

// Instance returns the instance name of this process: name#incarnation.
func (a *Agent) Instance() string { return a.id }

// Run serves until the context ends, or Drain or Kill stops the agent.
func (a *Agent) Run(ctx context.Context, admin net.Listener) error {
	ctx, cancel := a.stopper.Context(ctx)
	defer a.stopper.MarkStopped()
	defer a.cancelTasks()
	defer cancel()
	defer a.deps.System.Root.Stop(a.executor)
	door := doorway.New("administration", doorway.Allot(a.deps.Config).Probes(), a.deps.Clock, a.metrics, doorway.WithEncryption(a.deps.Security.Encrypted()))
	go door.Run(ctx)
	server := &http.Server{
		Handler: door.Handler(a.adminHandler()), ConnContext: doorway.ConnContext,
		ReadHeaderTimeout: adminHeaderTimeout, IdleTimeout: adminIdleTimeout, MaxHeaderBytes: adminHeaderBytes,
	}
	defer server.Close()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(a.deps.Security.WrapListener(door.Guard(admin))) }()
	go a.runTicker(ctx)
	a.sessions.connectConfigured(ctx, a.deps.Config.Agent().Entries)
	klog.InfoS("CH0011 agent started", "agent", a.id, "endpoint", a.deps.Config.Agent().Endpoint, "admin", admin.Addr())
	select {
	case <-ctx.Done():
		a.sessions.wait()
		return nil
	case err := <-failed:
		return errors.Wrap(err, "agent")
	}
}

// DrainRequested is closed when an operator asks the agent to drain.
func (a *Agent) DrainRequested() <-chan struct{} { return a.stopper.StopRequested() }

// Kill ends the agent at once, as a failure of its VM would.
func (a *Agent) Kill() { a.stopper.StopAndWait() }

// Drain stops accepting tasks, waits for the running ones, and stops the agent. If the
// context ends first, the agent stops at once.
func (a *Agent) Drain(ctx context.Context) error {
	klog.InfoS("CH0012 agent draining", "agent", a.id)
	a.deps.System.Root.Send(a.executor, drain{})
	for {
		running, err := a.runningTasks(ctx)
		if err != nil {
			a.Kill()
			return errors.Wrap(err, "drain did not complete")
		}
		if running == 0 {
			break
		}
		pause.For(ctx, a.deps.Clock, tickInterval)
	}
	pause.For(ctx, a.deps.Clock, finalSendTime)
	a.Kill()
	klog.InfoS("CH0013 agent stopped", "agent", a.id)
	return nil
}

func (a *Agent) runningTasks(ctx context.Context) (int, error) {
	s, err := a.Status(ctx)
	return s.Running, err
}

// Status is the state of an agent as its administration interface shows it.
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
	// Config is the number of published configuration changes in force.
	Config  uint64   `json:"config"`
	Entries []string `json:"entries"`
}

// Status returns the state of the agent.
func (a *Agent) Status(ctx context.Context) (Status, error) {
	s := Status{
		Agent:    a.id,
		Zone:     a.deps.Config.Process().Zone,
		Endpoint: a.deps.Config.Agent().Endpoint,
		Slots:    a.deps.Config.Agent().Slots,
		Entries:  a.sessions.connected(),
		Config:   a.configVersion.Load(),
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
	requireRole := guard.New(func() *access.Access { return a.config.Load().Access() }).RequireRole
	mux.HandleFunc("GET /metrics", requireRole(access.Read, a.metrics.Handler().ServeHTTP))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if len(a.sessions.connected()) == 0 {
			http.Error(w, "no entry is connected", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /v1/drain", requireRole(access.Operate, func(w http.ResponseWriter, r *http.Request) {
		klog.InfoS("CH0602 drain requested by an operator", "process", a.id, "operator", guard.Operator(r.Context()), "from", r.RemoteAddr)
		a.stopper.RequestStop()
		w.WriteHeader(http.StatusAccepted)
	}))
	mux.HandleFunc("GET /v1/status", requireRole(access.Read, func(w http.ResponseWriter, r *http.Request) {
		s, err := a.Status(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has gone.
		_ = json.NewEncoder(w).Encode(s)
	}))
	return mux
}

func (a *Agent) runTicker(ctx context.Context) {
	ticker := a.deps.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	expire := a.deps.Clock.NewTicker(expireInterval)
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

// runTask sends a task to the endpoint and reports its end to the actor.
func (a *Agent) runTask(ctx context.Context, t *wire.TaskStart) {
	name := t.GetJob() + "/" + strconv.FormatUint(uint64(t.GetIndex()), 10)
	record := a.endpoint.Do(ctx, name, t)
	if ctx.Err() != nil {
		return
	}
	if record.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
		pause.For(ctx, a.deps.Clock, refusalDelay)
	}
	a.deps.System.Root.Send(a.executor, taskFinished{task: t, record: record})
}

// applyConfig puts published files into force if they are newer.
func (a *Agent) applyConfig(newer *wire.ConfigVersion) {
	a.configMu.Lock()
	defer a.configMu.Unlock()
	if newer.GetVersion() <= a.configVersion.Load() {
		return
	}
	files := slices.Clone(a.deps.Files)
	for _, f := range newer.GetFiles() {
		files = append(files, config.File{Name: f.GetName(), Text: f.GetText()})
	}
	merged, err := config.Merge(files)
	if err != nil {
		klog.ErrorS(err, "CH0502 published configuration cannot be merged with the local files", "agent", a.id, "version", newer.GetVersion())
		return
	}
	a.config.Store(merged)
	a.configVersion.Store(newer.GetVersion())
	a.metrics.SetConfigVersion(newer.GetVersion())
	klog.InfoS("CH0501 configuration in force", "agent", a.id, "version", newer.GetVersion())
	a.deps.System.Root.Send(a.executor, configChanged{})
}

// evacuated reports whether the agent's availability zone is evacuated.
func (a *Agent) evacuated() bool {
	return a.config.Load().Evacuated(a.deps.Config.Process().Zone)
}

// KindWeight returns the weight of a kind in the configuration in force.
func (a *Agent) KindWeight(kind string) float64 { return a.config.Load().KindWeight(kind) }

// TeamWeight returns the weight of a team in the configuration in force.
func (a *Agent) TeamWeight(team string) float64 { return a.config.Load().TeamWeight(team) }

// recordRetention returns how long an agent keeps task records that no owner tells it to
// forget: longer than the longest job plus the retention of its answer.
func recordRetention(c *config.Config) time.Duration {
	return c.Retention() + submission.MaxDeadline
}
