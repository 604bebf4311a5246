package commands

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/platform"
	"github.com/corianderhook/corianderhook/process/dispatcher"
	"github.com/corianderhook/corianderhook/version/config"
)

const (
	// balancerTime is how long the balancer may send new connections after a process
	// says that it is not ready: it asks every second and goes by the second miss.
	balancerTime = 2500 * time.Millisecond
	// exitMargin is left of the time until the process is killed.
	exitMargin = 400 * time.Millisecond
	// callerHeaderTime bounds the header of a caller's request, callerIdleTime how long
	// an unused connection stays.
	callerHeaderTime = 5 * time.Second
	callerIdleTime   = 2 * time.Minute
	// callerHeaderBytes bounds the header of a caller's request.
	callerHeaderBytes = 16 << 10
)

// DispatcherCommand runs a dispatcher.
type DispatcherCommand struct {
	Settings string `required:"" env:"CORIANDERHOOK_NODE_FILE" placeholder:"FILE" help:"Settings file in INI; read again when it changes."`
}

// Run runs the dispatcher until a signal ends it.
func (c *DispatcherCommand) Run(s *Streams) error {
	settings, err := readSettingsFile(c.Settings, config.RoleDispatcher)
	if err != nil {
		return err
	}
	defer startLogs(s.Out)()
	limitMemory(settings.Runtime().Memory)
	first, second, stop := signals()
	defer stop()
	ctx, cancel := context.WithCancel(second)
	defer cancel()
	p := newDispatcherProcess(settings)
	listeners, err := listenAll(settings.Dispatcher().Listen, settings.Dispatcher().Callers, settings.Dispatcher().Ready)
	if err != nil {
		return usageError{err}
	}
	p.start(ctx, listeners)
	go watchSettings(ctx, c.Settings, config.RoleDispatcher, func(c *config.Config) { p.dispatcher.Learn(c.Dispatcher().Peers) })
	select {
	case err := <-p.failed:
		return err
	case <-first.Done():
	}
	p.drain(ctx)
	return nil
}

// dispatcherProcess is a dispatcher with its servers.
type dispatcherProcess struct {
	settings   *config.Config
	dispatcher *dispatcher.Dispatcher
	callers    *http.Server
	failed     chan error
	mu         sync.Mutex
	// stopsAt is when the process ends; zero while it is not asked to.
	stopsAt time.Time
	lastAt  time.Time
}

func newDispatcherProcess(settings *config.Config) *dispatcherProcess {
	p := &dispatcherProcess{settings: settings, failed: make(chan error, 4)}
	p.dispatcher = dispatcher.New(dispatcher.Dependencies{
		Name: settings.Process().Name, Zone: settings.Process().Zone, Address: settings.Dispatcher().Listen,
		Peers: settings.Dispatcher().Peers, Clock: realClock(), System: newSystem(), Decode: platform.DecodeCatalog,
	})
	p.callers = &http.Server{
		Handler: p.handler(platform.Ingress(p.dispatcher)), ReadHeaderTimeout: callerHeaderTime,
		IdleTimeout: callerIdleTime, MaxHeaderBytes: callerHeaderBytes,
	}
	return p
}

// handler has callers open new connections, and so leave, while the process stops.
func (p *dispatcherProcess) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.lastAt = time.Now()
		stopsAt := p.stopsAt
		p.mu.Unlock()
		if !stopsAt.IsZero() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (p *dispatcherProcess) start(ctx context.Context, l []net.Listener) {
	d, clock := p.dispatcher, realClock()
	store := platform.NewStore(p.settings.Store())
	go func() { p.failed <- d.Run(ctx, l[0]) }()
	go func() { p.failed <- errors.Wrap(p.callers.Serve(l[1]), "callers") }()
	ready := &http.Server{Handler: platform.Readiness(d), ReadHeaderTimeout: callerHeaderTime}
	go func() { p.failed <- errors.Wrap(ready.Serve(l[2]), "readiness") }()
	go serveMetrics(ctx, p.settings.Runtime().Metrics, d.Metrics().Handler())
	go platform.FollowConfig(store, clock, func(text []byte) {
		adopt(d, text)
	}).Run(ctx)
	go platform.FollowMembers(store, clock, func(address string) { d.Learn([]string{address}) }).Run(ctx)
	go platform.Announce(ctx, store, clock, p.settings.Process().Name, p.settings.Dispatcher().Listen)
}

// drain serves until callers have gone elsewhere and every job has ended.
func (p *dispatcherProcess) drain(ctx context.Context) {
	began := time.Now()
	grace := p.settings.Runtime().Grace - exitMargin
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	p.mu.Lock()
	p.stopsAt = began.Add(grace)
	p.mu.Unlock()
	p.dispatcher.StopBy(began.Add(grace))
	clock := realClock()
	for ctx.Err() == nil {
		p.mu.Lock()
		quiet := time.Since(p.lastAt)
		p.mu.Unlock()
		if time.Since(began) > balancerTime && quiet > balancerTime/10 && p.dispatcher.Jobs() == 0 {
			break
		}
		select {
		case <-ctx.Done():
		case <-clock.After(50 * time.Millisecond):
		}
	}
	p.dispatcher.Stopped()
}
