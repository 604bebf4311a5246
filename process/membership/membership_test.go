package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/connection/peerstate"
	"github.com/corianderhook/corianderhook/process/membership"
	"github.com/corianderhook/corianderhook/version/ownership"
)

var start = time.Unix(1000, 0)

// viewAt returns the view of entry e1: three entries, each owning the slots that prefer
// it, and four agents in three availability zones.
func viewAt(at time.Duration) membership.View {
	v := membership.View{
		Now:   start.Add(at),
		Self:  ownership.Entry{Instance: "e1", Cell: "main"},
		Table: ownership.New().Snapshot(),
		Peers: map[string]peerstate.State{},
		Agents: []membership.Agent{
			{Instance: "a1", Zone: "z1"},
			{Instance: "a2", Zone: "z2"},
			{Instance: "a3", Zone: "z3"},
			{Instance: "a4", Zone: "z1"},
		},
	}
	all := []string{"e1", "e2", "e3"}
	for _, instance := range all {
		v.Table.Entries[instance] = ownership.Entry{Instance: instance, Cell: "main"}
		if instance != "e1" {
			v.Peers[instance] = peerstate.State{FirstHeard: start, LastHeard: v.Now}
		}
	}
	for i := range v.Table.Slots {
		v.Table.Slots[i] = ownership.SlotState{Owner: ownership.PreferredOwner(uint32(i), all), Epoch: 1, Witnesses: []string{"a1", "a2", "a3"}}
	}
	return v
}

// withSilentPeer sets the peer to silent since start.
func withSilentPeer(v membership.View, instance string) membership.View {
	v.Peers[instance] = peerstate.State{FirstHeard: start, LastHeard: start}
	return v
}

func TestStableTableNeedsNoAction(t *testing.T) {
	is := is.New(t)
	p := membership.New(start).Decide(viewAt(10 * time.Second))
	is.True(!p.Join)
	is.Equal(len(p.Claim)+len(p.HandOver)+len(p.ReplaceWitnesses)+len(p.Leave), 0)
}

func TestJoinPrecedesOtherActions(t *testing.T) {
	is := is.New(t)
	v := viewAt(0)
	delete(v.Table.Entries, "e1")
	is.True(membership.New(start).Decide(v).Join)
	v.Draining = true
	is.True(!membership.New(start).Decide(v).Join)
}

func TestSlotsOfADeadEntryAreClaimedByPreferredOwner(t *testing.T) {
	is := is.New(t)
	v := withSilentPeer(viewAt(10*time.Second), "e3")
	p := membership.New(start).Decide(v)
	is.True(len(p.Claim) > 0)
	for _, c := range p.Claim {
		is.Equal(v.Table.Slots[c.Slot].Owner, "e3")
		is.Equal(ownership.PreferredOwner(c.Slot, []string{"e1", "e2"}), "e1")
		is.Equal(c.Expected, uint64(1))
	}
}

func TestEntryHeardByAPeerIsAlive(t *testing.T) {
	is := is.New(t)
	v := withSilentPeer(viewAt(10*time.Second), "e3")
	e2 := v.Peers["e2"]
	e2.HeardEntries = []string{"e3"}
	v.Peers["e2"] = e2
	is.Equal(len(membership.New(start).Decide(v).Claim), 0)
}

func TestAnyEntryClaimsAfterFallbackDelay(t *testing.T) {
	is := is.New(t)
	m := membership.New(start)
	v := withSilentPeer(viewAt(10*time.Second), "e3")
	claims := len(m.Decide(v).Claim)
	v.Now = v.Now.Add(3 * time.Second)
	v.Peers["e2"] = peerstate.State{FirstHeard: start, LastHeard: v.Now}
	is.True(len(m.Decide(v).Claim) > claims)
}

func TestDrainingEntryHandsOverAllSlots(t *testing.T) {
	is := is.New(t)
	v := viewAt(10 * time.Second)
	v.Draining = true
	p := membership.New(start).Decide(v)
	handedOver := len(p.HandOver["e2"]) + len(p.HandOver["e3"])
	owned := 0
	for _, s := range v.Table.Slots {
		if s.Owner == "e1" {
			owned++
		}
	}
	is.Equal(handedOver, owned)
	is.Equal(len(p.Claim), 0)
}

func TestLostWitnessIsReplacedAfterGracePeriod(t *testing.T) {
	is := is.New(t)
	v := viewAt(10 * time.Second)
	v.Agents[0].DetachedSince = v.Now.Add(-time.Second)
	is.Equal(len(membership.New(start).Decide(v).ReplaceWitnesses), 0)
	v.Agents[0].DetachedSince = v.Now.Add(-2 * time.Second)
	p := membership.New(start).Decide(v)
	is.True(len(p.ReplaceWitnesses) > 0)
	for _, chosen := range p.ReplaceWitnesses {
		is.Equal(chosen, []string{"a2", "a3", "a4"})
	}
}

func TestWitnessesAreInDifferentZones(t *testing.T) {
	is := is.New(t)
	agents := []membership.Agent{
		{Instance: "a", Zone: "z1"},
		{Instance: "b", Zone: "z1"},
		{Instance: "c", Zone: "z1"},
		{Instance: "d", Zone: "z2"},
		{Instance: "e", Zone: "z3"},
	}
	for slot := range uint32(64) {
		zones := map[string]bool{}
		for _, instance := range membership.ChooseWitnesses(agents, nil, slot) {
			for _, a := range agents {
				if a.Instance == instance {
					zones[a.Zone] = true
				}
			}
		}
		is.Equal(len(zones), 3)
	}
}

func TestFirstLiveEntrySnapshotsIdleStream(t *testing.T) {
	is := is.New(t)
	m := membership.New(start)
	is.True(!m.Decide(viewAt(59 * time.Second)).Snapshot)
	is.True(m.Decide(viewAt(61 * time.Second)).Snapshot)
	m.SnapshotAppended(0, start.Add(61*time.Second))
	is.True(!m.Decide(viewAt(62 * time.Second)).Snapshot)
	v := viewAt(10 * time.Minute)
	v.Self.Instance = "e2"
	v.Peers["e1"] = v.Peers["e3"]
	is.True(!membership.New(start).Decide(v).Snapshot)
}

func TestFirstClaimsSpreadTheWitnesses(t *testing.T) {
	is := is.New(t)
	v := viewAt(10 * time.Second)
	for i := range v.Table.Slots {
		v.Table.Slots[i] = ownership.SlotState{}
	}
	p := membership.New(start).Decide(v)
	is.True(len(p.Claim) > 0)
	slotsByWitness := map[string]int{}
	for _, c := range p.Claim {
		is.Equal(len(p.Witnesses[c.Slot]), membership.WitnessesPerSlot)
		for _, w := range p.Witnesses[c.Slot] {
			slotsByWitness[w]++
		}
	}
	is.Equal(len(slotsByWitness), len(v.Agents))
}
