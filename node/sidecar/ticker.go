package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/process/pacing"
)

// ticker ticks when that is required, and at least every pacing.IdleInterval. It is safe for
// concurrent use.
type ticker struct {
	clock clockwork.Clock
	// moved is signaled when the next tick has to be earlier.
	moved chan struct{}
	mu    sync.Mutex
	next  time.Time
}

func newTicker(clock clockwork.Clock) *ticker {
	return &ticker{clock: clock, moved: make(chan struct{}, 1), next: clock.Now()}
}

// require has the next tick be no later than the given time.
func (t *ticker) require(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.Before(t.next) {
		return
	}
	t.next = at
	select {
	case t.moved <- struct{}{}:
	default:
	}
}

// untilNext returns the time until the next tick.
func (t *ticker) untilNext() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next.Sub(t.clock.Now())
}

// begin notes that a tick begins, and sets the time of the next one.
func (t *ticker) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = t.clock.Now().Add(pacing.IdleInterval)
}

// run calls tick until the context ends.
func (t *ticker) run(ctx context.Context, tick func()) {
	timer := t.clock.NewTimer(t.untilNext())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.moved:
		case <-timer.Chan():
			t.begin()
			tick()
		}
		timer.Reset(t.untilNext())
	}
}
