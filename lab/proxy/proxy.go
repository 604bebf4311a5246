// Package proxy carries TCP connections on loopback and harms them when told to.
package proxy

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTime bounds the connection to a target.
	dialTime = time.Second
	// lookEvery is the time between two looks at whether a cut is over.
	lookEvery = 20 * time.Millisecond
	// mostSaid bounds what is kept for a connection that has not come about.
	mostSaid = 1 << 20
	// pieceBytes is the most that is carried at once.
	pieceBytes = 32 << 10
)

// Fault is what a proxy does to the connections that it carries.
type Fault struct {
	// Delay is added to each piece, both ways.
	Delay time.Duration
	// HoldUp holds back what goes to the target, HoldDown what comes from it. What is
	// held arrives when the fault is over, as by TCP.
	HoldUpstream   bool
	HoldDownstream bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxy carries connections from one address to a target. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	// pick returns the target of a new connection, empty for none.
	pick    func() string
	group   sync.WaitGroup
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	closed  bool
	pairs   map[*pair]bool
}

// pair is one connection and the one to its target.
type pair struct {
	from, to *net.TCPConn
	done     chan struct{}
	once     sync.Once
}

// reset ends both connections without a farewell.
func (p *pair) reset() {
	p.once.Do(func() {
		close(p.done)
		for _, c := range []*net.TCPConn{p.from, p.to} {
			// A connection that is closed already needs no reset.
			_ = c.SetLinger(0)
			c.Close()
		}
	})
}

// New returns a proxy that listens at ip:port.
func New(address string, pick func() string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "proxy at %q", address)
	}
	p := &Proxy{listener: l, pick: pick, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	p.group.Go(p.accept)
	return p, nil
}

// To returns a function that always picks the same target.
func FixedTarget(address string) func() string { return func() string { return address } }

// Address returns ip:port of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the fault; the zero value heals.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset ends every open connection without a farewell.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.reset()
	}
}

// Close ends everything.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.ResetConnections()
	p.group.Wait()
}

func (p *Proxy) now() (f Fault, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.serve(c.(*net.TCPConn)) })
	}
}

func (p *Proxy) serve(from *net.TCPConn) {
	said, established := p.establish(from)
	target := p.pick()
	if !established || target == "" {
		refuse(from)
		return
	}
	to, err := net.DialTimeout("tcp", target, dialTime)
	if err != nil {
		refuse(from)
		return
	}
	c := &pair{from: from, to: to.(*net.TCPConn), done: make(chan struct{})}
	if !p.add(c) {
		c.reset()
		return
	}
	defer p.drop(c)
	if _, err := c.to.Write(said); err != nil {
		c.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.carry(c, c.to, c.from, func(f Fault) bool { return f.HoldUpstream }) })
	both.Go(func() { p.carry(c, c.from, c.to, func(f Fault) bool { return f.HoldDownstream }) })
	both.Wait()
	c.reset()
}

// establish waits until a new connection can come about, and returns what its
// opener has said meanwhile. Across a cut it does not, and is gone when its opener
// gives up.
func (p *Proxy) establish(from *net.TCPConn) (said []byte, established bool) {
	buffer := make([]byte, pieceBytes)
	for {
		f, _ := p.now()
		switch {
		case f.Refuse:
			return nil, false
		case !f.HoldUpstream && !f.HoldDownstream:
			return said, from.SetReadDeadline(time.Time{}) == nil
		}
		if err := from.SetReadDeadline(time.Now().Add(lookEvery)); err != nil {
			return nil, false
		}
		n, err := from.Read(buffer)
		said = append(said, buffer[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || len(said) > mostSaid {
			return nil, false
		}
	}
}

func refuse(c *net.TCPConn) {
	// The connection may be gone already.
	_ = c.SetLinger(0)
	c.Close()
}

func (p *Proxy) add(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pairs[c] = !p.closed
	return !p.closed
}

func (p *Proxy) drop(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

// carry copies one way until the connection ends.
func (p *Proxy) carry(c *pair, to, from *net.TCPConn, held func(Fault) bool) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if !p.wait(c, held) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			// The other way may still have something to say.
			_ = to.CloseWrite()
			return
		}
	}
}

// wait returns when a piece may go on; false means that the connection is over.
func (p *Proxy) wait(c *pair, held func(Fault) bool) bool {
	for delayed := false; ; {
		f, changed := p.now()
		switch {
		case held(f):
			select {
			case <-changed:
			case <-c.done:
				return false
			}
		case f.Delay > 0 && !delayed:
			delayed = true
			select {
			case <-time.After(f.Delay):
			case <-c.done:
				return false
			}
		default:
			return true
		}
	}
}
