// Package pause waits for a time, or for the end of a context.
package pause

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For returns when the time has passed; false means that the context ended first.
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
