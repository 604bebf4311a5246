package local

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a listener whose open connections can be made silent: nothing is
// read from them or written to them any more, and nobody is told. Connections
// that are opened later work.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	open  map[*conn]bool
	bytes atomic.Int64
}

// NewListener wraps a listener.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, open: map[*conn]bool{}}
}

// Accept accepts a connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

// Bytes returns what was read from and written to all connections.
func (l *Listener) BytesTransferred() int64 { return l.bytes.Load() }

// Silence makes every open connection silent and returns their number.
func (l *Listener) Blackhole() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.open)
	for c := range l.open {
		close(c.silent)
		delete(l.open, c)
	}
	return n
}

type conn struct {
	net.Conn
	listener *Listener
	silent   chan struct{}
	closed   chan struct{}
	once     sync.Once
}

// Read reads, or blocks until the connection is closed once it is silent.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.bytes.Add(int64(n))
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write writes, or drops what is written once the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
		c.listener.bytes.Add(int64(len(b)))
		return c.Conn.Write(b)
	}
}

// Close closes the connection on this side. The other side of a silent one does
// not hear of it.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	select {
	case <-c.silent:
		return nil
	default:
		return c.Conn.Close()
	}
}
