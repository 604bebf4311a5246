package owner_test

import (
	"strings"
	"testing"

	"github.com/corianderhook/corianderhook/common/rapidmain"

	"pgregory.net/rapid"

	"github.com/corianderhook/corianderhook/version/ownership"
)

// TestMain sets the default seed and number of runs; flags override both.
func TestMain(m *testing.M) { rapidmain.Main(m, 3000) }

const (
	// recoveryRounds is the number of fault-free rounds at the end of a simulation.
	recoveryRounds = 150
	// keys is the number of job keys in use at a time.
	keyCount    = 3
	tasksPerJob = 2
)

// newConnectedWorld returns a world in which the slot of each key has an owner and
// every agent is connected to every entry.
func newConnectedWorld() *world {
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
		for e.applyNextRecord() {
			continue
		}
		for _, a := range w.agents {
			w.deliverToEntry(a, e)
		}
	}
	return w
}

// invariants is the property under test: under any sequence of faults no task starts
// twice, every answer is true, and after recovery every attempt has an answer.
func invariants(t *rapid.T) {
	w := newConnectedWorld()
	steps := rapid.SampledFrom([]int{60, 150, 300}).Draw(t, "steps")
	for range steps {
		drawStep(t, w)
		w.failOnViolations(t)
	}
	recoverAll(w)
	w.failOnViolations(t)
	for _, at := range w.attempts {
		if !at.answered && !at.abandoned {
			t.Fatalf("attempt %v has no answer; pending at %v\n%s\ntrace:\n%s",
				at, at.pendingAt, w.describe(at.body.Job()), strings.Join(w.trace, "\n"))
		}
	}
}

func (w *world) failOnViolations(t *rapid.T) {
	if len(w.violations) > 0 {
		t.Fatalf("%s\ntrace:\n%s", strings.Join(w.violations, "\n"), strings.Join(w.trace, "\n"))
	}
}

// trace generates the event trace of a simulation from the drawn numbers.
var traceGenerator = rapid.Custom(func(t *rapid.T) string {
	w := newConnectedWorld()
	for range 300 {
		drawStep(t, w)
	}
	recoverAll(w)
	return strings.Join(w.trace, "\n")
})

// TestSameSeedProducesSameTrace guards reproducibility: a seed that shows a fault
// shows it again, and the property test has the same result on every run.
func TestSameSeedProducesSameTrace(t *testing.T) {
	for seed := range 200 {
		first, second := traceGenerator.Example(seed), traceGenerator.Example(seed)
		if first != second {
			at := 0
			for at < min(len(first), len(second)) && first[at] == second[at] {
				at++
			}
			t.Fatalf("seed %d produces different traces: %.300q and %.300q", seed, first[max(0, at-100):], second[max(0, at-100):])
		}
	}
}

func TestInvariants(t *testing.T) { rapid.Check(t, invariants) }

func FuzzInvariants(f *testing.F) { f.Fuzz(rapid.MakeFuzz(invariants)) }
