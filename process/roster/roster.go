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
	// replaceAfter is how long a dispatcher may be away before another takes its place: a
	// process is back within a second or two, and has no sessions then.
	replaceAfter = 2 * time.Second
	// maxKnown bounds the addresses: some times the dispatchers of the largest
	// deployment.
	maxKnown = 4096
	// replaceNewAfter is the same for an address that has never answered.
	replaceNewAfter = 600 * time.Millisecond
	// dialFactor times the missing sessions are sought at once where as many addresses as
	// sessions do not answer: most may be of dispatchers that were replaced.
	dialFactor = 12
	// forgetAfter is how long an address that does not answer is kept: longer than
	// dispatchers keep each other, who tell of one that is back.
	forgetAfter = 3 * time.Minute
	// closeDelay is how long a session beyond the bound stays open.
	closeDelay = 3 * time.Second
)

type member struct {
	address string
	rank    uint64
	open    bool
	// tried: a session is being sought. answered: there has been one.
	dialing  bool
	answered bool
	// pinned addresses are of the settings and are not forgotten.
	pinned bool
	// since is when the session was opened or lost, or first sought.
	since time.Time
}

// mayAnswer reports whether the dispatcher may still answer.
func (m *member) mayAnswer(now time.Time) bool {
	if m.answered {
		return now.Sub(m.since) < replaceAfter
	}
	return now.Sub(m.since) < replaceNewAfter
}

// Roster is the choice of one sidecar. It is not safe for concurrent use.
type Roster struct {
	name        string
	maxSessions int
	// ranked are the known dispatchers by rank, the first choice first.
	ranked []*member
}

// New returns the roster of a sidecar that holds so many sessions.
func New(name string, maxSessions int) *Roster { return &Roster{name: name, maxSessions: maxSessions} }

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
	if len(r.ranked) >= maxKnown || !address.Valid(dispatcher) || r.find(dispatcher) != nil {
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

// SessionOpened notes that a session with an address is open.
func (r *Roster) SessionOpened(dispatcher string, now time.Time) {
	if m := r.find(dispatcher); m != nil {
		m.open, m.dialing, m.answered, m.since = true, true, true, now
	}
}

// SessionLost notes that the session with an address has ended.
func (r *Roster) SessionLost(dispatcher string, now time.Time) {
	if m := r.find(dispatcher); m != nil && m.open {
		m.open, m.since = false, now
	}
}

// HasSession reports whether a session with an address is open.
func (r *Roster) HasSession(dispatcher string) bool {
	m := r.find(dispatcher)
	return m != nil && m.open
}

// Targets returns the dispatchers to hold sessions with: the first by rank, and one more
// for each of them that has been away for long, of which some are tried on. An address
// without an answer for long is forgotten while there are others with sessions.
func (r *Roster) Targets(now time.Time) []string {
	r.evict(now)
	var wanted, unreachable []*member
	factor := 1
	if r.countUnreachable(now) >= r.maxSessions {
		factor = dialFactor
	}
	// A new address takes a part of a place where few answer.
	usable, places := 0, factor*r.maxSessions
	for _, m := range r.ranked {
		if usable >= places {
			if !m.unreachable(now) {
				m.dialing = m.open
			}
			continue
		}
		if m.unreachable(now) {
			unreachable = append(unreachable, m)
			continue
		}
		if !m.dialing {
			m.dialing, m.since = true, now
		}
		wanted = append(wanted, m)
		if m.open || m.answered {
			usable += factor
		} else {
			usable++
		}
	}
	wanted = append(wanted, r.retryBatch(unreachable, now)...)
	slices.SortFunc(wanted, byRank)
	addresses := make([]string, len(wanted))
	for i, m := range wanted {
		addresses[i] = m.address
	}
	return addresses
}

// unreachable reports whether a dispatcher has been sought for long without an answer.
func (m *member) unreachable(now time.Time) bool { return m.dialing && !m.open && !m.mayAnswer(now) }

func (r *Roster) countUnreachable(now time.Time) int {
	count := 0
	for _, m := range r.ranked {
		if m.unreachable(now) {
			count++
		}
	}
	return count
}

// retryBatch returns those of the dispatchers that are away whose turn it is: all of a few, of
// many as many as there are sessions, others each time.
func (r *Roster) retryBatch(away []*member, now time.Time) []*member {
	first := 0
	if len(away) > r.maxSessions {
		first = int(now.UnixNano()/int64(replaceAfter)%int64(len(away))) * r.maxSessions
	}
	list := make([]*member, min(len(away), r.maxSessions))
	for i := range list {
		list[i] = away[(first+i)%len(away)]
	}
	return list
}

// evict drops addresses that have not answered for long. Without any session nothing is
// known of the others, but of this side's connections.
func (r *Roster) evict(now time.Time) {
	if !slices.ContainsFunc(r.ranked, func(m *member) bool { return m.open && now.Sub(m.since) >= forgetAfter }) {
		return
	}
	r.ranked = slices.DeleteFunc(r.ranked, func(m *member) bool {
		return !m.pinned && m.unreachable(now) && now.Sub(m.since) >= forgetAfter
	})
}

// ExcessSessions returns open sessions that are not wanted and have been open for a while. The
// time lets a dispatcher that has come back take tasks before another is left.
func (r *Roster) ExcessSessions(now time.Time) []string {
	wanted := r.Targets(now)
	for _, dispatcher := range wanted {
		if m := r.find(dispatcher); m.open && now.Sub(m.since) < closeDelay {
			return nil
		}
	}
	var excess []string
	for _, m := range r.ranked {
		if m.open && now.Sub(m.since) >= closeDelay && !slices.Contains(wanted, m.address) {
			excess = append(excess, m.address)
		}
	}
	return excess
}
