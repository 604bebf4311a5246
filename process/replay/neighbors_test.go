package replay

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/process/scheduler"
	"github.com/corianderhook/corianderhook/sharing/interference"
	"github.com/corianderhook/corianderhook/sharing/separation"
	"github.com/corianderhook/corianderhook/sharing/slowdown"
	"github.com/corianderhook/corianderhook/wire"
)

// work is a run whose speed depends on what runs beside it.
type work struct {
	run  runner.RunName
	kind string
	// left is the time that the run takes from since on if nothing slows it, factor how many
	// times longer it takes now.
	left   time.Duration
	factor float64
	since  time.Time
	turn   int
}

func (w *world) schedulerOptions() []scheduler.Option {
	var options []scheduler.Option
	if w.keptApart {
		options = append(options, scheduler.WithNeighbors(separation.New()))
	}
	if w.takesBack {
		options = append(options, scheduler.WithSlowdowns())
	}
	if w.sharedRoom {
		options = append(options, scheduler.WithSharedRoom())
	}
	return options
}

func (s *sidecar) runnerOptions() []runner.Option {
	s.works, s.sentSlowings = map[string]*work{}, map[uint64]uint64{}
	var options []runner.Option
	if s.world.keptApart {
		s.neighbors = interference.New()
		options = append(options, runner.WithNeighbors(s.neighbors))
	}
	if s.world.takesBack {
		options = append(options, runner.WithSlowdowns(slowdown.New()))
	}
	if s.world.sharedRoom {
		options = append(options, runner.WithSharedRoom())
	}
	return options
}

func (s *sidecar) evaluateNeighbors() {
	if s.neighbors != nil {
		s.neighbors.Evaluate(s.world.now)
	}
}

func (s *sidecar) newSlowings(e *entry) *wire.Slowings {
	if s.neighbors == nil || s.neighbors.Revision() == s.sentSlowings[e.incarnation] {
		return nil
	}
	s.sentSlowings[e.incarnation] = s.neighbors.Revision()
	return s.neighbors.Wire()
}

// beginWork begins a run that takes the given time if nothing slows it.
func (s *sidecar) beginWork(n runner.RunName, takes time.Duration) {
	if s.world.slowing == nil {
		s.world.after(takes, func() { s.endRun(n, runner.EndSucceeded) })
		return
	}
	s.works[runKey(n)] = &work{run: n, kind: s.world.jobs[n.Job].kind.name, left: takes, factor: 1, since: s.world.now}
	s.retime()
}

func (s *sidecar) endWork(n runner.RunName) {
	if _, known := s.works[runKey(n)]; known {
		delete(s.works, runKey(n))
		s.retime()
	}
}

// retime schedules the ends of all runs anew by what runs now.
func (s *sidecar) retime() {
	now := s.world.now
	counts := map[string]int{}
	for _, k := range s.works {
		counts[k.kind]++
	}
	for _, key := range slices.Sorted(maps.Keys(s.works)) {
		k := s.works[key]
		k.left -= time.Duration(float64(now.Sub(k.since)) / k.factor)
		k.since, k.factor = now, 1
		for pair, factor := range s.world.slowing {
			if others := counts[pair[1]]; pair[0] == k.kind && (others > 1 || others == 1 && pair[1] != k.kind) {
				k.factor = max(k.factor, factor)
			}
		}
		k.turn++
		turn := k.turn
		s.world.after(time.Duration(float64(max(0, k.left))*k.factor), func() {
			if s.works[key] == k && k.turn == turn {
				s.endRun(k.run, runner.EndSucceeded)
			}
		})
	}
}

// playNeighbors returns the share of the worth that callers get in a world in which tasks slow
// each other, after some time to find out.
func playNeighbors(t *testing.T, seed uint64, apart bool, times float64, slowing map[[2]string]float64) (share float64, w *world) {
	t.Helper()
	w = newWorld(t, seed, 3, runFactors(14), func(w *world) { w.slowing, w.keptApart = slowing, apart })
	const learning, measured = 30 * time.Second, 20 * time.Second
	w.load(scaleLoad(kinds(), "", times), learning+measured)
	w.advance(learning)
	w.resetCounts()
	w.advance(measured + 3*time.Second)
	return earnedShare(t, w), w
}

// Long tasks slow the short urgent ones three times. Kept apart, callers get more. When it has
// ended, nothing is kept apart after some time.
func TestTasksThatSlowEachOtherAreKeptApart(t *testing.T) {
	t.Parallel()
	for times, gain := range map[float64]float64{0.8: 0.05, 1.6: 0.02} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			slowing := map[[2]string]float64{{"check", "hold"}: 3}
			together, _ := playNeighbors(t, 1, false, times, slowing)
			apart, w := playNeighbors(t, 1, true, times, slowing)
			i.True(apart > together+gain)
			for _, e := range w.entries {
				i.Equal(e.decisions["CH1070 queues kept apart"], 1)
				i.Equal(e.decisions["CH1071 queues not kept apart any more"], 0)
			}
			clear(w.slowing)
			// The sidecars forget runs after 40 s, the entries an unconfirmed pair after a minute.
			const forgotten = 110 * time.Second
			w.load(scaleLoad(kinds(), "", 0.5), forgotten)
			w.advance(forgotten)
			for _, e := range w.entries {
				i.Equal(e.decisions["CH1070 queues kept apart"], 1)
				i.Equal(e.decisions["CH1071 queues not kept apart any more"], 1)
			}
		})
	}
}

// Where nothing slows anything, no queue is kept apart, and callers get what they got.
func TestNothingIsKeptApartWithoutInterference(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	for _, times := range []float64{1, 1.6} {
		off, _ := playNeighbors(t, 1, false, times, nil)
		on, w := playNeighbors(t, 1, true, times, nil)
		i.Equal(on, off)
		for _, e := range w.entries {
			i.Equal(e.decisions["CH1070 queues kept apart"], 0)
		}
	}
}
