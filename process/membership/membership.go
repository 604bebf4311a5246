// Package membership decides at an entry what has to be appended to the
// ownership stream: its own join, claims of slots without a living owner,
// hand-overs, new witnesses, leaves and snapshots. It does no I/O.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/connection/contact"
	"github.com/corianderhook/corianderhook/version/ownership"
)

const (
	// Witnesses is how many agents remember the keys of a slot.
	WitnessesPerSlot = 3
	// settle is how long an entry has to be heard before it is handed slots.
	settle = 2 * time.Second
	// witnessGrace is how long a witness may be detached before it is replaced.
	witnessGrace = 1500 * time.Millisecond
	// leaveAfter is how long an entry may be unheard before it is taken out.
	leaveAfter = 30 * time.Second
	// firstWait is how long the first claim waits for enough agents.
	firstWait = time.Second
	// stepIn is after how long an entry claims a slot that another should have.
	stepIn = 2 * time.Second
	// snapshotEvery is the number of records between snapshots.
	snapshotEvery = 200
	// snapshotPause is the longest time between snapshots. It has to be well below
	// the time for which the log keeps records.
	snapshotPause = time.Minute
	// firstSets is how many sets of witnesses the first claims spread over.
	firstSets = 8
)

// Agent is an agent that is attached or was lately.
type Agent struct {
	Instance string
	Zone     string
	// GoneSince is zero while the agent is attached.
	DetachedSince time.Time
}

// View is all that a decision is made from.
type View struct {
	Now      time.Time
	Self     ownership.Entry
	Draining bool
	Table    ownership.State
	Peers    map[string]contact.Contact
	Agents   []Agent
}

// Plan is what has to be done now.
type Plan struct {
	Join bool
	// Claim are the slots to claim for this entry.
	Claim []ownership.SlotClaim
	// Witnesses are the witnesses for claimed slots that never had an owner.
	Witnesses map[uint32][]string
	// HandOver are slots of this entry that belong to others, by their instance.
	HandOver map[string][]ownership.SlotClaim
	// Rewitness are the slots of this entry whose witnesses are to be replaced.
	ReplaceWitnesses map[uint32][]string
	// Leave are entries that have been unheard for long.
	Leave    []string
	Snapshot bool
}

// Membership remembers what a decision needs of earlier ones. It is not safe
// for concurrent use.
type Membership struct {
	started      time.Time
	ownerless    map[uint32]time.Time
	snapshotAt   uint64
	snapshotTime time.Time
	firstAgent   time.Time
}

// New returns the membership of an entry that has just started.
func New(now time.Time) *Membership {
	return &Membership{started: now, snapshotTime: now, ownerless: map[uint32]time.Time{}}
}

// Decide returns what has to be done in the given view.
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

// snapshotDue lets the first living entry of the table append a snapshot after
// some records or some time: the log keeps no record for ever.
func (m *Membership) snapshotDue(v View, alive map[string]bool) bool {
	for name := range v.Table.Entries {
		if alive[name] && name < v.Self.Instance {
			return false
		}
	}
	return v.Table.Next >= m.snapshotAt+snapshotEvery || v.Now.Sub(m.snapshotTime) >= snapshotPause
}

// Snapshotted takes note that a snapshot up to the offset was appended.
func (m *Membership) SnapshotAppended(next uint64, now time.Time) {
	m.snapshotAt = next
	m.snapshotTime = now
}

// alive lists the entries that are not suspected: heard here, or by an entry
// that is heard here, or new enough not to have been heard yet.
func (m *Membership) alive(v View) map[string]bool {
	alive := map[string]bool{v.Self.Instance: true}
	heard := map[string]bool{v.Self.Instance: true}
	for name, p := range v.Peers {
		if v.Now.Sub(p.LastHeard) <= contact.Suspicion {
			heard[name] = true
			for _, other := range p.Hears {
				alive[other] = true
			}
		}
	}
	for name := range v.Table.Entries {
		peer, known := v.Peers[name]
		fresh := !known && v.Now.Sub(m.started) < settle
		if heard[name] || fresh || known && v.Now.Sub(peer.LastHeard) <= contact.Suspicion {
			alive[name] = true
		}
	}
	return alive
}

func (m *Membership) decideClaims(v View, alive map[string]bool, p *Plan) {
	if v.Draining {
		return
	}
	candidates := m.takers(v, alive)
	first := m.firstAgents(v)
	p.Witnesses = map[uint32][]string{}
	for number, s := range v.Table.Slots {
		_, listed := v.Table.Entries[s.Owner]
		if s.Epoch > 0 && listed && alive[s.Owner] {
			delete(m.ownerless, uint32(number))
			continue
		}
		if s.Epoch == 0 && len(first) == 0 {
			continue
		}
		if m.shouldClaim(v, uint32(number), candidates) {
			if s.Epoch == 0 {
				p.Witnesses[uint32(number)] = ChooseWitnesses(first, nil, uint32(number%firstSets))
			}
			p.Claim = append(p.Claim, ownership.SlotClaim{Slot: uint32(number), Expected: s.Epoch})
		}
	}
}

// shouldClaim lets the preferred entry go first. Any entry steps in later, and
// the order of the log decides between those who did.
func (m *Membership) shouldClaim(v View, number uint32, candidates []string) bool {
	since, noted := m.ownerless[number]
	if !noted {
		since = v.Now
		m.ownerless[number] = since
	}
	return ownership.PreferredOwner(number, candidates) == v.Self.Instance || v.Now.Sub(since) > stepIn
}

// takers lists the living entries of the cell that are not draining.
func (m *Membership) takers(v View, alive map[string]bool) []string {
	var list []string
	for name, e := range v.Table.Entries {
		if !alive[name] || e.Cell != v.Self.Cell || v.Peers[name].Draining {
			continue
		}
		if name == v.Self.Instance && v.Draining {
			continue
		}
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

func (m *Membership) decideHandOver(v View, alive map[string]bool, p *Plan) {
	candidates := m.takers(v, alive)
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

func (m *Membership) settled(v View, target string) bool {
	peer, known := v.Peers[target]
	return known && v.Now.Sub(peer.LastHeard) <= contact.Suspicion && v.Now.Sub(peer.FirstHeard) >= settle
}

func (m *Membership) decideLeaves(v View, p *Plan) {
	for name := range v.Table.Entries {
		if name == v.Self.Instance {
			continue
		}
		last := m.started
		if peer, known := v.Peers[name]; known {
			last = peer.LastHeard
		}
		if v.Now.Sub(last) > leaveAfter && !m.alive(v)[name] {
			p.Leave = append(p.Leave, name)
		}
	}
	slices.Sort(p.Leave)
}

// firstAgents lists the agents that may become witnesses of slots that never had
// an owner, once enough are attached or the time to wait for them is over.
func (m *Membership) firstAgents(v View) []Agent {
	attached := attachedAgents(v)
	if len(attached) == 0 {
		m.firstAgent = time.Time{}
		return nil
	}
	if m.firstAgent.IsZero() {
		m.firstAgent = v.Now
	}
	if len(attached) < WitnessesPerSlot && v.Now.Sub(m.firstAgent) < firstWait {
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
		kept := m.standing(v, s.Witnesses)
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

// standing lists the witnesses that are attached or were within the grace.
func (m *Membership) standing(v View, witnesses []string) []string {
	var kept []string
	for _, w := range witnesses {
		i := slices.IndexFunc(v.Agents, func(a Agent) bool { return a.Instance == w })
		if i < 0 {
			if v.Now.Sub(m.started) < settle {
				kept = append(kept, w)
			}
			continue
		}
		gone := v.Agents[i].DetachedSince
		if gone.IsZero() || v.Now.Sub(gone) < witnessGrace {
			kept = append(kept, w)
		}
	}
	return kept
}

// Choose picks witnesses: the kept ones first, then agents in zones that have
// none yet, in an order that differs per slot.
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
	order := rank(names, slot)
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

func rank(names []string, slot uint32) map[string]int {
	order := map[string]int{}
	rest := slices.Clone(names)
	for i := 0; len(rest) > 0; i++ {
		best := ownership.PreferredOwner(slot, rest)
		order[best] = i
		rest = slices.DeleteFunc(rest, func(n string) bool { return n == best })
	}
	return order
}
