package owner_test

import (
	"strconv"
	"time"

	"github.com/corianderhook/corianderhook/process/executor"
	"github.com/corianderhook/corianderhook/process/owner"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/version/config"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/version/slot"
	"github.com/corianderhook/corianderhook/wire"
)

// entryModel simulates one incarnation of an entry.
type entryModel struct {
	w         *world
	id        string
	startedAt time.Time
	paused    bool
	dead      bool
	table     *ownership.Table
	owner     *owner.Owner
	sessions  map[string]*session
	// clocks holds the last known clock readings of the other entries.
	clocks map[string]uint64
}

// agentModel simulates one incarnation of an agent.
type agentModel struct {
	w        *world
	id       string
	executor *executor.Executor
	paused   bool
	dead     bool
	sessions map[string]*session
	running  []*wire.TaskStart
}

func (e *entryModel) String() string { return e.id }

func (a *agentModel) String() string { return a.id }

func (e *entryModel) isDead() bool { return e.dead }

func (a *agentModel) isDead() bool { return a.dead }

// isDrained reports whether the process is dead and has no messages in flight.
func (e *entryModel) isDrained() bool { return e.dead && len(e.sessions) == 0 }

func (a *agentModel) isDrained() bool { return a.dead && len(a.sessions) == 0 }

func (e *entryModel) isUp() bool { return !e.dead && !e.paused }

func (a *agentModel) isUp() bool { return !a.dead && !a.paused }

// applyNextRecord applies the next record of the log and reports whether there was
// one.
func (e *entryModel) applyNextRecord() bool {
	next := e.table.Next()
	if next >= uint64(len(e.w.log)) {
		return false
	}
	e.w.logf("%s reads %s", e, e.w.log[next])
	if err := e.table.Apply(next, e.w.log[next]); err != nil {
		e.w.violationf("log record %d: %v", next, err)
	}
	e.owner.Reconcile(e.table.Snapshot())
	return true
}

func (e *entryModel) claim(number uint32, newOwner string, witnesses []string) {
	state := e.table.Slot(number)
	if state.Epoch > 0 {
		witnesses = nil
	}
	e.w.append(ownership.Record{Claim: &ownership.Claim{
		Author:    e.id,
		Owner:     newOwner,
		Slots:     []ownership.SlotClaim{{Slot: number, Expected: state.Epoch}},
		Witnesses: witnesses,
	}})
}

// handOver hands a slot over to another entry, as in a planned stop.
func (e *entryModel) handOver(number uint32, to *entryModel) {
	s, owned := e.owner.Slots()[number]
	if !owned || s.Phase() != slot.Active || !to.isUp() {
		return
	}
	refused, floor, clock := s.BeginHandOver()
	to.owner.StoreHandOver(&wire.HandOverRequest{Slot: number, Epoch: s.Epoch(), Owner: e.id, Clock: clock, Refused: refused, Floor: floor})
	e.w.append(ownership.Record{Claim: &ownership.Claim{
		Author: e.id, Owner: to.id, Slots: []ownership.SlotClaim{{Slot: number, Expected: s.Epoch()}},
	}})
}

// replaceWitnesses proposes new witnesses for a slot, and appends the claim once they
// have the full copy.
func (e *entryModel) replaceWitnesses(number uint32, members []string) {
	s, owned := e.owner.Slots()[number]
	if !owned || s.Phase() != slot.Active {
		return
	}
	var chosen []string
	if s.ProposeWitnesses(members) {
		var ready bool
		if chosen, ready = s.ProposedWitnesses(); !ready {
			return
		}
	}
	e.w.append(ownership.Record{Claim: &ownership.Claim{
		Author:     e.id,
		Owner:      e.id,
		Slots:      []ownership.SlotClaim{{Slot: number, Expected: s.Epoch()}},
		Witnesses:  chosen,
		DoubtUntil: s.DoubtUntil().UnixMilli(),
	}})
}

// Self, Now, Clock, Send, Finished, Refused, Started and Policy implement
// owner.Environment.
func (e *entryModel) Self() string { return e.id }

func (e *entryModel) Now() time.Time { return e.w.now }

func (e *entryModel) Clock() uint64 { return uint64(e.w.now.Sub(e.startedAt)) }

func (e *entryModel) Finished(*job.Job, answer.Answer) {}

func (e *entryModel) Refused(string, answer.Answer) {}

func (e *entryModel) Started(*job.Job, int) {}

func (e *entryModel) Policy() owner.Policy { return policy{e.w} }

func (e *entryModel) Send(a string, f *wire.EntryFrame) bool {
	s := e.sessions[a]
	if s == nil {
		return false
	}
	if !s.broken {
		s.toAgent = append(s.toAgent, f)
	}
	return true
}

// Now, Send and Run implement executor.Host.
func (a *agentModel) Now() time.Time { return a.w.now }

func (a *agentModel) Send(e string, f *wire.AgentFrame) {
	if s := a.sessions[e]; s != nil && !s.broken {
		s.toEntry = append(s.toEntry, f)
	}
}

func (a *agentModel) Run(t *wire.TaskStart) {
	name := t.GetJob() + "/" + strconv.Itoa(int(t.GetIndex()))
	a.w.startCount[name]++
	a.w.logf("%s starts %s of epoch %d", a, name, t.GetEpoch())
	if a.w.startCount[name] > 1 {
		a.w.violationf("task %s was started %d times", name, a.w.startCount[name])
	}
	a.w.checkStart(t)
	a.running = append(a.running, t)
}

// finish ends the oldest task of an agent.
func (a *agentModel) finish(state wire.TaskState) {
	if len(a.running) == 0 || !a.isUp() {
		return
	}
	t := a.running[0]
	a.running = a.running[1:]
	if state == wire.TaskState_TASK_STATE_NOT_STARTED {
		// The endpoint reports that it did not start the task after all.
		a.w.removeStart(t.GetJob() + "/" + strconv.Itoa(int(t.GetIndex())))
	}
	a.executor.Finished(t, &wire.TaskRecord{
		Index: t.GetIndex(), State: state, Result: []byte(t.GetJob() + "/" + strconv.Itoa(int(t.GetIndex()))),
	})
}

func (w *world) removeStart(task string) {
	w.startCount[task]--
	if w.startCount[task] == 0 {
		delete(w.startCount, task)
	}
}

type weights struct{}

func (weights) KindWeight(string) float64 { return 1 }

func (weights) TeamWeight(string) float64 { return 1 }

type policy struct{ w *world }

func (p policy) Kind(string) (config.Kind, bool) { return config.Kind{}, p.w.admit }

func (p policy) Team(string) (config.Team, bool) { return config.Team{}, true }

func (p policy) KindShare(string) float64 { return 1 }

func (p policy) TeamWeight(string) float64 { return 1 }

func (p policy) Ejected(string) bool   { return false }
func (p policy) Evacuated(string) bool { return false }

func (p policy) JobDeadline(string) time.Duration { return jobDeadline }

func (p policy) TaskTimeout(string) time.Duration { return time.Second }

func (p policy) Retention() time.Duration { return retention }

func (p policy) MaxKeysPerSlot() int { return 3 }
