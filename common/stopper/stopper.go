// Package stopper carries the end of a process between its parts: an operator
// asks for it, a drain or a kill orders it, and Run says when it is over.
package stopper

import (
	"context"
	"sync"
)

// Stopper is the end of one process. It is safe for concurrent use.
type Stopper struct {
	asked   chan struct{}
	askOnce sync.Once
	quit    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// New returns the stopper of a process that runs.
func New() *Stopper {
	return &Stopper{
		asked: make(chan struct{}),
		quit:  make(chan struct{}),
		done:  make(chan struct{}),
	}
}

// Ask asks for a planned stop. Asking again changes nothing.
func (s *Stopper) RequestStop() { s.askOnce.Do(func() { close(s.asked) }) }

// Asked is closed once somebody has asked for a planned stop.
func (s *Stopper) StopRequested() <-chan struct{} { return s.asked }

// Stop orders the end without waiting for it.
func (s *Stopper) Stop() { s.once.Do(func() { close(s.quit) }) }

// Kill orders the end and waits until it is over.
func (s *Stopper) StopAndWait() {
	s.Stop()
	<-s.done
}

// Context returns a context that ends with the parent or with Stop.
func (s *Stopper) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-s.quit:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Over says that the end is over. It is called once.
func (s *Stopper) MarkStopped() { close(s.done) }
