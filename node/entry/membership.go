package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/process/audit"
	"github.com/corianderhook/corianderhook/process/membership"
	"github.com/corianderhook/corianderhook/process/owner"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/version/slot"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// membershipInterval is the time between two membership decisions.
	membershipInterval = 50 * time.Millisecond
	// maxReadWait is how long a read of the log waits for records.
	maxReadWait = time.Second
	// logRetryDelay is the pause after a failed read or append.
	logRetryDelay = 200 * time.Millisecond
	// appendTimeout bounds an append, including reading the record back.
	appendTimeout = 5 * time.Second
	// handOverTimeout bounds the calls to the next owner of slots.
	handOverTimeout = 2 * time.Second
)

// followOwnershipStream applies the records of the ownership stream to the table.
func (e *Entry) followOwnershipStream(ctx context.Context) {
	table := ownership.New()
	for ctx.Err() == nil {
		batch, err := e.deps.Log.Read(ctx, ownership.Stream, table.Next(), maxReadWait)
		if err != nil {
			klog.V(1).InfoS("CH0301 log read failed", "entry", e.self.Instance, "error", err)
			pause.For(ctx, e.deps.Clock, logRetryDelay)
			continue
		}
		e.applyOwnershipRecords(ctx, table, batch.First, batch.From, batch.Records)
	}
}

func (e *Entry) applyOwnershipRecords(ctx context.Context, table *ownership.Table, first, from uint64, records [][]byte) {
	table.Skip(first)
	for i, raw := range records {
		if err := table.Apply(from+uint64(i), raw); err != nil {
			klog.ErrorS(err, "CH0302 malformed ownership record skipped", "entry", e.self.Instance)
		}
	}
	if len(records) == 0 || !table.Complete() {
		return
	}
	state := table.Snapshot()
	e.table.Store(&state)
	e.peers.Reconcile(ctx, state.Entries)
	e.deps.System.Root.Send(e.owner, reconcile{table: &state})
}

// runMembership decides at every membershipInterval which ownership records are due, and
// appends them.
func (e *Entry) runMembership(ctx context.Context) {
	m := membership.New(e.deps.Clock.Now())
	for ctx.Err() == nil {
		pause.For(ctx, e.deps.Clock, membershipInterval)
		var list []membership.Agent
		if e.runOnOwner(ctx, func(o *owner.Owner) { list = recentAgents(o) }) != nil {
			return
		}
		plan := m.Decide(membership.View{
			Now:      e.deps.Clock.Now(),
			Self:     e.self,
			Draining: e.draining.Load(),
			Table:    *e.table.Load(),
			Peers:    e.peers.Contacts(),
			Agents:   list,
		})
		if err := e.executePlan(ctx, m, plan); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("CH0303 log append failed", "entry", e.self.Instance, "error", err)
			pause.For(ctx, e.deps.Clock, logRetryDelay)
		}
	}
}

func (e *Entry) executePlan(ctx context.Context, m *membership.Membership, p membership.Plan) error {
	if p.Join {
		err := e.appendRecord(ctx, ownership.Record{Join: &e.self})
		e.audit("join", e.self.Instance, "", e.self.Address, err)
		return err
	}
	if len(p.Claim) > 0 {
		klog.InfoS("CH0304 claiming slots", "entry", e.self.Instance, "slots", len(p.Claim))
		if err := e.claim(ctx, p); err != nil {
			return err
		}
	}
	if err := e.cancelHandOvers(ctx, p); err != nil {
		return err
	}
	for target, claims := range p.HandOver {
		if err := e.handOver(ctx, target, claims); err != nil {
			return err
		}
	}
	if err := e.replaceWitnesses(ctx, p.ReplaceWitnesses); err != nil {
		return err
	}
	for _, dead := range p.Leave {
		err := e.appendRecord(ctx, ownership.Record{Leave: dead})
		e.audit("leave", dead, "listed", "unheard for too long", err)
		if err != nil {
			return err
		}
	}
	if p.Snapshot {
		e.appendConfigSnapshot(ctx)
		return e.appendSnapshot(ctx, m)
	}
	return nil
}

// claim appends the claims of a plan: one record for each witness set of slots that never
// had an owner, and one for all slots that keep their witnesses.
func (e *Entry) claim(ctx context.Context, p membership.Plan) error {
	bySet := map[string]*ownership.Claim{}
	for _, c := range p.Claim {
		var witnesses []string
		if c.Expected == 0 {
			witnesses = p.Witnesses[c.Slot]
		}
		set := strings.Join(witnesses, " ")
		if bySet[set] == nil {
			bySet[set] = &ownership.Claim{Author: e.self.Instance, Owner: e.self.Instance, Witnesses: witnesses}
		}
		bySet[set].Slots = append(bySet[set].Slots, c)
	}
	for _, set := range slices.Sorted(maps.Keys(bySet)) {
		c := bySet[set]
		before := e.ownersOf(c.Slots)
		err := e.appendRecord(ctx, ownership.Record{Claim: c})
		e.audit("claim", fmt.Sprintf("%d slots", len(c.Slots)), before, e.ownersOf(c.Slots), err)
		if err != nil {
			return err
		}
	}
	return nil
}

// ownersOf lists the owners of slots by the current table, with their number of slots.
func (e *Entry) ownersOf(claims []ownership.SlotClaim) string {
	table := e.table.Load()
	counts := map[string]int{}
	for _, c := range claims {
		counts[table.Slots[c.Slot].Owner]++
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		owner := name
		if owner == "" {
			owner = "nobody"
		}
		parts = append(parts, fmt.Sprintf("%s:%d", owner, counts[name]))
	}
	return strings.Join(parts, " ")
}

// audit records a change that this entry made or failed to make.
func (e *Entry) audit(what, subject, before, after string, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed: " + err.Error()
	}
	e.auditTrail.Add(audit.Record{
		Who: e.self.Instance, From: e.self.Address, What: what, Subject: subject, Before: before, After: after, Outcome: outcome,
	})
}

func (e *Entry) appendSnapshot(ctx context.Context, m *membership.Membership) error {
	state := *e.table.Load()
	if err := e.appendRecord(ctx, ownership.Record{Snapshot: &state}); err != nil {
		return err
	}
	m.SnapshotAppended(state.Next, e.deps.Clock.Now())
	return nil
}

// appendRecord appends a record and waits until the table covers it. A failed append is
// retried once under the same ID, so that a record whose reply was lost is not applied
// twice.
func (e *Entry) appendRecord(ctx context.Context, r ownership.Record) error {
	r.ID = uuid.NewString()
	raw, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "ownership record")
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := e.deps.Log.Append(ctx, ownership.Stream, raw)
	if err != nil {
		pause.For(ctx, e.deps.Clock, logRetryDelay)
		if offset, err = e.deps.Log.Append(ctx, ownership.Stream, raw); err != nil {
			return err
		}
	}
	for e.table.Load().Next <= offset {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause.For(ctx, e.deps.Clock, time.Millisecond)
	}
	return nil
}

// cancelHandOvers takes back slots whose hand-over was begun but is no longer planned, for
// example because the next owner has died since. Claiming them again voids the hand-over.
func (e *Entry) cancelHandOvers(ctx context.Context, p membership.Plan) error {
	planned := map[uint32]bool{}
	for _, claims := range p.HandOver {
		for _, c := range claims {
			planned[c.Slot] = true
		}
	}
	var reclaimed []ownership.SlotClaim
	err := e.runOnOwner(ctx, func(o *owner.Owner) {
		for number, s := range o.Slots() {
			if s.Phase() == slot.Leaving && !planned[number] {
				reclaimed = append(reclaimed, ownership.SlotClaim{Slot: number, Expected: s.Epoch()})
			}
		}
	})
	if err != nil || len(reclaimed) == 0 {
		return err
	}
	claim := &ownership.Claim{Author: e.self.Instance, Owner: e.self.Instance, Slots: reclaimed}
	return e.appendRecord(ctx, ownership.Record{Claim: claim})
}

// handOver transfers ownership slots to another entry: this entry stops deciding submissions,
// sends its tombstones and floor to the next owner, and appends a claim in the next owner's
// name.
func (e *Entry) handOver(ctx context.Context, target string, claims []ownership.SlotClaim) error {
	client, connected := e.peers.Client(target)
	if !connected {
		return nil
	}
	reply := make(chan []*wire.HandOverRequest, 1)
	e.deps.System.Root.Send(e.owner, beginHandOver{claims: claims, reply: reply})
	var requests []*wire.HandOverRequest
	select {
	case <-ctx.Done():
		return ctx.Err()
	case requests = <-reply:
	}
	if len(requests) == 0 {
		return nil
	}
	klog.InfoS("CH0305 handing over slots", "entry", e.self.Instance, "to", target, "slots", len(requests))
	claimed := e.sendHandOvers(ctx, client, requests)
	newOwner := target
	if len(claimed) < len(requests) {
		// The next owner may lack tombstones, so this entry keeps the slots. Its own claim
		// ensures that an earlier hand-over cannot take effect later.
		newOwner = e.self.Instance
		claimed = claimsOf(requests)
	}
	claim := &ownership.Claim{Author: e.self.Instance, Owner: newOwner, Slots: claimed}
	err := e.appendRecord(ctx, ownership.Record{Claim: claim})
	e.audit("hand-over", fmt.Sprintf("%d slots", len(claimed)), e.self.Instance, e.ownersOf(claimed), err)
	return err
}

// sendHandOvers sends the requests to the next owner and returns the claims of the slots for
// which it has acknowledged them.
func (e *Entry) sendHandOvers(ctx context.Context, client wire.EntryClient, requests []*wire.HandOverRequest) []ownership.SlotClaim {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var accepted []ownership.SlotClaim
	for _, r := range requests {
		if _, err := client.HandOver(ctx, r); err != nil {
			klog.InfoS("CH0306 next owner did not answer", "entry", e.self.Instance, "slot", r.GetSlot(), "error", err)
			return accepted
		}
		accepted = append(accepted, ownership.SlotClaim{Slot: r.GetSlot(), Expected: r.GetEpoch()})
	}
	return accepted
}

func claimsOf(requests []*wire.HandOverRequest) []ownership.SlotClaim {
	claims := make([]ownership.SlotClaim, 0, len(requests))
	for _, r := range requests {
		claims = append(claims, ownership.SlotClaim{Slot: r.GetSlot(), Expected: r.GetEpoch()})
	}
	return claims
}

// replaceWitnesses starts copying keys to new witnesses, and appends the new witness sets
// whose copy is complete.
func (e *Entry) replaceWitnesses(ctx context.Context, newWitnesses map[uint32][]string) error {
	if len(newWitnesses) == 0 {
		return nil
	}
	var records []ownership.Record
	err := e.runOnOwner(ctx, func(o *owner.Owner) { records = witnessRecords(o, e.self.Instance, newWitnesses) })
	if err != nil {
		return err
	}
	for _, r := range records {
		err := e.appendRecord(ctx, r)
		e.audit("witnesses", fmt.Sprintf("%d slots", len(r.Claim.Slots)), "", strings.Join(r.Claim.Witnesses, " "), err)
		if err != nil {
			return err
		}
	}
	return nil
}

// witnessRecords proposes the new witnesses to their slots and returns a record for each set
// of which a majority has acknowledged the full copy. If an earlier proposal may still reach
// the log, it returns a claim without witnesses, which voids that proposal.
func witnessRecords(o *owner.Owner, self string, newWitnesses map[uint32][]string) []ownership.Record {
	bySet := map[string]*ownership.Claim{}
	var order []string
	for number, members := range newWitnesses {
		s, owned := o.Slots()[number]
		if !owned || s.Phase() != slot.Active {
			continue
		}
		var chosen []string
		if s.ProposeWitnesses(members) {
			var ready bool
			if chosen, ready = s.ProposedWitnesses(); !ready {
				continue
			}
		}
		key := fmt.Sprint(chosen, s.DoubtUntil().UnixMilli())
		claim, exists := bySet[key]
		if !exists {
			claim = &ownership.Claim{Author: self, Owner: self, Witnesses: chosen, DoubtUntil: s.DoubtUntil().UnixMilli()}
			bySet[key] = claim
			order = append(order, key)
		}
		claim.Slots = append(claim.Slots, ownership.SlotClaim{Slot: number, Expected: s.Epoch()})
	}
	records := make([]ownership.Record, 0, len(order))
	for _, key := range order {
		records = append(records, ownership.Record{Claim: bySet[key]})
	}
	return records
}
