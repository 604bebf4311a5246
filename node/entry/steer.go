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
	// steerEvery is the time between two looks at membership and ownership.
	steerEvery = 50 * time.Millisecond
	// readWait is how long a read waits for records.
	readWait = time.Second
	// retryRead is the pause after a failed read.
	retryRead = 200 * time.Millisecond
	// appendTime bounds an append and the reading back of it.
	appendTime = 5 * time.Second
	// handOverTime bounds the talk with the next owner of slots.
	handOverTime = 2 * time.Second
)

// follow folds the ownership stream into the table.
func (e *Entry) follow(ctx context.Context) {
	table := ownership.New()
	for ctx.Err() == nil {
		batch, err := e.deps.Log.Read(ctx, ownership.Stream, table.Next(), readWait)
		if err != nil {
			klog.V(1).InfoS("CH0301 log read failed", "entry", e.self.Instance, "error", err)
			pause.For(ctx, e.deps.Clock, retryRead)
			continue
		}
		e.fold(ctx, table, batch.First, batch.From, batch.Records)
	}
}

func (e *Entry) fold(ctx context.Context, table *ownership.Table, first, from uint64, records [][]byte) {
	table.Skip(first)
	for i, raw := range records {
		if err := table.Apply(from+uint64(i), raw); err != nil {
			klog.ErrorS(err, "CH0302 ownership record is void", "entry", e.self.Instance)
		}
	}
	if len(records) == 0 || !table.Complete() {
		return
	}
	state := table.Snapshot()
	e.table.Store(&state)
	e.peers.Reconcile(ctx, state.Entries)
	e.deps.System.Root.Send(e.owner, follow{table: &state})
}

// steer appends what membership asks for.
func (e *Entry) steer(ctx context.Context) {
	m := membership.New(e.deps.Clock.Now())
	for ctx.Err() == nil {
		pause.For(ctx, e.deps.Clock, steerEvery)
		var list []membership.Agent
		if e.onOwner(ctx, func(o *owner.Owner) { list = agents(o) }) != nil {
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
		if err := e.carryOut(ctx, m, plan); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("CH0303 log append failed", "entry", e.self.Instance, "error", err)
			pause.For(ctx, e.deps.Clock, retryRead)
		}
	}
}

func (e *Entry) carryOut(ctx context.Context, m *membership.Membership, p membership.Plan) error {
	if p.Join {
		err := e.appendRecord(ctx, ownership.Record{Join: &e.self})
		e.audit("join", e.self.Instance, "", e.self.Address, err)
		return err
	}
	if len(p.Claim) > 0 {
		klog.InfoS("CH0304 claims slots", "entry", e.self.Instance, "slots", len(p.Claim))
		if err := e.claim(ctx, p); err != nil {
			return err
		}
	}
	if err := e.stay(ctx, p); err != nil {
		return err
	}
	for target, claims := range p.HandOver {
		if err := e.handOver(ctx, target, claims); err != nil {
			return err
		}
	}
	if err := e.rewitness(ctx, p.ReplaceWitnesses); err != nil {
		return err
	}
	for _, gone := range p.Leave {
		err := e.appendRecord(ctx, ownership.Record{Leave: gone})
		e.audit("leave", gone, "listed", "unheard for too long", err)
		if err != nil {
			return err
		}
	}
	if p.Snapshot {
		e.snapshotConfig(ctx)
		return e.snapshot(ctx, m)
	}
	return nil
}

// claim appends a record per set of witnesses for slots that never had an owner,
// and one for slots whose witnesses stay.
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

// ownersOf lists the owners of slots as the table has them now.
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

// audit takes a change that this entry made or failed to make.
func (e *Entry) audit(what, subject, before, after string, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed: " + err.Error()
	}
	e.trail.Add(audit.Record{
		Who: e.self.Instance, From: e.self.Address, What: what, Subject: subject, Before: before, After: after, Outcome: outcome,
	})
}

func (e *Entry) snapshot(ctx context.Context, m *membership.Membership) error {
	state := *e.table.Load()
	if err := e.appendRecord(ctx, ownership.Record{Snapshot: &state}); err != nil {
		return err
	}
	m.SnapshotAppended(state.Next, e.deps.Clock.Now())
	return nil
}

// appendRecord appends a record under one id until an append is answered, so
// that a lost answer cannot make it count twice, and waits for the table to
// have read it back.
func (e *Entry) appendRecord(ctx context.Context, r ownership.Record) error {
	r.ID = uuid.NewString()
	raw, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "ownership record")
	}
	ctx, cancel := context.WithTimeout(ctx, appendTime)
	defer cancel()
	offset, err := e.deps.Log.Append(ctx, ownership.Stream, raw)
	if err != nil {
		pause.For(ctx, e.deps.Clock, retryRead)
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

// stay takes slots back whose hand-over was begun and is no longer wanted, such
// as to an entry that died meanwhile. The claim makes the begun one void.
func (e *Entry) stay(ctx context.Context, p membership.Plan) error {
	wanted := map[uint32]bool{}
	for _, claims := range p.HandOver {
		for _, c := range claims {
			wanted[c.Slot] = true
		}
	}
	var back []ownership.SlotClaim
	err := e.onOwner(ctx, func(o *owner.Owner) {
		for number, s := range o.Slots() {
			if s.Phase() == slot.Leaving && !wanted[number] {
				back = append(back, ownership.SlotClaim{Slot: number, Expected: s.Epoch()})
			}
		}
	})
	if err != nil || len(back) == 0 {
		return err
	}
	claim := &ownership.Claim{Author: e.self.Instance, Owner: e.self.Instance, Slots: back}
	return e.appendRecord(ctx, ownership.Record{Claim: claim})
}

// handOver passes slots directly: this entry stops deciding, tells the next
// owner what it refused, and the log records the change.
func (e *Entry) handOver(ctx context.Context, target string, claims []ownership.SlotClaim) error {
	client, connected := e.peers.Client(target)
	if !connected {
		return nil
	}
	reply := make(chan []*wire.HandOverRequest, 1)
	e.deps.System.Root.Send(e.owner, leave{claims: claims, reply: reply})
	var requests []*wire.HandOverRequest
	select {
	case <-ctx.Done():
		return ctx.Err()
	case requests = <-reply:
	}
	if len(requests) == 0 {
		return nil
	}
	klog.InfoS("CH0305 hands slots over", "entry", e.self.Instance, "to", target, "slots", len(requests))
	ready := e.passOn(ctx, client, requests)
	owner := target
	if len(ready) < len(requests) {
		// The next owner cannot be told, so the slots stay; a claim of our own
		// makes sure that no earlier hand-over takes effect later.
		owner = e.self.Instance
		ready = claimsOf(requests)
	}
	claim := &ownership.Claim{Author: e.self.Instance, Owner: owner, Slots: ready}
	err := e.appendRecord(ctx, ownership.Record{Claim: claim})
	e.audit("hand-over", fmt.Sprintf("%d slots", len(ready)), e.self.Instance, e.ownersOf(ready), err)
	return err
}

func (e *Entry) passOn(ctx context.Context, client wire.EntryClient, requests []*wire.HandOverRequest) []ownership.SlotClaim {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	var ready []ownership.SlotClaim
	for _, r := range requests {
		if _, err := client.HandOver(ctx, r); err != nil {
			klog.InfoS("CH0306 next owner did not answer", "entry", e.self.Instance, "slot", r.GetSlot(), "error", err)
			return ready
		}
		ready = append(ready, ownership.SlotClaim{Slot: r.GetSlot(), Expected: r.GetEpoch()})
	}
	return ready
}

func claimsOf(requests []*wire.HandOverRequest) []ownership.SlotClaim {
	claims := make([]ownership.SlotClaim, 0, len(requests))
	for _, r := range requests {
		claims = append(claims, ownership.SlotClaim{Slot: r.GetSlot(), Expected: r.GetEpoch()})
	}
	return claims
}

// rewitness copies keys to new witnesses and records those that have them.
func (e *Entry) rewitness(ctx context.Context, wanted map[uint32][]string) error {
	if len(wanted) == 0 {
		return nil
	}
	var records []ownership.Record
	err := e.onOwner(ctx, func(o *owner.Owner) { records = replaced(o, e.self.Instance, wanted) })
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

// replaced starts the copies that are wanted and returns a record for each set
// of witnesses whose copies are whole.
func replaced(o *owner.Owner, self string, wanted map[uint32][]string) []ownership.Record {
	bySet := map[string]*ownership.Claim{}
	var order []string
	for number, members := range wanted {
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
		claim, begun := bySet[key]
		if !begun {
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
