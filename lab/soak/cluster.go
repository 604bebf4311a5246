package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
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
	// startTimeout limits the start of all processes.
	startTimeout = 60 * time.Second
	// headerTimeout limits the time to read the header of a request to a stand-in.
	headerTimeout = 5 * time.Second
	// maxSeedAddresses limits the dispatcher addresses in the settings of a process.
	maxSeedAddresses = 3
	// zoneCount is the number of availability zones.
	zoneCount = 3
	// maxClockOffset is how far the wall clock of a process may be off in either direction.
	maxClockOffset = 3 * time.Second
	// Ports of a process and of the proxies in front of it.
	portCallers, portReady, portListen, portMetrics = 7001, 7002, 7003, 7004
	portProxy, portStore, portCallerProxy           = 7101, 7102, 7103
	// sameDispatcherEvery is how often a job is sent again to the dispatcher of the attempt
	// before: once in so many times.
	sameDispatcherEvery = 8
)

// dispatcher is one dispatcher process with the proxies around it.
type dispatcher struct {
	program       *program.Program
	callerAddress string
	readyAddress  string
	// caller sends requests to this dispatcher, not as the balancer decides.
	caller *caller.Caller
	// callerProxy is in front of the address for callers.
	callerProxy *proxy.Proxy
	// controlProxy is in front of the address for other processes, storeProxy between the
	// dispatcher and the store.
	controlProxy *proxy.Proxy
	storeProxy   *proxy.Proxy
}

// sidecar is one sidecar process with its endpoint and the proxies around it.
type sidecar struct {
	program  *program.Program
	endpoint *endpoint.Endpoint
	// orderProxy carries connections of the sidecar to its endpoint, announcementProxy
	// those of the endpoint to the sidecar.
	orderProxy        *proxy.Proxy
	announcementProxy *proxy.Proxy
	storeProxy        *proxy.Proxy
}

// cluster is a whole system: all processes, stand-ins and the proxies between them.
type cluster struct {
	settings    Settings
	clock       clockwork.Clock
	startedAt   time.Time
	store       *store.Store
	operator    *operator.Operator
	record      *endpoint.Record
	dispatchers []*dispatcher
	sidecars    []*sidecar
	proxies     []*proxy.Proxy
	servers     []*http.Server
	ctx         context.Context
	cancel      context.CancelFunc
	group       sync.WaitGroup

	mu                 sync.Mutex
	recordedViolations []string
	// disturbedUntil holds when the last disruption of each process and of the store ends
	// or ended.
	disturbedUntil map[string]time.Time
	// evacuations counts by zone the evacuations in force.
	evacuations map[string]int
	// ready are the dispatchers to which the balancer opens connections.
	ready       []*dispatcher
	rng         *rand.Rand
	version     int
	publishedAt time.Time
	// setLoadFactor sets the factor by which the job rate of the settings is multiplied.
	setLoadFactor func(factor float64)
	// submit has a client submit a job after a delay, and closes it afterwards.
	submit func(sender *caller.Caller, j caller.Job, delay time.Duration)
}

func newCluster(s Settings) *cluster {
	c := &cluster{
		settings: s, clock: s.Clock, startedAt: s.Clock.Now(), store: store.New(s.Clock), record: endpoint.NewRecord(),
		evacuations: map[string]int{}, disturbedUntil: map[string]time.Time{}, rng: rand.New(rand.NewPCG(s.Seed, 1)),
	}
	c.operator = operator.New(c.store)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *cluster) address(subnet, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", c.settings.Network, subnet, host+1, port)
}

func (c *cluster) start(ctx context.Context) error {
	if err := c.serve(c.address(0, 0, portStore), c.store.Handler()); err != nil {
		return err
	}
	c.publish()
	for i := range c.settings.Dispatchers {
		if err := c.addDispatcher(i); err != nil {
			return err
		}
	}
	for i := range c.settings.Sidecars {
		if err := c.addSidecar(i); err != nil {
			return err
		}
	}
	for _, p := range c.programs() {
		if err := c.startProgram(p); err != nil {
			return err
		}
	}
	c.group.Go(c.checkReadiness)
	return c.awaitStart(ctx)
}

func (c *cluster) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	c.servers = append(c.servers, server)
	// Serve ends with an error when the server is closed.
	go func() { _ = server.Serve(l) }()
	return nil
}

func (c *cluster) addProxy(address string, pickTarget func() string) (*proxy.Proxy, error) {
	p, err := proxy.New(address, pickTarget)
	if err == nil {
		c.proxies = append(c.proxies, p)
	}
	return p, err
}

func (c *cluster) writeSettings(name, zone, storeAddress, sections string) (string, error) {
	path := filepath.Join(c.settings.Dir, name+".ini")
	text := fmt.Sprintf("[process]\nname = %s\nzone = %s\n[store]\naddress = %s\n%s", name, zone, storeAddress, sections)
	return path, errors.Wrap(os.WriteFile(path, []byte(text), 0o600), "settings")
}

func zoneOf(i int) string { return fmt.Sprintf("z%d", i%zoneCount+1) }

func (c *cluster) addDispatcher(i int) error {
	name := fmt.Sprintf("dispatcher-%02d", i)
	d := &dispatcher{callerAddress: c.address(1, i, portCallers), readyAddress: c.address(1, i, portReady)}
	listen := c.address(1, i, portListen)
	var err error
	if d.controlProxy, err = c.addProxy(c.address(1, i, portProxy), proxy.FixedTarget(listen)); err != nil {
		return err
	}
	if d.storeProxy, err = c.addProxy(c.address(1, i, portStore), proxy.FixedTarget(c.address(0, 0, portStore))); err != nil {
		return err
	}
	if d.callerProxy, err = c.addProxy(c.address(1, i, portCallerProxy), proxy.FixedTarget(d.callerAddress)); err != nil {
		return err
	}
	c.dispatchers = append(c.dispatchers, d)
	file, err := c.writeSettings(name, zoneOf(i), d.storeProxy.Address(), fmt.Sprintf(
		"[dispatcher]\ncallers = %s\nready = %s\nlisten = %s\nadvertise = %s\npeers = %s\n[runtime]\nmetrics = %s\ngrace = %s\n%s",
		d.callerAddress, d.readyAddress, listen, d.controlProxy.Address(), c.seedAddresses(), c.address(1, i, portMetrics), stopTimeout, c.sharing()))
	d.program = program.New(name, c.firstBinary(), c.settings.Dir, "dispatcher", "--settings", file)
	d.caller = caller.New(d.callerAddress, c.clock)
	return err
}

// seedAddresses returns the addresses of the first dispatchers, comma-separated.
func (c *cluster) seedAddresses() string {
	var list []string
	for _, d := range c.dispatchers[:min(maxSeedAddresses, len(c.dispatchers))] {
		list = append(list, d.controlProxy.Address())
	}
	return strings.Join(list, ",")
}

func (c *cluster) addSidecar(i int) error {
	name := fmt.Sprintf("sidecar-%03d", i)
	s := &sidecar{endpoint: endpoint.New("i-"+name, c.record, c.clock)}
	if err := c.serve(c.address(3, i, portCallers), s.endpoint.Handler()); err != nil {
		return err
	}
	listen := c.address(2, i, portListen)
	var err error
	if s.orderProxy, err = c.addProxy(c.address(3, i, portProxy), proxy.FixedTarget(c.address(3, i, portCallers))); err != nil {
		return err
	}
	if s.announcementProxy, err = c.addProxy(c.address(2, i, portProxy), proxy.FixedTarget(listen)); err != nil {
		return err
	}
	if s.storeProxy, err = c.addProxy(c.address(2, i, portStore), proxy.FixedTarget(c.address(0, 0, portStore))); err != nil {
		return err
	}
	c.sidecars = append(c.sidecars, s)
	file, err := c.writeSettings(name, zoneOf(i), s.storeProxy.Address(), fmt.Sprintf(
		"[sidecar]\nendpoint = %s\nannouncements = %s\ndispatchers = %s\n[runtime]\nmetrics = %s\ngrace = %s\n",
		s.orderProxy.Address(), listen, c.seedAddresses(), c.address(2, i, portMetrics), stopTimeout))
	s.program = program.New(name, c.firstBinary(), c.settings.Dir, "sidecar", "--settings", file)
	c.group.Go(func() { s.endpoint.Announce(c.ctx, s.announcementProxy.Address(), operator.Service, zoneOf(i)) })
	return err
}

func (c *cluster) programs() []*program.Program {
	var all []*program.Program
	for _, d := range c.dispatchers {
		all = append(all, d.program)
	}
	for _, s := range c.sidecars {
		all = append(all, s.program)
	}
	return all
}

// startProgram starts a process with a random error of its wall clock.
func (c *cluster) startProgram(p *program.Program) error {
	c.mu.Lock()
	offset := time.Duration(c.rng.Int64N(int64(2*maxClockOffset))) - maxClockOffset
	c.mu.Unlock()
	return p.Start("--clock-offset=" + offset.Truncate(time.Millisecond).String())
}

func (c *cluster) restart(p *program.Program) {
	if err := c.startProgram(p); err != nil {
		c.recordViolation("%s cannot be started: %v", p.Name(), err)
	}
}

// route chooses the dispatcher of a new connection, as the platform's balancer does, and
// returns the address of the proxy in front of it. If no dispatcher is ready, it chooses any.
// Most jobs that are sent again go to another dispatcher than the attempt before.
func (c *cluster) route(previous caller.Attempt) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.dispatchers {
		// No dispatcher can notice during a partition that a caller aborts its request.
		if previous.Aborted && d.isAt(previous.Address) && d.callerProxy.HeldUpstreamSince(previous.LeftAt()) {
			return d.callerProxy.Address()
		}
	}
	candidates := c.ready
	if len(candidates) == 0 {
		candidates = c.dispatchers
	}
	others := slices.DeleteFunc(slices.Clone(candidates), func(d *dispatcher) bool { return d.isAt(previous.Address) })
	if len(others) > 0 && c.rng.IntN(sameDispatcherEvery) > 0 {
		candidates = others
	}
	return candidates[c.rng.IntN(len(candidates))].callerProxy.Address()
}

// isAt reports whether an ip:port belongs to the dispatcher or to a proxy in front of it.
func (d *dispatcher) isAt(address string) bool {
	host, _, _ := strings.Cut(address, ":")
	return strings.HasPrefix(d.callerAddress, host+":")
}

// checkReadiness polls every second which dispatchers are ready. Two failed checks in a row
// take a dispatcher out of the balancer.
func (c *cluster) checkReadiness() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make([]int, len(c.dispatchers))
	for c.ctx.Err() == nil {
		var checks sync.WaitGroup
		for i, d := range c.dispatchers {
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
		c.mu.Lock()
		c.ready = nil
		for i, d := range c.dispatchers {
			if misses[i] < 2 {
				c.ready = append(c.ready, d)
			}
		}
		c.mu.Unlock()
		c.pause(c.ctx, time.Second)
	}
}

// awaitStart waits until each dispatcher completes a job that needs every endpoint.
func (c *cluster) awaitStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for n := 0; ; n++ {
		ready := true
		for i, d := range c.dispatchers {
			attempts := d.caller.Submit(ctx, caller.Job{
				ID: fmt.Sprintf("%08x%08x", n, i), Tasks: c.settings.Sidecars, RunTime: time.Millisecond, CPU: 20000, Budget: time.Second,
			})
			ready = ready && attempts[len(attempts)-1].Completed()
		}
		if ready {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("the system did not start within %s", startTimeout)
		}
		c.pause(ctx, pollInterval)
	}
}

// publish publishes the next version of the configuration. Its queue is named after the
// version, so a dispatcher that knows the queue has the version in force.
func (c *cluster) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.operator.Publish(c.version, queueName(c.version))
	c.publishedAt = c.clock.Now()
}

func queueName(version int) string { return fmt.Sprintf("version-%d", version) }

// markDisturbed records that a process, or the store, is disturbed for a time from now on.
func (c *cluster) markDisturbed(name string, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := c.clock.Now().Add(duration); until.After(c.disturbedUntil[name]) {
		c.disturbedUntil[name] = until
	}
}

// crashedLogs returns a message for each log of a process that crashed.
func (c *cluster) crashedLogs() []string {
	var all []string
	logs, err := filepath.Glob(filepath.Join(c.settings.Dir, "*.log"))
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

// close ends every process, proxy and stand-in.
func (c *cluster) close() {
	c.cancel()
	for _, p := range c.programs() {
		p.Kill()
	}
	for _, p := range c.proxies {
		p.Close()
	}
	for _, s := range c.servers {
		s.Close()
	}
	for _, d := range c.dispatchers {
		d.caller.Close()
	}
	c.group.Wait()
}
