// Package membership decides which records an entry appends to the ownership stream:
// its own join, claims of slots without a live owner, hand-overs, replacements of
// witnesses, leaves of dead entries, and snapshots. It does no I/O.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/connection/peerstate"
	"github.com/corianderhook/corianderhook/version/ownership"
)

const (
	// WitnessesPerSlot is the number of agents that store the job keys of a slot.
	WitnessesPerSlot = 3
	// settleTime is how long an entry must have been heard before slots are handed over
	// to it. It is also how long entries and witnesses that were never heard count as
	// alive after the start of this entry.
	settleTime = 2 * time.Second
	// witnessGracePeriod is how long a witness may be detached before it is replaced.
	witnessGracePeriod = 1500 * time.Millisecond
	// removeAfter is how long an entry may be unheard before it is removed from the table.
	removeAfter = 30 * time.Second
	// initialClaimWait is how long the first claim of slots waits, from the first
	// attached agent on, for WitnessesPerSlot agents.
	initialClaimWait = time.Second
	// fallbackClaimDelay is how long a slot may lack a live owner before entries other
	// than the preferred one claim it.
	fallbackClaimDelay = 2 * time.Second
	// snapshotRecords is the number of records after which a snapshot is due.
	snapshotRecords = 200
	// maxSnapshotInterval is the time after which a snapshot is due. It has to be well
	// below the retention time of the log.
	maxSnapshotInterval = time.Minute
	// initialWitnessSets is the number of witness sets over which the first claims spread
	// the slots. A record claims the slots of one set.
	initialWitnessSets = 8
)

// Agent is an agent that is attached or was until recently.
type Agent struct {
	Instance string
	Zone     string
	// DetachedSince is zero while the agent is attached.
	DetachedSince time.Time
}

// View is the input of a decision.
type View struct {
	Now      time.Time
	Self     ownership.Entry
	Draining bool
	Table    ownership.State
	// Peers holds the other entries that were heard, by instance.
	Peers  map[string]peerstate.State
	Agents []Agent
}

// Plan lists the actions that are due.
type Plan struct {
	Join bool
	// Claim lists the slots to claim for this entry.
	Claim []ownership.SlotClaim
	// Witnesses holds the witnesses of claimed slots that never had an owner.
	Witnesses map[uint32][]string
	// HandOver lists the slots of this entry to hand over, by the instance of the new
	// owner.
	HandOver map[string][]ownership.SlotClaim
	// ReplaceWitnesses holds the new witnesses of this entry's slots, where they change.
	ReplaceWitnesses map[uint32][]string
	// Leave lists the instances of dead entries to remove from the table.
	Leave    []string
	Snapshot bool
}

// Membership holds the state kept between decisions. It is not safe for concurrent use.
type Membership struct {
	started time.Time
	// ownerlessSince is when a slot was first seen without a live owner.
	ownerlessSince map[uint32]time.Time
	snapshotOffset uint64
	snapshotTime   time.Time
	firstAgentAt   time.Time
}

// New returns the membership of an entry that has just started.
func New(now time.Time) *Membership {
	return &Membership{started: now, snapshotTime: now, ownerlessSince: map[uint32]time.Time{}}
}

// Decide returns the actions that are due in the given view.
func (m *Membership) Decide(v View) Plan {
	var p Plan
	_, member := v.Table.Entries[v.Self.Instance]
	if !member {
		p.Join = !v.Draining
		return p
	}
	alive := m.alive(v)
	m.decideClaims(v, alive, &p)
	m.decideHandOver(v, alive, &p)
	m.decideWitnesses(v, &p)
	m.decideLeaves(v, &p)
	p.Snapshot = m.snapshotDue(v, alive)
	return p
}

// snapshotDue reports whether this entry should append a snapshot. The first live entry of
// the table does so after snapshotRecords records or maxSnapshotInterval, because the log
// does not retain records for ever.
func (m *Membership) snapshotDue(v View, alive map[string]bool) bool {
	for instance := range v.Table.Entries {
		if alive[instance] && instance < v.Self.Instance {
			return false
		}
	}
	return v.Table.Next >= m.snapshotOffset+snapshotRecords || v.Now.Sub(m.snapshotTime) >= maxSnapshotInterval
}

// SnapshotAppended notes that a snapshot of all records below the offset next was
// appended.
func (m *Membership) SnapshotAppended(next uint64, now time.Time) {
	m.snapshotOffset = next
	m.snapshotTime = now
}

// alive returns the instances of the entries that are not suspected to be dead: those
// heard here or by an entry that is heard here, and, during settleTime after the start,
// those not heard yet.
func (m *Membership) alive(v View) map[string]bool {
	alive := map[string]bool{v.Self.Instance: true}
	heard := map[string]bool{v.Self.Instance: true}
	for instance, p := range v.Peers {
		if v.Now.Sub(p.LastHeard) <= peerstate.SuspicionTimeout {
			heard[instance] = true
			for _, other := range p.HeardEntries {
				alive[other] = true
			}
		}
	}
	for instance := range v.Table.Entries {
		peer, known := v.Peers[instance]
		notYetHeard := !known && v.Now.Sub(m.started) < settleTime
		if heard[instance] || notYetHeard || known && v.Now.Sub(peer.LastHeard) <= peerstate.SuspicionTimeout {
			alive[instance] = true
		}
	}
	return alive
}

func (m *Membership) decideClaims(v View, alive map[string]bool, p *Plan) {
	if v.Draining {
		return
	}
	candidates := m.eligibleEntries(v, alive)
	witnessCandidates := m.initialWitnessCandidates(v)
	p.Witnesses = map[uint32][]string{}
	for number, s := range v.Table.Slots {
		_, member := v.Table.Entries[s.Owner]
		if s.Epoch > 0 && member && alive[s.Owner] {
			delete(m.ownerlessSince, uint32(number))
			continue
		}
		if s.Epoch == 0 && len(witnessCandidates) == 0 {
			continue
		}
		if m.shouldClaim(v, uint32(number), candidates) {
			if s.Epoch == 0 {
				p.Witnesses[uint32(number)] = ChooseWitnesses(witnessCandidates, nil, uint32(number%initialWitnessSets))
			}
			p.Claim = append(p.Claim, ownership.SlotClaim{Slot: uint32(number), Expected: s.Epoch})
		}
	}
}

// shouldClaim reports whether this entry should claim the slot: at once if it is the
// preferred owner, else after fallbackClaimDelay. The order of the log decides between
// concurrent claims.
func (m *Membership) shouldClaim(v View, number uint32, candidates []string) bool {
	since, known := m.ownerlessSince[number]
	if !known {
		since = v.Now
		m.ownerlessSince[number] = since
	}
	return ownership.PreferredOwner(number, candidates) == v.Self.Instance || v.Now.Sub(since) > fallbackClaimDelay
}

// eligibleEntries lists the instances of the live entries of the cell that are not
// draining.
func (m *Membership) eligibleEntries(v View, alive map[string]bool) []string {
	var list []string
	for instance, e := range v.Table.Entries {
		if !alive[instance] || e.Cell != v.Self.Cell || v.Peers[instance].Draining {
			continue
		}
		if instance == v.Self.Instance && v.Draining {
			continue
		}
		list = append(list, instance)
	}
	slices.Sort(list)
	return list
}

func (m *Membership) decideHandOver(v View, alive map[string]bool, p *Plan) {
	candidates := m.eligibleEntries(v, alive)
	if len(candidates) == 0 {
		return
	}
	p.HandOver = map[string][]ownership.SlotClaim{}
	for number, s := range v.Table.Slots {
		if s.Owner != v.Self.Instance {
			continue
		}
		target := ownership.PreferredOwner(uint32(number), candidates)
		if target == v.Self.Instance || !v.Draining && !m.settled(v, target) {
			continue
		}
		claim := ownership.SlotClaim{Slot: uint32(number), Expected: s.Epoch}
		p.HandOver[target] = append(p.HandOver[target], claim)
	}
}

// settled reports whether the target is heard and has been for settleTime.
func (m *Membership) settled(v View, target string) bool {
	peer, known := v.Peers[target]
	return known && v.Now.Sub(peer.LastHeard) <= peerstate.SuspicionTimeout && v.Now.Sub(peer.FirstHeard) >= settleTime
}

func (m *Membership) decideLeaves(v View, p *Plan) {
	for instance := range v.Table.Entries {
		if instance == v.Self.Instance {
			continue
		}
		last := m.started
		if peer, known := v.Peers[instance]; known {
			last = peer.LastHeard
		}
		if v.Now.Sub(last) > removeAfter && !m.alive(v)[instance] {
			p.Leave = append(p.Leave, instance)
		}
	}
	slices.Sort(p.Leave)
}

// initialWitnessCandidates lists the attached agents as candidates for the witnesses of
// slots that never had an owner. It returns none until WitnessesPerSlot agents are
// attached or initialClaimWait has passed.
func (m *Membership) initialWitnessCandidates(v View) []Agent {
	attached := attachedAgents(v)
	if len(attached) == 0 {
		m.firstAgentAt = time.Time{}
		return nil
	}
	if m.firstAgentAt.IsZero() {
		m.firstAgentAt = v.Now
	}
	if len(attached) < WitnessesPerSlot && v.Now.Sub(m.firstAgentAt) < initialClaimWait {
		return nil
	}
	return attached
}

func attachedAgents(v View) []Agent {
	var list []Agent
	for _, a := range v.Agents {
		if a.DetachedSince.IsZero() {
			list = append(list, a)
		}
	}
	return list
}

func (m *Membership) decideWitnesses(v View, p *Plan) {
	attached := attachedAgents(v)
	if len(attached) == 0 {
		return
	}
	p.ReplaceWitnesses = map[uint32][]string{}
	for number, s := range v.Table.Slots {
		if s.Owner != v.Self.Instance {
			continue
		}
		kept := m.retainedWitnesses(v, s.Witnesses)
		enough := len(kept) == len(s.Witnesses) && len(s.Witnesses) >= min(WitnessesPerSlot, len(attached))
		if enough {
			continue
		}
		chosen := ChooseWitnesses(attached, kept, uint32(number))
		if len(chosen) >= len(s.Witnesses) || len(kept) < len(s.Witnesses) {
			p.ReplaceWitnesses[uint32(number)] = chosen
		}
	}
}

// retainedWitnesses lists the witnesses that are attached or have been detached for less
// than witnessGracePeriod. During settleTime after the start it includes those that have
// not attached yet.
func (m *Membership) retainedWitnesses(v View, witnesses []string) []string {
	var kept []string
	for _, w := range witnesses {
		i := slices.IndexFunc(v.Agents, func(a Agent) bool { return a.Instance == w })
		if i < 0 {
			if v.Now.Sub(m.started) < settleTime {
				kept = append(kept, w)
			}
			continue
		}
		detached := v.Agents[i].DetachedSince
		if detached.IsZero() || v.Now.Sub(detached) < witnessGracePeriod {
			kept = append(kept, w)
		}
	}
	return kept
}

// ChooseWitnesses adds witnesses to the kept ones. It prefers agents in availability zones
// with the fewest witnesses, then an order that differs by slot.
func ChooseWitnesses(attached []Agent, kept []string, slot uint32) []string {
	chosen := slices.Clone(kept)
	zones := map[string]int{}
	for _, a := range attached {
		if slices.Contains(kept, a.Instance) {
			zones[a.Zone]++
		}
	}
	rest := slices.DeleteFunc(slices.Clone(attached), func(a Agent) bool { return slices.Contains(kept, a.Instance) })
	names := make([]string, 0, len(rest))
	for _, a := range rest {
		names = append(names, a.Instance)
	}
	order := rankBySlot(names, slot)
	for len(chosen) < WitnessesPerSlot && len(rest) > 0 {
		slices.SortFunc(rest, func(a, b Agent) int {
			if c := cmp.Compare(zones[a.Zone], zones[b.Zone]); c != 0 {
				return c
			}
			return cmp.Compare(order[a.Instance], order[b.Instance])
		})
		chosen = append(chosen, rest[0].Instance)
		zones[rest[0].Zone]++
		rest = rest[1:]
	}
	slices.Sort(chosen)
	return chosen
}

// rankBySlot returns the position of each name in the slot's order of preference.
func rankBySlot(names []string, slot uint32) map[string]int {
	order := map[string]int{}
	rest := slices.Clone(names)
	for i := 0; len(rest) > 0; i++ {
		best := ownership.PreferredOwner(slot, rest)
		order[best] = i
		rest = slices.DeleteFunc(rest, func(n string) bool { return n == best })
	}
	return order
}
