package local

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a listener whose open connections can be turned into black holes: no more
// data is read from or written to them, and neither side gets an error. Connections opened
// later work. It also counts the bytes transferred.
type Listener struct {
	net.Listener
	mu               sync.Mutex
	open             map[*conn]bool
	bytesTransferred atomic.Int64
}

// NewListener wraps a listener.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, open: map[*conn]bool{}}
}

// Accept accepts a connection and tracks it until it is closed.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, blackholed: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

// BytesTransferred returns the number of bytes read from and written to all connections.
func (l *Listener) BytesTransferred() int64 { return l.bytesTransferred.Load() }

// Blackhole turns every open connection into a black hole and returns their number.
func (l *Listener) Blackhole() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.open)
	for c := range l.open {
		close(c.blackholed)
		delete(l.open, c)
	}
	return n
}

type conn struct {
	net.Conn
	listener   *Listener
	blackholed chan struct{}
	closed     chan struct{}
	closeOnce  sync.Once
}

// Read reads from the connection. Once it is a black hole, Read discards what it received
// and blocks until Close.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.bytesTransferred.Add(int64(n))
	select {
	case <-c.blackholed:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write writes to the connection. Once it is a black hole, Write discards the data.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.blackholed:
		return len(b), nil
	default:
		c.listener.bytesTransferred.Add(int64(len(b)))
		return c.Conn.Write(b)
	}
}

// Close closes the connection. A black hole is closed on this side only; its peer is not
// notified.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	select {
	case <-c.blackholed:
		return nil
	default:
		return c.Conn.Close()
	}
}
