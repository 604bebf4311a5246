// Package entry implements the entry process: it accepts jobs from callers, owns a share of
// the ownership slots, and hands out tasks to agents. It connects the packages that make the
// decisions, such as process/owner and process/membership, to the network, the log and the
// clock.
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
	"github.com/corianderhook/corianderhook/connection/doorway"
	"github.com/corianderhook/corianderhook/connection/guard"
	"github.com/corianderhook/corianderhook/connection/logclient"
	"github.com/corianderhook/corianderhook/connection/peer"
	"github.com/corianderhook/corianderhook/connection/peerstate"
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

// Log is the part of the platform's log that an entry uses.
type Log interface {
	Append(ctx context.Context, stream string, record []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (logclient.Batch, error)
}

// Dependencies are the settings and services that an entry is created with.
type Dependencies struct {
	Config *config.Config
	Log    Log
	Clock  clockwork.Clock
	System *actor.ActorSystem
	// Security secures listeners and connections.
	Security security.Security
	// Seed seeds the order of agents with equal free capacity and the jitter of
	// Retry-After.
	Seed uint64
	// Files are the local files that Config was merged from. Published files are merged
	// with them.
	Files []config.File
	// DispatchOptions change the decisions of process/dispatch, for the baselines of
	// experiments.
	DispatchOptions []dispatch.Option
	// Gate may be nil.
	Gate Gate
}

// Gate lets the experiment tool delay messages to and from the entry.
type Gate interface {
	// Pass blocks while the gate is closed.
	Pass()
}

// Entry is an entry process.
type Entry struct {
	deps       Dependencies
	self       ownership.Entry
	started    time.Time
	metrics    *metrics.Metrics
	auditTrail *audit.Trail
	peers      *peer.Peers
	router     *router.Router
	config     atomic.Pointer[config.Config]
	// published is the published configuration in force.
	published atomic.Pointer[publication.State]
	// configMu guards publication and applyResults.
	configMu    sync.Mutex
	publication *publication.Publication
	// applyResults holds the channels of operators who wait for the result of their change,
	// by the ID of the change.
	applyResults map[string]chan publication.ApplyResult
	guard        *guard.Guard
	table        atomic.Pointer[ownership.State]
	owner        *actor.PID
	sessions     *sessions
	draining     atomic.Bool
	// idle is true while process/dispatch needs no fast ticks.
	idle         atomic.Bool
	grpcServer   *grpc.Server
	callerServer *http.Server
	adminServer  *http.Server
	stopper      *stopper.Stopper
	// callerDoor, adminDoor and processDoor bound what the clients of each listener hold.
	callerDoor  *doorway.Doorway
	adminDoor   *doorway.Doorway
	processDoor *doorway.Doorway
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
		deps:       deps,
		started:    deps.Clock.Now(),
		metrics:    metrics.New(),
		auditTrail: audit.New(deps.Log, deps.Clock),
		sessions:   newSessions(),
		stopper:    stopper.New(),
		self: ownership.Entry{
			Instance: id.String(),
			Name:     id.Name(),
			Address:  address,
			Zone:     c.Process().Zone,
			Cell:     c.Process().Cell,
		},
	}
	e.config.Store(c)
	e.applyResults = map[string]chan publication.ApplyResult{}
	e.guard = guard.New(func() *access.Access { return e.config.Load().Access() })
	e.publication = publication.New()
	initial := e.publication.State()
	e.published.Store(&initial)
	emptyTable := ownership.New().Snapshot()
	e.table.Store(&emptyTable)
	allotment := doorway.Allot(c)
	e.callerDoor = doorway.New("callers", allotment.Callers(), deps.Clock, e.metrics, doorway.WithEncryption(deps.Security.Encrypted()))
	e.adminDoor = doorway.New("administration", allotment.Probes(), deps.Clock, e.metrics, doorway.WithEncryption(deps.Security.Encrypted()))
	e.processDoor = doorway.New("processes", allotment.Processes(), deps.Clock, e.metrics, doorway.ForMessages(c.SilenceTimeout()), doorway.WithEncryption(deps.Security.Encrypted()))
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
	// The actor exists before Run, so that Status works at any time.
	e.owner = deps.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newOwnerActor(e) }))
	return e
}

// Instance returns the instance name of this process: name#incarnation.
func (e *Entry) Instance() string { return e.self.Instance }

// Metrics returns the metrics of this entry.
func (e *Entry) Metrics() *metrics.Metrics { return e.metrics }

// Owner returns the owner of a slot and the epoch, by this entry's copy of the table.
func (e *Entry) Owner(slot uint32) (string, uint64) {
	s := e.table.Load().Slots[slot]
	return s.Owner, s.Epoch
}

// AuthorizeCaller checks a caller's token for a team against the configuration in force.
func (e *Entry) AuthorizeCaller(team, token string) error {
	return e.config.Load().Access().AuthorizeCaller(team, token)
}

// Listeners are the open sockets of an entry.
type Listeners struct {
	Processes net.Listener
	Callers   net.Listener
	Admin     net.Listener
}

// Listen opens the sockets at the configured addresses.
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

// Run serves until the context ends, or Drain or Kill stops the entry.
func (e *Entry) Run(ctx context.Context, l Listeners) error {
	ctx, cancel := e.stopper.Context(ctx)
	defer e.stopper.MarkStopped()
	defer cancel()
	defer e.deps.System.Root.Stop(e.owner)
	e.grpcServer = grpc.NewServer(append(doorway.ServerOptions(),
		grpc.Creds(e.processDoor.Credentials(e.deps.Security.ServerCredentials())),
		grpc.InitialWindowSize(peer.WindowBytes),
		grpc.InitialConnWindowSize(peer.WindowBytes),
		grpc.MaxRecvMsgSize(peer.MaxMessageBytes),
		grpc.MaxSendMsgSize(peer.MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: e.deps.Config.SilenceTimeout(), Timeout: e.deps.Config.SilenceTimeout()}),
	)...)
	wire.RegisterEntryServer(e.grpcServer, &service{entry: e})
	e.callerServer = gateway.New(e.router, e, e.deps.Clock).Server()
	e.callerServer.Handler, e.callerServer.ConnContext = e.callerDoor.Handler(e.callerServer.Handler), doorway.ConnContext
	e.adminServer = &http.Server{
		Handler: e.adminDoor.Handler(e.adminHandler()), ConnContext: doorway.ConnContext,
		ReadHeaderTimeout: adminHeaderTimeout, IdleTimeout: adminIdleTimeout, MaxHeaderBytes: adminHeaderBytes,
	}
	failed := make(chan error, 3)
	go func() { failed <- e.grpcServer.Serve(e.processDoor.Guard(l.Processes)) }()
	go func() { failed <- e.callerServer.Serve(e.deps.Security.WrapListener(e.callerDoor.Guard(l.Callers))) }()
	go func() { failed <- e.adminServer.Serve(e.deps.Security.WrapListener(e.adminDoor.Guard(l.Admin))) }()
	for _, door := range []*doorway.Doorway{e.callerDoor, e.adminDoor, e.processDoor} {
		go door.Run(ctx)
	}
	go e.auditTrail.Run(ctx)
	go e.followConfigStream(ctx)
	go e.followOwnershipStream(ctx)
	go e.runMembership(ctx)
	go e.runTickers(ctx)
	klog.InfoS("CH0001 entry started", "entry", e.self.Instance, "processes", e.self.Address,
		"callers", l.Callers.Addr(), "admin", l.Admin.Addr())
	defer e.closeServers()
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

func (e *Entry) closeServers() {
	e.callerServer.Close()
	e.adminServer.Close()
	e.grpcServer.Stop()
}

// DrainRequested is closed when an operator asks the entry to drain.
func (e *Entry) DrainRequested() <-chan struct{} { return e.stopper.StopRequested() }

// Kill ends the entry at once, as a failure of its VM would.
func (e *Entry) Kill() { e.stopper.StopAndWait() }

// Drain hands over all ownership slots, waits for the requests in progress, leaves the
// ownership table and stops. If the context ends first, the entry skips the remaining steps
// and stops.
func (e *Entry) Drain(ctx context.Context) error {
	klog.InfoS("CH0002 entry draining", "entry", e.self.Instance)
	e.draining.Store(true)
	e.audit("drain", e.self.Instance, "serving", "draining", nil)
	e.peers.SetDraining()
	e.callerServer.SetKeepAlivesEnabled(false)
	err := e.awaitHandOver(ctx)
	if err == nil {
		err = e.callerServer.Shutdown(ctx)
	}
	if err == nil {
		err = e.appendRecord(ctx, ownership.Record{Leave: e.self.Instance})
	}
	// The result is logged by flushAudit; the entry stops in any case.
	_ = e.flushAudit(ctx)
	e.stopper.StopAndWait()
	if err != nil {
		return errors.Wrap(err, "drain did not complete")
	}
	klog.InfoS("CH0003 entry stopped", "entry", e.self.Instance)
	return nil
}

func (e *Entry) awaitHandOver(ctx context.Context) error {
	for {
		if !e.ownsSlots() || e.noSuccessor() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "not all slots were handed over")
		case <-e.deps.Clock.After(membershipInterval):
		}
	}
}

func (e *Entry) ownsSlots() bool {
	for _, s := range e.table.Load().Slots {
		if s.Owner == e.self.Instance {
			return true
		}
	}
	return false
}

// noSuccessor reports whether there is no live entry that could take over the slots.
func (e *Entry) noSuccessor() bool {
	now := e.deps.Clock.Now()
	for _, p := range e.peers.Contacts() {
		if !p.Draining && now.Sub(p.LastHeard) <= peerstate.SuspicionTimeout {
			return false
		}
	}
	return true
}

func (e *Entry) runTickers(ctx context.Context) {
	fast := e.deps.Clock.NewTicker(tickInterval)
	defer fast.Stop()
	slow := e.deps.Clock.NewTicker(slowTickInterval)
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
