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
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// askEvery is the time between rounds while no configuration is known.
	bootstrapInterval = 250 * time.Millisecond
	// exchangeTime bounds one exchange with another dispatcher.
	exchangeTimeout = 500 * time.Millisecond
	// remindEvery is the time between rounds without a cause; it repairs what a lost
	// message left behind within the time that configuration may take.
	roundInterval = time.Second
	// roundPause is the least time between two rounds: processes that start together
	// are told of together.
	minRoundInterval = 50 * time.Millisecond
	// announceEvery is the time between two lists of new dispatchers to sidecars.
	announceInterval = 250 * time.Millisecond
)

// peers are the other dispatchers that are known by address. They tell each other
// their addresses and the versions of their configuration, also while the platform's
// store is away.
type peers struct {
	dispatcher *Dispatcher
	mu         sync.Mutex
	gossip     *gossip.Gossip
	sessions   map[*session]bool
	conns      map[string]*grpc.ClientConn
	// fresh are addresses that sidecars have not been told of.
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

// addresses returns this dispatcher's address and those of the others.
func (p *peers) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossip.Addresses()
}

// learn adds addresses that others have told of.
func (p *peers) learn(addresses []string) {
	p.mu.Lock()
	learned := p.gossip.Learn(addresses, p.dispatcher.deps.Clock.Now())
	p.unannounced = append(p.unannounced, learned...)
	p.mu.Unlock()
	if len(learned) > 0 {
		p.requestRound()
	}
}

// announce tells every sidecar the addresses that have come.
func (p *peers) announce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unannounced) == 0 {
		return
	}
	f := &wire.DispatcherFrame{Dispatchers: p.unannounced}
	p.unannounced = nil
	for s := range p.sessions {
		s.out.Put(f)
	}
}

func (p *peers) addSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = true
}

func (p *peers) removeSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

// tell has some others told soon.
func (p *peers) requestRound() {
	select {
	case p.roundRequested <- struct{}{}:
	default:
	}
}

// adopted passes on that a version is in force.
func (p *peers) announceVersion(version uint64) {
	p.fetcher.noteAdopted(version)
	p.requestRound()
}

func (p *peers) version() uint64 {
	if c := p.dispatcher.Catalog(); c != nil {
		return c.Version()
	}
	return 0
}

// knowledge is what this dispatcher tells others; the addresses go only to one whose
// digest differs.
func (p *peers) knowledge(peerDigest uint64) *wire.Knowledge {
	k := &wire.Knowledge{Address: p.dispatcher.deps.Address, CatalogVersion: p.version()}
	p.mu.Lock()
	defer p.mu.Unlock()
	k.Members = p.gossip.Digest()
	if peerDigest != k.GetMembers() {
		k.Dispatchers = p.gossip.Addresses()
	}
	return k
}

// hear takes what another dispatcher knows.
func (p *peers) handleKnowledge(k *wire.Knowledge) {
	p.mu.Lock()
	p.gossip.HeardFrom(k.GetAddress())
	p.mu.Unlock()
	p.learn(append(k.GetDispatchers(), k.GetAddress()))
	p.fetcher.noteOffer(k.GetAddress(), k.GetCatalogVersion())
}

// run exchanges knowledge with some others: on news, while no configuration is known,
// and now and then.
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

// exchange asks what another dispatcher knows, and tells it the addresses that it
// turns out to lack.
func (p *peers) exchange(ctx context.Context, address string) {
	p.mu.Lock()
	peerDigest := p.gossip.Digest()
	p.mu.Unlock()
	for range 2 {
		k, err := p.exchangeOnce(ctx, address, peerDigest)
		if err != nil {
			klog.V(1).InfoS("CH1008 dispatcher does not answer", "address", address, "error", err)
			p.handleNoAnswer(address)
			return
		}
		p.handleKnowledge(k)
		p.mu.Lock()
		ownDigest := p.gossip.Digest()
		p.mu.Unlock()
		if peerDigest = k.GetMembers(); peerDigest == ownDigest {
			return
		}
	}
}

// ask sends what this dispatcher knows to one whose digest is as given.
func (p *peers) exchangeOnce(ctx context.Context, address string, peerDigest uint64) (*wire.Knowledge, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	k, err := wire.NewDispatcherClient(conn).Exchange(ctx, p.knowledge(peerDigest))
	if err != nil {
		return nil, errors.Wrap(err, "dispatcher "+address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gossip.Answered(address, p.dispatcher.deps.Clock.Now())
	return k, nil
}

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

// close closes every connection.
func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}

// missed closes the connection, which may have gone silent, and forgets an address
// that has not answered for long.
func (p *peers) handleNoAnswer(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, open := p.conns[address]; open {
		c.Close()
		delete(p.conns, address)
	}
	if silence, expired := p.gossip.Missed(address, p.dispatcher.deps.Clock.Now()); expired {
		p.unannounced = slices.DeleteFunc(p.unannounced, func(a string) bool { return a == address })
		klog.InfoS("CH1009 dispatcher forgotten", "address", address, "unheard", silence)
	}
}
