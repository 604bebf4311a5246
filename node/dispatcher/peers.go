package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/connection/peer"
	"github.com/corianderhook/corianderhook/process/gossip"
	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/sharing/startup"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// bootstrapInterval is the time between two rounds while no configuration is known.
	bootstrapInterval = 250 * time.Millisecond
	// exchangeTimeout limits one request to another dispatcher.
	exchangeTimeout = 500 * time.Millisecond
	// roundInterval is the time between two rounds if nothing has changed. These rounds make
	// up for lost messages within the 2 s in which a configuration must be in force.
	roundInterval = time.Second
	// minRoundInterval is the minimum time between two rounds, so that processes that start
	// together are announced together.
	minRoundInterval = 50 * time.Millisecond
	// announceInterval is the time between two announcements of new dispatchers to sidecars.
	announceInterval = 250 * time.Millisecond
)

// peers exchanges the known addresses and the configuration version with the other
// dispatchers, also while the platform's store is unreachable, and announces the addresses
// to the sidecars.
type peers struct {
	dispatcher *Dispatcher
	mu         sync.Mutex
	gossip     *gossip.Gossip
	sessions   map[*session]bool
	conns      map[string]*grpc.ClientConn
	// unannounced holds the addresses that have not been sent to the sidecars yet.
	unannounced    []string
	roundRequested chan struct{}
	fetcher        *fetcher
}

func newPeers(d *Dispatcher) *peers {
	p := &peers{
		dispatcher: d, gossip: gossip.New(d.deps.Address, d.incarnation), sessions: map[*session]bool{},
		conns: map[string]*grpc.ClientConn{}, roundRequested: make(chan struct{}, 1),
	}
	p.fetcher = newFetcher(p)
	return p
}

// addresses returns the address of this dispatcher and those of its known peers.
func (p *peers) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossip.Addresses()
}

// others returns the addresses of the known peers.
func (p *peers) others() []string {
	return slices.DeleteFunc(p.addresses(), func(a string) bool { return a == p.dispatcher.deps.Address })
}

// learn adds addresses, and requests a round if any of them is new.
func (p *peers) learn(addresses []string) {
	p.mu.Lock()
	learned := p.gossip.Learn(addresses, p.dispatcher.deps.Clock.Now())
	p.unannounced = append(p.unannounced, learned...)
	p.mu.Unlock()
	if len(learned) > 0 {
		p.requestRound()
	}
}

// announce sends the new addresses to every sidecar.
func (p *peers) announce() {
	p.mu.Lock()
	addresses := p.unannounced
	p.unannounced = nil
	p.mu.Unlock()
	if len(addresses) > 0 {
		p.sendToSidecars(&wire.DispatcherFrame{Dispatchers: addresses})
	}
}

// sendToSidecars queues a frame for every sidecar with a session.
func (p *peers) sendToSidecars(f *wire.DispatcherFrame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.out.Put(f)
	}
}

// handleCancellations applies the canceled jobs in a message from another dispatcher. The answer
// to the message says which of them were held here.
func (p *peers) handleCancellations(k *wire.Knowledge) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	p.dispatcher.learnCancellations(ctx, k.GetCancellations())
}

func (p *peers) addSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = true
}

// closeSilentSessions closes the sessions on which nothing has arrived for sessionTimeout.
func (p *peers) closeSilentSessions(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		if s.silence(now) > sessionTimeout {
			s.close()
		}
	}
}

func (p *peers) removeSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

// requestRound requests a round as soon as minRoundInterval permits.
func (p *peers) requestRound() {
	select {
	case p.roundRequested <- struct{}{}:
	default:
	}
}

// announceVersion announces a version that is in force now.
func (p *peers) announceVersion(version uint64) {
	p.fetcher.noteAdopted(version)
	p.requestRound()
}

// version returns the version in force, or 0.
func (p *peers) version() uint64 {
	if c := p.dispatcher.Catalog(); c != nil {
		return c.Version()
	}
	return 0
}

// knowledge returns this dispatcher's state for a peer. The addresses are included only if
// the peer's digest differs.
func (p *peers) knowledge(peerDigest uint64) *wire.Knowledge {
	k := &wire.Knowledge{
		Address: p.dispatcher.deps.Address, CatalogVersion: p.version(),
		Evacuation: p.dispatcher.gate.Message(p.dispatcher.deps.Clock.Now()), Crashes: p.dispatcher.sharedCrashes(),
		Quarantines: *p.dispatcher.quarantines.Load(), Cancellations: p.dispatcher.cancellations.Recent(p.dispatcher.deps.Clock.Now()),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k.Members = p.gossip.Digest()
	if peerDigest != k.GetMembers() {
		k.Dispatchers = p.gossip.Addresses()
	}
	return k
}

// handleKnowledge applies the state received from another dispatcher. RequestedAt is when this
// dispatcher asked for it, or the zero time if it did not ask.
func (p *peers) handleKnowledge(k *wire.Knowledge, requestedAt time.Time) {
	p.dispatcher.reachStep(startup.PeerHeard)
	p.handleEvacuation(k.GetEvacuation(), requestedAt, k.GetAddress())
	p.handleCrashes(k)
	p.handleCancellations(k)
	p.mu.Lock()
	p.gossip.HeardFrom(k.GetAddress())
	p.mu.Unlock()
	p.learn(append(k.GetDispatchers(), k.GetAddress()))
	p.fetcher.noteOffer(k.GetAddress(), k.GetCatalogVersion())
}

// run exchanges state with some peers in rounds until the context ends: when a round is
// requested, every bootstrapInterval while no configuration is known, and otherwise every
// roundInterval.
func (p *peers) run(ctx context.Context) {
	clock := p.dispatcher.deps.Clock
	go p.fetcher.run(ctx)
	go func() {
		for pause.For(ctx, clock, announceInterval) {
			p.announce()
		}
	}()
	for pause.For(ctx, clock, minRoundInterval) {
		interval := roundInterval
		if p.dispatcher.Catalog() == nil {
			interval = bootstrapInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-p.roundRequested:
		case <-clock.After(interval):
		}
		p.mu.Lock()
		round := p.gossip.NextRound()
		p.mu.Unlock()
		for _, a := range round {
			go p.exchange(ctx, a)
		}
	}
}

// exchange exchanges state with another dispatcher. If the digests still differ after the
// first request, a second one sends the addresses that the other may lack.
func (p *peers) exchange(ctx context.Context, address string) {
	p.mu.Lock()
	peerDigest := p.gossip.Digest()
	p.mu.Unlock()
	for range 2 {
		requestedAt := p.dispatcher.deps.Clock.Now()
		k, err := p.exchangeOnce(ctx, address, peerDigest)
		if err != nil {
			klog.V(1).InfoS("CH1008 dispatcher does not answer", "address", address, "error", err)
			p.handleNoAnswer(address)
			return
		}
		p.handleKnowledge(k, requestedAt)
		p.mu.Lock()
		ownDigest := p.gossip.Digest()
		p.mu.Unlock()
		if peerDigest = k.GetMembers(); peerDigest == ownDigest {
			return
		}
	}
}

// exchangeOnce sends this dispatcher's state to a peer with the given digest and returns
// the peer's state.
func (p *peers) exchangeOnce(ctx context.Context, address string, peerDigest uint64) (*wire.Knowledge, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	p.dispatcher.usage.Add(usage.Exchanges, 1)
	k, err := wire.NewDispatcherClient(conn).Exchange(ctx, p.knowledge(peerDigest))
	if err != nil {
		return nil, errors.Wrap(err, "dispatcher "+address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gossip.Answered(address, p.dispatcher.deps.Clock.Now())
	return k, nil
}

// conn returns the connection to an address; it dials if there is none.
func (p *peers) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, open := p.conns[address]; open {
		return c, nil
	}
	c, err := peer.Dial(address, insecure.NewCredentials())
	if err != nil {
		return nil, err
	}
	p.conns[address] = c
	return c, nil
}

// close closes the connections to all peers.
func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}

// handleNoAnswer closes the connection, which may be broken without an error, and drops the
// address if it has not answered for too long.
func (p *peers) handleNoAnswer(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, open := p.conns[address]; open {
		c.Close()
		delete(p.conns, address)
	}
	if silence, expired := p.gossip.Missed(address, p.dispatcher.deps.Clock.Now()); expired {
		p.unannounced = slices.DeleteFunc(p.unannounced, func(a string) bool { return a == address })
		klog.InfoS("CH1009 dispatcher address expired", "address", address, "unheard", silence)
	}
}
