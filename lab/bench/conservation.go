package bench

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/corianderhook/corianderhook/lab/sample"
)

// interval is a stretch of time since the start of a run.
type interval struct{ from, to time.Duration }

// conservation tells when endpoints had a slot free.
type conservation struct {
	// free holds, per endpoint, the stretches with a free slot in their order.
	free [][]interval
}

// forever ends a stretch that has no end in the run.
const forever = time.Duration(1<<63 - 1)

// newConservation works out the free stretches of endpoints from the runs at
// them. All endpoints have the same number of slots.
func newConservation(runs []sample.Run, endpoints, slots int, began time.Time) *conservation {
	c := &conservation{free: make([][]interval, endpoints)}
	byEndpoint := make([][]sample.Run, endpoints)
	for _, r := range runs {
		byEndpoint[r.Endpoint] = append(byEndpoint[r.Endpoint], r)
	}
	for i, runs := range byEndpoint {
		c.free[i] = freeStretches(edgesOf(runs, began), slots)
	}
	return c
}

// jobOf returns the name of the job, team/key, that a run belongs to.
func jobOf(r sample.Run) string { return r.Task[:max(0, strings.LastIndexByte(r.Task, '/'))] }

// edge is the start or the end of a run.
type edge struct {
	at     time.Duration
	change int
}

// edgesOf returns the starts and ends of runs in order; of those at one time the
// ends come first.
func edgesOf(runs []sample.Run, began time.Time) []edge {
	edges := make([]edge, 0, 2*len(runs))
	for _, r := range runs {
		edges = append(edges, edge{at: r.From.Sub(began), change: 1}, edge{at: r.To.Sub(began), change: -1})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.change, b.change))
	})
	return edges
}

func freeStretches(edges []edge, slots int) []interval {
	var list []interval
	busy, since := 0, time.Duration(0)
	for _, e := range edges {
		before := busy
		busy += e.change
		if before == slots-1 && busy == slots {
			list = append(list, interval{from: since, to: e.at})
		}
		if before == slots && busy == slots-1 {
			since = e.at
		}
	}
	if busy < slots {
		list = append(list, interval{from: since, to: forever})
	}
	return list
}

// idleDuring returns the longest stretch of the interval in which one endpoint
// had a slot free all the time.
func (c *conservation) idleDuring(w interval) time.Duration {
	longest := time.Duration(0)
	for _, free := range c.free {
		first, _ := slices.BinarySearchFunc(free, w.from, func(f interval, at time.Duration) int { return cmp.Compare(f.to, at) })
		for _, f := range free[first:] {
			if f.from >= w.to {
				break
			}
			longest = max(longest, min(f.to, w.to)-max(f.from, w.from))
		}
	}
	return longest
}

// IdleWhileWaiting returns, per started task and sorted, for how long one slot
// stood idle without a break while the task waited, in milliseconds. The wait
// lasts from the sending of the job to the start at an endpoint.
func (o Measurement) IdleWhileWaiting() []float64 {
	c := newConservation(o.runs, o.endpoints, o.slots, o.began)
	sent := map[string]time.Duration{}
	for _, r := range o.Results {
		sent[r.Job.Team+"/"+r.Key] = r.EndedAt - r.ResponseTime
	}
	var idle []float64
	for _, r := range o.runs {
		if at, known := sent[jobOf(r)]; known {
			idle = append(idle, float64(c.idleDuring(interval{from: at, to: r.From.Sub(o.began)}))/float64(time.Millisecond))
		}
	}
	sortFloats(idle)
	return idle
}
