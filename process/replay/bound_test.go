package replay

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// timeStep is the length of a time slot of the bound.
	timeStep = 10 * time.Millisecond
	// lateWorthShare is the share of a job's worth that a late answer earns.
	lateWorthShare = 0.2
)

// arrival is a job and its time since the start of the count.
type arrival struct {
	job job
	at  time.Duration
}

// work returns the work of the job at an endpoint of ordinary speed, in core-seconds.
func (a arrival) work() float64 {
	return float64(a.job.tasks) * float64(a.job.cpu) / 1000 * a.job.run.Seconds()
}

// upperBound returns an upper bound of the share of the worth that any scheduler can earn. The
// bound is that of a scheduler that knows all arrivals and run times, may split jobs and tasks at
// will, may run any part of a job at any time before its objective on all cores of the site at
// once, and earns the worth of the part done. Work that it does not do in time earns as much as
// a late answer, although it is never done.
//
// Jobs are added in the order of worth per work. If the time slots of a job are full, work of
// jobs added before is moved to other slots where that frees capacity. Sets of work that fit
// into time intervals form a matroid, so that this greedy choice is optimal.
func upperBound(arrivals []arrival, cores float64) float64 {
	f := newFlow(arrivals, cores*timeStep.Seconds())
	order := make([]int, len(arrivals))
	for i := range order {
		order[i] = i
	}
	density := func(i int) float64 { return arrivals[i].job.kind.worth / arrivals[i].work() }
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case density(a) > density(b):
			return -1
		case density(a) < density(b):
			return 1
		}
		return 0
	})
	total, onTime := 0.0, 0.0
	for _, i := range order {
		done := f.add(i, arrivals[i].work())
		total += arrivals[i].job.kind.worth
		onTime += arrivals[i].job.kind.worth * done / arrivals[i].work()
	}
	return lateWorthShare + (1-lateWorthShare)*onTime/total
}

// flow assigns the work of jobs to time slots.
type flow struct {
	first, last []int
	// assigned is the work of a job by slot, free the unused capacity of a slot.
	assigned []map[int]float64
	free     []float64
	// jobsIn holds the jobs with work in a slot.
	jobsIn []map[int]bool
}

func newFlow(arrivals []arrival, capacity float64) *flow {
	f := &flow{}
	slots := 0
	for _, a := range arrivals {
		f.first = append(f.first, int(a.at/timeStep))
		f.last = append(f.last, int((a.at+a.job.objective())/timeStep))
		f.assigned = append(f.assigned, map[int]float64{})
		slots = max(slots, f.last[len(f.last)-1]+1)
	}
	for range slots {
		f.free = append(f.free, capacity)
		f.jobsIn = append(f.jobsIn, map[int]bool{})
	}
	return f
}

// minWork is the work below which an amount counts as zero, in core-seconds.
const minWork = 1e-6

// add assigns as much of a job's work as fits and returns how much that is.
func (f *flow) add(job int, work float64) float64 {
	done := 0.0
	for work-done > minWork {
		found := f.augment(job, work-done)
		if found < minWork {
			break
		}
		done += found
	}
	return done
}

// augment assigns some work of a job along one augmenting path, found breadth first, and
// returns how much.
func (f *flow) augment(job int, want float64) float64 {
	type step struct{ job, from int }
	parent := map[int]step{}
	reached := map[int]bool{job: true}
	queue := []step{{job, -1}}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for s := f.first[at.job]; s <= f.last[at.job]; s++ {
			if _, known := parent[s]; known {
				continue
			}
			parent[s] = at
			if f.free[s] > minWork {
				amount := min(want, f.free[s])
				for back := s; ; {
					by := parent[back]
					if by.from < 0 {
						break
					}
					amount = min(amount, f.assigned[by.job][by.from])
					back = by.from
				}
				f.free[s] -= amount
				for to := s; to >= 0; {
					by := parent[to]
					f.move(by.job, to, amount)
					if by.from >= 0 {
						f.move(by.job, by.from, -amount)
					}
					to = by.from
				}
				return amount
			}
			for other := range f.jobsIn[s] {
				if !reached[other] {
					reached[other] = true
					queue = append(queue, step{other, s})
				}
			}
		}
	}
	return 0
}

func (f *flow) move(job, slot int, amount float64) {
	f.assigned[job][slot] += amount
	if f.assigned[job][slot] > minWork {
		f.jobsIn[slot][job] = true
		return
	}
	delete(f.assigned[job], slot)
	delete(f.jobsIn[slot], job)
}

// totalCores returns the capacity of all endpoints, in cores of an endpoint of ordinary speed.
func (w *world) totalCores() float64 {
	total := 0.0
	for _, s := range w.sidecars {
		total += float64(s.capacity.CPU) / 1000 / s.runFactor
	}
	return total
}

// There is one core; each job has one core-second of work and an objective of 1.66 s.
func TestUpperBoundOfSmallLoads(t *testing.T) {
	one := func(worth float64, at time.Duration) arrival {
		return arrival{at: at, job: job{kind: kind{worth: worth}, tasks: 1, run: time.Second, cpu: 1000}}
	}
	for name, c := range map[string]struct {
		jobs []arrival
		want float64
	}{
		"one fits":                 {[]arrival{one(1, 0)}, 1},
		"two in turn fit":          {[]arrival{one(1, 0), one(1, 2*time.Second)}, 1},
		"two thirds of the second": {[]arrival{one(1, 0), one(1, 0)}, 0.2 + 0.8*1.67/2},
		"the more valuable first":  {[]arrival{one(1, 0), one(3, 0)}, 0.2 + 0.8*3.67/4},
		// The first job moves to later times and frees capacity for the second.
		"moves free capacity": {[]arrival{one(2, 500*time.Millisecond), one(1, 0)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			got := upperBound(c.jobs, 1)
			t.Log(got)
			is.New(t).True(math.Abs(got-c.want) < 0.01)
		})
	}
}
