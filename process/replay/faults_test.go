package replay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/corianderhook/corianderhook/common/rapidmain"
	"github.com/corianderhook/corianderhook/process/endpointhealth"
)

// TestMain fixes the seed and the number of runs unless the command line does.
func TestMain(m *testing.M) { rapidmain.Main(m, 100) }

// Under suspended sidecars, crashed entries, late starts, slow and hanging endpoints, no
// endpoint runs more than its capacity and no task runs twice at a time (beginRun checks both),
// and every caller gets an answer.
func TestFaultsBreakNoPromise(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(r, "seed"), 3, runFactors(6))
		load := scaleLoad(kinds(), "", rapid.Float64Range(0.3, 1).Draw(r, "load"))
		w.load(load, 4*time.Second)
		for range rapid.IntRange(1, 6).Draw(r, "faults") {
			at := time.Duration(rapid.IntRange(0, 4000).Draw(r, "at")) * time.Millisecond
			lasts := time.Duration(rapid.IntRange(50, 2500).Draw(r, "lasts")) * time.Millisecond
			s := w.sidecars[rapid.IntRange(0, len(w.sidecars)-1).Draw(r, "sidecar")]
			entry := rapid.IntRange(0, len(w.entries)-1).Draw(r, "entry")
			switch rapid.IntRange(0, 4).Draw(r, "kind") {
			case 0:
				w.after(at, func() { s.suspend(lasts) })
			case 1:
				w.after(at, func() { w.entries[entry].crash(lasts) })
			case 2:
				w.after(at, func() {
					s.unansweredShare, s.startDelay = 0.3, lasts
					w.after(lasts, func() { s.unansweredShare = 0 })
				})
			case 3:
				w.after(at, func() { s.runFactor *= 6 })
			case 4:
				w.after(at, func() {
					s.hangs = true
					w.after(lasts, func() { s.hangs = false })
				})
			}
		}
		w.advance(14 * time.Second)
		for name, tally := range w.tallies {
			if answered := tally.onTime + tally.late + tally.refused + tally.failed; answered != tally.submitted {
				r.Fatalf("%s: %d jobs submitted, %d answered", name, tally.submitted, answered)
			}
		}
		if t.Failed() {
			r.Fatalf("a guarantee was broken")
		}
	})
}

// Six percent of the start orders get no answer and are carried out seconds later. The job loses
// the time of a repeated start, but no endpoint is overcommitted (beginRun checks it).
func TestOrdersWithoutAnswer(t *testing.T) {
	i := is.New(t)
	w := newWorld(t, 3, 3, runFactors(14))
	for _, s := range w.sidecars {
		s.unansweredShare, s.startDelay = 0.06, 3*time.Second
	}
	w.load(kinds(), 15*time.Second)
	w.advance(20 * time.Second)
	i.True(earnedShare(t, w) > 0.93)
}

// Two endpoints fail every run soon after its start, so that they always have free capacity and
// must not attract the tasks. Three others were slow before and still count as slow.
func TestEndpointsThatFailEverythingFailFewJobs(t *testing.T) {
	for _, entries := range []int{4, 11} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) { testFailingEndpoints(t, entries) })
	}
}

func testFailingEndpoints(t *testing.T, entries int) {
	i := is.New(t)
	w := newWorld(t, 5, entries, runFactors(11))
	w.load(kinds(), 12*time.Second)
	for _, s := range w.sidecars[6:9] {
		s.runFactor *= 8
	}
	w.advance(3 * time.Second)
	for _, s := range w.sidecars[6:9] {
		s.runFactor /= 8
	}
	w.resetCounts()
	for _, s := range w.sidecars[:2] {
		s.fails = true
	}
	w.advance(5 * time.Second)
	failed, submitted, runs := 0, 0, 0
	for _, e := range w.entries {
		runs += e.decisions["CH1032 task failed"]
	}
	for _, k := range kinds() {
		failed += w.tally(k.name).failed
		submitted += w.tally(k.name).submitted
	}
	t.Logf("%d of %d jobs and %d runs failed", failed, submitted, runs)
	earnedShare(t, w)
	i.True(failed*100 < submitted)
}

// A fifth of the endpoints turn slow: tasks must go to the others.
func TestSlowEndpointsAreAvoided(t *testing.T) {
	i := is.New(t)
	w := newWorld(t, 4, 3, runFactors(14))
	w.load(kinds(), 20*time.Second)
	w.advance(5 * time.Second)
	for _, s := range w.sidecars[:3] {
		s.runFactor *= 6
	}
	w.advance(20 * time.Second)
	i.True(earnedShare(t, w) > 0.9)
}

// Of forty endpoints four turn slow and four fail every run. Each of the twenty dispatchers
// sees few of their runs, so that they have to learn of it from the endpoints' sidecars.
func TestManyDispatchersShareEvidence(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	w := newWorld(t, 6, 20, runFactors(40))
	w.load(scaleLoad(kinds(), "", 3), 9*time.Second)
	w.advance(3 * time.Second)
	for _, s := range w.sidecars[:4] {
		s.runFactor *= 5
	}
	const failing = 4
	for _, s := range w.sidecars[10 : 10+failing] {
		s.fails = true
	}
	w.resetCounts()
	const lasts = 6 * time.Second
	w.advance(lasts)
	earnedShare(t, w)
	runs := 0
	for _, e := range w.entries {
		runs += e.decisions["CH1032 task failed"]
	}
	t.Logf("%d runs failed", runs)
	// A sidecar's endpointhealth.Tracker holds at most MaxRuns runs. After MaxRunAge they have
	// expired, and a failing endpoint is tried again.
	i.True(runs <= failing*endpointhealth.MaxRuns*int(lasts/endpointhealth.MaxRunAge))
}
