// Package ownership applies the records of the ownership stream to the table of slot
// owners. Readers of the same records have the same table.
package ownership

import (
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Slots is the number of slots; job names are hashed to slots.
const Slots = 256

// Stream is the name of the ownership stream on the platform's log.
const Stream = "ownership"

// Slot returns the slot of a job name.
func Slot(job string) uint32 {
	return uint32(xxhash.Sum64String(job) % Slots)
}

// Entry is an entry process as it announced itself on the log. Instance has the form
// name#incarnation, and Address is the ip:port that other processes connect to.
type Entry struct {
	Instance string `json:"instance"`
	Name     string `json:"name"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Cell     string `json:"cell"`
}

// SlotClaim claims one slot. It is valid only if the slot is at the expected epoch.
type SlotClaim struct {
	Slot     uint32 `json:"slot"`
	Expected uint64 `json:"expected"`
}

// Claim makes Owner the owner of slots. Witnesses, if present, are agent instances. They
// are set only if the author is the current owner of the slot, or if the slot never had
// an owner.
type Claim struct {
	Author    string      `json:"author"`
	Owner     string      `json:"owner"`
	Slots     []SlotClaim `json:"slots"`
	Witnesses []string    `json:"witnesses,omitempty"`
	// DoubtUntil is the wall time, in Unix milliseconds, until which jobs may have run
	// although no witness knows their keys.
	DoubtUntil int64 `json:"doubt_until,omitempty"`
}

// Record is a record of the ownership stream. Exactly one of Join, Leave, Claim and
// Snapshot is set.
type Record struct {
	// ID identifies the record, so that a repeated append has no effect.
	ID       string `json:"id"`
	Join     *Entry `json:"join,omitempty"`
	Leave    string `json:"leave,omitempty"`
	Claim    *Claim `json:"claim,omitempty"`
	Snapshot *State `json:"snapshot,omitempty"`
}

// SlotState holds the owner and the epoch of a slot. Epoch 0 means that the slot never had
// an owner.
type SlotState struct {
	Owner      string   `json:"owner,omitempty"`
	Epoch      uint64   `json:"epoch"`
	Witnesses  []string `json:"witnesses,omitempty"`
	DoubtUntil int64    `json:"doubt_until,omitempty"`
}

// State is the content of a table, as stored in a snapshot: the result of all records
// below the offset Next.
type State struct {
	Next    uint64           `json:"next"`
	Entries map[string]Entry `json:"entries"`
	Slots   []SlotState      `json:"slots"`
	// Recent holds the IDs of the latest records, to detect repeated appends.
	Recent []string `json:"recent"`
}

// maxRecentIDs is the number of record IDs kept to detect repeated appends.
const maxRecentIDs = 4096

// Table holds the entries and slot owners after the records applied so far. It is not safe
// for concurrent use.
type Table struct {
	state   State
	seenIDs map[string]bool
	// pending holds the records after a gap in the stream.
	pending  []pendingRecord
	complete bool
}

// pendingRecord is a record that follows a gap in the stream.
type pendingRecord struct {
	offset uint64
	record Record
}

// New returns an empty table: the state before the first record of the stream.
func New() *Table {
	return &Table{
		state:    State{Entries: map[string]Entry{}, Slots: make([]SlotState, Slots)},
		seenIDs:  map[string]bool{},
		complete: true,
	}
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() uint64 { return t.state.Next }

// Complete reports whether the table covers the stream from its beginning. After Skip it is
// false until a snapshot that closes the gap has been applied.
func (t *Table) Complete() bool { return t.complete }

// Skip notes that the log no longer has the records below the offset first. If the table
// lacks some of them, it is incomplete until a snapshot covers the gap.
func (t *Table) Skip(first uint64) {
	if first <= t.state.Next {
		return
	}
	t.complete = false
	t.pending = nil
}

// Apply applies the record at the offset. Records below Next are skipped, so that a record
// that is read twice is applied once.
func (t *Table) Apply(offset uint64, raw []byte) error {
	var record Record
	if err := json.Unmarshal(raw, &record); err != nil {
		// A malformed record is skipped by every reader, so that the tables stay equal.
		t.advance(offset)
		return errors.Wrapf(err, "ownership record %d", offset)
	}
	if !t.complete {
		t.buffer(offset, record)
		return nil
	}
	if offset < t.state.Next {
		return nil
	}
	t.applyRecord(record)
	t.advance(offset)
	return nil
}

func (t *Table) advance(offset uint64) {
	if t.complete && offset >= t.state.Next {
		t.state.Next = offset + 1
	}
}

// buffer keeps records after a gap until a snapshot covers the gap.
func (t *Table) buffer(offset uint64, record Record) {
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
		t.applyRecord(p.record)
		t.advance(p.offset)
	}
}

// Restore replaces the table by a snapshot if the snapshot is newer or the table is
// incomplete. A snapshot with another number of slots is ignored.
func (t *Table) Restore(s State) {
	if t.complete && s.Next <= t.state.Next || len(s.Slots) != Slots {
		return
	}
	t.state = clone(s)
	t.seenIDs = make(map[string]bool, len(s.Recent))
	for _, id := range s.Recent {
		t.seenIDs[id] = true
	}
	t.complete = true
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

func (t *Table) applyRecord(r Record) {
	if r.Snapshot != nil || r.ID == "" || t.seenIDs[r.ID] {
		return
	}
	t.rememberID(r.ID)
	switch {
	case r.Join != nil:
		t.join(*r.Join)
	case r.Leave != "":
		delete(t.state.Entries, r.Leave)
	case r.Claim != nil:
		t.claim(*r.Claim)
	}
}

func (t *Table) rememberID(id string) {
	t.seenIDs[id] = true
	t.state.Recent = append(t.state.Recent, id)
	if len(t.state.Recent) <= maxRecentIDs {
		return
	}
	delete(t.seenIDs, t.state.Recent[0])
	t.state.Recent = t.state.Recent[1:]
}

// join adds an entry and removes earlier incarnations of the same name, which have ended.
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
	maySetWitnesses := slot.Epoch == 0 || slot.Owner == c.Author
	if len(c.Witnesses) > 0 && maySetWitnesses {
		slot.Witnesses = append([]string(nil), c.Witnesses...)
		slot.DoubtUntil = c.DoubtUntil
	}
	slot.Owner = c.Owner
	slot.Epoch++
}

// Slot returns the state of a slot.
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

// PreferredOwner returns the candidate that should own the slot. It uses rendezvous hashing
// (highest random weight), so that adding or removing a candidate moves only its slots.
func PreferredOwner(slot uint32, candidates []string) string {
	var best string
	var bestWeight uint64
	for _, c := range candidates {
		weight := weightOf(slot, c)
		if best == "" || weight > bestWeight || weight == bestWeight && c < best {
			best, bestWeight = c, weight
		}
	}
	return best
}

// weightOf returns the candidate's weight for the slot in rendezvous hashing.
func weightOf(slot uint32, candidate string) uint64 {
	key := append([]byte(candidate), byte(slot), byte(slot>>8))
	return xxhash.Sum64(key)
}
