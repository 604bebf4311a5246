// Package replay plays loads against the decisions of dispatchers and sidecars
// together, without sockets, on a clock of its own: the same history every run.
package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderhook/corianderhook/process/fleet"
	"github.com/corianderhook/corianderhook/process/scheduler"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// hop is the time of a message between two processes, orderHop of one between a
	// sidecar and its endpoint.
	hop       = time.Millisecond
	orderHop  = 300 * time.Microsecond
	tickEvery = 25 * time.Millisecond
	heartbeat = 150 * time.Millisecond
	// failsAfter is how soon an endpoint fails that fails everything.
	failsAfter = 30 * time.Millisecond
)

type event struct {
	at   time.Time
	turn int
	run  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].turn < e[j].turn
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a whole system and its callers.
type world struct {
	t        *testing.T
	now      time.Time
	queue    events
	turn     int
	random   *rand.Rand
	entries  []*entry
	sidecars []*sidecar
	// running counts the runs of each task over all endpoints.
	running map[string]int
	works   map[string]job
	score   map[string]*tally
	// arrivals are the jobs since origin, the last start of a count.
	arrivals []arrival
	origin   time.Time
}

// kind is a queue with the load that is sent to it.
type kind struct {
	name    string
	urgency int
	width   int
	run     time.Duration
	cpu     int
	worth   float64
	perS    float64
	// tail is the share of jobs that take tailTimes as long.
	tail float64
	// uneven is how far the tasks of a job differ in run time, as a standard deviation.
	uneven float64
	// patient callers wait for longer where their job takes longer.
	patient bool
}

// job is one arrival.
type job struct {
	kind  kind
	id    string
	tasks int
	run   time.Duration
	cpu   int
	// estimate is what the caller believes.
	estimate time.Duration
	budget   time.Duration
}

// tally counts what became of the jobs of a kind.
type tally struct {
	asked, onTime, late, refused, failed int
	// owed and earned are worth; larger jobs are worth more.
	owed, earned float64
}

func (t *tally) add(o tally) {
	t.asked += o.asked
	t.onTime += o.onTime
	t.late += o.late
	t.refused += o.refused
	t.failed += o.failed
	t.owed += o.owed
	t.earned += o.earned
}

func (t *tally) served() float64 { return float64(t.onTime) / float64(max(1, t.asked)) }

const (
	stretch  = 1.6
	latency  = 60 * time.Millisecond
	waitsFor = 2500 * time.Millisecond
	// tailTimes is how much longer the longest jobs take.
	tailTimes = 7
	// leastPatience and patienceTimes the objective is how long patient callers wait.
	leastPatience = 1500 * time.Millisecond
	patienceTimes = 3
)

func (j job) objective() time.Duration {
	return time.Duration(stretch*float64(j.run)) + latency
}

// lateTimes the objective is the time after which an answer is worth nothing.
const lateTimes = 3

// worth grows with a job's work, by less than in proportion, up to mostWorth.
func (j job) worth() float64 {
	const fixed, mostWorth = 0.3, 4
	k := j.kind
	mean := float64(k.width*k.cpu) * k.run.Seconds() * (1 + (tailTimes-1)*k.tail)
	own := float64(j.tasks*j.cpu) * j.run.Seconds()
	return k.worth * min(mostWorth, fixed+(1-fixed)*own/mean)
}

func newWorld(t *testing.T, seed uint64, entries int, speeds []float64) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		running: map[string]int{}, works: map[string]job{},
	}
	for i := range entries {
		w.entries = append(w.entries, newEntry(w, uint64(i+1)))
	}
	for i, speed := range speeds {
		w.sidecars = append(w.sidecars, newSidecar(w, fmt.Sprintf("agent-%02d", i), speed))
	}
	w.recount()
	w.every(tickEvery, func() {
		for _, s := range w.sidecars {
			s.tick()
		}
	})
	w.every(scheduler.TickInterval, func() {
		for _, e := range w.entries {
			if !e.dead {
				e.scheduler.Tick()
			}
		}
	})
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.turn++
	heap.Push(&w.queue, event{at: w.now.Add(d), turn: w.turn, run: run})
}

func (w *world) every(d time.Duration, run func()) {
	w.after(d, func() {
		run()
		w.every(d, run)
	})
}

// play runs the world for a time.
func (w *world) play(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// load sends jobs of the kinds for a time, spread over the entries.
func (w *world) load(kinds []kind, d time.Duration) {
	for _, k := range kinds {
		for at := w.gap(k.perS); at < d; at += w.gap(k.perS) {
			w.after(at, func() { w.submit(w.draw(k)) })
		}
	}
}

func (w *world) gap(perS float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / perS * float64(time.Second))
}

func (w *world) vary(mean, spread float64) float64 {
	return mean * max(0.3, min(3, 1+spread*w.random.NormFloat64()))
}

func (w *world) draw(k kind) job {
	run := time.Duration(w.vary(float64(k.run), 0.4))
	if k.tail > 0 && w.random.Float64() < k.tail {
		run *= tailTimes
	}
	j := job{
		kind: k, id: fmt.Sprintf("%016x", w.random.Uint64()), tasks: int(max(1, w.vary(float64(k.width), 0.4))), run: run,
		cpu: int(w.vary(float64(k.cpu), 0.2)), estimate: time.Duration(w.vary(float64(run), 0.4)), budget: waitsFor,
	}
	if k.patient {
		j.budget = leastPatience + patienceTimes*j.objective()
	}
	return j
}

func (w *world) tally(name string) *tally {
	if w.score[name] == nil {
		w.score[name] = &tally{}
	}
	return w.score[name]
}

// addTo adds what has been counted.
func (w *world) addTo(all map[string]*tally) {
	for name, one := range w.score {
		if all[name] == nil {
			all[name] = &tally{}
		}
		all[name].add(*one)
	}
}

// recount forgets what has been counted.
func (w *world) recount() {
	w.score, w.arrivals, w.origin = map[string]*tally{}, nil, w.now
}

func (w *world) submit(j job) {
	work, err := workload.New(j.id, "", []workload.Step{{
		Count: j.tasks, Size: size.Size{CPU: j.cpu, Memory: 64}, Estimate: j.estimate,
	}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.works[j.id] = j
	w.arrivals = append(w.arrivals, arrival{job: j, at: w.now.Sub(w.origin)})
	w.tally(j.kind.name).asked++
	w.tally(j.kind.name).owed += j.worth()
	w.send(work, j, w.now)
}

// resubmitAfter is when a caller without an answer sends its job again.
const resubmitAfter = 1300 * time.Millisecond

// send hands a job to an entry that lives. A caller whose entry dies sends it again.
func (w *world) send(work *workload.Workload, j job, began time.Time) {
	e := w.entries[w.random.IntN(len(w.entries))]
	if e.dead {
		w.after(resubmitAfter, func() { w.send(work, j, began) })
		return
	}
	t := w.tally(j.kind.name)
	e.callers[j.id] = func() { w.after(resubmitAfter, func() { w.send(work, j, began) }) }
	e.scheduler.Submit(scheduler.Request{
		Work: work, Budget: j.budget,
		Queue: catalog.Queue{Name: j.kind.name, Service: "service", Urgency: j.kind.urgency, Attempts: 3, Stretch: stretch, Latency: latency},
		Reply: func(a answer.Answer) {
			delete(e.callers, j.id)
			switch took := w.now.Sub(began); {
			case a.Outcome() == outcome.Complete && took <= j.objective():
				t.onTime++
				t.earned += j.worth()
			case a.Outcome() == outcome.Complete:
				t.late++
				if took <= lateTimes*j.objective() {
					t.earned += lateShare * j.worth()
				}
			case a.Outcome() == outcome.NotRun:
				t.refused++
			default:
				t.failed++
			}
		},
	})
}

// entry is a dispatcher's decisions with their host.
type entry struct {
	world       *world
	incarnation uint64
	scheduler   *scheduler.Scheduler
	numbers     map[string]uint64
	// callers wait for answers; a call tells them that the connection broke.
	callers map[string]func()
	// decided counts the decisions by name.
	decided map[string]int
	// dead entries neither hear nor say anything.
	dead bool
}

func newEntry(w *world, incarnation uint64) *entry {
	e := &entry{world: w, incarnation: incarnation, numbers: map[string]uint64{}, callers: map[string]func(){}, decided: map[string]int{}}
	e.scheduler = scheduler.New(e, fleet.New("zone"), func() uint64 { return uint64(w.now.UnixMilli()) })
	return e
}

func (e *entry) Now() time.Time { return e.world.now }

func (e *entry) Send(agent string, o *wire.Offer) (uint64, bool) {
	e.numbers[agent]++
	number := e.numbers[agent]
	s := e.world.sidecar(agent)
	if s.frozen {
		return number, true
	}
	e.world.after(hop, func() { s.offer(e, number, o) })
	return number, true
}

func (e *entry) Cancel(agent string, ref uint64) {
	s := e.world.sidecar(agent)
	e.world.after(hop, func() {
		if !s.frozen {
			s.runner.Cancel(e.incarnation, ref)
			s.flush()
		}
	})
}

func (e *entry) Withdraw(agent string, ref uint64) {
	s := e.world.sidecar(agent)
	e.world.after(hop, func() {
		if !s.frozen {
			s.runner.Withdraw(e.incarnation, ref)
			s.flush()
		}
	})
}

func (e *entry) LogDecision(event, _ string, _ ...any) { e.decided[event]++ }

func (w *world) sidecar(name string) *sidecar {
	for _, s := range w.sidecars {
		if s.name == name {
			return s
		}
	}
	w.t.Fatalf("agent %q does not exist", name)
	return nil
}
