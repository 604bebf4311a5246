// Package proxy forwards TCP connections on loopback and injects faults into them.
package proxy

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout limits the time to connect to a target.
	dialTimeout = time.Second
	// holdPollInterval is the time between two checks whether a fault that holds back a new
	// connection is over.
	holdPollInterval = 20 * time.Millisecond
	// maxBufferedBytes limits the data buffered for a connection that is held back.
	maxBufferedBytes = 1 << 20
	// chunkBytes limits the data that is forwarded at once, and so delayed together.
	chunkBytes = 32 << 10
)

// Fault is a fault that a proxy injects into its connections.
type Fault struct {
	// Delay is added to each chunk in both directions.
	Delay time.Duration
	// HoldUpstream holds back data to the target, HoldDownstream data from it. Held data
	// arrives when the fault is over, as TCP would retransmit it.
	HoldUpstream   bool
	HoldDownstream bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxy accepts connections at one address and forwards each to a target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	// pickTarget returns the target of a new connection, empty for none.
	pickTarget   func() string
	group        sync.WaitGroup
	mu           sync.Mutex
	fault        Fault
	faultChanged chan struct{}
	// heldUpstreamUntil is when data to the target was last held back, if it is not now.
	heldUpstreamUntil time.Time
	closed            bool
	pairs             map[*connectionPair]bool
}

// connectionPair is a client's connection and the one to its target.
type connectionPair struct {
	client, target *net.TCPConn
	done           chan struct{}
	resetOnce      sync.Once
}

// reset closes both connections with a TCP reset.
func (p *connectionPair) reset() {
	p.resetOnce.Do(func() {
		close(p.done)
		for _, c := range []*net.TCPConn{p.client, p.target} {
			// The error is ignored: a closed connection needs no reset.
			_ = c.SetLinger(0)
			c.Close()
		}
	})
}

// New returns a proxy that listens at ip:port.
func New(address string, pickTarget func() string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "proxy at %q", address)
	}
	p := &Proxy{listener: l, pickTarget: pickTarget, faultChanged: make(chan struct{}), pairs: map[*connectionPair]bool{}}
	p.group.Go(p.accept)
	return p, nil
}

// FixedTarget returns a function for New that always picks the same target.
func FixedTarget(address string) func() string { return func() string { return address } }

// Address returns the ip:port at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault replaces the fault. The zero value clears it.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.HoldUpstream {
		p.heldUpstreamUntil = time.Now()
	}
	p.fault = f
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
}

// HeldUpstreamSince reports whether data to the target has been held back since a time, at least
// for a part of it.
func (p *Proxy) HeldUpstreamSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault.HoldUpstream || p.heldUpstreamUntil.After(at)
}

// ResetConnections closes every open connection with a TCP reset.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.reset()
	}
}

// Close stops listening, resets every open connection and waits for all goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.ResetConnections()
	p.group.Wait()
}

func (p *Proxy) currentFault() (f Fault, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.faultChanged
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

func (p *Proxy) serve(client *net.TCPConn) {
	received, open := p.awaitOpen(client)
	target := p.pickTarget()
	if !open || target == "" {
		resetConnection(client)
		return
	}
	connection, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		resetConnection(client)
		return
	}
	c := &connectionPair{client: client, target: connection.(*net.TCPConn), done: make(chan struct{})}
	if !p.add(c) {
		c.reset()
		return
	}
	defer p.remove(c)
	if _, err := c.target.Write(received); err != nil {
		c.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.forward(c, c.target, c.client, func(f Fault) bool { return f.HoldUpstream }) })
	both.Go(func() { p.forward(c, c.client, c.target, func(f Fault) bool { return f.HoldDownstream }) })
	both.Wait()
	c.reset()
}

// awaitOpen waits while a fault holds back a new connection, and returns the data that the
// client has sent meanwhile. open is false if the connection is refused, the client gives
// up, or it sends more than maxBufferedBytes.
func (p *Proxy) awaitOpen(client *net.TCPConn) (received []byte, open bool) {
	buffer := make([]byte, chunkBytes)
	for {
		f, _ := p.currentFault()
		switch {
		case f.Refuse:
			return nil, false
		case !f.HoldUpstream && !f.HoldDownstream:
			return received, client.SetReadDeadline(time.Time{}) == nil
		}
		if err := client.SetReadDeadline(time.Now().Add(holdPollInterval)); err != nil {
			return nil, false
		}
		n, err := client.Read(buffer)
		received = append(received, buffer[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || len(received) > maxBufferedBytes {
			return nil, false
		}
	}
}

func resetConnection(c *net.TCPConn) {
	// The error is ignored: the connection may be closed already.
	_ = c.SetLinger(0)
	c.Close()
}

func (p *Proxy) add(c *connectionPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pairs[c] = !p.closed
	return !p.closed
}

func (p *Proxy) remove(c *connectionPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

// forward copies data in one direction until the connection ends.
func (p *Proxy) forward(c *connectionPair, destination, source *net.TCPConn, isHeld func(Fault) bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := source.Read(buffer)
		if !p.awaitFault(c, isHeld) {
			return
		}
		if n > 0 {
			if _, failed := destination.Write(buffer[:n]); failed != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			// The other direction may still carry data, so only this one is closed.
			_ = destination.CloseWrite()
			return
		}
	}
}

// awaitFault applies the current fault to a chunk and returns when the chunk may be
// forwarded. False means that the connection is closed.
func (p *Proxy) awaitFault(c *connectionPair, isHeld func(Fault) bool) bool {
	for delayed := false; ; {
		f, changed := p.currentFault()
		switch {
		case isHeld(f):
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
