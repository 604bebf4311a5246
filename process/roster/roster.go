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
	// newPatience is the same for an address that has never answered.
	newPatience = 600 * time.Millisecond
	// tryFactor times the missing sessions are sought at once where as many addresses as
	// sessions do not answer: most may be of dispatchers that were replaced.
	tryFactor = 12
	// forgetAfter is how long an address that does not answer is kept: longer than
	// dispatchers keep each other, who tell of one that is back.
	forgetAfter = 3 * time.Minute
	// linger is how long a session beyond the bound stays open.
	linger = 3 * time.Second
)

type member struct {
	address string
	rank    uint64
	open    bool
	// tried: a session is being sought. answered: there has been one.
	tried    bool
	answered bool
	// pinned addresses are of the settings and are not forgotten.
	pinned bool
	// since is when the session was opened or lost, or first sought.
	since time.Time
}

// hopeful reports whether the dispatcher may still answer.
func (m *member) hopeful(now time.Time) bool {
	if m.answered {
		return now.Sub(m.since) < patience
	}
	return now.Sub(m.since) < newPatience
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
	slices.SortFunc(r.ranked, byRank)
}

func byRank(a, b *member) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address))
}

// Pin adds an address that is never forgotten.
func (r *Roster) Pin(dispatcher string) {
	r.Learn(dispatcher)
	if m := r.find(dispatcher); m != nil {
		m.pinned = true
	}
}

// Opened notes that a session with an address is open.
func (r *Roster) SessionOpened(dispatcher string, now time.Time) {
	if m := r.find(dispatcher); m != nil {
		m.open, m.tried, m.answered, m.since = true, true, true, now
	}
}

// Lost notes that the session with an address has ended.
func (r *Roster) SessionLost(dispatcher string, now time.Time) {
	if m := r.find(dispatcher); m != nil && m.open {
		m.open, m.since = false, now
	}
}

// Open reports whether a session with an address is open.
func (r *Roster) HasSession(dispatcher string) bool {
	m := r.find(dispatcher)
	return m != nil && m.open
}

// Wanted returns the dispatchers to hold sessions with: the first by rank, and one more
// for each of them that has been away for long, of which some are tried on. An address
// without an answer for long is forgotten while there are others with sessions.
func (r *Roster) Targets(now time.Time) []string {
	r.forget(now)
	var wanted, away []*member
	factor := 1
	if r.countAway(now) >= r.bound {
		factor = tryFactor
	}
	// A new address takes a part of a place where few answer.
	usable, places := 0, factor*r.bound
	for _, m := range r.ranked {
		if usable >= places {
			if !m.away(now) {
				m.tried = m.open
			}
			continue
		}
		if m.away(now) {
			away = append(away, m)
			continue
		}
		if !m.tried {
			m.tried, m.since = true, now
		}
		wanted = append(wanted, m)
		if m.open || m.answered {
			usable += factor
		} else {
			usable++
		}
	}
	wanted = append(wanted, r.turn(away, now)...)
	slices.SortFunc(wanted, byRank)
	addresses := make([]string, len(wanted))
	for i, m := range wanted {
		addresses[i] = m.address
	}
	return addresses
}

// away reports whether a dispatcher has been sought for long without an answer.
func (m *member) away(now time.Time) bool { return m.tried && !m.open && !m.hopeful(now) }

func (r *Roster) countAway(now time.Time) int {
	count := 0
	for _, m := range r.ranked {
		if m.away(now) {
			count++
		}
	}
	return count
}

// turn returns those of the dispatchers that are away whose turn it is: all of a few, of
// many as many as there are sessions, others each time.
func (r *Roster) turn(away []*member, now time.Time) []*member {
	first := 0
	if len(away) > r.bound {
		first = int(now.UnixNano()/int64(patience)%int64(len(away))) * r.bound
	}
	list := make([]*member, min(len(away), r.bound))
	for i := range list {
		list[i] = away[(first+i)%len(away)]
	}
	return list
}

// forget drops addresses that have not answered for long. Without any session nothing is
// known of the others, but of this side's connections.
func (r *Roster) forget(now time.Time) {
	if !slices.ContainsFunc(r.ranked, func(m *member) bool { return m.open && now.Sub(m.since) >= forgetAfter }) {
		return
	}
	r.ranked = slices.DeleteFunc(r.ranked, func(m *member) bool {
		return !m.pinned && m.away(now) && now.Sub(m.since) >= forgetAfter
	})
}

// Excess returns open sessions that are not wanted and have been open for a while. The
// time lets a dispatcher that has come back take tasks before another is left.
func (r *Roster) ExcessSessions(now time.Time) []string {
	wanted := r.Targets(now)
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
