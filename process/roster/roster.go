// Package roster decides at a sidecar with which dispatchers it holds sessions: with
// all of them in a small deployment, with a bounded number in a large one. Each
// sidecar ranks the dispatchers by a hash of its own, so that the sessions spread
// evenly over both sides and few of them move when a dispatcher comes or goes. It does
// no I/O.
package roster

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/common/address"
)

const (
	// patience is how long a dispatcher may be away before another takes its place: a
	// process is back within a second or two, and has no sessions then.
	patience = 2 * time.Second
	// mostKnown bounds the addresses: some times the dispatchers of the largest
	// deployment.
	mostKnown = 4096
	// linger is how long a session beyond the bound stays open.
	linger = 3 * time.Second
)

type member struct {
	address string
	rank    uint64
	open    bool
	// tried: a session is being sought.
	tried bool
	// since is when the session was opened or lost, or first sought.
	since time.Time
}

// Roster is the choice of one sidecar. It is not safe for concurrent use.
type Roster struct {
	name  string
	bound int
	// ranked are the known dispatchers by rank, the first choice first.
	ranked []*member
}

// New returns the roster of a sidecar that holds so many sessions.
func New(name string, bound int) *Roster { return &Roster{name: name, bound: bound} }

func (r *Roster) rank(dispatcher string) uint64 {
	h := fnv.New64a()
	// A hash takes every write.
	_, _ = h.Write([]byte(r.name + "|" + dispatcher))
	// The last bytes of similar names change few bits of the sum.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}

func (r *Roster) find(dispatcher string) *member {
	for _, m := range r.ranked {
		if m.address == dispatcher {
			return m
		}
	}
	return nil
}

// Learn adds an address.
func (r *Roster) Learn(dispatcher string) {
	if len(r.ranked) >= mostKnown || !address.Valid(dispatcher) || r.find(dispatcher) != nil {
		return
	}
	r.ranked = append(r.ranked, &member{address: dispatcher, rank: r.rank(dispatcher)})
	slices.SortFunc(r.ranked, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address))
	})
}

// Opened notes that a session with an address is open.
func (r *Roster) Opened(dispatcher string, now time.Time) {
	if m := r.find(dispatcher); m != nil {
		m.open, m.tried, m.since = true, true, now
	}
}

// Lost notes that the session with an address has ended.
func (r *Roster) Lost(dispatcher string, now time.Time) {
	if m := r.find(dispatcher); m != nil && m.open {
		m.open, m.since = false, now
	}
}

// Open reports whether a session with an address is open.
func (r *Roster) Open(dispatcher string) bool {
	m := r.find(dispatcher)
	return m != nil && m.open
}

// Wanted returns the dispatchers to hold sessions with: the first by rank, and one more
// for each of them that has been away for long.
func (r *Roster) Wanted(now time.Time) []string {
	var wanted []string
	usable := 0
	for _, m := range r.ranked {
		if usable == r.bound {
			m.tried = m.open
			continue
		}
		if !m.tried {
			m.tried, m.since = true, now
		}
		wanted = append(wanted, m.address)
		if m.open || now.Sub(m.since) < patience {
			usable++
		}
	}
	return wanted
}

// Excess returns open sessions that are not wanted and have been open for a while. The
// time lets a dispatcher that has come back take tasks before another is left.
func (r *Roster) Excess(now time.Time) []string {
	wanted := r.Wanted(now)
	for _, dispatcher := range wanted {
		if m := r.find(dispatcher); m.open && now.Sub(m.since) < linger {
			return nil
		}
	}
	var excess []string
	for _, m := range r.ranked {
		if m.open && now.Sub(m.since) >= linger && !slices.Contains(wanted, m.address) {
			excess = append(excess, m.address)
		}
	}
	return excess
}
