// Package registration decides which announcement of the endpoint beside an agent
// counts. Announcements may come late, out of order, twice, or from an endpoint
// that has crashed since. It does no I/O.
package registration

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/request/size"
)

// Announcement is what an endpoint says of itself.
type Announcement struct {
	// Instance and Born name one life of the endpoint.
	Instance string
	Born     time.Time
	// Sequence rises with each announcement of a life.
	Sequence uint64
	Service  string
	Zone     string
	Labels   []string
	Capacity size.Size
	Draining bool
	// Stays is the least time that a draining endpoint is there yet; 0 is not known.
	MinRemaining time.Duration
}

//go:generate stringer -type=Verdict -linecomment

// Verdict is what follows from an announcement.
type Verdict uint8

const (
	// Stale means that the announcement is older than what is known.
	Stale Verdict = iota // stale
	// Same means that nothing has changed.
	Same // same
	// Changed means that the same life has changed what it says.
	Changed // changed
	// Reborn means that a new life has begun.
	Reborn // reborn
)

// Registration is what is known of the endpoint. It is not safe for concurrent use.
type Registration struct {
	current Announcement
	known   bool
	left    map[string]time.Time
}

// New returns a registration of no endpoint.
func New() *Registration { return &Registration{left: map[string]time.Time{}} }

// Current returns the announcement that counts.
func (r *Registration) Current() (Announcement, bool) { return r.current, r.known }

// Announce takes an announcement.
func (r *Registration) Announce(a Announcement) Verdict {
	if born, left := r.left[a.Instance]; left && !a.Born.After(born) {
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
	// An endpoint that drains does not come back in the same life.
	a.Draining = a.Draining || c.Draining
	r.current = a
	if a.Draining == c.Draining && a.Capacity == c.Capacity && a.Service == c.Service && slices.Equal(a.Labels, c.Labels) {
		return Same
	}
	return Changed
}

// Recall takes an announcement that was kept from before this process, where the
// endpoint itself has not spoken and still lives the same life. Its own next one is
// newer.
func (r *Registration) Restore(a Announcement, born time.Time) bool {
	if r.known || !a.Born.Equal(born) {
		return false
	}
	a.Sequence = 0
	r.current, r.known = a, true
	return true
}

// Leave notes that an endpoint has left for good; it reports whether it was the
// current one.
func (r *Registration) Leave(instance string) bool {
	if !r.known || r.current.Instance != instance {
		return false
	}
	r.left[instance] = r.current.Born
	r.known = false
	return true
}
