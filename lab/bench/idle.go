package bench

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/corianderhook/corianderhook/lab/sample"
)

// interval is a period of a run, relative to its start.
type interval struct{ from, to time.Duration }

// freeIntervals records when endpoints had a free task slot. It shows whether the
// scheduling is work conserving: no slot stays idle while a task waits.
type freeIntervals struct {
	// byEndpoint holds, per endpoint, the intervals with a free slot in order of time.
	byEndpoint [][]interval
}

// forever is the end of an interval that does not end within the run.
const forever = time.Duration(1<<63 - 1)

// newFreeIntervals computes the intervals from the task runs at the endpoints, which
// all have the same number of slots.
func newFreeIntervals(runs []sample.Run, endpoints, slots int, start time.Time) *freeIntervals {
	free := &freeIntervals{byEndpoint: make([][]interval, endpoints)}
	byEndpoint := make([][]sample.Run, endpoints)
	for _, r := range runs {
		byEndpoint[r.Endpoint] = append(byEndpoint[r.Endpoint], r)
	}
	for i, runs := range byEndpoint {
		free.byEndpoint[i] = intervalsWithFreeSlot(eventsOf(runs, start), slots)
	}
	return free
}

// jobName returns the name, team/key, of the job that a run belongs to.
func jobName(r sample.Run) string { return r.Task[:max(0, strings.LastIndexByte(r.Task, '/'))] }

// event is the start or the end of a task run.
type event struct {
	at time.Duration
	// change is the change in the number of busy slots, 1 or -1.
	change int
}

// eventsOf returns the starts and ends of runs in order of time. Ends come before
// starts at the same time, so that a slot taken over at once never counts twice.
func eventsOf(runs []sample.Run, start time.Time) []event {
	events := make([]event, 0, 2*len(runs))
	for _, r := range runs {
		events = append(events, event{at: r.From.Sub(start), change: 1}, event{at: r.To.Sub(start), change: -1})
	}
	slices.SortFunc(events, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.change, b.change))
	})
	return events
}

func intervalsWithFreeSlot(events []event, slots int) []interval {
	var list []interval
	busy, since := 0, time.Duration(0)
	for _, e := range events {
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

// longestIdle returns the longest part of the interval in which one endpoint had a
// free slot without interruption.
func (c *freeIntervals) longestIdle(within interval) time.Duration {
	longest := time.Duration(0)
	for _, free := range c.byEndpoint {
		first, _ := slices.BinarySearchFunc(free, within.from, func(f interval, at time.Duration) int { return cmp.Compare(f.to, at) })
		for _, f := range free[first:] {
			if f.from >= within.to {
				break
			}
			longest = max(longest, min(f.to, within.to)-max(f.from, within.from))
		}
	}
	return longest
}

// IdleWhileWaiting returns, sorted, one value per started task: the longest time in
// milliseconds for which an endpoint had a free slot without interruption while the
// task waited. The wait lasts from the sending of the job to the start of the task at
// an endpoint.
func (m Measurement) IdleWhileWaiting() []float64 {
	free := newFreeIntervals(m.runs, m.endpoints, m.slots, m.start)
	sent := map[string]time.Duration{}
	for _, r := range m.Results {
		sent[r.Job.Team+"/"+r.Key] = r.EndedAt - r.ResponseTime
	}
	var idle []float64
	for _, r := range m.runs {
		if at, known := sent[jobName(r)]; known {
			idle = append(idle, float64(free.longestIdle(interval{from: at, to: r.From.Sub(m.start)}))/float64(time.Millisecond))
		}
	}
	sortFloats(idle)
	return idle
}
