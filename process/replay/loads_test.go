package replay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// kinds returns the kinds of jobs that the users have described.
func kinds() []kind {
	return []kind{
		{name: "check", urgency: 0, width: 8, run: 60 * time.Millisecond, cpu: 3100, worth: 0.0291, jobsPerSecond: 34},
		{name: "list", urgency: 1, width: 2, run: 200 * time.Millisecond, cpu: 3100, worth: 0.01, jobsPerSecond: 100},
		{name: "hold", urgency: 2, width: 4, run: 900 * time.Millisecond, cpu: 3100, worth: 0.16, jobsPerSecond: 6.2},
	}
}

// runFactors returns the run factors of count endpoints: every third is faster.
func runFactors(count int) []float64 {
	list := make([]float64, count)
	for i := range list {
		list[i] = 1
		if i%3 == 2 {
			list[i] = 1 / 1.3
		}
	}
	return list
}

// newSite returns a world with the endpoints of a users' site: one in three is larger and
// faster.
func newSite(t *testing.T, seed uint64) *world {
	t.Helper()
	w := newWorld(t, seed, 3, runFactors(11))
	for _, s := range w.sidecars {
		if s.runFactor < 1 {
			s.resize(48000)
		}
	}
	return w
}

// scaleLoad multiplies the load of one kind, or of all kinds if the name is empty.
func scaleLoad(all []kind, name string, times float64) []kind {
	var list []kind
	for _, k := range all {
		if name == "" || k.name == name {
			k.jobsPerSecond *= times
		}
		list = append(list, k)
	}
	return list
}

// earnedShare returns the share of its worth that a load has earned, and logs the counts by
// kind. All jobs of a kind have the same worth here.
func earnedShare(t *testing.T, w *world) float64 {
	t.Helper()
	earned, total := 0.0, 0.0
	for _, k := range kinds() {
		s := w.tally(k.name)
		earned += k.worth * (float64(s.onTime) + float64(s.late)/5)
		total += k.worth * float64(s.submitted)
		t.Logf("%-6s submitted %d on time %d late %d refused %d failed %d", k.name, s.submitted, s.onTime, s.late, s.refused, s.failed)
	}
	t.Logf("worth %.3f", earned/total)
	return earned / total
}

// minShareWithinCapacity is the least share of its worth that a load within capacity and
// without faults has to earn.
const minShareWithinCapacity = 0.97

// A load within capacity is served nearly completely.
func TestCalmLoadIsServed(t *testing.T) {
	i := is.New(t)
	w := newWorld(t, 1, 3, runFactors(14))
	w.load(kinds(), 20*time.Second)
	w.advance(25 * time.Second)
	i.True(earnedShare(t, w) > minShareWithinCapacity)
	for _, e := range w.entries {
		t.Log(e.decisions)
		// Without faults hardly any task is stopped as overdue.
		i.True(e.decisions["CH1035 task overdue"]*100 < w.tally("check").submitted)
	}
}

// Half of the endpoints turn slow for a while under a burst of long tasks. Afterwards the
// estimates of run times and of endpoint speeds have to recover: only their product is
// observed, so that both can be wrong in opposite directions.
func TestRunTimesAndSpeedsDoNotDriftApart(t *testing.T) {
	i := is.New(t)
	w := newWorld(t, 2, 3, runFactors(14))
	w.load(kinds(), 2*time.Second)
	w.advance(2 * time.Second)
	for _, s := range w.sidecars[:7] {
		s.runFactor *= 3
	}
	w.load(scaleLoad(kinds(), "hold", 2), 10*time.Second)
	w.advance(10 * time.Second)
	for _, s := range w.sidecars[:7] {
		s.runFactor /= 3
	}
	w.advance(5 * time.Second)
	w.resetCounts()
	w.load(kinds(), 15*time.Second)
	w.advance(20 * time.Second)
	i.True(earnedShare(t, w) > minShareWithinCapacity)
	refused := 0
	for _, k := range kinds() {
		refused += w.tally(k.name).refused
	}
	i.True(refused < 20)
	for _, e := range w.entries {
		// The first endpoint has ordinary speed again.
		slowness := e.scheduler.Fleet().Speeds().Slowness("agent-00", w.now)
		t.Logf("slowness of an endpoint of ordinary speed %.2f", slowness)
		i.True(slowness > 0.8 && slowness < 1.25)
	}
}

// runBursts runs a burst of five seconds of the named kind, or of all kinds, for some seeds. It
// returns the mean share of the worth that was earned, the mean of its upper bound, and the
// counts.
func runBursts(t *testing.T, name string, times float64) (worth, maxWorth float64, all map[string]*tally) {
	t.Helper()
	const seeds = 3
	all = map[string]*tally{}
	for seed := range uint64(seeds) {
		w := newSite(t, seed+1)
		w.load(kinds(), 3*time.Second)
		w.advance(3 * time.Second)
		w.resetCounts()
		w.load(scaleLoad(kinds(), name, times), 5*time.Second)
		w.advance(10 * time.Second)
		worth += earnedShare(t, w) / seeds
		maxWorth += upperBound(w.arrivals, w.totalCores()) / seeds
		w.addTalliesTo(all)
	}
	t.Logf("worth %.3f, %.3f of the upper bound", worth, worth/maxWorth)
	return worth, maxWorth, all
}

// minShareOfBound is the least share of the upper bound that a burst has to earn. It is not
// reached at 2.5 times the load.
const minShareOfBound = 0.92

// In a burst above capacity jobs of every kind are answered on time, and few jobs are started
// and not completed.
func TestBurstOfEverything(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		times, least float64
	}{{1.6, 0.97}, {2, 0.95}, {2.5, 0.8}} {
		t.Run(fmt.Sprint(c.times), func(t *testing.T) {
			i := is.New(t)
			worth, maxWorth, all := runBursts(t, "", c.times)
			i.True(worth > c.least)
			i.True(worth <= maxWorth)
			if c.times <= 2 {
				i.True(worth >= minShareOfBound*maxWorth)
			}
			for _, k := range kinds() {
				// No kind is shed wholly, and few jobs are started and not completed.
				i.True(all[k.name].onTimeShare() > 0.5)
				i.True(all[k.name].failed*10 < all[k.name].submitted)
			}
		})
	}
}

// Three times the load of long, less urgent jobs must not delay the short urgent ones.
func TestBurstOfLongJobs(t *testing.T) {
	i := is.New(t)
	worth, _, all := runBursts(t, "hold", 3)
	i.True(worth > 0.95)
	i.True(all["check"].onTimeShare() > 0.93)
}

// Twenty dispatchers share forty endpoints that are two thirds full, and decide on reports that
// are some milliseconds old. They must not all choose the endpoint that looks best: it would be
// full when their tasks arrive.
func TestManyDispatchersSpreadOverEndpoints(t *testing.T) {
	t.Parallel()
	for _, times := range []float64{4, 6} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			i := is.New(t)
			const seeds = 2
			worth := 0.0
			for seed := range uint64(seeds) {
				w := newWorld(t, seed+1, 20, runFactors(40))
				for _, s := range w.sidecars {
					if s.runFactor < 1 {
						s.resize(48000)
					}
				}
				w.load(scaleLoad(kinds(), "", times), 8*time.Second)
				w.advance(2 * time.Second)
				w.resetCounts()
				w.advance(9 * time.Second)
				worth += earnedShare(t, w) / seeds
			}
			t.Logf("mean worth %.4f", worth)
			i.True(worth > minShareWithinCapacity)
		})
	}
}
