package replay

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/wire"
)

// scarceKinds returns the load of a site whose callers compete for too little room.
func scarceKinds() []kind {
	list := []kind{
		{name: "check", urgency: 0, width: 8, run: 60 * time.Millisecond, worth: 0.00485, jobsPerSecond: 206},
		{name: "hold", urgency: 2, width: 4, run: 900 * time.Millisecond, worth: 0.0267, jobsPerSecond: 37.5},
		{name: "list", urgency: 1, width: 2, run: 200 * time.Millisecond, worth: 0.00167, jobsPerSecond: 600},
	}
	for i := range list {
		list[i].cpu, list[i].runVariation, list[i].tailShare = 3300, 0.15, 0.03
		list[i].scaledBudget = true
	}
	return list
}

// newScarceWorld returns a site of 13 dispatchers that see 37 to 51 of 70 endpoints each.
func newScarceWorld(t *testing.T, seed uint64, shared bool) *world {
	factors := make([]float64, 70)
	for i := range factors {
		factors[i] = []float64{1.25, 1, 0.8}[i%3]
	}
	w := newWorld(t, seed, 13, factors, func(w *world) { w.sessions, w.sharedRoom = 8, shared })
	for i, s := range w.sidecars {
		if i/3%3 == 2 {
			s.resize(48000)
		}
	}
	return w
}

// scarceBurst is how much of each kind's rate is submitted. In a narrow one, a third of the
// endpoints is in an evacuated zone and a sixth of the rest turns five times slower.
type scarceBurst struct {
	all, check, hold float64
	narrow           bool
}

func (b scarceBurst) kinds() []kind {
	return scaleLoad(scaleLoad(scaleLoad(scarceKinds(), "", b.all), "check", b.check), "hold", b.hold)
}

// narrow evacuates and slows endpoints.
func (w *world) narrow() {
	for i, s := range w.sidecars {
		switch {
		case i%3 == 0:
			s.runner.Refuse("the zone is evacuated")
			for _, e := range w.entries {
				e.scheduler.Fleet().UpdateEndpoint(s.name, &wire.EndpointState{Service: "service"})
			}
		case i%6 == 1:
			s.runFactor *= 5
		}
	}
}

// runScarce plays a burst and returns the world after it and the share of its worth that was
// earned.
func runScarce(t *testing.T, b scarceBurst, shared bool) (w *world, worth float64) {
	w = newScarceWorld(t, 1, shared)
	w.load(scarceKinds(), 1500*time.Millisecond)
	w.advance(1500 * time.Millisecond)
	w.resetCounts()
	if b.narrow {
		w.narrow()
	}
	const burst = 3 * time.Second
	w.load(b.kinds(), burst)
	w.after(burst, func() { w.load(scarceKinds(), time.Second) })
	w.advance(burst + 9*time.Second)
	var sum tally
	for _, k := range scarceKinds() {
		one := w.tally(k.name)
		sum.add(*one)
		t.Logf("%-6s submitted %d, of 1000 on time %d late %d refused %d failed %d", k.name, one.submitted,
			1000*one.onTime/one.submitted, 1000*one.late/one.submitted, 1000*one.refused/one.submitted, 1000*one.failed/one.submitted)
	}
	worth = sum.earnedWorth / sum.submittedWorth
	t.Logf("shared %t worth %.4f, bound %.4f", shared, worth, windowBound(w.arrivals, w.totalCores(), fastest))
	return w, worth
}

// At 1.5 to 2.2 times the capacity of the endpoints, what the sidecars tell of all dispatchers' work
// keeps room for the most urgent kind, without a loss to the others that outweighs it.
func TestScarceRoomIsKeptForTheMostUrgentKind(t *testing.T) {
	t.Parallel()
	for _, b := range []scarceBurst{{1.7, 1, 2.5, false}, {1.7, 1.8, 1, false}, {1.7, 1.8, 1, true}} {
		t.Run(fmt.Sprint(b), func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			alone, worthAlone := runScarce(t, b, false)
			shared, worth := runScarce(t, b, true)
			i.True(worth > worthAlone-scarceNoise)
			i.True(shared.tally("check").onTimeShare() > alone.tally("check").onTimeShare())
			i.True(shared.tally("check").refused*30 < shared.tally("check").submitted)
			i.True(worth <= windowBound(shared.arrivals, shared.totalCores(), fastest))
		})
	}
}

// A dispatcher that has lost its memory in a burst keeps room again once its sessions are back.
func TestRestartedDispatcherKeepsRoom(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	w := newScarceWorld(t, 1, true)
	w.load(scarceBurst{1.7, 1, 2.5, false}.kinds(), 1500*time.Millisecond)
	w.advance(800 * time.Millisecond)
	const restart = 200 * time.Millisecond
	before := w.entries[0].scheduler.Fleet().Reserved("service", 2, w.now)
	w.entries[0].crash(restart)
	w.advance(restart + 50*time.Millisecond)
	after := w.entries[0].scheduler.Fleet().Reserved("service", 2, w.now)
	t.Logf("reserved before %.2f, after %.2f", before, after)
	i.True(before > 0.1 && before < 0.5)
	i.True(after > before/2 && after < 2*before)
	i.Equal(w.entries[0].scheduler.Fleet().Reserved("service", 0, w.now), 0.0)
}

const (
	// fastest is the speed of the fastest endpoint.
	fastest = 1.25
	// scarceNoise is how much the worth of a run differs with the seed.
	scarceNoise = 0.01
)

// In calm nothing is refused for the room that is kept.
func TestKeptRoomCostsNothingInCalm(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	w, worth := runScarce(t, scarceBurst{1, 1, 1, false}, true)
	i.True(worth > minShareWithinCapacity)
	for _, k := range scarceKinds() {
		i.Equal(w.tally(k.name).refused, 0)
	}
}

// windowBound returns an upper bound of the share of the worth that any scheduler can earn in a
// time of overload. A job that is on time has done by the end of each time span what its tasks
// cannot do between that end and its objective, at the speed of the fastest endpoint. What all
// jobs do within a span fits into the cores; fractions of jobs earn fractions of their worth.
func windowBound(arrivals []arrival, cores, fastest float64) float64 {
	lowest := 1.0
	for end := time.Second; end <= 6*time.Second; end += 500 * time.Millisecond {
		total, earned, room := 0.0, 0.0, cores*end.Seconds()
		type need struct{ work, worth float64 }
		var needs []need
		for _, a := range arrivals {
			total += a.job.worth()
			rest := max(0, a.at+a.job.objective()-end).Seconds() * fastest / a.job.run.Seconds()
			needs = append(needs, need{work: a.work() * max(0, 1-rest), worth: a.job.worth()})
		}
		slices.SortFunc(needs, func(a, b need) int { return cmp.Compare(b.worth*a.work, a.worth*b.work) })
		for _, n := range needs {
			share := 1.0
			if n.work > 0 {
				share = min(1, room/n.work)
			}
			earned += n.worth * (share + lateWorthShare*(1-share))
			room -= share * n.work
		}
		lowest = min(lowest, earned/total)
	}
	return lowest
}
