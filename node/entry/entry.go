// Package entry is the entry process: it takes callers' jobs, owns slots, and
// hands tasks to agents. This package wires; the decisions are elsewhere.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/instance"
	"github.com/corianderhook/corianderhook/common/stopper"
	"github.com/corianderhook/corianderhook/connection/contact"
	"github.com/corianderhook/corianderhook/connection/guard"
	"github.com/corianderhook/corianderhook/connection/logclient"
	"github.com/corianderhook/corianderhook/connection/peer"
	"github.com/corianderhook/corianderhook/connection/security"
	"github.com/corianderhook/corianderhook/process/audit"
	"github.com/corianderhook/corianderhook/process/dispatch"
	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/process/router"
	"github.com/corianderhook/corianderhook/request/gateway"
	"github.com/corianderhook/corianderhook/version/access"
	"github.com/corianderhook/corianderhook/version/config"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/version/publication"
	"github.com/corianderhook/corianderhook/wire"
)

// Log is the platform's log as an entry uses it.
type Log interface {
	Append(ctx context.Context, stream string, record []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (logclient.Batch, error)
}

// Dependencies are what an entry works with.
type Dependencies struct {
	Config *config.Config
	Log    Log
	Clock  clockwork.Clock
	System *actor.ActorSystem
	// Security secures listeners and connections.
	Security security.Security
	// Seed breaks ties and spreads Retry-After.
	Seed uint64
	// Files are the files that Config was merged from; published ones join them.
	Files []config.File
	// Dispatch changes how the dispatcher decides, for baselines of experiments.
	DispatchOptions []dispatch.Option
	// Gate, where set, may hold messages back; see Gate.
	Gate Gate
}

// Gate lets the experiment tool hold this entry's agent messages in and out.
type Gate interface {
	// Pass returns at once, or when the gate opens.
	Pass()
}

// Entry is one entry process.
type Entry struct {
	deps    Dependencies
	self    ownership.Entry
	started time.Time
	metrics *metrics.Metrics
	trail   *audit.Trail
	peers   *peer.Peers
	router  *router.Router
	config  atomic.Pointer[config.Config]
	// published is the configuration from the log that is in force here.
	published atomic.Pointer[publication.State]
	adoptMu   sync.Mutex
	adopted   *publication.Publication
	// verdicts are for operators who wait for what became of their change.
	verdicts map[string]chan publication.ApplyResult
	guard    *guard.Guard
	table    atomic.Pointer[ownership.State]
	owner    *actor.PID
	sessions *sessions
	draining atomic.Bool
	// idle tells that the dispatcher needs no ticks.
	idle    atomic.Bool
	grpc    *grpc.Server
	callers *http.Server
	admin   *http.Server
	stopper *stopper.Stopper
}

// New returns an entry that has not started.
func New(deps Dependencies) *Entry {
	c := deps.Config
	id := instance.New(c.Process().Name, deps.Clock.Now())
	address := c.Entry().Advertise
	if address == "" {
		address = c.Entry().Listen
	}
	e := &Entry{
		deps:     deps,
		started:  deps.Clock.Now(),
		metrics:  metrics.New(),
		trail:    audit.New(deps.Log, deps.Clock),
		sessions: newSessions(),
		stopper:  stopper.New(),
		self: ownership.Entry{
			Instance: id.String(),
			Name:     id.Name(),
			Address:  address,
			Zone:     c.Process().Zone,
			Cell:     c.Process().Cell,
		},
	}
	e.config.Store(c)
	e.verdicts = map[string]chan publication.ApplyResult{}
	e.guard = guard.New(func() *access.Access { return e.config.Load().Access() })
	e.adopted = publication.New()
	none := e.adopted.State()
	e.published.Store(&none)
	empty := ownership.New().Snapshot()
	e.table.Store(&empty)
	var pass func()
	if deps.Gate != nil {
		pass = deps.Gate.Pass
	}
	e.peers = peer.New(peer.Settings{
		DelayMessage:   pass,
		Self:           e.self.Instance,
		Clock:          deps.Clock,
		Started:        e.started,
		SilenceTimeout: c.SilenceTimeout(),
		Credentials:    deps.Security.ClientCredentials(),
		Config:         e,
	})
	e.router = router.New(router.Dependencies{
		Self:  e.self.Instance,
		Table: e,
		Peers: e.peers,
		Local: e,
		Clock: deps.Clock,
	})
	// The actor is there from the start, so that status can be asked for at any time.
	e.owner = deps.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newOwnerActor(e) }))
	return e
}

// Instance returns name#incarnation of this run.
func (e *Entry) Instance() string { return e.self.Instance }

// Metrics returns the metrics of this entry.
func (e *Entry) Metrics() *metrics.Metrics { return e.metrics }

// Owner returns who owns a slot as this entry knows it.
func (e *Entry) Owner(slot uint32) (string, uint64) {
	s := e.table.Load().Slots[slot]
	return s.Owner, s.Epoch
}

// Caller checks that a caller may act for a team, by the configuration in force.
func (e *Entry) AuthorizeCaller(team, token string) error {
	return e.config.Load().Access().AuthorizeCaller(team, token)
}

// Listeners are the open sockets of an entry.
type Listeners struct {
	Processes net.Listener
	Callers   net.Listener
	Admin     net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(c *config.Config) (Listeners, error) {
	var l Listeners
	var err error
	if l.Processes, err = net.Listen("tcp", c.Entry().Listen); err != nil {
		return l, errors.Wrap(err, "setting [entry] listen")
	}
	if l.Callers, err = net.Listen("tcp", c.Entry().Callers); err != nil {
		return l, errors.Wrap(err, "setting [entry] callers")
	}
	if l.Admin, err = net.Listen("tcp", c.Entry().Admin); err != nil {
		return l, errors.Wrap(err, "setting [entry] admin")
	}
	return l, nil
}

// Run serves until the context ends or Drain has finished.
func (e *Entry) Run(ctx context.Context, l Listeners) error {
	ctx, cancel := e.stopper.Context(ctx)
	defer e.stopper.MarkStopped()
	defer cancel()
	defer e.deps.System.Root.Stop(e.owner)
	e.grpc = grpc.NewServer(
		grpc.Creds(e.deps.Security.ServerCredentials()),
		grpc.InitialWindowSize(peer.WindowBytes),
		grpc.InitialConnWindowSize(peer.WindowBytes),
		grpc.MaxRecvMsgSize(peer.MaxMessageBytes),
		grpc.MaxSendMsgSize(peer.MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: e.deps.Config.SilenceTimeout(), Timeout: e.deps.Config.SilenceTimeout()}),
	)
	wire.RegisterEntryServer(e.grpc, &service{entry: e})
	e.callers = gateway.New(e.router, e, e.deps.Clock).Server()
	e.admin = &http.Server{Handler: e.adminHandler(), ReadHeaderTimeout: adminHeaderTime}
	failed := make(chan error, 3)
	go func() { failed <- e.grpc.Serve(l.Processes) }()
	go func() { failed <- e.callers.Serve(e.deps.Security.WrapListener(l.Callers)) }()
	go func() { failed <- e.admin.Serve(e.deps.Security.WrapListener(l.Admin)) }()
	go e.trail.Run(ctx)
	go e.followConfig(ctx)
	go e.follow(ctx)
	go e.steer(ctx)
	go e.tick(ctx)
	klog.InfoS("CH0001 entry started", "entry", e.self.Instance, "processes", e.self.Address,
		"callers", l.Callers.Addr(), "admin", l.Admin.Addr())
	defer e.close()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		if e.draining.Load() {
			<-ctx.Done()
			return nil
		}
		return errors.Wrap(err, "entry")
	}
}

func (e *Entry) close() {
	e.callers.Close()
	e.admin.Close()
	e.grpc.Stop()
}

// DrainAsked is closed when an operator asks the entry to drain.
func (e *Entry) DrainRequested() <-chan struct{} { return e.stopper.StopRequested() }

// Kill ends the entry at once, as a failure of its VM would.
func (e *Entry) Kill() { e.stopper.StopAndWait() }

// Drain hands every slot over, lets requests in progress end, and stops. It
// gives up at the end of the context.
func (e *Entry) Drain(ctx context.Context) error {
	klog.InfoS("CH0002 entry drains", "entry", e.self.Instance)
	e.draining.Store(true)
	e.audit("drain", e.self.Instance, "serving", "draining", nil)
	e.peers.SetDraining()
	e.callers.SetKeepAlivesEnabled(false)
	err := e.waitHandedOver(ctx)
	if err == nil {
		err = e.callers.Shutdown(ctx)
	}
	if err == nil {
		err = e.appendRecord(ctx, ownership.Record{Leave: e.self.Instance})
	}
	e.stopper.StopAndWait()
	if err != nil {
		return errors.Wrap(err, "the planned stop was cut short")
	}
	klog.InfoS("CH0003 entry stopped", "entry", e.self.Instance)
	return nil
}

func (e *Entry) waitHandedOver(ctx context.Context) error {
	for {
		if !e.ownsAny() || e.alone() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "slots are still here")
		case <-e.deps.Clock.After(steerEvery):
		}
	}
}

func (e *Entry) ownsAny() bool {
	for _, s := range e.table.Load().Slots {
		if s.Owner == e.self.Instance {
			return true
		}
	}
	return false
}

// alone reports whether no other entry could take the slots.
func (e *Entry) alone() bool {
	now := e.deps.Clock.Now()
	for _, p := range e.peers.Contacts() {
		if !p.Draining && now.Sub(p.LastHeard) <= contact.SuspicionTimeout {
			return false
		}
	}
	return true
}

func (e *Entry) tick(ctx context.Context) {
	fast := e.deps.Clock.NewTicker(tickEvery)
	defer fast.Stop()
	slow := e.deps.Clock.NewTicker(slowTickEvery)
	defer slow.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-fast.Chan():
			if !e.idle.Load() {
				e.deps.System.Root.Send(e.owner, tick{})
			}
		case <-slow.Chan():
			e.deps.System.Root.Send(e.owner, tick{})
			e.deps.System.Root.Send(e.owner, slowTick{})
		}
	}
}
