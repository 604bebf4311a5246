// Package dispatch decides at an entry which agents hear of waiting tasks and
// which tasks a pull gets. Agents choose between the flows of all entries; an
// entry serves the jobs of one flow in the order of their arrival. It does no I/O.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/health"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// patience is how long a promise to one agent keeps tasks from the others.
	patience = 5 * time.Millisecond
	// retell is how often free agents hear again of tasks that nobody pulls.
	retell = 200 * time.Millisecond
	// parkTime is how long a pull waits for tasks that the witnesses do not know yet.
	parkTime = 50 * time.Millisecond
	// leastTold is how many agents without room hear of waiting tasks.
	leastTold = 2
	// scanJobs bounds how many jobs of a flow a pull looks at.
	scanJobs = 16
	// maxCandidates is how many agents a job is registered with at first.
	maxCandidates = 16
)

// Flow is the unit of fairness: the tasks of one kind and one team.
type Flow struct {
	Kind string
	Team string
}

// Host is what the dispatcher needs of the process around it.
type Host interface {
	Now() time.Time
	Send(agent string, f *wire.EntryFrame) bool
	// Extend asks the job's slot to let the agent start tasks of it.
	Extend(slot uint32, j *job.Job, agent string)
	// Epoch returns the epoch at which the slot is owned.
	Epoch(slot uint32) uint64
	// TaskTimeout returns how long a task of the kind may run.
	TaskTimeout(kind string) time.Duration
	// Barred reports whether an operator has taken an agent out.
	EjectedByOperator(agent string) bool
	// Started hears how many tasks of a job were handed out after which wait.
	Started(j *job.Job, count int)
}

type item struct {
	slot    uint32
	job     *job.Job
	counted int
	offered time.Time
}

type parked struct {
	agent string
	pull  *wire.Pull
	until time.Time
}

type flow struct {
	name     Flow
	items    []*item
	byJob    map[*job.Job]*item
	count    int
	promised int
	since    time.Time
	again    time.Time
	parked   []parked
}

// oldest returns for how long the oldest waiting task has waited, in microseconds.
func (f *flow) oldest(now time.Time) uint64 {
	if len(f.items) == 0 {
		return 0
	}
	return uint64(max(0, now.Sub(f.items[0].offered).Microseconds()))
}

// Option changes how a dispatcher decides.
type Option func(*Dispatch)

// WithBaseline puts all tasks into one flow, first come first served, and ejects
// no agent, as a baseline for experiments.
func WithBaseline() Option {
	return func(d *Dispatch) { d.baseline = true }
}

// Dispatch is the dispatcher of one entry. It is not safe for concurrent use.
type Dispatch struct {
	host   Host
	random *rand.Rand
	flows  map[Flow]*flow
	// order holds the flows as they came, so that the same input gives the same
	// messages.
	order    []*flow
	agents   map[string]*agent
	list     []*agent
	wasted   Wasted
	baseline bool
	health   *health.Health
}

// New returns a dispatcher without agents. The seed breaks ties between agents
// of the same load.
func New(host Host, seed uint64, options ...Option) *Dispatch {
	d := &Dispatch{
		host:   host,
		random: rand.New(rand.NewPCG(seed, 0)),
		flows:  map[Flow]*flow{},
		agents: map[string]*agent{},
		health: health.New(),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

func (d *Dispatch) flowOf(j *job.Job) Flow {
	if d.baseline {
		return Flow{Kind: "all", Team: "all"}
	}
	return Flow{Kind: j.Kind(), Team: j.Team()}
}

// WaitingIn returns the number of tasks of a kind and team that wait here.
func (d *Dispatch) WaitingIn(kind, team string) int {
	if f, known := d.flows[Flow{Kind: kind, Team: team}]; known {
		return f.count
	}
	return 0
}

// WaitingTeams returns the teams that have tasks of a kind waiting here.
func (d *Dispatch) WaitingTeams(kind string) []string {
	var teams []string
	for _, f := range d.order {
		if f.name.Kind == kind && f.count > 0 {
			teams = append(teams, f.name.Team)
		}
	}
	return teams
}

// Waiting returns the number of tasks of a kind that wait here.
func (d *Dispatch) Waiting(kind string) int {
	total := 0
	for name, f := range d.flows {
		if name.Kind == kind {
			total += f.count
		}
	}
	return total
}

// Offer takes a job with waiting tasks, or takes note that their number changed.
func (d *Dispatch) Offer(slot uint32, j *job.Job) {
	f := d.flow(d.flowOf(j))
	it, held := f.byJob[j]
	if !held {
		it = &item{slot: slot, job: j, offered: d.host.Now()}
		f.byJob[j] = it
		f.items = append(f.items, it)
		j.SetInDispatch(true)
	}
	if f.count == 0 {
		f.since = d.host.Now()
		f.again = f.since
	}
	d.recount(f, it)
	d.servePark(f)
	d.promise(f)
}

func (d *Dispatch) flow(name Flow) *flow {
	f, known := d.flows[name]
	if !known {
		f = &flow{name: name, byJob: map[*job.Job]*item{}}
		d.flows[name] = f
		d.order = append(d.order, f)
	}
	return f
}

func (d *Dispatch) recount(f *flow, it *item) {
	waiting := it.job.Waiting()
	f.count += waiting - it.counted
	it.counted = waiting
	if waiting > 0 {
		return
	}
	delete(f.byJob, it.job)
	f.items = slices.DeleteFunc(f.items, func(x *item) bool { return x == it })
	it.job.SetInDispatch(false)
}

// Withdraw drops a job that has ended.
func (d *Dispatch) Withdraw(j *job.Job) {
	f := d.flows[d.flowOf(j)]
	if f == nil {
		return
	}
	it, held := f.byJob[j]
	if !held {
		return
	}
	f.count -= it.counted
	delete(f.byJob, j)
	f.items = slices.DeleteFunc(f.items, func(x *item) bool { return x == it })
	j.SetInDispatch(false)
}

// Pull answers an agent that has slots for a flow.
func (d *Dispatch) Pull(name string, p *wire.Pull) {
	a, known := d.agents[name]
	if !known {
		return
	}
	f := d.flow(Flow{Kind: p.GetKind(), Team: p.GetTeam()})
	d.keep(a, f, int(p.GetCount()))
	if !a.usable() {
		d.answer(a, f, p, nil)
		return
	}
	if a.probing {
		p.Count = min(p.GetCount(), 1)
	}
	tasks := d.take(a, f, p)
	if a.probing && len(tasks) > 0 {
		a.probing = false
	}
	if len(tasks) == 0 && f.count > 0 {
		f.parked = append(f.parked, parked{agent: name, pull: p, until: d.host.Now().Add(parkTime)})
		return
	}
	d.answer(a, f, p, tasks)
}

// take hands out tasks of the flow for a pull, first come first served.
func (d *Dispatch) take(a *agent, f *flow, p *wire.Pull) []*wire.TaskStart {
	count := int(p.GetCount())
	var tasks []*wire.TaskStart
	looked := 0
	for i := 0; i < len(f.items) && len(tasks) < count && looked < scanJobs; looked++ {
		it := f.items[i]
		if it.job.StartsAllowed() && !it.job.HasAgent(a.name) {
			d.host.Extend(it.slot, it.job, a.name)
		}
		indexes := it.job.Assign(a.name, p.GetId(), count-len(tasks))
		for _, index := range indexes {
			tasks = append(tasks, d.start(it, index))
			a.running[taskKey{job: it.job.Name(), index: index}] = taskRun{kind: it.job.Kind(), since: d.host.Now()}
		}
		if len(indexes) > 0 {
			d.host.Started(it.job, len(indexes))
		}
		d.recount(f, it)
		if i < len(f.items) && f.items[i] == it {
			i++
		}
	}
	return tasks
}

func (d *Dispatch) start(it *item, index uint32) *wire.TaskStart {
	return &wire.TaskStart{
		Slot:      it.slot,
		Epoch:     d.host.Epoch(it.slot),
		Job:       it.job.Name(),
		Index:     index,
		Payload:   it.job.Payload(index),
		Kind:      it.job.Kind(),
		TimeoutMs: d.host.TaskTimeout(it.job.Kind()).Milliseconds(),
	}
}

func (d *Dispatch) answer(a *agent, f *flow, p *wire.Pull, tasks []*wire.TaskStart) {
	remaining := 0
	if a.usable() {
		remaining = max(0, f.count-f.promised+a.promised[f.name])
	}
	a.believed[f.name] = remaining
	if len(tasks) == 0 {
		d.wasted.Empty += 2
	}
	a.free = max(0, a.free-len(tasks))
	if len(tasks) > 0 {
		d.recall(f)
	}
	d.host.Send(a.name, &wire.EntryFrame{Body: &wire.EntryFrame_Start{Start: &wire.Start{
		Pull:      p.GetId(),
		Remaining: uint32(remaining),
		Tasks:     tasks,
		OldestUs:  f.oldest(d.host.Now()),
	}}})
}

// servePark answers pulls that waited for the witnesses.
func (d *Dispatch) servePark(f *flow) {
	waiting := f.parked
	f.parked = nil
	for i, p := range waiting {
		a, known := d.agents[p.agent]
		if !known {
			continue
		}
		tasks := d.take(a, f, p.pull)
		if len(tasks) == 0 && f.count > 0 {
			f.parked = append(f.parked, waiting[i:]...)
			return
		}
		d.answer(a, f, p.pull, tasks)
	}
}

// Tick lets go of promises and parked pulls that have waited for too long.
func (d *Dispatch) Tick(now time.Time) {
	for _, a := range d.list {
		if a.ejected && !a.probing && d.health.StartProbe(a.name, now) {
			d.apply(a.name, health.Probe)
		}
	}
	for _, f := range d.order {
		d.expirePark(f, now)
		if f.count > 0 && now.Sub(f.since) > patience {
			f.since = now
			d.tellFree(f, now)
			d.tellSome(f, f.count)
		}
	}
	d.order = slices.DeleteFunc(d.order, d.close)
}

// close removes a flow of which nothing is left, and reports whether it did.
func (d *Dispatch) close(f *flow) bool {
	if f.count > 0 || len(f.parked) > 0 || len(f.items) > 0 || f.promised != 0 {
		return false
	}
	delete(d.flows, f.name)
	return true
}

func (d *Dispatch) expirePark(f *flow, now time.Time) {
	kept := f.parked[:0]
	for _, p := range f.parked {
		if now.Before(p.until) {
			kept = append(kept, p)
			continue
		}
		if a, known := d.agents[p.agent]; known {
			d.answer(a, f, p.pull, nil)
			a.believed[f.name] = 0
		}
	}
	f.parked = kept
}

// Idle reports whether nothing waits here, so that Tick has nothing to do.
func (d *Dispatch) Idle() bool { return len(d.flows) == 0 }

// Wasted counts messages that brought no task, by their cause.
type Wasted struct {
	// Empty are pulls that found no task, and their answers.
	Empty uint64
	// Busy are reservations at agents that had no free slot, and their answers.
	Busy uint64
	// Recalled are reservations that were taken back.
	Recalled uint64
}

// Wasted returns the messages that brought no task so far.
func (d *Dispatch) Wasted() Wasted { return d.wasted }
