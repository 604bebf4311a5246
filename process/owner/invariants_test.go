package owner_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/wire"
)

// TestMain fixes the seed and the number of runs unless the command line does.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "3000"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

// check compares an answer with the record of starts when it is given.
func (w *world) check(at *attempt) {
	a := at.answer
	started := w.startedOf(at.body.Job())
	switch a.Outcome() {
	case outcome.NotRun:
		if a.Reason() != "key-conflict" && started > 0 {
			w.fault("attempt of %s got not_run (%s) and %d tasks had started", at.key, a.Reason(), started)
		}
	case outcome.Complete:
		w.checkComplete(at)
	case outcome.Failed:
		for _, other := range w.attempts {
			if other.answered && other.answer.Outcome() == outcome.Complete && other.key == at.key {
				w.fault("job %s was complete for one caller and failed (%s) for another", at.key, a.Reason())
			}
		}
	case outcome.Pending:
		w.fault("attempt of %s got a pending answer", at.key)
	}
}

func (w *world) checkComplete(at *attempt) {
	if len(at.answer.Records()) != at.body.Tasks() {
		w.fault("complete answer of %s has %d of %d tasks", at.key, len(at.answer.Records()), at.body.Tasks())
	}
	for i, r := range at.answer.Records() {
		name := at.body.Job() + "/" + strconv.Itoa(i)
		if r.GetState() != wire.TaskState_TASK_STATE_DONE || string(r.GetResult()) != name || w.starts[name] != 1 {
			w.fault("complete answer of %s has for task %d: %v, started %d times", at.key, i, r, w.starts[name])
		}
	}
	for _, other := range w.attempts {
		if other.answered && other.answer.Outcome() == outcome.Failed && other.key == at.key {
			w.fault("job %s was failed for one caller and complete for another", at.key)
		}
	}
}

func (w *world) startedOf(job string) int {
	n := 0
	for name := range w.starts {
		if strings.HasPrefix(name, job+"/") {
			n++
		}
	}
	return n
}

// checkStart compares a start with the refusals and failures told before it. A
// refusal speaks for every attempt that was received until it was given.
func (w *world) checkStart(t *wire.TaskStart) {
	for _, at := range w.attempts {
		if !at.answered || at.body.Job() != t.GetJob() {
			continue
		}
		switch at.answer.Outcome() {
		case outcome.NotRun:
			if at.answer.Reason() != "key-conflict" && !w.newer(at) {
				w.fault("task %s/%d started after not_run (%s)", t.GetJob(), t.GetIndex(), at.answer.Reason())
			}
		case outcome.Failed:
			records := at.answer.Records()
			if records == nil || records[t.GetIndex()].GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
				w.fault("task %s/%d started after failed (%s) had said it never would", t.GetJob(), t.GetIndex(), at.answer.Reason())
			}
		}
	}
}

// newer reports whether an attempt of the same key came in after the refusal.
func (w *world) newer(refused *attempt) bool {
	for _, at := range w.attempts {
		if at.key == refused.key && at.received.After(refused.toldAt) {
			return true
		}
	}
	return false
}

const (
	healRounds = 150
	keys       = 3
	modelTask  = 2
)

func payloads(variant int) [][]byte {
	list := make([][]byte, modelTask)
	for i := range list {
		list[i] = []byte(fmt.Sprintf("%d-%d", variant, i))
	}
	return list
}

// step draws one thing that happens.
func step(t *rapid.T, w *world) {
	w.now = w.now.Add(time.Millisecond)
	e := rapid.SampledFrom(present(w.entries)).Draw(t, "entry")
	a := rapid.SampledFrom(present(w.agents)).Draw(t, "agent")
	key := "k" + strconv.Itoa(rapid.IntRange(0, keys-1).Draw(t, "key"))
	number := ownership.Slot("team/" + key)
	switch action := rapid.IntRange(0, 99).Draw(t, "action"); {
	case action < 40:
		deliver(t, w, e, a)
	case action < 52:
		routeOne(t, w)
	case action < 60:
		if e.runs() {
			w.submit(e, key, payloads(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "body")))
		}
	case action < 68:
		a.finish(rapid.SampledFrom([]wire.TaskState{
			wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_DONE,
			wire.TaskState_TASK_STATE_FAILED, wire.TaskState_TASK_STATE_NOT_STARTED, wire.TaskState_TASK_STATE_UNKNOWN,
		}).Draw(t, "end"))
	case action < 76:
		if e.runs() {
			e.fold()
		}
	default:
		rare(t, w, e, a, key, number, action)
	}
}

// rare draws a fault, or a change of ownership.
func rare(t *rapid.T, w *world, e *entryModel, a *agentModel, key string, number uint32, action int) {
	switch {
	case action < 79:
		if e.runs() {
			e.claim(number, e.id, someWitnesses(t, w))
		}
	case action < 81:
		if e.runs() {
			e.handOver(number, rapid.SampledFrom(alive(w.entries)).Draw(t, "to"))
		}
	case action < 83:
		if e.runs() {
			e.rewitness(number, someWitnesses(t, w))
		}
	case action < 86:
		w.disconnect(a, e)
	case action < 89:
		if e.runs() && a.runs() {
			w.connect(a, e)
		}
	case action < 92:
		other := rapid.SampledFrom(w.entries).Draw(t, "heard")
		if e.runs() && other.runs() {
			e.readings[other.id] = other.Clock()
		}
	case action < 94:
		e.paused = !e.paused
	case action < 95:
		a.paused = !a.paused
	case action < 96:
		w.tick(rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 4 * time.Second, 21 * time.Second}).Draw(t, "time"))
	case action < 97:
		w.admit = !w.admit
	case action < 98:
		if e.runs() {
			if s, owned := e.owner.Slots()[number]; owned {
				s.Cancel("team/" + key)
			}
		}
	case action < 99:
		crashEntry(w, e)
	default:
		crashAgent(w, a)
	}
}

func deliver(t *rapid.T, w *world, e *entryModel, a *agentModel) {
	if rapid.Bool().Draw(t, "up") {
		w.deliverUp(a, e)
		return
	}
	w.deliverDown(a, e)
}

func routeOne(t *rapid.T, w *world) {
	if len(w.attempts) == 0 {
		return
	}
	rapid.SampledFrom(w.attempts).Draw(t, "attempt").route()
}

func someWitnesses(t *rapid.T, w *world) []string {
	living := alive(w.agents)
	if len(living) == 0 {
		return nil
	}
	first := rapid.IntRange(0, len(living)-1).Draw(t, "witness")
	var chosen []string
	for i := range min(3, len(living)) {
		chosen = append(chosen, living[(first+i)%len(living)].id)
	}
	return chosen
}

// crashEntry replaces a run of an entry. Requests that it held are cut off.
func crashEntry(w *world, e *entryModel) {
	if e.dead || len(w.entries) > 6 {
		return
	}
	e.dead = true
	for _, at := range w.attempts {
		if at.at == e {
			at.abandoned = true
		}
		if at.under == e {
			at.under = nil
		}
	}
	w.addEntry(name(e.id))
}

// crashAgent replaces a run of an agent; what its tasks do is not known.
func crashAgent(w *world, a *agentModel) {
	if a.dead || len(w.agents) > 8 {
		return
	}
	a.dead = true
	w.addAgent(name(a.id))
}

func name(id string) string { return id[:strings.Index(id, "#")] }

// heal mends everything and lets it run until nothing is left to do.
func heal(w *world) {
	w.admit = true
	for _, e := range w.entries {
		e.paused = false
	}
	for _, a := range w.agents {
		a.paused = false
	}
	for _, e := range w.entries {
		for _, a := range w.agents {
			if e.dead || a.dead {
				w.disconnect(a, e)
			}
		}
	}
	for range healRounds {
		healOnce(w)
	}
}

func healOnce(w *world) {
	w.tick(50 * time.Millisecond)
	entries, agents := alive(w.entries), alive(w.agents)
	for _, e := range entries {
		for e.fold() {
			continue
		}
		for _, other := range entries {
			e.readings[other.id] = other.Clock()
		}
		for _, a := range agents {
			if a.sessions[e.id] == nil || e.sessions[a.id] != a.sessions[e.id] && !a.sessions[e.id].hello {
				w.connect(a, e)
			}
		}
	}
	for k := range keys {
		claimOwnerless(w, entries, agents, ownership.Slot("team/k"+strconv.Itoa(k)))
	}
	for _, at := range w.attempts {
		if at.under == nil {
			at.route()
		}
	}
	exchange(w, entries, agents)
}

func claimOwnerless(w *world, entries []*entryModel, agents []*agentModel, number uint32) {
	var witnesses []string
	for _, a := range agents {
		witnesses = append(witnesses, a.id)
	}
	first := entries[0]
	state := first.table.Slot(number)
	for _, e := range entries {
		if e.id != state.Owner {
			continue
		}
		if s, owned := e.owner.Slots()[number]; owned && s.Phase().String() == "leaving" {
			e.claim(number, e.id, nil)
		}
		if slices.ContainsFunc(state.Witnesses, func(x string) bool { return !slices.Contains(witnesses, x) }) {
			e.rewitness(number, witnesses)
		}
		return
	}
	first.claim(number, first.id, witnesses)
}

func exchange(w *world, entries []*entryModel, agents []*agentModel) {
	for range 8 {
		for _, e := range entries {
			for _, a := range agents {
				for w.deliverUp(a, e) || w.deliverDown(a, e) {
					continue
				}
			}
		}
		for _, a := range agents {
			for len(a.running) > 0 {
				a.finish(wire.TaskState_TASK_STATE_DONE)
			}
		}
	}
}

// invariants is the property: whatever happens, no task starts twice, every
// answer is true, and once all is mended every attempt has its answer.
func invariants(t *rapid.T) {
	w := newWorld(3, 4)
	for _, a := range w.agents {
		for _, e := range w.entries {
			w.connect(a, e)
		}
	}
	steps := rapid.IntRange(20, 400).Draw(t, "steps")
	for range steps {
		step(t, w)
		w.report(t)
	}
	heal(w)
	w.report(t)
	for _, at := range w.attempts {
		if !at.answered && !at.abandoned {
			t.Fatalf("attempt %v has no answer; under way at %v\n%s", at, at.under, w.describe(at.body.Job()))
		}
	}
}

func (w *world) report(t *rapid.T) {
	if len(w.faults) > 0 {
		t.Fatalf("%s", strings.Join(w.faults, "\n"))
	}
}

func TestInvariants(t *testing.T) { rapid.Check(t, invariants) }

func FuzzInvariants(f *testing.F) { f.Fuzz(rapid.MakeFuzz(invariants)) }
