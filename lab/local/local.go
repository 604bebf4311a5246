// Package local runs entries, agents, sample endpoints and the stand-in log on
// loopback in one process, over real sockets, for the demonstration and the
// experiments.
package local

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/connection/logclient"
	"github.com/corianderhook/corianderhook/lab/logstore"
	"github.com/corianderhook/corianderhook/lab/sample"
	"github.com/corianderhook/corianderhook/node/agent"
	"github.com/corianderhook/corianderhook/node/entry"
	"github.com/corianderhook/corianderhook/process/dispatch"
	"github.com/corianderhook/corianderhook/version/config"
)

// Settings are what a Local consists of.
type Settings struct {
	Entries int
	Agents  int
	// Slots is the number of slots per agent.
	Slots int
	Zones int
	// FIFO runs the baseline: first come first served.
	FIFO bool
	// Extra are INI texts with kinds, teams and limits.
	ExtraConfig []config.File
	Clock       clockwork.Clock
	System      *actor.ActorSystem
	Seed        uint64
}

// Node is one entry or agent of a Local.
type Node struct {
	Name         string
	Zone         string
	AdminAddress string
	// Callers is the callers' address of an entry.
	CallerAddress string
	Entry         *entry.Entry
	Agent         *agent.Agent
	Endpoint      *sample.Endpoint
	Gate          *Gate
	// Processes is the listener of an entry for the other processes.
	ProcessListener *Listener

	files     []config.File
	listeners entry.Listeners
	admin     net.Listener
	endpoint  *http.Server
}

// Local is a whole system in one process.
type Local struct {
	settings Settings
	system   *actor.ActorSystem
	starts   *sample.Starts
	store    *logstore.Store
	logAddr  string
	servers  []*http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex
	entries  []*Node
	agents   []*Node
	seeds    string
}

// Start runs the parts and returns once they are connected.
func Start(ctx context.Context, s Settings) (*Local, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &Local{
		settings: s,
		system:   s.System,
		starts:   sample.NewStarts(),
		store:    logstore.New(s.Clock, logstore.WithSeed(s.Seed)),
		ctx:      ctx,
		cancel:   cancel,
	}
	if err := l.start(); err != nil {
		l.Stop()
		return nil, err
	}
	return l, nil
}

func (l *Local) start() error {
	listener, err := listen()
	if err != nil {
		return err
	}
	l.logAddr = listener.Addr().String()
	l.serve(&http.Server{Handler: l.store.Handler(), ReadHeaderTimeout: headerTime}, listener)
	for i := range l.settings.Entries {
		if _, err := l.AddEntry(fmt.Sprintf("e%d", i+1)); err != nil {
			return err
		}
	}
	for i := range l.settings.Agents {
		if _, err := l.AddAgent(fmt.Sprintf("a%d", i+1), i); err != nil {
			return err
		}
	}
	return l.WaitReady(l.ctx, l.settings.Agents)
}

const (
	headerTime = 5 * time.Second
	// readyTime bounds the start of all parts.
	readyTime = 20 * time.Second
	readyPoll = 20 * time.Millisecond
)

func listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	return listener, errors.Wrap(err, "loopback port")
}

func (l *Local) serve(s *http.Server, listener net.Listener) {
	l.servers = append(l.servers, s)
	go func() {
		// Serve ends with an error when the server is closed.
		_ = s.Serve(listener)
	}()
}

func (l *Local) zone(i int) string { return fmt.Sprintf("z%d", i%max(1, l.settings.Zones)+1) }

// AddEntry starts an entry.
func (l *Local) AddEntry(name string) (*Node, error) {
	processes, err := listen()
	if err != nil {
		return nil, err
	}
	callers, err := listen()
	if err != nil {
		return nil, err
	}
	admin, err := listen()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := &Node{Name: name, Zone: l.zone(len(l.entries)), AdminAddress: admin.Addr().String(), CallerAddress: callers.Addr().String()}
	n.ProcessListener = NewListener(processes)
	n.listeners = entry.Listeners{Processes: n.ProcessListener, Callers: callers, Admin: admin}
	n.files = append(l.process(n), config.File{Name: "20-entry.ini", Text: fmt.Sprintf(
		"[entry]\nlisten = %s\ncallers = %s\nadmin = %s\n", processes.Addr(), n.CallerAddress, n.AdminAddress)})
	if l.seeds != "" {
		l.seeds += ","
	}
	l.seeds += processes.Addr().String()
	l.entries = append(l.entries, n)
	return n, l.runEntry(n)
}

func (l *Local) process(n *Node) []config.File {
	text := fmt.Sprintf("[process]\nname = %s\nzone = %s\n[log]\naddress = %s\n", n.Name, n.Zone, l.logAddr)
	return append([]config.File{{Name: "10-process.ini", Text: text}}, l.settings.ExtraConfig...)
}

func (l *Local) runEntry(n *Node) error {
	c, err := config.Merge(n.files)
	if err != nil {
		return err
	}
	if err := c.CheckRole(config.RoleEntry); err != nil {
		return err
	}
	n.Gate = NewGate()
	var options []dispatch.Option
	if l.settings.FIFO {
		options = append(options, dispatch.WithBaseline())
	}
	n.Entry = entry.New(entry.Dependencies{
		Files:           n.files,
		DispatchOptions: options,
		Config:          c,
		Log:             logclient.New(l.logAddr),
		Clock:           l.settings.Clock,
		System:          l.system,
		Seed:            l.settings.Seed,
		Gate:            n.Gate,
	})
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		if err := n.Entry.Run(l.ctx, n.listeners); err != nil {
			klog.ErrorS(err, "CH0901 local entry failed", "entry", n.Name)
		}
	}()
	return nil
}

// AddAgent starts a sample endpoint with an agent beside it.
func (l *Local) AddAgent(name string, zone int) (*Node, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Zone: l.zone(zone), Endpoint: sample.New(l.settings.Clock, l.starts)}
	n.endpoint = &http.Server{Handler: n.Endpoint, ReadHeaderTimeout: headerTime}
	go func() {
		// Serve ends with an error when the server is closed.
		_ = n.endpoint.Serve(listener)
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	n.files = append(l.process(n), config.File{Name: "20-agent.ini", Text: fmt.Sprintf(
		"[agent]\nendpoint = http://%s/run\nslots = %d\nentries = %s\nadmin = 127.0.0.1:1\n",
		listener.Addr(), l.settings.Slots, l.seeds)})
	l.agents = append(l.agents, n)
	return n, l.runAgent(n)
}

func (l *Local) runAgent(n *Node) error {
	c, err := config.Merge(n.files)
	if err != nil {
		return err
	}
	if err := c.CheckRole(config.RoleAgent); err != nil {
		return err
	}
	if n.admin, err = listen(); err != nil {
		return err
	}
	n.AdminAddress = n.admin.Addr().String()
	n.Gate = NewGate()
	n.Agent = agent.New(agent.Dependencies{Config: c, Files: n.files, Clock: l.settings.Clock, System: l.system, Gate: n.Gate})
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		if err := n.Agent.Run(l.ctx, n.admin); err != nil {
			klog.ErrorS(err, "CH0902 local agent failed", "agent", n.Name)
		}
	}()
	return nil
}

// RestartAgent ends an agent beside its living endpoint and starts it anew.
func (l *Local) RestartAgent(n *Node) error {
	n.Agent.Kill()
	return l.runAgent(n)
}

// KillAgent ends an agent and its endpoint, as a failure of their VM would.
func (l *Local) KillAgent(n *Node) {
	n.Agent.Kill()
	n.endpoint.Close()
}

// WaitReady returns once every entry that runs is ready and sees the agents.
func (l *Local) WaitReady(ctx context.Context, agents int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for !l.ready(ctx, agents) {
		select {
		case <-ctx.Done():
			return errors.New("the local system was not ready in time")
		case <-l.settings.Clock.After(readyPoll):
		}
	}
	return nil
}

func (l *Local) ready(ctx context.Context, agents int) bool {
	for _, n := range l.Entries() {
		s, err := n.Entry.Status(ctx)
		if err != nil || !s.Ready || len(s.Agents) < agents || len(s.Entries) < l.settings.Entries {
			return false
		}
		if s.Slots["active"] == 0 {
			return false
		}
	}
	return true
}

// Entries returns the entries that were started.
func (l *Local) Entries() []*Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Node(nil), l.entries...)
}

// Agents returns the agents that were started.
func (l *Local) Agents() []*Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Node(nil), l.agents...)
}

// Starts returns the endpoints' own record of starts.
func (l *Local) Starts() *sample.Starts { return l.starts }

// Log returns the stand-in log.
func (l *Local) Log() *logstore.Store { return l.store }

// LogAddress returns ip:port of the stand-in log.
func (l *Local) LogAddress() string { return l.logAddr }

// Stop ends every part.
func (l *Local) Stop() {
	l.cancel()
	l.group.Wait()
	for _, n := range l.agents {
		n.endpoint.Close()
	}
	for _, s := range l.servers {
		s.Close()
	}
	l.system.Shutdown()
}
