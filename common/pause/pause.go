// Package pause waits for a duration or the end of a context.
package pause

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits for a duration. It returns false if the context ends first.
func For(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}
