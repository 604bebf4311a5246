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
	startTime = 60 * time.Second
	// headerTime bounds the header of a request to a stand-in.
	headerTime = 5 * time.Second
	// mostSeeds is how many addresses a process finds in its settings.
	mostSeeds = 3
	// zones is how many availability zones there are.
	zones = 3
	// clockError is how far a process's time of day may be off, either way.
	clockError = 3 * time.Second
	// Ports of a process, and of the proxies before it.
	portCallers, portReady, portListen, portMetrics = 7001, 7002, 7003, 7004
	portProxy, portStore                            = 7101, 7102
)

// dispatcher is one dispatcher process with the proxies around it.
type dispatcher struct {
	program *program.Program
	callers string
	ready   string
	caller  *caller.Caller
	// control is before its address for other processes, store between it and the store.
	control *proxy.Proxy
	store   *proxy.Proxy
}

// sidecar is one sidecar process with its endpoint and the proxies around it.
type sidecar struct {
	program  *program.Program
	endpoint *endpoint.Endpoint
	// orders is between it and its endpoint, announcements the other way.
	orders        *proxy.Proxy
	announcements *proxy.Proxy
	store         *proxy.Proxy
}

// world is a whole system.
type world struct {
	settings    Settings
	clock       clockwork.Clock
	began       time.Time
	store       *store.Store
	operator    *operator.Operator
	record      *endpoint.Record
	dispatchers []*dispatcher
	sidecars    []*sidecar
	front       *proxy.Proxy
	proxies     []*proxy.Proxy
	servers     []*http.Server
	ctx         context.Context
	cancel      context.CancelFunc
	group       sync.WaitGroup

	mu     sync.Mutex
	faults []string
	// harmed is until when a process, or the store, was harmed.
	harmed map[string]time.Time
	// inRotation are callers' addresses that the balancer uses.
	inRotation []string
	random     *rand.Rand
	version    int
	published  time.Time
	// raise multiplies the load.
	raise func(factor float64)
}

func newWorld(s Settings) *world {
	w := &world{
		settings: s, clock: s.Clock, began: s.Clock.Now(), store: store.New(s.Clock), record: endpoint.NewRecord(),
		harmed: map[string]time.Time{}, random: rand.New(rand.NewPCG(s.Seed, 1)),
	}
	w.operator = operator.New(w.store)
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

func (w *world) address(part, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.settings.Network, part, host+1, port)
}

func (w *world) start(ctx context.Context) error {
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
	if w.front, err = w.proxy(w.address(0, 0, portProxy), w.pick); err != nil {
		return err
	}
	for _, p := range w.programs() {
		if err := w.run(p); err != nil {
			return err
		}
	}
	w.group.Go(w.balance)
	return w.awaitStart(ctx)
}

func (w *world) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime}
	w.servers = append(w.servers, server)
	// Serve ends with an error when the server is closed.
	go func() { _ = server.Serve(l) }()
	return nil
}

func (w *world) proxy(address string, pick func() string) (*proxy.Proxy, error) {
	p, err := proxy.New(address, pick)
	if err == nil {
		w.proxies = append(w.proxies, p)
	}
	return p, err
}

func (w *world) settingsFile(name, zone, store, rest string) (string, error) {
	path := filepath.Join(w.settings.Dir, name+".ini")
	text := fmt.Sprintf("[process]\nname = %s\nzone = %s\n[store]\naddress = %s\n%s", name, zone, store, rest)
	return path, errors.Wrap(os.WriteFile(path, []byte(text), 0o600), "settings")
}

func zoneOf(i int) string { return fmt.Sprintf("z%d", i%zones+1) }

func (w *world) addDispatcher(i int) error {
	name := fmt.Sprintf("dispatcher-%02d", i)
	d := &dispatcher{callers: w.address(1, i, portCallers), ready: w.address(1, i, portReady)}
	listen := w.address(1, i, portListen)
	var err error
	if d.control, err = w.proxy(w.address(1, i, portProxy), proxy.FixedTarget(listen)); err != nil {
		return err
	}
	if d.store, err = w.proxy(w.address(1, i, portStore), proxy.FixedTarget(w.address(0, 0, portStore))); err != nil {
		return err
	}
	w.dispatchers = append(w.dispatchers, d)
	file, err := w.settingsFile(name, zoneOf(i), d.store.Address(), fmt.Sprintf(
		"[dispatcher]\ncallers = %s\nready = %s\nlisten = %s\nadvertise = %s\npeers = %s\n[runtime]\nmetrics = %s\ngrace = %s\n",
		d.callers, d.ready, listen, d.control.Address(), w.seeds(), w.address(1, i, portMetrics), grace))
	d.program = program.New(name, w.settings.Binary, w.settings.Dir, "dispatcher", "--settings", file)
	d.caller = caller.New(d.callers, w.clock)
	return err
}

// seeds are the addresses of the first dispatchers.
func (w *world) seeds() string {
	var list []string
	for _, d := range w.dispatchers[:min(mostSeeds, len(w.dispatchers))] {
		list = append(list, d.control.Address())
	}
	return strings.Join(list, ",")
}

func (w *world) addSidecar(i int) error {
	name := fmt.Sprintf("sidecar-%03d", i)
	s := &sidecar{endpoint: endpoint.New("i-"+name, w.record, w.clock)}
	if err := w.serve(w.address(3, i, portCallers), s.endpoint.Handler()); err != nil {
		return err
	}
	listen := w.address(2, i, portListen)
	var err error
	if s.orders, err = w.proxy(w.address(3, i, portProxy), proxy.FixedTarget(w.address(3, i, portCallers))); err != nil {
		return err
	}
	if s.announcements, err = w.proxy(w.address(2, i, portProxy), proxy.FixedTarget(listen)); err != nil {
		return err
	}
	if s.store, err = w.proxy(w.address(2, i, portStore), proxy.FixedTarget(w.address(0, 0, portStore))); err != nil {
		return err
	}
	w.sidecars = append(w.sidecars, s)
	file, err := w.settingsFile(name, zoneOf(i), s.store.Address(), fmt.Sprintf(
		"[sidecar]\nendpoint = %s\nannouncements = %s\ndispatchers = %s\n[runtime]\nmetrics = %s\ngrace = %s\n",
		s.orders.Address(), listen, w.seeds(), w.address(2, i, portMetrics), grace))
	s.program = program.New(name, w.settings.Binary, w.settings.Dir, "sidecar", "--settings", file)
	w.group.Go(func() { s.endpoint.Announce(w.ctx, s.announcements.Address(), operator.Service, zoneOf(i)) })
	return err
}

func (w *world) programs() []*program.Program {
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
func (w *world) run(p *program.Program) error {
	w.mu.Lock()
	off := time.Duration(w.random.Int64N(int64(2*clockError))) - clockError
	w.mu.Unlock()
	return p.Start("--clock-offset=" + off.Truncate(time.Millisecond).String())
}

// pick is the balancer's choice for a new connection.
func (w *world) pick() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.inRotation) == 0 {
		return w.dispatchers[w.random.IntN(len(w.dispatchers))].callers
	}
	return w.inRotation[w.random.IntN(len(w.inRotation))]
}

// balance asks every second which dispatchers are ready; two misses take one out.
func (w *world) balance() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make([]int, len(w.dispatchers))
	for w.ctx.Err() == nil {
		var asked sync.WaitGroup
		for i, d := range w.dispatchers {
			asked.Go(func() {
				misses[i]++
				response, err := client.Get("http://" + d.ready + "/ready")
				if err != nil {
					return
				}
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					misses[i] = 0
				}
			})
		}
		asked.Wait()
		w.mu.Lock()
		w.inRotation = nil
		for i, d := range w.dispatchers {
			if misses[i] < 2 {
				w.inRotation = append(w.inRotation, d.callers)
			}
		}
		w.mu.Unlock()
		w.pause(w.ctx, time.Second)
	}
}

// awaitStart returns when a job can use every endpoint through each dispatcher.
func (w *world) awaitStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for n := 0; ; n++ {
		ready := true
		for i, d := range w.dispatchers {
			sent := d.caller.Submit(ctx, caller.Job{
				ID: fmt.Sprintf("%08x%08x", n, i), Tasks: w.settings.Sidecars, RunTime: time.Millisecond, CPU: 20000, Budget: time.Second,
			})
			ready = ready && sent[len(sent)-1].Completed()
		}
		if ready {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("the system did not start within %s", startTime)
		}
		w.pause(ctx, pollEvery)
	}
}

// publish publishes the next version: its queue is named by its number.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.operator.Publish(w.version, queueOf(w.version))
	w.published = w.clock.Now()
}

func queueOf(version int) string { return fmt.Sprintf("version-%d", version) }

// harm notes that a process, or the store, is harmed for a time from now on.
func (w *world) harm(name string, lasts time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := w.clock.Now().Add(lasts); until.After(w.harmed[name]) {
		w.harmed[name] = until
	}
}

// crashes lists the logs of processes that crashed.
func (w *world) crashes() []string {
	var all []string
	logs, err := filepath.Glob(filepath.Join(w.settings.Dir, "*.log"))
	if err != nil {
		return []string{err.Error()}
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			all = append(all, err.Error())
		} else if crashed(string(text)) {
			all = append(all, "a process crashed, log "+filepath.Base(path))
		}
	}
	return all
}

// close ends every process and stand-in.
func (w *world) close() {
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
