// Package zonegate decides whether tasks may start in an availability zone, and whether the
// view that this rests on is recent enough. Views of the evacuated zones come from the
// platform's store, from other dispatchers and from the sessions with dispatchers; the newest
// one counts. It does no I/O.
package zonegate

import (
	"sync"
	"time"

	"github.com/corianderhook/corianderhook/version/evacuation"
)

// maxAge limits the age in a message; an older view is as good as unconfirmed.
const maxAge = time.Hour

// Gate is the view of one process. It is safe for concurrent use.
type Gate struct {
	mu    sync.Mutex
	state evacuation.State
	// confirmedAt is the latest time at which the state was known to be the newest; zero
	// means never.
	confirmedAt time.Time
}

// New returns a gate of a process that has not heard of any evacuation.
func New() *Gate { return &Gate{} }

// Observe applies a view that was the newest one at the given time. A view that is older than
// the present one is dropped. It returns true if the set of evacuated zones has changed.
func (g *Gate) Observe(s evacuation.State, confirmedAt time.Time) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Version() < g.state.Version() {
		return false
	}
	if confirmedAt.After(g.confirmedAt) {
		g.confirmedAt = confirmedAt
	}
	if s.Version() == g.state.Version() {
		return false
	}
	changed = !s.SameZones(g.state)
	g.state = s
	return changed
}

// State returns the newest view.
func (g *Gate) State() evacuation.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// Evacuated reports whether a zone is evacuated.
func (g *Gate) Evacuated(zone string) bool { return g.State().Includes(zone) }

// Age returns the time since the view was known to be the newest; false means never.
func (g *Gate) Age(now time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.age(now)
}

// age is Age for callers that hold the lock.
func (g *Gate) age(now time.Time) (time.Duration, bool) {
	return max(0, now.Sub(g.confirmedAt)), !g.confirmedAt.IsZero()
}
