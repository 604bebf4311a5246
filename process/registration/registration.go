// Package registration decides which announcement of an agent's endpoint is current.
// Announcements may be late, out of order, duplicated, or from an endpoint that has
// crashed since. It does no I/O.
package registration

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/request/size"
)

// Announcement describes an endpoint, as published by itself.
type Announcement struct {
	// Instance and Born, the start time, identify an incarnation of the endpoint.
	Instance string
	Born     time.Time
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64
	Service  string
	Zone     string
	Labels   []string
	Capacity size.Size
	Draining bool
	// MinRemaining is the minimum time for which a draining endpoint remains; 0 means unknown.
	MinRemaining time.Duration
}

//go:generate stringer -type=Verdict -linecomment

// Verdict is the effect of an announcement on the registration.
type Verdict uint8

const (
	// Stale means that the announcement is older than the current one or from an incarnation
	// that has left.
	Stale Verdict = iota // stale
	// Same means that nothing has changed.
	Same // same
	// Changed means that the same incarnation has changed its description.
	Changed // changed
	// Reborn means that a new incarnation has started.
	Reborn // reborn
)

// Registration holds the current announcement of the endpoint. It is not safe for concurrent
// use.
type Registration struct {
	current Announcement
	known   bool
	// departed holds the start time of each instance that has left.
	departed map[string]time.Time
}

// New returns a registration without an endpoint.
func New() *Registration { return &Registration{departed: map[string]time.Time{}} }

// Current returns the current announcement, or false if there is none.
func (r *Registration) Current() (Announcement, bool) { return r.current, r.known }

// Announce applies an announcement and returns its effect.
func (r *Registration) Announce(a Announcement) Verdict {
	if born, departed := r.departed[a.Instance]; departed && !a.Born.After(born) {
		return Stale
	}
	if !r.known {
		r.current, r.known = a, true
		return Reborn
	}
	c := r.current
	switch {
	case a.Born.Before(c.Born):
		return Stale
	case a.Born.After(c.Born) || a.Instance != c.Instance:
		r.current = a
		return Reborn
	case a.Sequence <= c.Sequence:
		return Stale
	}
	// A draining endpoint does not resume in the same incarnation.
	a.Draining = a.Draining || c.Draining
	r.current = a
	if a.Draining == c.Draining && a.Capacity == c.Capacity && a.Service == c.Service && slices.Equal(a.Labels, c.Labels) {
		return Same
	}
	return Changed
}

// Restore applies an announcement that was stored by an earlier process. It is used only if
// the endpoint has not announced itself since and is still the incarnation that started at
// born. The endpoint's next own announcement counts as newer.
func (r *Registration) Restore(a Announcement, born time.Time) bool {
	if r.known || !a.Born.Equal(born) {
		return false
	}
	a.Sequence = 0
	r.current, r.known = a, true
	return true
}

// Leave records that an endpoint has left for good and reports whether it was the current
// one.
func (r *Registration) Leave(instance string) bool {
	if !r.known || r.current.Instance != instance {
		return false
	}
	r.departed[instance] = r.current.Born
	r.known = false
	return true
}
