// Package peer maintains one connection to every other entry. It carries heartbeats,
// which include the sender's clock, and forwarded submissions. A connection without a
// heartbeat within the silence timeout is replaced.
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
	"github.com/corianderhook/corianderhook/connection/peerstate"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// heartbeatInterval is the least time between two heartbeats to a peer.
	heartbeatInterval = 200 * time.Millisecond
	// reconnectDelay is the delay before a failed connection is opened again.
	reconnectDelay = 100 * time.Millisecond
	// WindowBytes is the flow-control window. A fixed window turns off gRPC's bandwidth
	// probes.
	WindowBytes = 1 << 20
	// MaxMessageBytes limits a message between processes.
	MaxMessageBytes = 64 << 20
)

// Settings holds the parameters and dependencies of Peers.
type Settings struct {
	// Self is the instance of this entry.
	Self  string
	Clock clockwork.Clock
	// Started is the start of this entry, the zero of its own clock.
	Started time.Time
	// SilenceTimeout is the time within which a silent connection is replaced. It is
	// closed after three quarters of this time.
	SilenceTimeout time.Duration
	// Config is the configuration in force. Peers send each other newer versions.
	Config Config
	// Credentials authenticate and encrypt the connections.
	Credentials credentials.TransportCredentials
	// DelayMessage, if set, is called before each heartbeat is sent and after each one is
	// received. It may block, to delay messages in experiments.
	DelayMessage func()
}

// Config gives access to the published configuration of this entry.
type Config interface {
	ConfigVersion() uint64
	Adopt(newer *wire.ConfigVersion)
}

// Peers holds the connections of one entry to all others. It is safe for concurrent
// use.
type Peers struct {
	settings Settings
	mu       sync.Mutex
	// links holds the connections by the instance of the peer.
	links    map[string]*link
	draining bool
}

// link holds the connection to one peer and the state of the peer.
type link struct {
	address string
	cancel  context.CancelFunc
	// conn is nil while there is no connection.
	conn *grpc.ClientConn
	peer peerstate.State
	// clock is the highest clock received from the peer.
	clock uint64
}

// New returns Peers without connections.
func New(settings Settings) *Peers {
	return &Peers{settings: settings, links: map[string]*link{}}
}

// Reconcile opens connections to new entries and closes those to entries that are no
// longer listed.
func (p *Peers) Reconcile(ctx context.Context, entries map[string]ownership.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance, l := range p.links {
		if _, listed := entries[instance]; !listed {
			l.cancel()
			delete(p.links, instance)
		}
	}
	for instance, e := range entries {
		if _, open := p.links[instance]; open || instance == p.settings.Self {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		l := &link{address: e.Address, cancel: cancel}
		p.links[instance] = l
		go p.maintainConnection(ctx, instance, l)
	}
}

// maintainConnection reconnects to a peer until the context ends.
func (p *Peers) maintainConnection(ctx context.Context, instance string, l *link) {
	for ctx.Err() == nil {
		err := p.connect(ctx, instance, l)
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("CH0201 peer connection lost", "peer", instance, "error", err)
		pause.For(ctx, p.settings.Clock, reconnectDelay)
	}
}

func (p *Peers) connect(ctx context.Context, instance string, l *link) error {
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
	heartbeats := make(chan *wire.PeerHeartbeat, 1)
	receiveErr := make(chan error, 1)
	go p.receive(ctx, stream, heartbeats, receiveErr)
	return p.exchangeHeartbeats(ctx, l, stream, heartbeats, receiveErr)
}

// Dial returns a client connection to another process of the system.
func Dial(address string, creds credentials.TransportCredentials) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithInitialWindowSize(WindowBytes),
		grpc.WithInitialConnWindowSize(WindowBytes),
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	)
	return conn, errors.Wrapf(err, "connect to %s", address)
}

func (p *Peers) delayMessage() {
	if p.settings.DelayMessage != nil {
		p.settings.DelayMessage()
	}
}

func (p *Peers) receive(ctx context.Context, stream wire.Entry_PeerClient, heartbeats chan<- *wire.PeerHeartbeat, receiveErr chan<- error) {
	for {
		heartbeat, err := stream.Recv()
		if err != nil {
			receiveErr <- err
			return
		}
		p.delayMessage()
		select {
		case heartbeats <- heartbeat:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Peers) exchangeHeartbeats(ctx context.Context, l *link, stream wire.Entry_PeerClient, heartbeats <-chan *wire.PeerHeartbeat, receiveErr <-chan error) error {
	ticker := p.settings.Clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		p.delayMessage()
		if err := stream.Send(p.Heartbeat()); err != nil {
			return errors.Wrap(err, "send heartbeat")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-receiveErr:
			return errors.Wrap(err, "receive heartbeat")
		case <-p.settings.Clock.After(p.settings.SilenceTimeout * 3 / 4):
			return errors.New("no heartbeat within the silence timeout")
		case heartbeat := <-heartbeats:
			p.recordHeartbeat(l, heartbeat, p.settings.Clock.Now())
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

// HandleHeartbeat records a heartbeat that another entry sent over the connection it
// opened. It shows that the entry is alive even if the connection to it is silent.
func (p *Peers) HandleHeartbeat(heartbeat *wire.PeerHeartbeat) {
	p.mu.Lock()
	l, known := p.links[heartbeat.GetEntry()]
	p.mu.Unlock()
	if known {
		p.recordHeartbeat(l, heartbeat, p.settings.Clock.Now())
	}
}

func (p *Peers) recordHeartbeat(l *link, heartbeat *wire.PeerHeartbeat, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(heartbeat.GetConfig().GetFiles()) > 0 {
		go p.settings.Config.Adopt(heartbeat.GetConfig())
	}
	if l.peer.FirstHeard.IsZero() {
		l.peer.FirstHeard = now
	}
	l.peer.LastHeard = now
	l.peer.HeardEntries = heartbeat.GetHears()
	l.peer.Draining = heartbeat.GetDraining()
	l.clock = max(l.clock, heartbeat.GetClock())
}

// Heartbeat returns the heartbeat to send: the state of this entry and the peers that
// it heard from recently.
func (p *Peers) Heartbeat() *wire.PeerHeartbeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	heartbeat := &wire.PeerHeartbeat{
		Entry:    p.settings.Self,
		Clock:    p.OwnClock(),
		Draining: p.draining,
		Config:   &wire.ConfigVersion{Version: p.settings.Config.ConfigVersion()},
	}
	for instance, l := range p.links {
		if p.settings.Clock.Since(l.peer.LastHeard) <= peerstate.SuspicionTimeout {
			heartbeat.Hears = append(heartbeat.Hears, instance)
		}
	}
	return heartbeat
}

// OwnClock returns this entry's clock: monotonic nanoseconds since its start.
func (p *Peers) OwnClock() uint64 {
	return uint64(p.settings.Clock.Since(p.settings.Started).Nanoseconds())
}

// SetDraining announces to the peers that this entry is about to stop.
func (p *Peers) SetDraining() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// Contacts returns the state of each peer that has sent a heartbeat, by instance.
func (p *Peers) Contacts() map[string]peerstate.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	contacts := make(map[string]peerstate.State, len(p.links))
	for instance, l := range p.links {
		if !l.peer.LastHeard.IsZero() {
			contacts[instance] = l.peer
		}
	}
	return contacts
}

// OwnerClock returns the highest clock received from an entry, or 0 if none was. It is
// never ahead of the entry's own clock.
func (p *Peers) OwnerClock(instance string) uint64 {
	if instance == p.settings.Self {
		return p.OwnClock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, known := p.links[instance]; known {
		return l.clock
	}
	return 0
}

// Client returns a client for an entry, or false if it is not connected.
func (p *Peers) Client(instance string) (wire.EntryClient, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, known := p.links[instance]
	if !known || l.conn == nil {
		return nil, false
	}
	return wire.NewEntryClient(l.conn), true
}
