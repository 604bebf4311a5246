// Package ownership folds the records of the ownership stream into the table
// that says which entry owns which slot. Every reader of the same records holds
// the same table.
package ownership

import (
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Slots is the number of slots that job names are hashed to.
const Slots = 256

// Stream is the name of the ownership stream on the platform's log.
const Stream = "ownership"

// Slot returns the slot of a job name.
func Slot(job string) uint32 {
	return uint32(xxhash.Sum64String(job) % Slots)
}

// Entry is an entry process as it announced itself on the log. The instance
// has the form name#incarnation; the address is ip:port for the other processes.
type Entry struct {
	Instance string `json:"instance"`
	Name     string `json:"name"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Cell     string `json:"cell"`
}

// SlotClaim asks for one slot. It is valid only while the slot is at the
// expected epoch.
type SlotClaim struct {
	Slot     uint32 `json:"slot"`
	Expected uint64 `json:"expected"`
}

// Claim makes Owner the owner of slots. Witnesses, where given, are agent
// instances; only the present owner of a slot may change them, and the claimant
// of a slot that never had an owner.
type Claim struct {
	Author    string      `json:"author"`
	Owner     string      `json:"owner"`
	Slots     []SlotClaim `json:"slots"`
	Witnesses []string    `json:"witnesses,omitempty"`
	// DoubtUntil is wall time in Unix milliseconds until which keys that no
	// witness knows may have run.
	DoubtUntil int64 `json:"doubt_until,omitempty"`
}

// Record is one record of the ownership stream. Exactly one of the pointers is set.
type Record struct {
	// ID makes a repeated append of the same record void.
	ID       string `json:"id"`
	Join     *Entry `json:"join,omitempty"`
	Leave    string `json:"leave,omitempty"`
	Claim    *Claim `json:"claim,omitempty"`
	Snapshot *State `json:"snapshot,omitempty"`
}

// SlotState is who owns a slot since which epoch. Epoch 0 means that it never
// had an owner.
type SlotState struct {
	Owner      string   `json:"owner,omitempty"`
	Epoch      uint64   `json:"epoch"`
	Witnesses  []string `json:"witnesses,omitempty"`
	DoubtUntil int64    `json:"doubt_until,omitempty"`
}

// State is the whole table as a snapshot holds it: all records below Next are in it.
type State struct {
	Next    uint64           `json:"next"`
	Entries map[string]Entry `json:"entries"`
	Slots   []SlotState      `json:"slots"`
	Recent  []string         `json:"recent"`
}

// recentIDs is the number of record IDs kept to void repeated appends.
const recentIDs = 4096

// Table is the fold of the ownership stream. It is not safe for concurrent use.
type Table struct {
	state   State
	seen    map[string]bool
	pending []pendingRecord
	whole   bool
}

type pendingRecord struct {
	offset uint64
	record Record
}

// New returns the table before the first record of the stream.
func New() *Table {
	return &Table{
		state: State{Entries: map[string]Entry{}, Slots: make([]SlotState, Slots)},
		seen:  map[string]bool{},
		whole: true,
	}
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() uint64 { return t.state.Next }

// Whole reports whether the table covers the stream from its beginning. It is
// false after Skip until a snapshot that closes the gap was read.
func (t *Table) Complete() bool { return t.whole }

// Skip tells the table that the log no longer holds the records below first.
func (t *Table) Skip(first uint64) {
	if first <= t.state.Next {
		return
	}
	t.whole = false
	t.pending = nil
}

// Apply folds the record at the offset. Records below Next are passed over, so
// that a record read twice counts once.
func (t *Table) Apply(offset uint64, raw []byte) error {
	var record Record
	if err := json.Unmarshal(raw, &record); err != nil {
		// A record that no reader can read is void for every reader alike.
		t.advance(offset)
		return errors.Wrapf(err, "ownership record %d", offset)
	}
	if !t.whole {
		t.hold(offset, record)
		return nil
	}
	if offset < t.state.Next {
		return nil
	}
	t.fold(record)
	t.advance(offset)
	return nil
}

func (t *Table) advance(offset uint64) {
	if t.whole && offset >= t.state.Next {
		t.state.Next = offset + 1
	}
}

// hold keeps records after a gap until a snapshot covers the gap.
func (t *Table) hold(offset uint64, record Record) {
	t.pending = append(t.pending, pendingRecord{offset: offset, record: record})
	if record.Snapshot == nil || record.Snapshot.Next < t.pending[0].offset {
		return
	}
	t.Restore(*record.Snapshot)
	pending := t.pending
	t.pending = nil
	for _, p := range pending {
		if p.offset < t.state.Next {
			continue
		}
		t.fold(p.record)
		t.advance(p.offset)
	}
}

// Restore replaces the table by a snapshot if the snapshot is newer.
func (t *Table) Restore(s State) {
	if t.whole && s.Next <= t.state.Next || len(s.Slots) != Slots {
		return
	}
	t.state = clone(s)
	t.seen = make(map[string]bool, len(s.Recent))
	for _, id := range s.Recent {
		t.seen[id] = true
	}
	t.whole = true
}

// Snapshot returns a copy of the table.
func (t *Table) Snapshot() State { return clone(t.state) }

func clone(s State) State {
	c := State{Next: s.Next, Entries: make(map[string]Entry, len(s.Entries))}
	for k, e := range s.Entries {
		c.Entries[k] = e
	}
	c.Slots = append([]SlotState(nil), s.Slots...)
	c.Recent = append([]string(nil), s.Recent...)
	return c
}

func (t *Table) fold(r Record) {
	if r.Snapshot != nil || r.ID == "" || t.seen[r.ID] {
		return
	}
	t.remember(r.ID)
	switch {
	case r.Join != nil:
		t.join(*r.Join)
	case r.Leave != "":
		delete(t.state.Entries, r.Leave)
	case r.Claim != nil:
		t.claim(*r.Claim)
	}
}

func (t *Table) remember(id string) {
	t.seen[id] = true
	t.state.Recent = append(t.state.Recent, id)
	if len(t.state.Recent) <= recentIDs {
		return
	}
	delete(t.seen, t.state.Recent[0])
	t.state.Recent = t.state.Recent[1:]
}

// join adds an entry; an older run of the same name has ended.
func (t *Table) join(e Entry) {
	for instance, old := range t.state.Entries {
		if old.Name == e.Name {
			delete(t.state.Entries, instance)
		}
	}
	t.state.Entries[e.Instance] = e
}

func (t *Table) claim(c Claim) {
	if _, member := t.state.Entries[c.Owner]; !member {
		return
	}
	for _, sc := range c.Slots {
		if sc.Slot >= Slots {
			continue
		}
		t.claimSlot(c, sc)
	}
}

func (t *Table) claimSlot(c Claim, sc SlotClaim) {
	slot := &t.state.Slots[sc.Slot]
	if slot.Epoch != sc.Expected {
		return
	}
	mayName := slot.Epoch == 0 || slot.Owner == c.Author
	if len(c.Witnesses) > 0 && mayName {
		slot.Witnesses = append([]string(nil), c.Witnesses...)
		slot.DoubtUntil = c.DoubtUntil
	}
	slot.Owner = c.Owner
	slot.Epoch++
}

// Slot returns who owns a slot.
func (t *Table) Slot(number uint32) SlotState { return t.state.Slots[number] }

// Entry returns the entry with the given instance.
func (t *Table) Entry(instance string) (Entry, bool) {
	e, ok := t.state.Entries[instance]
	return e, ok
}

// Entries returns the entries in the order of their instances.
func (t *Table) Entries() []Entry {
	list := make([]Entry, 0, len(t.state.Entries))
	for _, e := range t.state.Entries {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}

// Prefer returns the entry among the candidates that should own the slot:
// highest random weight, so that a change of one candidate moves only its share.
func PreferredOwner(slot uint32, candidates []string) string {
	var best string
	var bestWeight uint64
	for _, c := range candidates {
		weight := weigh(slot, c)
		if best == "" || weight > bestWeight || weight == bestWeight && c < best {
			best, bestWeight = c, weight
		}
	}
	return best
}

func weigh(slot uint32, candidate string) uint64 {
	key := append([]byte(candidate), byte(slot), byte(slot>>8))
	return xxhash.Sum64(key)
}
