// Package replay simulates loads on the decision code of dispatchers and sidecars together,
// without sockets and on a simulated clock. A run with the same seed is the same every time.
package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/corianderhook/corianderhook/process/scheduler"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
)

const (
	// messageLatency is the time that a message takes between a dispatcher and a sidecar,
	// orderLatency that between a sidecar and its endpoint.
	messageLatency      = time.Millisecond
	orderLatency        = 300 * time.Microsecond
	sidecarTickInterval = 25 * time.Millisecond
	heartbeatInterval   = 150 * time.Millisecond
	// failureDelay is the time from start to failure at an endpoint that fails every run.
	failureDelay = 30 * time.Millisecond
)

// event is a function to run at a time; events at the same time run in the order of seq.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a simulated site: entries, sidecars with their endpoints, and callers.
type world struct {
	t        *testing.T
	now      time.Time
	queue    eventQueue
	seq      int
	random   *rand.Rand
	entries  []*entry
	sidecars []*sidecar
	// sessions is the number of entries that a sidecar has sessions with; 0 means all.
	sessions int
	// sharedRoom is set if admission uses what the sidecars report of all entries' work.
	sharedRoom bool
	// running counts the runs of each task over all endpoints.
	running map[string]int
	// crashes counts by task the endpoints that have crashed under it, startsAfter its starts
	// after the third crash.
	crashes, startsAfter map[string]int
	// neverFails is set if only deadly jobs may be given up.
	neverFails bool
	// jobs are by ID, tallies by the name of the kind.
	jobs    map[string]job
	tallies map[string]*tally
	// arrivals are the jobs since countedSince, when the counts were last reset.
	arrivals     []arrival
	countedSince time.Time
	// slowing is how many times as long the tasks of a kind run beside another, keptApart is set
	// if sidecars and entries keep such kinds apart.
	slowing   map[[2]string]float64
	keptApart bool
	// takesBack is set if slow endpoints are told by the runs under way, and what waits there is
	// taken back.
	takesBack bool
}

// kind describes the jobs of one queue and the rate at which they are submitted.
type kind struct {
	name    string
	urgency int
	// width is the mean number of tasks of a job, run their mean run time, and cpu their mean
	// demand in millicores.
	width int
	run   time.Duration
	cpu   int
	// worth is what an answer on time to a job of the mean size earns.
	worth         float64
	jobsPerSecond float64
	// tailShare is the share of jobs that run tailFactor times as long.
	tailShare float64
	// runVariation is the standard deviation of the run times of a job's tasks, as a
	// fraction of their mean.
	runVariation float64
	// scaledBudget is set if callers wait longer for longer jobs.
	scaledBudget bool
	// deadlyShare is the share of jobs whose first task crashes each endpoint that starts it,
	// deadlyDelay the time from its start to the crash.
	deadlyShare float64
	deadlyDelay time.Duration
}

// job is one job of a caller.
type job struct {
	kind  kind
	id    string
	tasks int
	run   time.Duration
	cpu   int
	// estimate is the run time that the caller expects.
	estimate time.Duration
	budget   time.Duration
	// deadly is set if the job's first task crashes endpoints.
	deadly bool
}

// tally counts the outcomes of the jobs of a kind.
type tally struct {
	submitted, onTime, late, refused, failed int
	// submittedWorth is the worth of all jobs, earnedWorth what their answers earned.
	submittedWorth, earnedWorth float64
}

func (t *tally) add(o tally) {
	t.submitted += o.submitted
	t.onTime += o.onTime
	t.late += o.late
	t.refused += o.refused
	t.failed += o.failed
	t.submittedWorth += o.submittedWorth
	t.earnedWorth += o.earnedWorth
}

// onTimeShare returns the share of jobs that were answered on time.
func (t *tally) onTimeShare() float64 { return float64(t.onTime) / float64(max(1, t.submitted)) }

const (
	// stretch times the run time plus targetLatency is the objective of a job.
	stretch       = 1.6
	targetLatency = 60 * time.Millisecond
	defaultBudget = 2500 * time.Millisecond
	// tailFactor is how many times longer the longest jobs run.
	tailFactor = 7
	// A scaled budget is minScaledBudget plus scaledBudgetFactor times the objective.
	minScaledBudget    = 1500 * time.Millisecond
	scaledBudgetFactor = 3
)

// objective returns the latency up to which an answer is on time.
func (j job) objective() time.Duration {
	return time.Duration(stretch*float64(j.run)) + targetLatency
}

// lateFactor times the objective is the time after which an answer is worth nothing.
const lateFactor = 3

// worth returns what an answer on time earns. It grows with the job's work, but less than in
// proportion, up to maxFactor times the worth of its kind.
func (j job) worth() float64 {
	const fixedShare, maxFactor = 0.3, 4
	k := j.kind
	mean := float64(k.width*k.cpu) * k.run.Seconds() * (1 + (tailFactor-1)*k.tailShare)
	own := float64(j.tasks*j.cpu) * j.run.Seconds()
	return k.worth * min(maxFactor, fixedShare+(1-fixedShare)*own/mean)
}

// newWorld returns a world with one sidecar for each run factor.
func newWorld(t *testing.T, seed uint64, entries int, runFactors []float64, options ...func(w *world)) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		running: map[string]int{}, jobs: map[string]job{}, crashes: map[string]int{}, startsAfter: map[string]int{},
	}
	for _, apply := range options {
		apply(w)
	}
	for i := range entries {
		w.entries = append(w.entries, newEntry(w, uint64(i+1)))
	}
	for i, runFactor := range runFactors {
		w.sidecars = append(w.sidecars, newSidecar(w, fmt.Sprintf("agent-%02d", i), runFactor))
	}
	w.resetCounts()
	w.every(sidecarTickInterval, func() {
		for _, s := range w.sidecars {
			s.tick()
		}
	})
	w.every(scheduler.TickInterval, func() {
		for _, e := range w.entries {
			if !e.crashed && !e.paused {
				e.scheduler.Tick()
			}
		}
	})
	return w
}

// after schedules run once after d.
func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, run: run})
}

// every schedules run with period d.
func (w *world) every(d time.Duration, run func()) {
	w.after(d, func() {
		run()
		w.every(d, run)
	})
}

// advance runs the events of the next d.
func (w *world) advance(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// load schedules the arrivals of random jobs of the kinds within the next d.
func (w *world) load(kinds []kind, d time.Duration) {
	for _, k := range kinds {
		for at := w.randomGap(k.jobsPerSecond); at < d; at += w.randomGap(k.jobsPerSecond) {
			w.after(at, func() { w.submit(w.randomJob(k)) })
		}
	}
}

// randomGap returns the time between two arrivals of a Poisson process.
func (w *world) randomGap(jobsPerSecond float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / jobsPerSecond * float64(time.Second))
}

// randomAround returns a normally distributed value whose standard deviation is spread times
// the mean, limited to 0.3 to 3 times the mean.
func (w *world) randomAround(mean, spread float64) float64 {
	return mean * max(0.3, min(3, 1+spread*w.random.NormFloat64()))
}

func (w *world) randomJob(k kind) job {
	run := time.Duration(w.randomAround(float64(k.run), 0.4))
	if k.tailShare > 0 && w.random.Float64() < k.tailShare {
		run *= tailFactor
	}
	j := job{
		kind: k, id: fmt.Sprintf("%016x", w.random.Uint64()), tasks: int(max(1, w.randomAround(float64(k.width), 0.4))), run: run,
		cpu: int(w.randomAround(float64(k.cpu), 0.2)), estimate: time.Duration(w.randomAround(float64(run), 0.4)), budget: defaultBudget,
	}
	// The share is taken from the ID, so that the load is the same without deadly jobs.
	const idRange = 1 << 16
	if n, err := strconv.ParseUint(j.id[:4], 16, 64); err == nil {
		j.deadly = float64(n) < k.deadlyShare*idRange
	}
	if k.scaledBudget {
		j.budget = minScaledBudget + scaledBudgetFactor*j.objective()
	}
	return j
}

// tally returns the counts of a kind.
func (w *world) tally(name string) *tally {
	if w.tallies[name] == nil {
		w.tallies[name] = &tally{}
	}
	return w.tallies[name]
}

// addTalliesTo adds the counts of each kind to all.
func (w *world) addTalliesTo(all map[string]*tally) {
	for name, one := range w.tallies {
		if all[name] == nil {
			all[name] = &tally{}
		}
		all[name].add(*one)
	}
}

// resetCounts clears the tallies and arrivals.
func (w *world) resetCounts() {
	w.tallies, w.arrivals, w.countedSince = map[string]*tally{}, nil, w.now
}

func (w *world) submit(j job) {
	work, err := workload.New(j.id, "", []workload.Step{{
		Count: j.tasks, Size: size.Size{CPU: j.cpu, Memory: 64}, Estimate: j.estimate,
	}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.jobs[j.id] = j
	w.arrivals = append(w.arrivals, arrival{job: j, at: w.now.Sub(w.countedSince)})
	if !j.deadly {
		w.tally(j.kind.name).submitted++
		w.tally(j.kind.name).submittedWorth += j.worth()
	}
	w.send(work, j, w.now)
}

// resubmitDelay is how long a caller waits before it sends its job again.
const resubmitDelay = 1300 * time.Millisecond

// send submits a job to a random entry. The caller sends the job again if the entry is down or
// crashes before its answer.
func (w *world) send(work *workload.Workload, j job, began time.Time) {
	e := w.entries[w.random.IntN(len(w.entries))]
	if e.crashed || e.paused {
		w.after(resubmitDelay, func() { w.send(work, j, began) })
		return
	}
	t := w.tally(j.kind.name)
	if j.deadly {
		// It earns nothing and is not missed.
		t = &tally{}
	}
	e.onConnectionLost[j.id] = func() { w.after(resubmitDelay, func() { w.send(work, j, began) }) }
	e.scheduler.Submit(scheduler.Request{
		Work: work, Budget: j.budget,
		Queue: catalog.Queue{Name: j.kind.name, Service: "service", Urgency: j.kind.urgency, MaxAttempts: 3, Stretch: stretch, TargetLatency: targetLatency},
		Reply: func(a answer.Answer) {
			delete(e.onConnectionLost, j.id)
			if a.Outcome() == outcome.Failed && !j.deadly && w.neverFails {
				w.t.Errorf("%s: sound job %s of %s was given up: %s", w.now, j.id, j.kind.name, a.Detail())
			}
			switch took := w.now.Sub(began); {
			case a.Outcome() == outcome.Complete && took <= j.objective():
				t.onTime++
				t.earnedWorth += j.worth()
			case a.Outcome() == outcome.Complete:
				t.late++
				if took <= lateFactor*j.objective() {
					t.earnedWorth += lateWorthShare * j.worth()
				}
			case a.Outcome() == outcome.NotRun:
				t.refused++
			default:
				t.failed++
			}
		},
	})
}
