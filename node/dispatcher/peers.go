package dispatcher

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/connection/peer"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// askEvery is the time between questions to others while no configuration is known.
	askEvery = 250 * time.Millisecond
	// exchangeTime bounds one exchange with another dispatcher.
	exchangeTime = 500 * time.Millisecond
	// remindEvery is the time between exchanges without a cause; it repairs what a
	// lost message left behind within the time that configuration may take.
	remindEvery = time.Second
	// forgetAfter is how long an address that does not answer is kept.
	forgetAfter = time.Minute
	// shunFor is how long a forgotten address is not learned again by hearsay: until
	// every other dispatcher has forgotten it too.
	shunFor = 3 * forgetAfter
)

// peers are the other dispatchers that are known by address. They pass on the
// newest configuration and each other's addresses, also while the platform's store
// is away.
type peers struct {
	dispatcher *Dispatcher
	mu         sync.Mutex
	// answered is when an address last answered, or was learned.
	answered map[string]time.Time
	// forgotten is when an address was forgotten.
	forgotten map[string]time.Time
	sessions  map[*session]bool
	conns     map[string]*grpc.ClientConn
	news      chan struct{}
}

func newPeers(d *Dispatcher) *peers {
	return &peers{
		dispatcher: d, answered: map[string]time.Time{}, forgotten: map[string]time.Time{}, sessions: map[*session]bool{},
		conns: map[string]*grpc.ClientConn{}, news: make(chan struct{}, 1),
	}
}

// addresses returns this dispatcher's address and those of the others.
func (p *peers) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string{p.dispatcher.deps.Address}, slices.Sorted(maps.Keys(p.answered))...)
}

// learn adds addresses that others have told of.
func (p *peers) learn(addresses []string) {
	p.mu.Lock()
	changed := false
	now := p.dispatcher.deps.Clock.Now()
	for a, at := range p.forgotten {
		if now.Sub(at) > shunFor {
			delete(p.forgotten, a)
		}
	}
	for _, a := range addresses {
		_, shunned := p.forgotten[a]
		if _, known := p.answered[a]; !known && !shunned && a != "" && a != p.dispatcher.deps.Address {
			p.answered[a] = now
			changed = true
		}
	}
	p.mu.Unlock()
	if changed {
		p.announce()
		p.tell()
	}
}

// announce tells every sidecar the addresses.
func (p *peers) announce() {
	f := &wire.DispatcherFrame{Dispatchers: p.addresses()}
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.out.Put(f)
	}
}

func (p *peers) join(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = true
}

func (p *peers) part(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

// tell has the others told soon.
func (p *peers) tell() {
	select {
	case p.news <- struct{}{}:
	default:
	}
}

// knowledge is what this dispatcher tells one that has a version of the
// configuration: its text only where that one is behind.
func (p *peers) knowledge(theirs uint64) *wire.Knowledge {
	k := &wire.Knowledge{Address: p.dispatcher.deps.Address, Dispatchers: p.addresses()}
	if c := p.dispatcher.Catalog(); c != nil {
		k.CatalogVersion = c.Version()
		if c.Version() > theirs {
			k.Catalog = c.Text()
		}
	}
	return k
}

// hear takes what another dispatcher knows.
func (p *peers) hear(k *wire.Knowledge, from string) {
	p.met(k.GetAddress())
	p.learn(append(k.GetDispatchers(), k.GetAddress()))
	c := p.dispatcher.Catalog()
	if len(k.GetCatalog()) == 0 || c != nil && k.GetCatalogVersion() <= c.Version() {
		return
	}
	newer, err := p.dispatcher.deps.Decode(k.GetCatalog())
	if err != nil {
		klog.ErrorS(err, "CH1006 configuration from another dispatcher cannot be read", "from", from, "version", k.GetCatalogVersion())
		return
	}
	p.dispatcher.Adopt(newer, "dispatcher "+from)
}

// run exchanges knowledge with the others: on news, while no configuration is
// known, and now and then.
func (p *peers) run(ctx context.Context) {
	clock := p.dispatcher.deps.Clock
	for {
		pause := remindEvery
		if p.dispatcher.Catalog() == nil {
			pause = askEvery
		}
		select {
		case <-ctx.Done():
			return
		case <-p.news:
		case <-clock.After(pause):
		}
		for _, a := range p.addresses()[1:] {
			go p.exchange(ctx, a)
		}
	}
}

// unknown is a version that no configuration is newer than.
const unknown = math.MaxUint64

// exchange asks what another dispatcher knows, and tells it the configuration
// where it turns out to be behind.
func (p *peers) exchange(ctx context.Context, address string) {
	theirs := uint64(unknown)
	for range 2 {
		k, err := p.ask(ctx, address, theirs)
		if err != nil {
			klog.V(1).InfoS("CH1008 dispatcher does not answer", "address", address, "error", err)
			p.missed(address)
			return
		}
		p.hear(k, address)
		theirs = k.GetCatalogVersion()
		if c := p.dispatcher.Catalog(); c == nil || c.Version() <= theirs {
			return
		}
	}
}

func (p *peers) ask(ctx context.Context, address string, theirs uint64) (*wire.Knowledge, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTime)
	defer cancel()
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	k, err := wire.NewDispatcherClient(conn).Exchange(ctx, p.knowledge(theirs))
	if err != nil {
		return nil, errors.Wrap(err, "dispatcher "+address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered[address] = p.dispatcher.deps.Clock.Now()
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

// met notes a sign of life of an address itself.
func (p *peers) met(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.forgotten, address)
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
func (p *peers) missed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, open := p.conns[address]; open {
		c.Close()
		delete(p.conns, address)
	}
	at, known := p.answered[address]
	if known && p.dispatcher.deps.Clock.Since(at) > forgetAfter {
		delete(p.answered, address)
		p.forgotten[address] = p.dispatcher.deps.Clock.Now()
		klog.InfoS("CH1009 dispatcher forgotten", "address", address, "unheard", p.dispatcher.deps.Clock.Since(at))
	}
}
