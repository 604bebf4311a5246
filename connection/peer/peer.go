// Package peer keeps one connection to every other entry: heartbeats that carry
// the owner's clock, and the forwarding of submissions. A connection that is
// silent for longer than its bound is replaced.
package peer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/connection/contact"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// heartbeat is the time between two heartbeats to a peer.
	heartbeat = 200 * time.Millisecond
	// redial is the pause before a new connection to a peer that failed.
	redial = 100 * time.Millisecond
	// WindowBytes is the fixed flow-control window. A fixed one needs no probes of
	// the connection's bandwidth.
	WindowBytes = 1 << 20
	// MaxMessageBytes is the largest message between processes.
	MaxMessageBytes = 64 << 20
)

// Settings are what Peers is made of.
type Settings struct {
	Self    string
	Clock   clockwork.Clock
	Started time.Time
	// Silence is within which time a silent connection is replaced: it is given up
	// after three quarters of it.
	SilenceTimeout time.Duration
	// Config is the configuration in force, which peers bring each other up to.
	Config Config
	// Credentials secure the connections.
	Credentials credentials.TransportCredentials
	// Pass, where set, may hold messages back in experiments.
	DelayMessage func()
}

// Config is the published configuration of this entry.
type Config interface {
	ConfigVersion() uint64
	Adopt(newer *wire.ConfigVersion)
}

// Peers are the connections of one entry to all others. They are safe for
// concurrent use.
type Peers struct {
	settings Settings
	mu       sync.Mutex
	links    map[string]*link
	draining bool
}

type link struct {
	address string
	cancel  context.CancelFunc
	conn    *grpc.ClientConn
	peer    contact.Contact
	clock   uint64
}

// New returns connections to nobody yet.
func New(settings Settings) *Peers {
	return &Peers{settings: settings, links: map[string]*link{}}
}

// Follow opens connections to new entries and closes those to entries that left.
func (p *Peers) Reconcile(ctx context.Context, entries map[string]ownership.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range p.links {
		if _, listed := entries[name]; !listed {
			l.cancel()
			delete(p.links, name)
		}
	}
	for name, e := range entries {
		if _, open := p.links[name]; open || name == p.settings.Self {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		l := &link{address: e.Address, cancel: cancel}
		p.links[name] = l
		go p.keep(ctx, name, l)
	}
}

// keep holds a connection open until the context ends.
func (p *Peers) keep(ctx context.Context, name string, l *link) {
	for ctx.Err() == nil {
		err := p.connect(ctx, name, l)
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("CH0201 peer connection lost", "peer", name, "error", err)
		pause.For(ctx, p.settings.Clock, redial)
	}
}

func (p *Peers) connect(ctx context.Context, name string, l *link) error {
	conn, err := Dial(l.address, p.settings.Credentials)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wire.NewEntryClient(conn).Peer(ctx)
	if err != nil {
		return errors.Wrap(err, "open peer stream")
	}
	p.setConn(l, conn)
	defer p.setConn(l, nil)
	heard := make(chan *wire.PeerHeartbeat, 1)
	failed := make(chan error, 1)
	go p.receive(ctx, stream, heard, failed)
	return p.exchange(ctx, l, stream, heard, failed)
}

// Dial opens a connection to another process of the system, with credentials
// that secure it.
func Dial(address string, secured credentials.TransportCredentials) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithInitialWindowSize(WindowBytes),
		grpc.WithInitialConnWindowSize(WindowBytes),
		grpc.WithTransportCredentials(secured),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	)
	return conn, errors.Wrapf(err, "connect to %s", address)
}

func (p *Peers) pass() {
	if p.settings.DelayMessage != nil {
		p.settings.DelayMessage()
	}
}

func (p *Peers) receive(ctx context.Context, stream wire.Entry_PeerClient, heard chan<- *wire.PeerHeartbeat, failed chan<- error) {
	for {
		beat, err := stream.Recv()
		if err != nil {
			failed <- err
			return
		}
		p.pass()
		select {
		case heard <- beat:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Peers) exchange(ctx context.Context, l *link, stream wire.Entry_PeerClient, heard <-chan *wire.PeerHeartbeat, failed <-chan error) error {
	ticker := p.settings.Clock.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		p.pass()
		if err := stream.Send(p.Heartbeat()); err != nil {
			return errors.Wrap(err, "send heartbeat")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return errors.Wrap(err, "receive heartbeat")
		case <-p.settings.Clock.After(p.settings.SilenceTimeout * 3 / 4):
			return errors.New("the connection was silent for too long")
		case beat := <-heard:
			p.hear(l, beat, p.settings.Clock.Now())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
}

func (p *Peers) setConn(l *link, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.conn = conn
}

// Heard takes a heartbeat that another entry sent over its own connection. The
// other entry lives, even where the connection to it has gone silent.
func (p *Peers) HandleHeartbeat(beat *wire.PeerHeartbeat) {
	p.mu.Lock()
	l, known := p.links[beat.GetEntry()]
	p.mu.Unlock()
	if known {
		p.hear(l, beat, p.settings.Clock.Now())
	}
}

func (p *Peers) hear(l *link, beat *wire.PeerHeartbeat, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(beat.GetConfig().GetFiles()) > 0 {
		go p.settings.Config.Adopt(beat.GetConfig())
	}
	if l.peer.FirstHeard.IsZero() {
		l.peer.FirstHeard = now
	}
	l.peer.LastHeard = now
	l.peer.HeardEntries = beat.GetHears()
	l.peer.Draining = beat.GetDraining()
	l.clock = max(l.clock, beat.GetClock())
}

// Heartbeat returns what this entry says of itself.
func (p *Peers) Heartbeat() *wire.PeerHeartbeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	beat := &wire.PeerHeartbeat{
		Entry:    p.settings.Self,
		Clock:    p.OwnClock(),
		Draining: p.draining,
		Config:   &wire.ConfigVersion{Version: p.settings.Config.ConfigVersion()},
	}
	for name, l := range p.links {
		if p.settings.Clock.Since(l.peer.LastHeard) <= contact.SuspicionTimeout {
			beat.Hears = append(beat.Hears, name)
		}
	}
	return beat
}

// Now returns this entry's clock: monotonic nanoseconds since its start.
func (p *Peers) OwnClock() uint64 {
	return uint64(p.settings.Clock.Since(p.settings.Started).Nanoseconds())
}

// SetDraining tells the peers that this entry is about to stop.
func (p *Peers) SetDraining() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// Known returns what is known of each peer.
func (p *Peers) Contacts() map[string]contact.Contact {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]contact.Contact, len(p.links))
	for name, l := range p.links {
		if !l.peer.LastHeard.IsZero() {
			known[name] = l.peer
		}
	}
	return known
}

// Reading returns the clock of an entry as it was last heard. It is never ahead
// of that entry's clock.
func (p *Peers) ClockOf(name string) uint64 {
	if name == p.settings.Self {
		return p.OwnClock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, known := p.links[name]; known {
		return l.clock
	}
	return 0
}

// Client returns the connection to an entry, if there is one.
func (p *Peers) Client(name string) (wire.EntryClient, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, known := p.links[name]
	if !known || l.conn == nil {
		return nil, false
	}
	return wire.NewEntryClient(l.conn), true
}
