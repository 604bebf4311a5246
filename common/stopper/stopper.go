// Package stopper coordinates the shutdown of a process. An operator requests a planned stop,
// a drain or a kill stops the process, and the process marks when it has stopped.
package stopper

import (
	"context"
	"sync"
)

// Stopper holds the shutdown state of one process. It is safe for concurrent use.
type Stopper struct {
	stopRequested chan struct{}
	requestOnce   sync.Once
	stopping      chan struct{}
	stopOnce      sync.Once
	stopped       chan struct{}
}

// New returns the stopper of a running process.
func New() *Stopper {
	return &Stopper{
		stopRequested: make(chan struct{}),
		stopping:      make(chan struct{}),
		stopped:       make(chan struct{}),
	}
}

// RequestStop requests a planned stop. Further calls have no effect.
func (s *Stopper) RequestStop() { s.requestOnce.Do(func() { close(s.stopRequested) }) }

// StopRequested returns a channel that is closed when a planned stop is requested.
func (s *Stopper) StopRequested() <-chan struct{} { return s.stopRequested }

// Stop stops the process without waiting for its end.
func (s *Stopper) Stop() { s.stopOnce.Do(func() { close(s.stopping) }) }

// StopAndWait stops the process and waits until MarkStopped is called.
func (s *Stopper) StopAndWait() {
	s.Stop()
	<-s.stopped
}

// Context returns a context that is canceled with the parent or by Stop.
func (s *Stopper) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-s.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// MarkStopped records that the process has stopped. It must be called only once.
func (s *Stopper) MarkStopped() { close(s.stopped) }
