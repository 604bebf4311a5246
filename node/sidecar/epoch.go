package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/corianderhook/corianderhook/connection/remoteclock"
	"github.com/corianderhook/corianderhook/process/lease"
)

// epoch is the time from a takeover of the endpoint to the next one. Fences, readings of the
// endpoint's clock and leases are kept apart by epoch, since the endpoint may have restarted in
// between: its clock starts anew then, and by the old one a lease would have no end.
type epoch struct {
	fence uint64
	// born is the start time of the endpoint's incarnation.
	born  time.Time
	clock *remoteclock.Clock
	lease *lease.Lease
	// unconfirmed is set while a connection has broken and no list has come since: another
	// incarnation may answer the next call.
	unconfirmed atomic.Bool
	// orders is the context of the start orders, which stop cancels when the epoch ends: they must
	// not reach a later incarnation.
	orders context.Context
	stop   context.CancelFunc
}

func newEpoch(fence uint64) *epoch {
	e := &epoch{fence: fence}
	e.orders, e.stop = context.WithCancel(context.Background())
	return e
}
