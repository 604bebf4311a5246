package replay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/corianderhook/corianderhook/common/seeded"
	"github.com/corianderhook/corianderhook/process/evidence"
)

// TestMain fixes the seed and the number of runs unless the command line does.
func TestMain(m *testing.M) { seeded.Main(m, 100) }

// Whatever freezes, dies or answers late: no endpoint takes more than its capacity
// and no task runs twice at a time (both are checked at each start), and every
// caller gets an answer.
func TestFaultsBreakNoPromise(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(r, "seed"), 3, speeds(6))
		load := burst(kinds(), "", rapid.Float64Range(0.3, 1).Draw(r, "load"))
		w.load(load, 4*time.Second)
		for range rapid.IntRange(1, 6).Draw(r, "faults") {
			at := time.Duration(rapid.IntRange(0, 4000).Draw(r, "at")) * time.Millisecond
			lasts := time.Duration(rapid.IntRange(50, 2500).Draw(r, "lasts")) * time.Millisecond
			s := w.sidecars[rapid.IntRange(0, len(w.sidecars)-1).Draw(r, "sidecar")]
			entry := rapid.IntRange(0, len(w.entries)-1).Draw(r, "entry")
			switch rapid.IntRange(0, 4).Draw(r, "kind") {
			case 0:
				w.after(at, func() { s.freeze(lasts) })
			case 1:
				w.after(at, func() { w.entries[entry].die(lasts) })
			case 2:
				w.after(at, func() {
					s.doubtful, s.lateBy = 0.3, lasts
					w.after(lasts, func() { s.doubtful = 0 })
				})
			case 3:
				w.after(at, func() { s.speed *= 6 })
			case 4:
				w.after(at, func() {
					s.hangs = true
					w.after(lasts, func() { s.hangs = false })
				})
			}
		}
		w.play(14 * time.Second)
		for name, tally := range w.score {
			if answered := tally.onTime + tally.late + tally.refused + tally.failed; answered != tally.asked {
				r.Fatalf("%s: %d jobs asked, %d answered", name, tally.asked, answered)
			}
		}
		if t.Failed() {
			r.Fatalf("a promise was broken")
		}
	})
}

// Six in a hundred orders get no answer and are carried out seconds later: that
// costs the caller the repeat, and the endpoint no room that it does not have.
func TestOrdersWithoutAnswer(t *testing.T) {
	i := is.New(t)
	w := newWorld(t, 3, 3, speeds(14))
	for _, s := range w.sidecars {
		s.doubtful, s.lateBy = 0.06, 3*time.Second
	}
	w.load(kinds(), 15*time.Second)
	w.play(20 * time.Second)
	i.True(served(t, w) > 0.93)
}

// Two endpoints fail all that they start, and soon: they are always free. Some other
// endpoints were slow before, and are not trusted yet.
func TestEndpointsThatFailEverythingFailFewJobs(t *testing.T) {
	for _, entries := range []int{4, 11} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) { playFailingEndpoints(t, entries) })
	}
}

func playFailingEndpoints(t *testing.T, entries int) {
	i := is.New(t)
	w := newWorld(t, 5, entries, speeds(11))
	w.load(kinds(), 12*time.Second)
	for _, s := range w.sidecars[6:9] {
		s.speed *= 8
	}
	w.play(3 * time.Second)
	for _, s := range w.sidecars[6:9] {
		s.speed /= 8
	}
	w.recount()
	for _, s := range w.sidecars[:2] {
		s.fails = true
	}
	w.play(5 * time.Second)
	failed, asked, runs := 0, 0, 0
	for _, e := range w.entries {
		runs += e.decided["CH1032 task failed"]
	}
	for _, k := range kinds() {
		failed += w.tally(k.name).failed
		asked += w.tally(k.name).asked
	}
	t.Logf("%d of %d jobs failed, %d runs", failed, asked, runs)
	served(t, w)
	i.True(failed*100 < asked)
}

// A fifth of the endpoints turn slow: work goes elsewhere, and comes back after.
func TestSlowEndpointsAreAvoided(t *testing.T) {
	i := is.New(t)
	w := newWorld(t, 4, 3, speeds(14))
	w.load(kinds(), 20*time.Second)
	w.play(5 * time.Second)
	for _, s := range w.sidecars[:3] {
		s.speed *= 6
	}
	w.play(20 * time.Second)
	i.True(served(t, w) > 0.9)
}

// Of forty endpoints four turn slow and four fail what they start, under twenty
// dispatchers of which each sees few of their runs: all learn it from the endpoint's
// sidecar, not each by itself.
func TestManyDispatchersLearnTogether(t *testing.T) {
	i := is.New(t)
	w := newWorld(t, 6, 20, speeds(40))
	w.load(burst(kinds(), "", 3), 9*time.Second)
	w.play(3 * time.Second)
	for _, s := range w.sidecars[:4] {
		s.speed *= 5
	}
	const failing = 4
	for _, s := range w.sidecars[10 : 10+failing] {
		s.fails = true
	}
	w.recount()
	const lasts = 6 * time.Second
	w.play(lasts)
	served(t, w)
	runs := 0
	for _, e := range w.entries {
		runs += e.decided["CH1032 task failed"]
	}
	t.Logf("%d runs failed", runs)
	// What a sidecar keeps in mind is seen once, and again when it is forgotten.
	i.True(runs <= failing*evidence.MaxRuns*int(lasts/evidence.MaxRunAge))
}
