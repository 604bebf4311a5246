package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/lab/program"
	"github.com/corianderhook/corianderhook/lab/proxy"
	"github.com/corianderhook/corianderhook/platform/standin/caller"
	"github.com/corianderhook/corianderhook/platform/standin/endpoint"
	"github.com/corianderhook/corianderhook/platform/standin/operator"
	"github.com/corianderhook/corianderhook/platform/standin/store"
)

const (
	// startTime bounds the start of all processes.
	startTimeout = 60 * time.Second
	// headerTime bounds the header of a request to a stand-in.
	headerTimeout = 5 * time.Second
	// mostSeeds is how many addresses a process finds in its settings.
	maxSeedAddresses = 3
	// zones is how many availability zones there are.
	zoneCount = 3
	// clockError is how far a process's time of day may be off, either way.
	maxClockOffset = 3 * time.Second
	// Ports of a process, and of the proxies before it.
	portCallers, portReady, portListen, portMetrics = 7001, 7002, 7003, 7004
	portProxy, portStore                            = 7101, 7102
)

// dispatcher is one dispatcher process with the proxies around it.
type dispatcher struct {
	program *program.Program
	callerAddress string
	readyAddress   string
	caller  *caller.Caller
	// control is before its address for other processes, store between it and the store.
	controlProxy *proxy.Proxy
	storeProxy   *proxy.Proxy
}

// sidecar is one sidecar process with its endpoint and the proxies around it.
type sidecar struct {
	program  *program.Program
	endpoint *endpoint.Endpoint
	// orders is between it and its endpoint, announcements the other way.
	orderProxy        *proxy.Proxy
	announcementProxy *proxy.Proxy
	storeProxy         *proxy.Proxy
}

// world is a whole system.
type cluster struct {
	settings    Settings
	clock       clockwork.Clock
	startedAt       time.Time
	store       *store.Store
	operator    *operator.Operator
	record      *endpoint.Record
	dispatchers []*dispatcher
	sidecars    []*sidecar
	balancer       *proxy.Proxy
	proxies     []*proxy.Proxy
	servers     []*http.Server
	ctx         context.Context
	cancel      context.CancelFunc
	group       sync.WaitGroup

	mu     sync.Mutex
	recorded []string
	// harmed is until when a process, or the store, was harmed.
	disturbedUntil map[string]time.Time
	// inRotation are callers' addresses that the balancer uses.
	readyAddresses []string
	rng     *rand.Rand
	version    int
	publishedAt  time.Time
	// raise multiplies the load.
	setLoadFactor func(factor float64)
}

func newCluster(s Settings) *cluster {
	w := &cluster{
		settings: s, clock: s.Clock, startedAt: s.Clock.Now(), store: store.New(s.Clock), record: endpoint.NewRecord(),
		disturbedUntil: map[string]time.Time{}, rng: rand.New(rand.NewPCG(s.Seed, 1)),
	}
	w.operator = operator.New(w.store)
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

func (w *cluster) address(part, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.settings.Network, part, host+1, port)
}

func (w *cluster) start(ctx context.Context) error {
	if err := w.serve(w.address(0, 0, portStore), w.store.Handler()); err != nil {
		return err
	}
	w.publish()
	for i := range w.settings.Dispatchers {
		if err := w.addDispatcher(i); err != nil {
			return err
		}
	}
	for i := range w.settings.Sidecars {
		if err := w.addSidecar(i); err != nil {
			return err
		}
	}
	var err error
	if w.balancer, err = w.addProxy(w.address(0, 0, portProxy), w.pickDispatcher); err != nil {
		return err
	}
	for _, p := range w.programs() {
		if err := w.startProgram(p); err != nil {
			return err
		}
	}
	w.group.Go(w.checkReadiness)
	return w.awaitStart(ctx)
}

func (w *cluster) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	w.servers = append(w.servers, server)
	// Serve ends with an error when the server is closed.
	go func() { _ = server.Serve(l) }()
	return nil
}

func (w *cluster) addProxy(address string, pickTarget func() string) (*proxy.Proxy, error) {
	p, err := proxy.New(address, pickTarget)
	if err == nil {
		w.proxies = append(w.proxies, p)
	}
	return p, err
}

func (w *cluster) writeSettings(name, zone, store, sections string) (string, error) {
	path := filepath.Join(w.settings.Dir, name+".ini")
	text := fmt.Sprintf("[process]\nname = %s\nzone = %s\n[store]\naddress = %s\n%s", name, zone, store, sections)
	return path, errors.Wrap(os.WriteFile(path, []byte(text), 0o600), "settings")
}

func zoneOf(i int) string { return fmt.Sprintf("z%d", i%zoneCount+1) }

func (w *cluster) addDispatcher(i int) error {
	name := fmt.Sprintf("dispatcher-%02d", i)
	d := &dispatcher{callerAddress: w.address(1, i, portCallers), readyAddress: w.address(1, i, portReady)}
	listen := w.address(1, i, portListen)
	var err error
	if d.controlProxy, err = w.addProxy(w.address(1, i, portProxy), proxy.FixedTarget(listen)); err != nil {
		return err
	}
	if d.storeProxy, err = w.addProxy(w.address(1, i, portStore), proxy.FixedTarget(w.address(0, 0, portStore))); err != nil {
		return err
	}
	w.dispatchers = append(w.dispatchers, d)
	file, err := w.writeSettings(name, zoneOf(i), d.storeProxy.Address(), fmt.Sprintf(
		"[dispatcher]\ncallers = %s\nready = %s\nlisten = %s\nadvertise = %s\npeers = %s\n[runtime]\nmetrics = %s\ngrace = %s\n",
		d.callerAddress, d.readyAddress, listen, d.controlProxy.Address(), w.seedAddresses(), w.address(1, i, portMetrics), stopTimeout))
	d.program = program.New(name, w.settings.Binary, w.settings.Dir, "dispatcher", "--settings", file)
	d.caller = caller.New(d.callerAddress, w.clock)
	return err
}

// seeds are the addresses of the first dispatchers.
func (w *cluster) seedAddresses() string {
	var list []string
	for _, d := range w.dispatchers[:min(maxSeedAddresses, len(w.dispatchers))] {
		list = append(list, d.controlProxy.Address())
	}
	return strings.Join(list, ",")
}

func (w *cluster) addSidecar(i int) error {
	name := fmt.Sprintf("sidecar-%03d", i)
	s := &sidecar{endpoint: endpoint.New("i-"+name, w.record, w.clock)}
	if err := w.serve(w.address(3, i, portCallers), s.endpoint.Handler()); err != nil {
		return err
	}
	listen := w.address(2, i, portListen)
	var err error
	if s.orderProxy, err = w.addProxy(w.address(3, i, portProxy), proxy.FixedTarget(w.address(3, i, portCallers))); err != nil {
		return err
	}
	if s.announcementProxy, err = w.addProxy(w.address(2, i, portProxy), proxy.FixedTarget(listen)); err != nil {
		return err
	}
	if s.storeProxy, err = w.addProxy(w.address(2, i, portStore), proxy.FixedTarget(w.address(0, 0, portStore))); err != nil {
		return err
	}
	w.sidecars = append(w.sidecars, s)
	file, err := w.writeSettings(name, zoneOf(i), s.storeProxy.Address(), fmt.Sprintf(
		"[sidecar]\nendpoint = %s\nannouncements = %s\ndispatchers = %s\n[runtime]\nmetrics = %s\ngrace = %s\n",
		s.orderProxy.Address(), listen, w.seedAddresses(), w.address(2, i, portMetrics), stopTimeout))
	s.program = program.New(name, w.settings.Binary, w.settings.Dir, "sidecar", "--settings", file)
	w.group.Go(func() { s.endpoint.Announce(w.ctx, s.announcementProxy.Address(), operator.Service, zoneOf(i)) })
	return err
}

func (w *cluster) programs() []*program.Program {
	var all []*program.Program
	for _, d := range w.dispatchers {
		all = append(all, d.program)
	}
	for _, s := range w.sidecars {
		all = append(all, s.program)
	}
	return all
}

// run starts a process, with a time of day that is off.
func (w *cluster) startProgram(p *program.Program) error {
	w.mu.Lock()
	offset := time.Duration(w.rng.Int64N(int64(2*maxClockOffset))) - maxClockOffset
	w.mu.Unlock()
	return p.Start("--clock-offset=" + offset.Truncate(time.Millisecond).String())
}

// pick is the balancer's choice for a new connection.
func (w *cluster) pickDispatcher() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.readyAddresses) == 0 {
		return w.dispatchers[w.rng.IntN(len(w.dispatchers))].callerAddress
	}
	return w.readyAddresses[w.rng.IntN(len(w.readyAddresses))]
}

// balance asks every second which dispatchers are ready; two misses take one out.
func (w *cluster) checkReadiness() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make([]int, len(w.dispatchers))
	for w.ctx.Err() == nil {
		var checks sync.WaitGroup
		for i, d := range w.dispatchers {
			checks.Go(func() {
				misses[i]++
				response, err := client.Get("http://" + d.readyAddress + "/ready")
				if err != nil {
					return
				}
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					misses[i] = 0
				}
			})
		}
		checks.Wait()
		w.mu.Lock()
		w.readyAddresses = nil
		for i, d := range w.dispatchers {
			if misses[i] < 2 {
				w.readyAddresses = append(w.readyAddresses, d.callerAddress)
			}
		}
		w.mu.Unlock()
		w.pause(w.ctx, time.Second)
	}
}

// awaitStart returns when a job can use every endpoint through each dispatcher.
func (w *cluster) awaitStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for n := 0; ; n++ {
		ready := true
		for i, d := range w.dispatchers {
			sent := d.caller.Submit(ctx, caller.Job{
				ID: fmt.Sprintf("%08x%08x", n, i), Tasks: w.settings.Sidecars, Takes: time.Millisecond, CPU: 20000, Budget: time.Second,
			})
			ready = ready && sent[len(sent)-1].Completed()
		}
		if ready {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("the system did not start within %s", startTimeout)
		}
		w.pause(ctx, pollInterval)
	}
}

// publish publishes the next version: its queue is named by its number.
func (w *cluster) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.operator.Publish(w.version, queueName(w.version))
	w.publishedAt = w.clock.Now()
}

func queueName(version int) string { return fmt.Sprintf("version-%d", version) }

// harm notes that a process, or the store, is harmed for a time from now on.
func (w *cluster) markDisturbed(name string, duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := w.clock.Now().Add(duration); until.After(w.disturbedUntil[name]) {
		w.disturbedUntil[name] = until
	}
}

// crashes lists the logs of processes that crashed.
func (w *cluster) crashedLogs() []string {
	var all []string
	logs, err := filepath.Glob(filepath.Join(w.settings.Dir, "*.log"))
	if err != nil {
		return []string{err.Error()}
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			all = append(all, err.Error())
		} else if hasCrashMarker(string(text)) {
			all = append(all, "a process crashed, log "+filepath.Base(path))
		}
	}
	return all
}

// close ends every process and stand-in.
func (w *cluster) close() {
	w.cancel()
	for _, p := range w.programs() {
		p.Kill()
	}
	for _, p := range w.proxies {
		p.Close()
	}
	for _, s := range w.servers {
		s.Close()
	}
	for _, d := range w.dispatchers {
		d.caller.Close()
	}
	w.group.Wait()
}
