// Package local runs entries, agents, sample endpoints and the stand-in log in one process,
// connected by real sockets on loopback, for the demonstration and the benchmarks.
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

// Settings are the settings of a Local.
type Settings struct {
	Entries int
	Agents  int
	// Slots is the number of task slots per agent.
	Slots int
	Zones int
	// FIFO runs the baseline scheduler, first come first served.
	FIFO bool
	// ExtraConfig holds INI files with kinds, teams and limits for every process.
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
	// CallerAddress is the address at which an entry serves callers.
	CallerAddress string
	Entry         *entry.Entry
	Agent         *agent.Agent
	Endpoint      *sample.Endpoint
	Gate          *Gate
	// ProcessListener is the listener of an entry for other processes.
	ProcessListener *Listener

	files          []config.File
	listeners      entry.Listeners
	adminListener  net.Listener
	endpointServer *http.Server
}

// Local is a whole system in one process.
type Local struct {
	settings       Settings
	actorSystem    *actor.ActorSystem
	starts         *sample.Starts
	store          *logstore.Store
	logAddress     string
	servers        []*http.Server
	ctx            context.Context
	cancel         context.CancelFunc
	group          sync.WaitGroup
	mu             sync.Mutex
	entries        []*Node
	agents         []*Node
	entryAddresses string
}

// Start starts the log, the entries, the endpoints and their agents, and returns once all
// are connected.
func Start(ctx context.Context, s Settings) (*Local, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &Local{
		settings:    s,
		actorSystem: s.System,
		starts:      sample.NewStarts(),
		store:       logstore.New(s.Clock, logstore.WithSeed(s.Seed)),
		ctx:         ctx,
		cancel:      cancel,
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
	l.logAddress = listener.Addr().String()
	l.serve(&http.Server{Handler: l.store.Handler(), ReadHeaderTimeout: headerTimeout}, listener)
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
	headerTimeout = 5 * time.Second
	// readyTimeout limits how long WaitReady waits.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
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

func (l *Local) zoneOf(i int) string { return fmt.Sprintf("z%d", i%max(1, l.settings.Zones)+1) }

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
	n := &Node{Name: name, Zone: l.zoneOf(len(l.entries)), AdminAddress: admin.Addr().String(), CallerAddress: callers.Addr().String()}
	n.ProcessListener = NewListener(processes)
	n.listeners = entry.Listeners{Processes: n.ProcessListener, Callers: callers, Admin: admin}
	n.files = append(l.processConfig(n), config.File{Name: "20-entry.ini", Text: fmt.Sprintf(
		"[entry]\nlisten = %s\ncallers = %s\nadmin = %s\n", processes.Addr(), n.CallerAddress, n.AdminAddress)})
	if l.entryAddresses != "" {
		l.entryAddresses += ","
	}
	l.entryAddresses += processes.Addr().String()
	l.entries = append(l.entries, n)
	return n, l.runEntry(n)
}

func (l *Local) processConfig(n *Node) []config.File {
	text := fmt.Sprintf("[process]\nname = %s\nzone = %s\n[log]\naddress = %s\n", n.Name, n.Zone, l.logAddress)
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
		Log:             logclient.New(l.logAddress),
		Clock:           l.settings.Clock,
		System:          l.actorSystem,
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

// AddAgent starts a sample endpoint with its agent.
func (l *Local) AddAgent(name string, zone int) (*Node, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Zone: l.zoneOf(zone), Endpoint: sample.New(l.settings.Clock, l.starts)}
	n.endpointServer = &http.Server{Handler: n.Endpoint, ReadHeaderTimeout: headerTimeout}
	go func() {
		// Serve ends with an error when the server is closed.
		_ = n.endpointServer.Serve(listener)
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	n.files = append(l.processConfig(n), config.File{Name: "20-agent.ini", Text: fmt.Sprintf(
		"[agent]\nendpoint = http://%s/run\nslots = %d\nentries = %s\nadmin = 127.0.0.1:1\n",
		listener.Addr(), l.settings.Slots, l.entryAddresses)})
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
	if n.adminListener, err = listen(); err != nil {
		return err
	}
	n.AdminAddress = n.adminListener.Addr().String()
	n.Gate = NewGate()
	n.Agent = agent.New(agent.Dependencies{Config: c, Files: n.files, Clock: l.settings.Clock, System: l.actorSystem, Gate: n.Gate})
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		if err := n.Agent.Run(l.ctx, n.adminListener); err != nil {
			klog.ErrorS(err, "CH0902 local agent failed", "agent", n.Name)
		}
	}()
	return nil
}

// RestartAgent kills an agent and starts it again. Its endpoint keeps running.
func (l *Local) RestartAgent(n *Node) error {
	n.Agent.Kill()
	return l.runAgent(n)
}

// KillAgent kills an agent and its endpoint, which simulates a failure of their VM.
func (l *Local) KillAgent(n *Node) {
	n.Agent.Kill()
	n.endpointServer.Close()
}

// WaitReady waits until every entry is ready and sees all entries and the given number of
// agents.
func (l *Local) WaitReady(ctx context.Context, agents int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !l.ready(ctx, agents) {
		select {
		case <-ctx.Done():
			return errors.New("the local system was not ready in time")
		case <-l.settings.Clock.After(readyPollInterval):
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

// Entries returns the entries started so far.
func (l *Local) Entries() []*Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Node(nil), l.entries...)
}

// Agents returns the agents started so far.
func (l *Local) Agents() []*Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Node(nil), l.agents...)
}

// Starts returns the record of task starts that the endpoints keep.
func (l *Local) Starts() *sample.Starts { return l.starts }

// Log returns the stand-in log.
func (l *Local) Log() *logstore.Store { return l.store }

// LogAddress returns the ip:port of the stand-in log.
func (l *Local) LogAddress() string { return l.logAddress }

// Stop stops the entries, agents, endpoints and the log.
func (l *Local) Stop() {
	l.cancel()
	l.group.Wait()
	for _, n := range l.agents {
		n.endpointServer.Close()
	}
	for _, s := range l.servers {
		s.Close()
	}
	l.actorSystem.Shutdown()
}
