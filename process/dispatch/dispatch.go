// Package dispatch decides at an entry which agents are notified of waiting tasks and which
// tasks answer a pull. Agents choose between the flows of all entries; an entry serves the
// jobs of one flow in the order of their arrival. The package does no I/O.
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
	// reservationTimeout is how long reserved tasks are announced only to the agents that
	// hold the reservations.
	reservationTimeout = 5 * time.Millisecond
	// repeatInterval is how often free agents are notified again of tasks that no agent
	// pulls.
	repeatInterval = 200 * time.Millisecond
	// parkTimeout is how long a pull waits for tasks whose job the witnesses have not
	// acknowledged yet.
	parkTimeout = 50 * time.Millisecond
	// minInformed is the least number of agents that are notified of waiting tasks.
	minInformed = 2
	// maxScannedJobs bounds how many jobs of a flow a pull looks at.
	maxScannedJobs = 16
	// maxCandidates bounds the agents that a new job is first registered with.
	maxCandidates = 16
)

// Flow is the unit of fairness: the tasks of one kind and one team.
type Flow struct {
	Kind string
	Team string
}

// Host connects a Dispatch to the entry that it runs in.
type Host interface {
	Now() time.Time
	Send(agent string, f *wire.EntryFrame) bool
	// RegisterAgent registers the agent with the job's ownership slot, so that it may start
	// the job's tasks.
	RegisterAgent(slot uint32, j *job.Job, agent string)
	// Epoch returns the epoch at which this entry owns the ownership slot.
	Epoch(slot uint32) uint64
	// TaskTimeout returns how long a task of the kind may run.
	TaskTimeout(kind string) time.Duration
	// ExcludedByOperator reports whether an operator has ejected the agent or evacuated its
	// zone.
	ExcludedByOperator(agent, zone string) bool
	// Started is called when tasks of a job have been handed out.
	Started(j *job.Job, count int)
}

// waitingJob is a job with waiting tasks, and its ownership slot.
type waitingJob struct {
	slot uint32
	job  *job.Job
	// counted is how many of its waiting tasks are included in the flow's count.
	counted   int
	offeredAt time.Time
}

// parked is a pull whose answer is delayed.
type parked struct {
	agent string
	pull  *wire.Pull
	until time.Time
}

// flow holds the waiting tasks of one Flow and their reservations.
type flow struct {
	name     Flow
	jobs     []*waitingJob
	byJob    map[*job.Job]*waitingJob
	count    int
	reserved int
	// announcedAt is when the flow last got its first waiting task, or when its tasks were
	// last announced beyond the reservations.
	announcedAt time.Time
	// repeatedAt is when free agents were last notified again.
	repeatedAt time.Time
	parked     []parked
}

// oldestWaitMicros returns how long the oldest waiting task has waited.
func (f *flow) oldestWaitMicros(now time.Time) uint64 {
	if len(f.jobs) == 0 {
		return 0
	}
	return uint64(max(0, now.Sub(f.jobs[0].offeredAt).Microseconds()))
}

// Option configures a Dispatch.
type Option func(*Dispatch)

// WithBaseline puts all tasks into one flow, first come first served, and ejects no agent
// on its health. It is the baseline for experiments.
func WithBaseline() Option {
	return func(d *Dispatch) { d.baseline = true }
}

// Dispatch hands out the tasks that wait at one entry. It is not safe for concurrent use.
type Dispatch struct {
	host   Host
	random *rand.Rand
	flows  map[Flow]*flow
	// flowOrder lists the flows in the order of their creation, so that the same input
	// gives the same messages.
	flowOrder []*flow
	agents    map[string]*agent
	agentList []*agent
	wasted    Wasted
	baseline  bool
	health    *health.Health
}

// New returns a Dispatch without agents. The seed determines the order of agents with equal
// free capacity.
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

// WaitingIn returns the number of waiting tasks of a kind and team.
func (d *Dispatch) WaitingIn(kind, team string) int {
	if f, known := d.flows[Flow{Kind: kind, Team: team}]; known {
		return f.count
	}
	return 0
}

// WaitingTeams returns the teams that have waiting tasks of a kind.
func (d *Dispatch) WaitingTeams(kind string) []string {
	var teams []string
	for _, f := range d.flowOrder {
		if f.name.Kind == kind && f.count > 0 {
			teams = append(teams, f.name.Team)
		}
	}
	return teams
}

// Waiting returns the number of waiting tasks of a kind.
func (d *Dispatch) Waiting(kind string) int {
	total := 0
	for name, f := range d.flows {
		if name.Kind == kind {
			total += f.count
		}
	}
	return total
}

// Offer adds a job with waiting tasks, or updates the number of its waiting tasks.
func (d *Dispatch) Offer(slot uint32, j *job.Job) {
	f := d.getOrAddFlow(d.flowOf(j))
	w, known := f.byJob[j]
	if !known {
		w = &waitingJob{slot: slot, job: j, offeredAt: d.host.Now()}
		f.byJob[j] = w
		f.jobs = append(f.jobs, w)
		j.SetInDispatch(true)
	}
	if f.count == 0 {
		f.announcedAt = d.host.Now()
		f.repeatedAt = f.announcedAt
	}
	d.updateCount(f, w)
	d.serveParked(f)
	d.reserve(f)
}

func (d *Dispatch) getOrAddFlow(name Flow) *flow {
	f, known := d.flows[name]
	if !known {
		f = &flow{name: name, byJob: map[*job.Job]*waitingJob{}}
		d.flows[name] = f
		d.flowOrder = append(d.flowOrder, f)
	}
	return f
}

// updateCount brings the flow's count up to date with a job and removes the job once none
// of its tasks wait.
func (d *Dispatch) updateCount(f *flow, w *waitingJob) {
	waiting := w.job.Waiting()
	f.count += waiting - w.counted
	w.counted = waiting
	if waiting > 0 {
		return
	}
	delete(f.byJob, w.job)
	f.jobs = slices.DeleteFunc(f.jobs, func(x *waitingJob) bool { return x == w })
	w.job.SetInDispatch(false)
}

// Withdraw removes a job that has ended.
func (d *Dispatch) Withdraw(j *job.Job) {
	f := d.flows[d.flowOf(j)]
	if f == nil {
		return
	}
	w, known := f.byJob[j]
	if !known {
		return
	}
	f.count -= w.counted
	delete(f.byJob, j)
	f.jobs = slices.DeleteFunc(f.jobs, func(x *waitingJob) bool { return x == w })
	j.SetInDispatch(false)
}

// Pull handles an agent's request for tasks of a flow. The answer is delayed if tasks wait
// but none can be handed out yet.
func (d *Dispatch) Pull(name string, p *wire.Pull) {
	a, known := d.agents[name]
	if !known {
		return
	}
	f := d.getOrAddFlow(Flow{Kind: p.GetKind(), Team: p.GetTeam()})
	d.consumeReservation(a, f, int(p.GetCount()))
	if !a.usable() {
		d.answerPull(a, f, p, nil)
		return
	}
	if a.probing {
		p.Count = min(p.GetCount(), 1)
	}
	tasks := d.takeTasks(a, f, p)
	if a.probing && len(tasks) > 0 {
		a.probing = false
	}
	if len(tasks) == 0 && f.count > 0 {
		f.parked = append(f.parked, parked{agent: name, pull: p, until: d.host.Now().Add(parkTimeout)})
		return
	}
	d.answerPull(a, f, p, tasks)
}

// takeTasks hands out tasks of the flow for a pull, first come first served.
func (d *Dispatch) takeTasks(a *agent, f *flow, p *wire.Pull) []*wire.TaskStart {
	count := int(p.GetCount())
	var tasks []*wire.TaskStart
	scanned := 0
	for i := 0; i < len(f.jobs) && len(tasks) < count && scanned < maxScannedJobs; scanned++ {
		w := f.jobs[i]
		if w.job.StartsAllowed() && !w.job.HasAgent(a.name) {
			d.host.RegisterAgent(w.slot, w.job, a.name)
		}
		indexes := w.job.Assign(a.name, p.GetId(), count-len(tasks))
		for _, index := range indexes {
			tasks = append(tasks, d.taskStart(w, index))
			a.running[taskKey{job: w.job.Name(), index: index}] = taskRun{kind: w.job.Kind(), since: d.host.Now()}
		}
		if len(indexes) > 0 {
			d.host.Started(w.job, len(indexes))
		}
		d.updateCount(f, w)
		if i < len(f.jobs) && f.jobs[i] == w {
			i++
		}
	}
	return tasks
}

func (d *Dispatch) taskStart(w *waitingJob, index uint32) *wire.TaskStart {
	return &wire.TaskStart{
		Slot:      w.slot,
		Epoch:     d.host.Epoch(w.slot),
		Job:       w.job.Name(),
		Index:     index,
		Payload:   w.job.Payload(index),
		Kind:      w.job.Kind(),
		TimeoutMs: d.host.TaskTimeout(w.job.Kind()).Milliseconds(),
	}
}

// answerPull sends the answer to a pull and the number of tasks that still wait.
func (d *Dispatch) answerPull(a *agent, f *flow, p *wire.Pull, tasks []*wire.TaskStart) {
	remaining := 0
	if a.usable() {
		remaining = max(0, f.count-f.reserved+a.reserved[f.name])
	}
	a.announced[f.name] = remaining
	if len(tasks) == 0 {
		d.wasted.Empty += 2
	}
	a.free = max(0, a.free-len(tasks))
	if len(tasks) > 0 {
		d.revokeAnnouncements(f)
	}
	d.host.Send(a.name, &wire.EntryFrame{Body: &wire.EntryFrame_Start{Start: &wire.Start{
		Pull:      p.GetId(),
		Remaining: uint32(remaining),
		Tasks:     tasks,
		OldestUs:  f.oldestWaitMicros(d.host.Now()),
	}}})
}

// serveParked answers parked pulls in order, as far as tasks can be handed out.
func (d *Dispatch) serveParked(f *flow) {
	waiting := f.parked
	f.parked = nil
	for i, p := range waiting {
		a, known := d.agents[p.agent]
		if !known {
			continue
		}
		tasks := d.takeTasks(a, f, p.pull)
		if len(tasks) == 0 && f.count > 0 {
			f.parked = append(f.parked, waiting[i:]...)
			return
		}
		d.answerPull(a, f, p.pull, tasks)
	}
}

// Tick starts probes that are due, answers expired parked pulls, and announces tasks more
// widely that were not pulled within the reservation timeout.
func (d *Dispatch) Tick(now time.Time) {
	for _, a := range d.agentList {
		if a.ejected && !a.probing && d.health.StartProbe(a.name, now) {
			d.applyVerdict(a.name, health.Probe)
		}
	}
	for _, f := range d.flowOrder {
		d.expireParked(f, now)
		if f.count > 0 && now.Sub(f.announcedAt) > reservationTimeout {
			f.announcedAt = now
			d.announceToFree(f, now)
			d.announce(f, f.count)
		}
	}
	d.flowOrder = slices.DeleteFunc(d.flowOrder, d.closeIfEmpty)
}

// closeIfEmpty removes a flow without jobs, parked pulls and reservations, and reports
// whether it did.
func (d *Dispatch) closeIfEmpty(f *flow) bool {
	if f.count > 0 || len(f.parked) > 0 || len(f.jobs) > 0 || f.reserved != 0 {
		return false
	}
	delete(d.flows, f.name)
	return true
}

// expireParked answers the parked pulls whose time is up.
func (d *Dispatch) expireParked(f *flow, now time.Time) {
	kept := f.parked[:0]
	for _, p := range f.parked {
		if now.Before(p.until) {
			kept = append(kept, p)
			continue
		}
		if a, known := d.agents[p.agent]; known {
			d.answerPull(a, f, p.pull, nil)
			// Count the agent as not informed, so that it is notified again.
			a.announced[f.name] = 0
		}
	}
	f.parked = kept
}

// Idle reports whether there are no flows, so that Tick has no tasks or parked pulls to
// handle.
func (d *Dispatch) Idle() bool { return len(d.flows) == 0 }

// Wasted counts messages that led to no task start, by cause.
type Wasted struct {
	// Empty counts pulls that found no task, and their answers.
	Empty uint64
	// Busy counts released reservations and their answers, such as at agents that had no
	// free task slot.
	Busy uint64
	// Recalled counts announcements that were revoked.
	Recalled uint64
}

// Wasted returns the messages so far that led to no task start.
func (d *Dispatch) Wasted() Wasted { return d.wasted }
