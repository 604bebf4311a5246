package local

import "sync"

// Gate holds back the messages to and from a process while it is shut, which simulates a
// paused process. It is safe for concurrent use.
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

// Shut holds back messages until Open.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

// Open releases held messages and lets further ones pass.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// Pass blocks while the gate is shut.
func (g *Gate) Pass() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}
