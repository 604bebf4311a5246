package scheduler

import (
	"sort"
	"time"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// overdueFactor times the expected run time, and overdueLeast, a task is left
	// alone; a later one is stopped and tried elsewhere.
	overdueFactor = 4
	overdueLeast  = 200 * time.Millisecond
	// alikeFactor times longer a task is left alone while another task of its job runs for
	// as long elsewhere: the job is long, or two endpoints stand still.
	alikeFactor = 3
	// mostDoublings bounds how often a stop doubles the time.
	mostDoublings = 4
	// stopTime is what a stop takes until the task is known to be gone.
	stopTime = 80 * time.Millisecond
)

// Attached takes the hello of an agent: tasks that it does not hold are ready again.
// What the agent says with it counts first.
func (s *Scheduler) AttachAgent(agent, zone string, held []uint64, first *wire.SidecarFrame) {
	s.fleet.Attach(agent, zone, s.host.Now())
	// Tasks that what it says has placed anew are on the new session.
	last := s.lastRef
	s.HandleFrame(agent, first)
	holds := make(map[uint64]bool, len(held))
	for _, ref := range held {
		holds[ref] = true
		if _, known := s.refs[ref]; !known {
			s.host.Cancel(agent, ref)
		}
	}
	s.each(func(p *placed) {
		if p.agent == agent && p.ref <= last && !holds[p.ref] {
			s.host.LogDecision("CH1031 task not held", p.job.work.ID(), "agent", agent, "task", p.number)
			// It may have run: word of its start can be lost.
			p.job.progress.Start()
			s.again(p, "the agent does not hold it")
		}
	})
}

// Detached notes that an agent's session has ended. Its tasks may still run.
func (s *Scheduler) DetachAgent(agent string) { s.fleet.Detach(agent) }

// Frame takes what an agent says.
func (s *Scheduler) HandleFrame(agent string, f *wire.SidecarFrame) {
	s.fleet.Heard(agent, s.host.Now())
	if e := f.GetEndpoint(); e != nil {
		s.fleet.Endpoint(agent, e)
		if e.GetStaysMs() > 0 {
			s.evacuate(agent, time.Duration(e.GetStaysMs())*time.Millisecond)
		}
	}
	if r := f.GetRoom(); r != nil {
		s.fleet.Room(agent, r, f.GetSeen())
	}
	for _, e := range f.GetEvents() {
		s.event(agent, e)
	}
	if f.GetRoom() != nil {
		s.pull(agent)
	}
}

func (s *Scheduler) event(agent string, e *wire.TaskEvent) {
	p, known := s.refs[e.GetRef()]
	if !known || p.agent != agent {
		return
	}
	ran := time.Duration(e.GetRanMs()) * time.Millisecond
	switch e.GetKind() {
	case wire.TaskEventKind_TASK_EVENT_KIND_STARTED:
		p.job.progress.Start()
		p.started = s.host.Now()
		p.recalled = false
		delete(s.waiting, p.ref)
	case wire.TaskEventKind_TASK_EVENT_KIND_DONE:
		s.observe(p, false, ran)
		s.doneTask(p)
	case wire.TaskEventKind_TASK_EVENT_KIND_FAILED:
		s.observe(p, true, ran)
		p.job.progress.Start()
		p.job.progress.Fail(p.number)
		s.host.LogDecision("CH1032 task failed", p.job.work.ID(), "agent", agent, "task", p.number, "ran", ran, "reason", e.GetReason())
		s.again(p, e.GetReason())
	case wire.TaskEventKind_TASK_EVENT_KIND_LOST:
		p.job.progress.Start()
		s.host.LogDecision("CH1033 task lost", p.job.work.ID(), "agent", agent, "task", p.number, "ran", ran, "reason", e.GetReason())
		s.again(p, e.GetReason())
	case wire.TaskEventKind_TASK_EVENT_KIND_RETURNED, wire.TaskEventKind_TASK_EVENT_KIND_UNSPECIFIED:
		if p.atOnce {
			p.job.bounced[p.number]++
		}
		s.host.LogDecision("CH1036 task returned", p.job.work.ID(), "agent", agent, "task", p.number, "waited", time.Duration(e.GetWaitedMs())*time.Millisecond, "reason", e.GetReason())
		s.again(p, e.GetReason())
	}
}

func (s *Scheduler) doneTask(p *placed) {
	j := p.job
	s.forget(p)
	j.progress.Start()
	j.progress.Done(p.number)
	if j.progress.Complete() {
		s.finish(j, answer.New(outcome.Complete, "complete", "every task ended well"))
		return
	}
	if len(j.placed) == 0 {
		s.next(j, "no endpoint for the next step")
	}
}

// again takes a task back of which no run is left, and places it anew while that
// can be of use.
func (s *Scheduler) again(p *placed, reason string) {
	j := p.job
	s.takeBack(p)
	if s.jobs[j.work.ID()] != j {
		return
	}
	if j.progress.Failed() {
		s.finish(j, answer.New(outcome.Failed, "task-failed", "a task has failed as often as it may: "+reason))
		return
	}
	s.next(j, reason)
}

// next places what is ready of a job that is under way.
func (s *Scheduler) next(j *job, reason string) {
	now := s.host.Now()
	p, fits := s.choose(j)
	switch {
	case !fits && now.Before(s.hopeful(j)):
		// Agents may be back within the caller's time.
		j.parked = true
	case !fits || now.Add(p.ends()).After(s.useful(j)):
		s.giveUp(j, "out-of-time", reason)
	default:
		j.parked = false
		s.send(j, p.choices)
	}
}

// hopeful is the time until which a job waits for endpoints: where nothing has
// started, as long as it can be on time.
func (s *Scheduler) hopeful(j *job) time.Time {
	if j.progress.Started() {
		return s.useful(j)
	}
	return s.host.Now().Add(s.slack(j, s.expect(j, 0)))
}

// each calls a function for every placed task in the order of their references.
func (s *Scheduler) each(visit func(p *placed)) {
	refs := make([]uint64, 0, len(s.refs))
	for ref := range s.refs {
		refs = append(refs, ref)
	}
	sort.Slice(refs, func(i, j int) bool { return refs[i] < refs[j] })
	for _, ref := range refs {
		if p, known := s.refs[ref]; known {
			visit(p)
		}
	}
}

// Tick gives up what is out of time and stops tasks that are stuck.
func (s *Scheduler) Tick() {
	now := s.host.Now()
	for _, j := range s.inOrder() {
		switch {
		case !now.Before(j.deadline):
			s.giveUp(j, "out-of-time", "the caller's time is over")
		case j.parked:
			s.next(j, "no endpoint can take the task")
		}
	}
	s.each(func(p *placed) { s.check(p, now) })
	for len(s.ended) > 0 && now.Sub(s.ended[0].at) > remembered {
		delete(s.done, s.ended[0].id)
		s.ended = s.ended[1:]
	}
	s.fleet.Expire(now)
}

// check stops a task that runs for far longer than foretold.
func (s *Scheduler) check(p *placed, now time.Time) {
	if p.recalled || p.started.IsZero() || !now.Before(p.job.deadline) {
		return
	}
	if now.Sub(p.started) > p.patience() && now.Add(stopTime+p.expected).Before(s.useful(p.job)) {
		p.recalled = true
		p.job.stopped[p.number]++
		s.overdue(p, now)
		s.host.LogDecision("CH1035 task overdue", p.job.work.ID(), "agent", p.agent, "task", p.number, "since", now.Sub(p.started), "expected", p.expected)
		s.host.Cancel(p.agent, p.ref)
	}
}

// patience is how long the task is left alone. A caller who says that it takes long is
// believed by half, whatever the queue's other jobs take; so is a job whose tasks run for
// long at every endpoint. Each stop doubles it: a job that is long would never end.
func (p *placed) patience() time.Duration {
	step, _ := p.job.work.Task(p.number)
	run := max(p.expected, p.job.work.Steps()[step].Estimate/2) + p.job.more[step]
	if len(p.job.runs[step]) == 0 && p.runsAlike() {
		run *= alikeFactor
	}
	return max(overdueFactor*run<<min(p.job.stopped[p.number], mostDoublings), overdueLeast)
}

// runsAlike reports whether another task of the step runs for as long at another endpoint.
func (p *placed) runsAlike() bool {
	step, _ := p.job.work.Task(p.number)
	for _, o := range p.job.placed {
		other, _ := p.job.work.Task(o.number)
		if other == step && o.agent != p.agent && !o.started.IsZero() && !o.started.After(p.started.Add(overdueLeast)) {
			return true
		}
	}
	return false
}

func (s *Scheduler) inOrder() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].work.ID() < list[k].work.ID() })
	return list
}

// StopBy bounds the time of every job that is under way: this process ends then.
func (s *Scheduler) CapDeadlines(at time.Time) {
	for _, j := range s.jobs {
		if j.deadline.After(at) {
			j.deadline = at
		}
	}
}

// Suspended ends every job after this process stood still: their agents have
// stopped them.
func (s *Scheduler) AbortAll(reason string) {
	for _, j := range s.inOrder() {
		s.giveUp(j, "suspended", reason)
	}
}
