package replay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// depotKinds returns the load of a depot, a site of large endpoints: a few jobs of each kind run
// far longer than the others, and callers wait longer for longer jobs.
func depotKinds(times float64) []kind {
	list := []kind{
		{name: "scan", urgency: 0, width: 8, run: 51 * time.Millisecond, worth: 0.0291, jobsPerSecond: 34.4},
		{name: "book", urgency: 1, width: 2, run: 170 * time.Millisecond, worth: 0.01, jobsPerSecond: 100},
		{name: "credit", urgency: 2, width: 4, run: 760 * time.Millisecond, worth: 0.16, jobsPerSecond: 6.25},
	}
	for i := range list {
		list[i].cpu, list[i].tailShare, list[i].runVariation, list[i].scaledBudget = 6200, 0.03, 0.15, true
		list[i].jobsPerSecond *= times
	}
	return list
}

// newDepotWorld returns a depot with its endpoints: one in three is larger and faster.
func newDepotWorld(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed, 3, []float64{1.25, 1, 0.8, 1.25, 1, 0.8, 1.25, 1, 0.8, 1.25, 1})
	for i, s := range w.sidecars {
		s.resize(64000)
		if i%3 == 2 {
			s.resize(96000)
		}
	}
	return w
}

// earnedShareByWork returns the share of its worth that a load has earned, and logs it by kind.
// The worth of a job grows with its work.
func earnedShareByWork(t *testing.T, all map[string]*tally) float64 {
	var sum tally
	for _, k := range depotKinds(1) {
		one := all[k.name]
		sum.add(*one)
		t.Logf("%-6s submitted %d, of 1000 on time %d late %d refused %d failed %d, worth %.3f", k.name, one.submitted,
			1000*one.onTime/one.submitted, 1000*one.late/one.submitted, 1000*one.refused/one.submitted, 1000*one.failed/one.submitted, one.earnedWorth/one.submittedWorth)
	}
	t.Logf("worth %.4f", sum.earnedWorth/sum.submittedWorth)
	return sum.earnedWorth / sum.submittedWorth
}

// runDepotBursts runs, for each of some seeds, ten seconds of ordinary load and then a burst of
// all kinds, and returns the counts of the burst.
func runDepotBursts(t *testing.T, times float64) map[string]*tally {
	const seeds = 4
	all := map[string]*tally{}
	for seed := range uint64(seeds) {
		w := newDepotWorld(t, seed+1)
		w.load(depotKinds(1), 10*time.Second)
		w.advance(10 * time.Second)
		w.resetCounts()
		w.load(depotKinds(times), 5*time.Second)
		w.advance(15 * time.Second)
		w.addTalliesTo(all)
	}
	return all
}

// From three quarters of the endpoints' capacity to a third above it, the short urgent jobs,
// which have the most tasks, stay on time.
func TestDepotUnderLoad(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ times, least float64 }{{1.3, minShareWithinCapacity}, {1.6, 0.95}, {1.9, 0.87}, {2.3, 0.78}} {
		t.Run(fmt.Sprint(c.times), func(t *testing.T) {
			i := is.New(t)
			all := runDepotBursts(t, c.times)
			i.True(earnedShareByWork(t, all) > c.least)
			i.True(all["scan"].onTimeShare() > minShareOfBound)
		})
	}
}
