package dispatcher

import (
	"context"
	"time"

	"github.com/corianderhook/corianderhook/version/catalog"
)

// configWait is the time after the start in which requests wait for a configuration instead of
// being refused: a store that answers has sent it by then, and so have other dispatchers.
const configWait = 300 * time.Millisecond

// AwaitCatalog returns the configuration in force, or nil. Shortly after the start it waits for one.
func (d *Dispatcher) AwaitCatalog(ctx context.Context) *catalog.Catalog {
	if c := d.Catalog(); c != nil {
		return c
	}
	left := configWait - d.deps.Clock.Since(d.createdAt)
	if left <= 0 {
		return nil
	}
	timer := d.deps.Clock.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	case <-d.configured:
	}
	return d.Catalog()
}
