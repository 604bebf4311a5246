// Package roster decides with which dispatchers a sidecar holds sessions: with all of them
// in a small deployment, with a bounded number in a large one. Each sidecar ranks the
// dispatchers by rendezvous hashing, so that the sessions spread evenly over the dispatchers
// and few of them move when a dispatcher is added or removed. It does no I/O.
package roster

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/common/address"
)

const (
	// replaceAfter is how long a lost dispatcher is waited for before it is replaced by
	// another: a restarted process is back within a second or two and then needs sessions.
	replaceAfter = 2 * time.Second
	// maxKnown bounds the known addresses. It is several times the number of dispatchers in
	// the largest deployment.
	maxKnown = 4096
	// replaceNewAfter is like replaceAfter for an address that has never answered.
	replaceNewAfter = 600 * time.Millisecond
	// dialFactor is how many addresses are dialled at once per missing session if at least
	// maxSessions addresses are unreachable: most of the others may also belong to
	// dispatchers that were replaced.
	dialFactor = 18
	// forgetAfter is how long an unreachable address is kept. It is longer than dispatchers
	// keep each other's addresses; they announce one that is back.
	forgetAfter = 3 * time.Minute
	// closeDelay is how long an excess session stays open.
	closeDelay = 3 * time.Second
)

// member is a known dispatcher.
type member struct {
	address string
	rank    uint64
	open    bool
	// targeted is set while a session is open or attempted.
	targeted bool
	// answered is set once there has been a session.
	answered bool
	// pinned addresses come from the settings and are never evicted.
	pinned bool
	// since is when the session was opened or lost, or when the first attempt began.
	since time.Time
}

// mayAnswer reports whether the dispatcher is still expected to answer.
func (m *member) mayAnswer(now time.Time) bool {
	if m.answered {
		return now.Sub(m.since) < replaceAfter
	}
	return now.Sub(m.since) < replaceNewAfter
}

// Roster holds the dispatchers known to one sidecar. It is not safe for concurrent use.
type Roster struct {
	name        string
	maxSessions int
	// ranked holds the known dispatchers by rank, the preferred one first.
	ranked []*member
}

// New returns the roster of a sidecar with the given name and maximum number of sessions.
func New(name string, maxSessions int) *Roster { return &Roster{name: name, maxSessions: maxSessions} }

func (r *Roster) rank(dispatcher string) uint64 {
	h := fnv.New64a()
	// A hash never returns an error.
	_, _ = h.Write([]byte(r.name + "|" + dispatcher))
	// Names that differ only in the last bytes differ in few bits of the sum; mix them.
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

// Learn adds the address of a dispatcher.
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

// Pin adds an address that is never evicted.
func (r *Roster) Pin(dispatcher string) {
	r.Learn(dispatcher)
	if m := r.find(dispatcher); m != nil {
		m.pinned = true
	}
}

// SessionOpened records that a session with an address has been opened.
func (r *Roster) SessionOpened(dispatcher string, now time.Time) {
	if m := r.find(dispatcher); m != nil {
		m.open, m.targeted, m.answered, m.since = true, true, true, now
	}
}

// SessionLost records that the session with an address has ended.
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

// Targets returns the dispatchers to hold sessions with: the first ones by rank, with a
// replacement for each that is unreachable, and a batch of the unreachable ones to retry. It
// evicts addresses that have been unreachable for forgetAfter.
func (r *Roster) Targets(now time.Time) []string {
	r.evict(now)
	var targets, unreachable []*member
	factor := 1
	if r.countUnreachable(now) >= r.maxSessions {
		factor = dialFactor
	}
	// usable and limit are in units of 1/factor session. If many addresses are unreachable,
	// one that has not yet answered counts as a fraction of a session, so that more are
	// dialled at once.
	usable, limit := 0, factor*r.maxSessions
	for _, m := range r.ranked {
		if usable >= limit {
			if !m.unreachable(now) {
				m.targeted = m.open
			}
			continue
		}
		if m.unreachable(now) {
			unreachable = append(unreachable, m)
			continue
		}
		if !m.targeted {
			m.targeted, m.since = true, now
		}
		targets = append(targets, m)
		if m.open || m.answered {
			usable += factor
		} else {
			usable++
		}
	}
	targets = append(targets, r.retryBatch(unreachable, now)...)
	slices.SortFunc(targets, byRank)
	addresses := make([]string, len(targets))
	for i, m := range targets {
		addresses[i] = m.address
	}
	return addresses
}

// unreachable reports whether the attempts to reach a dispatcher have exceeded their time.
func (m *member) unreachable(now time.Time) bool { return m.targeted && !m.open && !m.mayAnswer(now) }

func (r *Roster) countUnreachable(now time.Time) int {
	count := 0
	for _, m := range r.ranked {
		if m.unreachable(now) {
			count++
		}
	}
	return count
}

// retryBatch returns the unreachable dispatchers to retry now. It returns all of them up to
// maxSessions; of more, it returns maxSessions and rotates through the list.
func (r *Roster) retryBatch(unreachable []*member, now time.Time) []*member {
	first := 0
	if len(unreachable) > r.maxSessions {
		first = int(now.UnixNano()/int64(replaceAfter)%int64(len(unreachable))) * r.maxSessions
	}
	batch := make([]*member, min(len(unreachable), r.maxSessions))
	for i := range batch {
		batch[i] = unreachable[(first+i)%len(unreachable)]
	}
	return batch
}

// evict removes addresses that have been unreachable for forgetAfter, provided that a
// session has been open for as long. Without one, the fault may be in the sidecar's own
// network.
func (r *Roster) evict(now time.Time) {
	if !slices.ContainsFunc(r.ranked, func(m *member) bool { return m.open && now.Sub(m.since) >= forgetAfter }) {
		return
	}
	r.ranked = slices.DeleteFunc(r.ranked, func(m *member) bool {
		return !m.pinned && m.unreachable(now) && now.Sub(m.since) >= forgetAfter
	})
}

// ExcessSessions returns the open sessions that are not targets and have been open for
// closeDelay. It returns none while a target's session is younger than that, so that a
// dispatcher that has come back takes tasks before its replacement is closed.
func (r *Roster) ExcessSessions(now time.Time) []string {
	targets := r.Targets(now)
	for _, dispatcher := range targets {
		if m := r.find(dispatcher); m.open && now.Sub(m.since) < closeDelay {
			return nil
		}
	}
	var excess []string
	for _, m := range r.ranked {
		if m.open && now.Sub(m.since) >= closeDelay && !slices.Contains(targets, m.address) {
			excess = append(excess, m.address)
		}
	}
	return excess
}
