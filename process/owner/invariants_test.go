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
		if a.Reason() != "key-conflict" && started > 0 && !w.newer(at) {
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
// refusal speaks for every attempt that was received until it was decided.
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

// newer reports whether an attempt of the same key came in after the refused one
// was with its owner. Such an attempt may be accepted while the refusal is on
// its way: by the next owner, after the witnesses have confirmed the former one.
func (w *world) newer(refused *attempt) bool {
	for _, at := range w.attempts {
		if at.key == refused.key && at != refused && at.received.After(refused.arrived) {
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
	switch action := spread(t, "action"); {
	case action < 60:
		deliver(t, w)
	case action < 70:
		routeOne(t, w)
	case action < 75:
		e := rapid.SampledFrom(alive(w.entries)).Draw(t, "entry")
		if e.runs() {
			w.submit(e, drawKey(t, w), payloads(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 1}).Draw(t, "body")))
		}
	case action < 81:
		finishOne(t, w)
	case action < 89:
		if e := rapid.SampledFrom(alive(w.entries)).Draw(t, "entry"); e.runs() {
			e.fold()
		}
	default:
		rare(t, w, spread(t, "rare"))
	}
}

// spread draws a number from 0 to 99. The library prefers small numbers, so the
// numbers are dealt in an order that has no meaning.
func spread(t *rapid.T, label string) int {
	return rapid.IntRange(0, 99).Draw(t, label) * 37 % 100
}

func drawKey(t *rapid.T, w *world) string { return w.keys[rapid.IntRange(0, keys-1).Draw(t, "key")] }

func finishOne(t *rapid.T, w *world) {
	var busy []*agentModel
	for _, a := range alive(w.agents) {
		if len(a.running) > 0 {
			busy = append(busy, a)
		}
	}
	if len(busy) == 0 {
		return
	}
	rapid.SampledFrom(busy).Draw(t, "agent").finish(rapid.SampledFrom([]wire.TaskState{
		wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_DONE,
		wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_DONE,
		wire.TaskState_TASK_STATE_FAILED, wire.TaskState_TASK_STATE_NOT_STARTED, wire.TaskState_TASK_STATE_UNKNOWN,
	}).Draw(t, "end"))
}

// rare draws a fault, or a change of ownership.
func rare(t *rapid.T, w *world, action int) {
	e := rapid.SampledFrom(alive(w.entries)).Draw(t, "entry")
	a := rapid.SampledFrom(alive(w.agents)).Draw(t, "agent")
	key := drawKey(t, w)
	number := ownership.Slot("team/" + key)
	switch {
	case action < 12:
		if e.runs() {
			e.claim(number, e.id, someWitnesses(t, w))
		}
	case action < 24:
		if e.runs() {
			e.handOver(number, rapid.SampledFrom(alive(w.entries)).Draw(t, "to"))
		}
	case action < 36:
		if e.runs() {
			e.rewitness(number, someWitnesses(t, w))
		}
	case action < 46:
		w.disconnect(a, e)
		if rapid.Bool().Draw(t, "reconnect") && e.runs() && a.runs() {
			w.connect(a, e)
		}
	case action < 52:
		if e.runs() && a.runs() {
			w.connect(a, e)
		}
	case action < 72:
		other := rapid.SampledFrom(w.entries).Draw(t, "heard")
		if e.runs() && other.runs() {
			e.readings[other.id] = other.Clock()
		}
	case action < 82:
		if rapid.Bool().Draw(t, "which") {
			e.paused = !e.paused
		} else {
			a.paused = !a.paused
		}
	case action < 86:
		d := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 4 * time.Second, 21 * time.Second, retention + time.Second}).Draw(t, "time")
		w.tick(d)
		for i := range w.keys {
			if d > retention && rapid.Bool().Draw(t, "renew") {
				w.renew(i)
			}
		}
	case action < 92:
		if rapid.Bool().Draw(t, "admit") {
			w.admit = !w.admit
			return
		}
		if e.runs() {
			if s, owned := e.owner.Slots()[number]; owned {
				s.Cancel("team/" + key)
			}
		}
	case action < 96:
		crashEntry(w, e)
	default:
		crashAgent(w, a)
	}
}

// deliver hands over some messages of one link that has any under way.
func deliver(t *rapid.T, w *world) {
	var links []func() bool
	for _, e := range present(w.entries) {
		for _, a := range present(w.agents) {
			if w.canUp(a, e) {
				links = append(links, func() bool { return w.deliverUp(a, e) })
			}
			if w.canDown(a, e) {
				links = append(links, func() bool { return w.deliverDown(a, e) })
			}
		}
	}
	if len(links) == 0 {
		return
	}
	next := links[rapid.IntRange(0, len(links)-1).Draw(t, "link")]
	for range rapid.IntRange(1, 4).Draw(t, "messages") {
		next()
	}
}

func routeOne(t *rapid.T, w *world) {
	var open []*attempt
	for _, at := range w.attempts {
		if !at.answered && !at.abandoned {
			open = append(open, at)
		}
	}
	if len(open) > 0 {
		rapid.SampledFrom(open).Draw(t, "attempt").route()
	}
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
	for _, key := range w.keys {
		claimOwnerless(w, entries, agents, ownership.Slot("team/"+key))
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

// started returns a world in which each slot has an owner and all are connected.
func started() *world {
	w := newWorld(3, 4)
	for _, a := range w.agents {
		for _, e := range w.entries {
			w.connect(a, e)
		}
	}
	first := w.entries[0]
	for _, key := range w.keys {
		first.claim(ownership.Slot("team/"+key), first.id, []string{w.agents[0].id, w.agents[1].id, w.agents[2].id})
	}
	for _, e := range w.entries {
		for e.fold() {
			continue
		}
		for _, a := range w.agents {
			w.deliverUp(a, e)
		}
	}
	return w
}

// invariants is the property: whatever happens, no task starts twice, every
// answer is true, and once all is mended every attempt has its answer.
func invariants(t *rapid.T) {
	w := started()
	steps := rapid.SampledFrom([]int{60, 150, 300}).Draw(t, "steps")
	for range steps {
		step(t, w)
		w.report(t)
	}
	heal(w)
	w.report(t)
	for _, at := range w.attempts {
		if !at.answered && !at.abandoned {
			t.Fatalf("attempt %v has no answer; under way at %v\n%s\nwhat happened:\n%s",
				at, at.under, w.describe(at.body.Job()), strings.Join(w.history, "\n"))
		}
	}
}

func (w *world) report(t *rapid.T) {
	if len(w.faults) > 0 {
		t.Fatalf("%s\nwhat happened:\n%s", strings.Join(w.faults, "\n"), strings.Join(w.history, "\n"))
	}
}

// history is what happens in a world that the drawn numbers lead through.
var history = rapid.Custom(func(t *rapid.T) string {
	w := started()
	for range 300 {
		step(t, w)
	}
	heal(w)
	return strings.Join(w.history, "\n")
})

// TestSameSeedGivesTheSameHistory guards that a seed which shows a fault shows
// it again, and that the check has the same verdict on every run.
func TestSameSeedGivesTheSameHistory(t *testing.T) {
	for seed := range 200 {
		first, second := history.Example(seed), history.Example(seed)
		if first != second {
			at := 0
			for at < min(len(first), len(second)) && first[at] == second[at] {
				at++
			}
			t.Fatalf("seed %d gives two histories: %.300q and %.300q", seed, first[max(0, at-100):], second[max(0, at-100):])
		}
	}
}

func TestInvariants(t *testing.T) { rapid.Check(t, invariants) }

func FuzzInvariants(f *testing.F) { f.Fuzz(rapid.MakeFuzz(invariants)) }
