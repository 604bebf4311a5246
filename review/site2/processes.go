// Package site2 runs a small deployment for the scripts of the second review: the project's
// programs as processes of their own, with the commands and settings templates of the deploy file,
// on loopback addresses, and stand-ins for the store, the executors and the clients.
package site2

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/platform/standin/caller"
	"github.com/corianderhook/corianderhook/platform/standin/endpoint"
	"github.com/corianderhook/corianderhook/platform/standin/operator"
	"github.com/corianderhook/corianderhook/platform/standin/store"
)

// Bounds of the deployment: cancel_ms and stopTimeoutMs of the small sites.
const (
	CancelBound = 3000 * time.Millisecond
	StopBound   = 50 * time.Millisecond
)

// values are the fields of the platform's settings, by placeholder, that are the same for all
// processes.
func values() map[string]string {
	return map[string]string{"limits.memoryMb": "284", "limits.linkMbps": "1000.0", "bounds.graceS": "6", "bounds.retransmitMs": "1300"}
}

// Process is one process of the project.
type Process struct {
	Name    string
	words   []string
	file    string
	log     *os.File
	command *exec.Cmd
	exited  chan struct{}
}

// Start starts the process.
func (p *Process) Start() error {
	p.command = exec.Command(p.words[0], p.words[1:]...)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORIANDERHOOK_NODE_FILE=" + p.file}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		// A process that was killed has no exit code of interest.
		_ = c.Wait()
		close(exited)
	}(p.command, p.exited)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	// A process that has ended needs none.
	_ = p.command.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if p.exited == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Dispatcher is a dispatcher process and its address for clients.
type Dispatcher struct {
	Process
	Front string
	ready string
}

// Sidecar is a sidecar process and the executor beside it.
type Sidecar struct {
	Process
	executor *endpoint.Endpoint
}

// Site is the whole deployment.
type Site struct {
	Record *Record
	// Runs counts the runs at all executors.
	Runs        *endpoint.Record
	Dispatchers []*Dispatcher
	Sidecars    []*Sidecar
	dir         string
	storeAt     string
	// controls are the addresses of the dispatchers for other processes.
	controls []string
	mu       sync.Mutex
	servers  []*http.Server
	clock    clockwork.Clock
	ctx      context.Context
	cancel   context.CancelFunc
}

// maxStarts is the number of attempts to start: a free port may be taken by another process before it
// is used.
const (
	maxStarts = 3
	startTime = 12 * time.Second
)

// New starts a deployment as newSite does, and again on other ports if that fails.
func New(record *Record, dispatchers, sidecars int) (*Site, error) {
	for attempt := 1; ; attempt++ {
		s, err := newSite(record, dispatchers, sidecars)
		if err == nil || attempt == maxStarts {
			return s, err
		}
		record.Write("start %d failed: %v", attempt, err)
		s.Close()
	}
}

// newSite starts a deployment with the given number of dispatchers and sidecars, and waits until each
// dispatcher is ready and serves jobs. The site has to be closed also after an
// error.
func newSite(record *Record, dispatchers, sidecars int) (*Site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	s := &Site{Record: record, Runs: endpoint.NewRecord(), dir: dir, storeAt: freeAddress(1), clock: clockwork.NewRealClock()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err != nil {
		return s, fmt.Errorf("temporary folder: %w", err)
	}
	data := store.New(s.clock)
	if err := s.serve(s.storeAt, data.Handler()); err != nil {
		return s, err
	}
	operator.New(data).Publish(3)
	for i := range dispatchers {
		s.controls = append(s.controls, freeAddress(11+i))
	}
	for i := range dispatchers {
		if err := s.addDispatcher(i); err != nil {
			return s, err
		}
	}
	for i := range sidecars {
		if err := s.addSidecar(i); err != nil {
			return s, err
		}
	}
	return s, s.awaitStart()
}

// network returns the second byte of the addresses, by which scripts that run at the same time differ.
func network() int { return 1 + os.Getpid()%250 }

// freeAddress returns a free loopback address in a subnet of its own for each kind of machine.
func freeAddress(subnet int) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", network(), subnet))
	if err != nil {
		panic(err) // Loopback addresses always exist.
	}
	defer l.Close()
	return l.Addr().String()
}

func (s *Site) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	// Serve ends with an error when the server is closed.
	go func() { _ = server.Serve(l) }()
	return nil
}

// process returns a process with the command of the role and its filled-in template.
func (s *Site) process(name, role string, fields map[string]string) (Process, error) {
	words, template, err := readRole(role)
	if err != nil {
		return Process{}, err
	}
	fields["node"], fields["platform.address"] = name, s.storeAt
	for k, v := range values() {
		fields[k] = v
	}
	text := regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}.*?\{\{/[^}]*\}\}`).ReplaceAllString(template, "")
	text = regexp.MustCompile(`\{\{([^}|]*)\}\}`).ReplaceAllStringFunc(text, func(m string) string { return fields[strings.Trim(m, "{}")] })
	p := Process{Name: name, words: words, file: filepath.Join(s.dir, name+".ini")}
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		return p, fmt.Errorf("settings: %w", err)
	}
	p.log, err = os.Create(filepath.Join(s.dir, name+".log"))
	return p, err
}

// readRole returns the command and the text of the settings template of a role of the deploy file.
func readRole(role string) (words []string, template string, err error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", fmt.Errorf("deploy file: %w", err)
	}
	_, section, _ := strings.Cut(string(deploy), "[roles."+role+"]")
	section, _, _ = strings.Cut(section, "\n[")
	value := func(key string) string {
		m := regexp.MustCompile(key + ` = "([^"]*)"`).FindStringSubmatch(section)
		if m == nil {
			return ""
		}
		return m[1]
	}
	text, err := os.ReadFile(value("template"))
	if err != nil {
		return nil, "", fmt.Errorf("template: %w", err)
	}
	return strings.Fields(value("run")), string(text), nil
}

func (s *Site) addDispatcher(i int) error {
	d := &Dispatcher{Front: freeAddress(11 + i), ready: freeAddress(11 + i)}
	var err error
	d.Process, err = s.process(fmt.Sprintf("front-%d", i+1), "entry", map[string]string{
		"zone": zone(i), "listen.front": d.Front, "listen.ready": d.ready, "listen.control": s.controls[i], "seeds": s.seeds(), "ip": fmt.Sprintf("127.%d.%d.1", network(), 11+i),
	})
	if err != nil {
		return err
	}
	s.Dispatchers = append(s.Dispatchers, d)
	return d.Start()
}

// seeds returns the addresses of at most three dispatchers.
func (s *Site) seeds() string { return strings.Join(s.controls[:min(3, len(s.controls))], ",") }

func zone(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

func (s *Site) addSidecar(i int) error {
	app, control := freeAddress(101+i), freeAddress(101+i)
	p, err := s.process(fmt.Sprintf("side-%d", i+1), "agent", map[string]string{
		"zone": zone(i), "app": app, "listen.control": control, "seeds": s.seeds(), "ip": fmt.Sprintf("127.%d.%d.1", network(), 101+i),
	})
	if err != nil {
		return err
	}
	x := endpoint.New(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), s.Runs, s.clock)
	if err := s.serve(app, s.Record.watch(x.Instance(), x.Handler())); err != nil {
		return err
	}
	s.Sidecars = append(s.Sidecars, &Sidecar{Process: p, executor: x})
	go x.Announce(s.ctx, control, operator.Service, zone(i))
	return s.Sidecars[i].Start()
}

// awaitStart waits until all dispatchers are ready and all executors are held.
func (s *Site) awaitStart() error {
	deadline := time.Now().Add(startTime)
	for time.Now().Before(deadline) {
		if s.started() {
			// The sidecars open their sessions.
			time.Sleep(3 * time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the deployment has not started within %s", startTime)
}

// started reports whether each dispatcher is ready and has a job completed.
func (s *Site) started() bool {
	for i, d := range s.Dispatchers {
		r, err := http.Get("http://" + d.ready + "/ready")
		if err != nil {
			return false
		}
		r.Body.Close()
		if r.StatusCode != http.StatusOK {
			return false
		}
		j := caller.Job{ID: fmt.Sprintf("%016x", time.Now().UnixNano()+int64(i)), Tasks: len(s.Sidecars), RunTime: 20 * time.Millisecond, CPU: 500, Budget: time.Second}
		if attempts := s.Submit(j, d.Front, d.Front); !attempts[len(attempts)-1].Completed() {
			return false
		}
	}
	return true
}

// Close ends all processes and stand-ins.
func (s *Site) Close() {
	s.cancel()
	for _, d := range s.Dispatchers {
		d.Kill()
	}
	for _, x := range s.Sidecars {
		x.Kill()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}
