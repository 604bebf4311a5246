package replay

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// slot is the step of time of the bound.
	slot = 10 * time.Millisecond
	// lateShare of a job's worth is earned by an answer after its objective.
	lateShare = 0.2
)

// arrival is a job with its time, from the start of the load.
type arrival struct {
	job job
	at  time.Duration
}

// work is what a job takes at an endpoint of ordinary speed, in core-seconds.
func (a arrival) work() float64 {
	return float64(a.job.tasks) * float64(a.job.cpu) / 1000 * a.job.run.Seconds()
}

// bound returns the share of the worth that a scheduler could earn at most that knows
// all arrivals and run times. It may split jobs and tasks at will, run any part of a
// job at any time before its objective on all cores of the site at once, and is paid
// for the part that it has done. What it does not do in time it is paid for as late,
// without doing it.
//
// Jobs are taken by worth for their work; one that finds its time full moves earlier
// ones to other times where that makes room. Sets of work that fit into intervals of
// time are a matroid, so that no other choice earns more.
func bound(arrivals []arrival, cores float64) float64 {
	f := newFlow(arrivals, cores*slot.Seconds())
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
	owed, onTime := 0.0, 0.0
	for _, i := range order {
		done := f.add(i, arrivals[i].work())
		owed += arrivals[i].job.kind.worth
		onTime += arrivals[i].job.kind.worth * done / arrivals[i].work()
	}
	return lateShare + (1-lateShare)*onTime/owed
}

// flow assigns work of jobs to slots of time.
type flow struct {
	first, last []int
	// given is the work of a job in a slot, free what is left of a slot.
	given []map[int]float64
	free  []float64
	// users are the jobs with work in a slot.
	users []map[int]bool
}

func newFlow(arrivals []arrival, room float64) *flow {
	f := &flow{}
	slots := 0
	for _, a := range arrivals {
		f.first = append(f.first, int(a.at/slot))
		f.last = append(f.last, int((a.at+a.job.objective())/slot))
		f.given = append(f.given, map[int]float64{})
		slots = max(slots, f.last[len(f.last)-1]+1)
	}
	for range slots {
		f.free = append(f.free, room)
		f.users = append(f.users, map[int]bool{})
	}
	return f
}

// least is the work that is too little to count, in core-seconds.
const least = 1e-6

// add finds room for a job's work and returns how much there is.
func (f *flow) add(job int, work float64) float64 {
	done := 0.0
	for work-done > least {
		more := f.augment(job, work-done)
		if more < least {
			break
		}
		done += more
	}
	return done
}

// augment gives a job some work along one chain of moves, found breadth first.
func (f *flow) augment(job int, want float64) float64 {
	type step struct{ job, from int }
	came := map[int]step{}
	reached := map[int]bool{job: true}
	queue := []step{{job, -1}}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for s := f.first[at.job]; s <= f.last[at.job]; s++ {
			if _, known := came[s]; known {
				continue
			}
			came[s] = at
			if f.free[s] > least {
				amount := min(want, f.free[s])
				for back := s; ; {
					by := came[back]
					if by.from < 0 {
						break
					}
					amount = min(amount, f.given[by.job][by.from])
					back = by.from
				}
				f.free[s] -= amount
				for to := s; to >= 0; {
					by := came[to]
					f.move(by.job, to, amount)
					if by.from >= 0 {
						f.move(by.job, by.from, -amount)
					}
					to = by.from
				}
				return amount
			}
			for other := range f.users[s] {
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
	f.given[job][slot] += amount
	if f.given[job][slot] > least {
		f.users[slot][job] = true
		return
	}
	delete(f.given[job], slot)
	delete(f.users[slot], job)
}

// cores is what the site's endpoints do in the time of ordinary ones.
func (w *world) cores() float64 {
	total := 0.0
	for _, s := range w.sidecars {
		total += float64(s.capacity.CPU) / 1000 / s.speed
	}
	return total
}

// A core and jobs of a second's work: the objective leaves 1.66 s.
func TestBoundOfSmallLoads(t *testing.T) {
	one := func(worth float64, at time.Duration) arrival {
		return arrival{at: at, job: job{kind: kind{worth: worth}, tasks: 1, run: time.Second, cpu: 1000}}
	}
	for name, c := range map[string]struct {
		jobs []arrival
		want float64
	}{
		"one fits":                  {[]arrival{one(1, 0)}, 1},
		"two in turn fit":           {[]arrival{one(1, 0), one(1, 2*time.Second)}, 1},
		"the second has two thirds": {[]arrival{one(1, 0), one(1, 0)}, 0.2 + 0.8*1.67/2},
		"the dear one first":        {[]arrival{one(1, 0), one(3, 0)}, 0.2 + 0.8*3.67/4},
		// The first moves to earlier times and makes room for the second.
		"moves make room": {[]arrival{one(2, 500*time.Millisecond), one(1, 0)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			got := bound(c.jobs, 1)
			t.Log(got)
			is.New(t).True(math.Abs(got-c.want) < 0.01)
		})
	}
}
