package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/platform/standin/store"
)

const (
	program = "target/corianderhook"
	service = "checks"
	host    = "checks.example"
	prefix  = "/checks/"
	// trialPrefix is that of a queue of its own, so that trials tell nothing of the other's run times.
	trialPrefix = "/trials/"
	// allSessions is the number of dispatchers up to which each reaches all executors.
	allSessions = 3
	// maxSeeds is the number of dispatchers that a process's settings name.
	maxSeeds = 3
	// readyTime is the longest time until the site serves.
	readyTime = 20 * time.Second
)

// process is a process of the project.
type process struct {
	name, role, settings, log string
	front, ready, control     string
	command                   *exec.Cmd
	ended                     chan struct{}
}

// site is a small deployment: the project's processes, and stand-ins for the rest.
type site struct {
	record  *record
	folder  string
	stretch float64
	// memory is that of a dispatcher's machine, in MB.
	memory      int
	store       *store.Store
	storeAt     string
	dispatchers []*process
	sidecars    []*process
	executors   []*executor
	taken       map[string]bool
	// links is nil if no machine is to be cut off.
	links *links
}

func newSite() (*site, error) {
	folder, err := os.MkdirTemp("", "site3")
	if err != nil {
		return nil, err
	}
	return &site{record: newRecord(), folder: folder, stretch: 1.6, memory: 284, taken: map[string]bool{}}, nil
}

// address returns a free loopback address.
func (s *site) address() (string, error) {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		a := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
		if !s.taken[a] {
			s.taken[a] = true
			return a, nil
		}
	}
}

// serveStore starts the store's stand-in, with a desired state of one queue. The handler may be wrapped.
func (s *site) serveStore(wrap func(http.Handler) http.Handler) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.store, s.storeAt = store.New(clockwork.NewRealClock()), l.Addr().String()
	server := &http.Server{Handler: wrap(s.store.Handler()), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(l) }()
	text, err := json.Marshal(map[string]any{
		"version": 1, "services": []map[string]any{{"name": service}}, "limits": map[string]any{"maxBodyBytes": 1 << 18},
		"routes": []map[string]any{s.route("checks", prefix), s.route("trials", trialPrefix)},
	})
	if err != nil {
		return err
	}
	s.store.Put(name("operator topic"), "config", text)
	return nil
}

func (s *site) route(queue, path string) map[string]any {
	return map[string]any{
		"name": queue, "host": host, name("path"): path, "service": service, name("timeout"): 1500, name("latency"): 60,
		"priority": 0, name("attempts"): 3, "stretch": s.stretch,
	}
}

// start starts the whole site and waits until it serves.
func (s *site) start(dispatchers, sidecars int) error {
	if s.store == nil {
		if err := s.serveStore(func(h http.Handler) http.Handler { return h }); err != nil {
			return err
		}
	}
	for i := range dispatchers {
		if err := s.addDispatcher(fmt.Sprintf("front-%d", i+1)); err != nil {
			return err
		}
	}
	for _, p := range s.dispatchers {
		storeAt, seeds, err := s.reach(p)
		if err != nil {
			return err
		}
		if err := s.launch(p, s.dispatcherSettings(p, storeAt, seeds)); err != nil {
			return err
		}
	}
	for i := range sidecars {
		if err := s.addSidecar(fmt.Sprintf("side-%d", i+1)); err != nil {
			return err
		}
	}
	return s.awaitService()
}

func (s *site) addDispatcher(name string) error {
	p := &process{name: name, role: "dispatcher"}
	for _, a := range []*string{&p.front, &p.ready, &p.control} {
		var err error
		if *a, err = s.address(); err != nil {
			return err
		}
	}
	if s.links != nil {
		p.control = s.links.addDispatcher(name)
	}
	s.dispatchers = append(s.dispatchers, p)
	return nil
}

func (s *site) addSidecar(name string) error {
	p := &process{name: name, role: "sidecar"}
	app, err := s.address()
	if err != nil {
		return err
	}
	if p.control, err = s.address(); err != nil {
		return err
	}
	e := newExecutor("i-"+name, app, p.control, s.record)
	s.sidecars, s.executors = append(s.sidecars, p), append(s.executors, e)
	if err := e.start(); err != nil {
		return err
	}
	storeAt, seeds, err := s.reach(p)
	if err != nil {
		return err
	}
	return s.launch(p, s.sidecarSettings(p, app, storeAt, seeds))
}

// reach returns the addresses at which a process finds the store and its first dispatchers.
func (s *site) reach(p *process) (storeAt, seeds string, err error) {
	var addresses []string
	for i, d := range s.dispatchers {
		address := d.control
		if s.links != nil {
			// All have forwarders, also those that it learns of later.
			if address, err = s.links.addressFor(p.name, d.name); err != nil {
				return "", "", err
			}
		}
		if i < maxSeeds {
			addresses = append(addresses, address)
		}
	}
	storeAt = s.storeAt
	if s.links != nil {
		storeAt, err = s.links.storeFor(p.name, s.storeAt)
	}
	return storeAt, strings.Join(addresses, ","), err
}

// commonSettings ends the settings of both roles as the templates of the deploy file have them.
const commonSettings = "[runtime]\nmemory = %d\nlink = 1000\ngrace = 6s\nresubmission = 1300ms\n[intake]\ndescriptors = %d\n" +
	"[sharing]\nrecovery = on\nslowness = on\nroom = on\n"

func (s *site) dispatcherSettings(p *process, storeAt, seeds string) string {
	return fmt.Sprintf("[process]\nname = %s\nzone = z1\n[store]\naddress = %s\n[dispatcher]\ncallers = %s\nready = %s\nlisten = %s\npeers = %s\n",
		p.name, storeAt, p.front, p.ready, p.control, seeds) + fmt.Sprintf(commonSettings, s.memory, 4100)
}

func (s *site) sidecarSettings(p *process, app, storeAt, seeds string) string {
	return fmt.Sprintf("[process]\nname = %s\nzone = z1\n[store]\naddress = %s\n[sidecar]\nendpoint = %s\nannouncements = %s\ndispatchers = %s\n",
		p.name, storeAt, app, p.control, seeds) + fmt.Sprintf(commonSettings, 152, 4096)
}

// launch starts a process with the command of the deploy file.
func (s *site) launch(p *process, settings string) error {
	p.settings, p.log = filepath.Join(s.folder, p.name+".ini"), filepath.Join(s.folder, p.name+".log")
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	return s.run(p)
}

// run starts the process, for the first time or again. Like a machine of the users' platform, it has one
// core.
func (s *site) run(p *process) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(program, p.role)
	p.command.Env = append(os.Environ(), "CORIANDERHOOK_NODE_FILE="+p.settings, "GOMAXPROCS=1")
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	s.record.note("process %s starts", p.name)
	ended := make(chan struct{})
	p.ended = ended
	go func(command *exec.Cmd) {
		defer close(ended)
		_ = command.Wait()
	}(p.command)
	return nil
}

// signal sends a signal to a process.
func (s *site) signal(p *process, sig syscall.Signal) {
	s.record.note("process %s gets %s", p.name, sig)
	if err := p.command.Process.Signal(sig); err != nil {
		s.record.note("process %s: %v", p.name, err)
	}
}

// stop ends all processes.
func (s *site) stop() {
	for _, p := range append(append([]*process{}, s.dispatchers...), s.sidecars...) {
		if p.command == nil {
			continue
		}
		_ = p.command.Process.Kill()
		<-p.ended
	}
}

// awaitService waits until each dispatcher runs tasks at the executors that it reaches.
func (s *site) awaitService() error {
	c := newCaller(s.record)
	c.quiet, c.prefix = true, trialPrefix
	deadline := time.Now().Add(readyTime)
	reached := len(s.executors)
	if len(s.dispatchers) > allSessions {
		// A sidecar holds sessions with some of the dispatchers only.
		reached = 2
	}
	for _, d := range s.dispatchers {
		for {
			if time.Now().After(deadline) {
				return fmt.Errorf("dispatcher %s does not serve", d.name)
			}
			trial := newJob(work{RunMS: 10}, step{count: reached, cpu: 500, memory: 64, estimate: 10 * time.Millisecond, spread: 1})
			if c.submit(d.front, newID(), trial, time.Second) == http.StatusOK {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.record.note("the site serves")
	return nil
}
