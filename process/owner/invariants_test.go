package owner_test

import (
	"strings"
	"testing"

	"github.com/corianderhook/corianderhook/common/seeded"

	"pgregory.net/rapid"

	"github.com/corianderhook/corianderhook/version/ownership"
)

// TestMain fixes the seed and the number of runs unless the command line does.
func TestMain(m *testing.M) { seeded.Main(m, 3000) }

const (
	healRounds = 150
	keys       = 3
	modelTask  = 2
)

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
func TestSameSeedProducesSameTrace(t *testing.T) {
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
