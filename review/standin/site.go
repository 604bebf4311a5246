package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/lab/proxy"
	"github.com/corianderhook/corianderhook/platform/standin/endpoint"
	"github.com/corianderhook/corianderhook/platform/standin/operator"
	"github.com/corianderhook/corianderhook/platform/standin/store"
)

const (
	headerTimeout = 5 * time.Second
	// probeInterval and maxMisses are the balancer's, as on the platform.
	probeInterval = time.Second
	maxMisses     = 2
	pollInterval  = 10 * time.Millisecond
	firstPort     = 8161
)

// lastAddress counts the addresses that were tried.
var lastAddress atomic.Int64

// process is one process of the system, started with the command of its role.
type process struct {
	name     string
	role     string
	settings string
	current  *exec.Cmd
	exited   chan struct{}
	// callers and ready are the addresses of a dispatcher.
	callers string
	ready   string
}

// worker is an endpoint with its sidecar.
type worker struct {
	process
	endpoint *endpoint.Endpoint
	orders   *lateOrders
	reports  *reports
	// address and server are those of the endpoint.
	address string
	server  *http.Server
}

// site is a small deployment on loopback addresses: the system's processes, and stand-ins for
// the store, the endpoints and the balancer.
type site struct {
	dir         string
	record      *record
	runs        *endpoint.Record
	store       *store.Store
	operator    *operator.Operator
	storeAddr   string
	dispatchers []*process
	workers     []*worker
	balancer    *proxy.Proxy
	mu          sync.Mutex
	// misses counts by dispatcher the failed probes in a row.
	misses []int
}

func newSite(dir string, r *record) (*site, error) {
	s := &site{dir: dir, record: r, runs: endpoint.NewRecord(), store: store.New(clockwork.NewRealClock())}
	s.operator = operator.New(s.store)
	s.operator.Publish(1)
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s.storeAddr = l.Addr().String()
	serve(l, s.store.Handler())
	return s, nil
}

// listen listens at a free loopback address. Its host differs from 127.0.0.1, from which the
// programs open their channels, so that none of these takes the port.
func listen() (net.Listener, error) {
	var err error
	for range 100 {
		n := lastAddress.Add(1)
		address := fmt.Sprintf("127.%d.%d.%d:%d", 1+os.Getpid()>>8%200, os.Getpid()%256, 1+n%250, firstPort+n/250)
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
	}
	return nil, err
}

func serve(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	// Serve ends when the server is closed, at the latest with the program.
	go func() { _ = server.Serve(l) }()
	return server
}

// crash ends an endpoint and what runs there, with its channels and the orders that it has not
// carried out, and starts it again under its name.
func (s *site) crash(w *worker, down time.Duration) error {
	s.record.add("%s crashes", w.name)
	w.orders.forget()
	w.server.Close()
	w.endpoint.Restart()
	time.Sleep(down)
	w.endpoint.Restart()
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = serve(l, w.orders)
	s.record.add("%s is back", w.name)
	return w.reports.sendNow(w.endpoint)
}

// freeAddresses returns loopback addresses that nobody listens at.
func freeAddresses(count int) ([]string, error) {
	var list []string
	for range count {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// start starts a site and returns when each dispatcher has completed a job on all workers.
func (s *site) start(dispatchers, workers int) error {
	var seeds []string
	var control []string
	for i := range dispatchers {
		a, err := freeAddresses(4)
		if err != nil {
			return err
		}
		control = append(control, a[2])
		s.dispatchers = append(s.dispatchers, &process{name: fmt.Sprintf("front-%d", i+1), role: "dispatcher", callers: a[0], ready: a[1]})
	}
	seeds = control[:min(3, len(control))]
	for i, d := range s.dispatchers {
		if err := s.writeSettings(d, map[string]string{
			"listen.front": d.callers, "listen.ready": d.ready, "listen.control": control[i], "seeds": strings.Join(seeds, ","), "limits.memoryMb": "284",
		}); err != nil {
			return err
		}
	}
	for i := range workers {
		if err := s.addWorker(i, strings.Join(seeds, ",")); err != nil {
			return err
		}
	}
	for _, p := range s.processes() {
		if err := s.startProcess(p); err != nil {
			return err
		}
	}
	s.misses = make([]int, dispatchers)
	front, err := freeAddresses(1)
	if err != nil {
		return err
	}
	if s.balancer, err = proxy.New(front[0], s.pick); err != nil {
		return err
	}
	for i := range s.dispatchers {
		go s.probe(i)
	}
	return s.awaitServing(30 * time.Second)
}

func (s *site) addWorker(i int, seeds string) error {
	name := fmt.Sprintf("side-%d", i+1)
	l, err := listen()
	if err != nil {
		return err
	}
	a, err := freeAddresses(1)
	if err != nil {
		return err
	}
	w := &worker{process: process{name: name, role: "sidecar"}, endpoint: endpoint.New("i-"+name, s.runs, clockwork.NewRealClock())}
	w.orders = &lateOrders{site: s, name: name, next: w.endpoint.Handler(), rng: rand.New(rand.NewPCG(uint64(i), 7))}
	w.address, w.server = l.Addr().String(), serve(l, w.orders)
	s.workers = append(s.workers, w)
	relay, err := listen()
	if err != nil {
		return err
	}
	w.reports = &reports{sidecar: a[0]}
	serve(relay, w.reports)
	go w.endpoint.Announce(s.record.ctx, relay.Addr().String(), operator.Service, "zone-a")
	return s.writeSettings(&w.process, map[string]string{
		"app": l.Addr().String(), "listen.control": a[0], "seeds": seeds, "limits.memoryMb": "152",
	})
}

func (s *site) processes() []*process {
	var all []*process
	all = append(all, s.dispatchers...)
	for _, w := range s.workers {
		all = append(all, &w.process)
	}
	return all
}

// writeSettings fills in the template of the process's role, as the platform does.
func (s *site) writeSettings(p *process, values map[string]string) error {
	text, err := os.ReadFile(filepath.Join("deploy", p.role+".ini"))
	if err != nil {
		return err
	}
	metrics, err := freeAddresses(1)
	if err != nil {
		return err
	}
	filled := string(text)
	if at := strings.Index(filled, "{{#"); at >= 0 {
		// The section is for deployments with a bound that small ones do not have.
		filled = filled[:at]
	}
	values["node"], values["zone"], values["platform.address"] = p.name, "zone-a", s.storeAddr
	values["limits.linkMbps"], values["bounds.graceS"], values["bounds.retransmitMs"] = "1000", "6", "1300"
	filled = strings.Replace(filled, "{{ip}}:9464", metrics[0], 1)
	for name, value := range values {
		filled = strings.ReplaceAll(filled, "{{"+name+"}}", value)
	}
	p.settings = filepath.Join(s.dir, p.name+".ini")
	return os.WriteFile(p.settings, []byte(filled), 0o600)
}

func (s *site) startProcess(p *process) error {
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/corianderhook", p.role)
	command.Env = append(os.Environ(), "CORIANDERHOOK_NODE_FILE="+p.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.current, p.exited = command, exited
	go func() {
		// The status does not matter: the process is ended by a signal.
		_ = command.Wait()
		close(exited)
	}()
	s.record.add("%s started", p.name)
	return nil
}

// signal sends a signal to a process that this program has started.
func (s *site) signal(p *process, sig syscall.Signal) {
	s.record.add("%s gets %s", p.name, sig)
	if err := p.current.Process.Signal(sig); err != nil {
		s.record.add("%s: %v", p.name, err)
	}
}

func (s *site) kill(p *process) {
	s.signal(p, syscall.SIGKILL)
	<-p.exited
}

// close ends every process.
func (s *site) close() {
	for _, p := range s.processes() {
		if p.current != nil {
			_ = p.current.Process.Kill()
			<-p.exited
		}
	}
}

// probe asks a dispatcher every second whether it is ready.
func (s *site) probe(i int) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		ok := false
		if response, err := client.Get("http://" + s.dispatchers[i].ready + "/ready"); err == nil {
			ok = response.StatusCode == http.StatusOK
			response.Body.Close()
		}
		s.mu.Lock()
		s.misses[i]++
		if ok {
			s.misses[i] = 0
		}
		s.mu.Unlock()
		time.Sleep(probeInterval)
	}
}

// pick returns the dispatcher for a new channel: the first one in rotation.
func (s *site) pick() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, d := range s.dispatchers {
		if s.misses[i] < maxMisses {
			return d.callers
		}
	}
	return s.dispatchers[0].callers
}

// awaitServing waits until each dispatcher completes a job that needs every worker.
func (s *site) awaitServing(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for n := 0; time.Now().Before(until); n++ {
		served := 0
		for _, d := range s.dispatchers {
			a := s.submit(d.callers, newJob(len(s.workers), 5*time.Millisecond, 20000, time.Second))
			if a.status == http.StatusOK {
				served++
			}
		}
		if served == len(s.dispatchers) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the system does not serve within %s", timeout)
}

// awaitIdle waits until no run is left, and reports whether that was so in time.
func (s *site) awaitIdle(timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if s.runs.Running() == 0 {
			return true
		}
	}
	return false
}
