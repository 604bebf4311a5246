package local

import "sync"

// Gate holds the messages of a process in and out while it is shut, as a
// process that is paused would. It is safe for concurrent use.
type Gate struct {
	mu   sync.Mutex
	open chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate {
	g := &Gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// Shut holds messages from now on.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

// Open lets messages through again.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// Pass returns at once, or when the gate opens.
func (g *Gate) Pass() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}
