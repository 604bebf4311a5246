package scheduler

import (
	"sort"
	"time"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// overdueFactor times the expected run time, but at least minOverdueRun, is how long
	// a task may run before it is stopped and placed elsewhere.
	overdueFactor = 4
	minOverdueRun = 200 * time.Millisecond
	// similarRunFactor multiplies the limit while another task of the step runs for about as
	// long at another endpoint: either the job is long, or two endpoints are stuck.
	similarRunFactor = 3
	// maxLimitDoublings is the number of stops of a task up to which each doubles its limit.
	maxLimitDoublings = 4
	// stopLatency is the time from a stop until the agent confirms that the task has ended.
	stopLatency = 80 * time.Millisecond
)

// AttachAgent handles the hello of an agent. The first frame is applied before the list of
// held tasks: a task that is missing from the list may have ended in that frame. Tasks that
// the agent does not hold become ready again.
func (s *Scheduler) AttachAgent(agent, zone string, held []uint64, first *wire.SidecarFrame) {
	s.fleet.Attach(agent, zone, s.host.Now())
	s.attachNeighbors(agent)
	// Tasks that are placed while the first frame is handled go out on the new session;
	// the agent cannot hold them yet.
	lastBefore := s.lastRef
	born := s.fleet.Born(agent)
	s.HandleFrame(agent, first)
	holds := make(map[uint64]bool, len(held))
	for _, ref := range held {
		holds[ref] = true
		if _, known := s.placedByRef[ref]; !known {
			s.host.Cancel(agent, ref)
		}
	}
	s.forEachPlaced(func(p *placedTask) {
		if p.agent == agent && p.ref <= lastBefore && !holds[p.ref] {
			s.host.LogDecision("CH1031 task not held by its agent", p.job.work.ID(), "agent", agent, "task", p.number)
			// The task may have run: the event of its start can be lost.
			p.job.progress.MarkStarted()
			s.noteLostAgent(agent, born, p)
			s.reschedule(p, "the agent does not hold it")
		}
	})
	s.inferCrash(agent, s.fleet.Born(agent))
}

// DetachAgent records that an agent's session has ended. Its tasks may still run.
func (s *Scheduler) DetachAgent(agent string) {
	s.fleet.Detach(agent)
	delete(s.slownessAtLook, agent)
}

// HandleFrame applies a frame from an agent.
func (s *Scheduler) HandleFrame(agent string, f *wire.SidecarFrame) {
	s.fleet.RecordContact(agent, s.host.Now())
	s.HandleCrashes(f.GetCrashes())
	if e := f.GetEndpoint(); e != nil {
		s.fleet.UpdateEndpoint(agent, e)
		s.inferCrash(agent, e.GetBornMs())
		if e.GetStaysMs() > 0 {
			s.moveOffLeaving(agent, time.Duration(e.GetStaysMs())*time.Millisecond)
		}
	}
	if r := f.GetRoom(); r != nil {
		s.updateRoom(agent, r, f.GetSeen())
	}
	s.learnNeighbors(agent, f)
	for _, e := range f.GetEvents() {
		s.handleEvent(agent, e)
	}
	if f.GetRoom() != nil {
		s.rebalanceTo(agent)
	}
}

func (s *Scheduler) handleEvent(agent string, e *wire.TaskEvent) {
	p, known := s.placedByRef[e.GetRef()]
	if !known || p.agent != agent {
		return
	}
	ran := time.Duration(e.GetRanMs()) * time.Millisecond
	switch e.GetKind() {
	case wire.TaskEventKind_TASK_EVENT_KIND_STARTED:
		p.job.progress.MarkStarted()
		p.startedAt = s.host.Now()
		p.revoking = false
		delete(s.queued, p.ref)
	case wire.TaskEventKind_TASK_EVENT_KIND_DONE:
		s.recordRun(p, false, ran)
		s.completeTask(p)
	case wire.TaskEventKind_TASK_EVENT_KIND_FAILED:
		s.recordRun(p, true, ran)
		p.job.progress.MarkStarted()
		p.job.progress.Fail(p.number)
		s.host.LogDecision("CH1032 task failed", p.job.work.ID(), "agent", agent, "task", p.number, "ran", ran, "reason", e.GetReason())
		s.reschedule(p, e.GetReason())
	case wire.TaskEventKind_TASK_EVENT_KIND_LOST:
		p.job.progress.MarkStarted()
		s.inferOldAgentCrash(p)
		s.host.LogDecision("CH1033 task lost", p.job.work.ID(), "agent", agent, "task", p.number, "ran", ran, "reason", e.GetReason())
		s.reschedule(p, e.GetReason())
	case wire.TaskEventKind_TASK_EVENT_KIND_RETURNED, wire.TaskEventKind_TASK_EVENT_KIND_UNSPECIFIED:
		if p.atOnce {
			p.job.atOnceReturns[p.number]++
		}
		s.host.LogDecision("CH1036 task returned", p.job.work.ID(), "agent", agent, "task", p.number, "waited", time.Duration(e.GetWaitedMs())*time.Millisecond, "reason", e.GetReason())
		s.reschedule(p, e.GetReason())
	}
}

func (s *Scheduler) completeTask(p *placedTask) {
	j := p.job
	s.untrack(p)
	j.progress.MarkStarted()
	j.progress.MarkDone(p.number)
	if j.progress.Complete() {
		s.finish(j, answer.New(outcome.Complete, "complete", "every task ended well"))
		return
	}
	if len(j.placed) == 0 {
		s.placeReadyTasks(j, "no endpoint for the next step")
	}
}

// reschedule makes a task ready again whose run has ended, and places the ready tasks of its
// job unless the job has ended. The job fails if the task has used up its attempts.
func (s *Scheduler) reschedule(p *placedTask, reason string) {
	j := p.job
	s.unplace(p)
	if s.jobs[j.work.ID()] != j {
		return
	}
	if j.progress.Failed() {
		s.finish(j, answer.New(outcome.Failed, "task-failed", "a task has failed as often as it may: "+reason))
		return
	}
	s.placeReadyTasks(j, reason)
}

// placeReadyTasks offers the ready tasks of a job to agents. If no endpoint can take them,
// the job is parked until parkedUntil and then aborted. It is also aborted if it would end too
// late to be useful.
func (s *Scheduler) placeReadyTasks(j *job, reason string) {
	if s.giveUpHarmful(j) {
		return
	}
	now := s.host.Now()
	p, fits := s.makePlan(j)
	switch {
	case !fits && !s.awaitsSessions(j.queue.Service) && s.blockedByEvacuation(j):
		s.endBlocked(j)
	case !fits && now.Before(s.parkedUntil(j)):
		// Agents may attach again in time.
		j.parked = true
	case !fits || now.Add(p.makespan()).After(s.usefulUntil(j)):
		s.abort(j, "out-of-time", reason)
	case j.isAbandoned():
		s.abort(j, "canceled", abandonedDetail)
	default:
		j.parked = false
		s.sendOffers(j, p.choices)
	}
}

// parkedUntil returns the time until which a parked job waits for endpoints. A job without a
// started task waits only while it can still meet its objective.
func (s *Scheduler) parkedUntil(j *job) time.Time {
	if j.progress.Started() {
		return s.usefulUntil(j)
	}
	return s.host.Now().Add(s.slack(j, s.forecastRun(j, 0)))
}

// forEachPlaced calls visit for every placed task in the order of the references, so that
// decisions are deterministic. Visit may remove tasks.
func (s *Scheduler) forEachPlaced(visit func(p *placedTask)) {
	refs := make([]uint64, 0, len(s.placedByRef))
	for ref := range s.placedByRef {
		refs = append(refs, ref)
	}
	sort.Slice(refs, func(i, j int) bool { return refs[i] < refs[j] })
	for _, ref := range refs {
		if p, known := s.placedByRef[ref]; known {
			visit(p)
		}
	}
}

// Tick aborts jobs that are out of time, retries parked ones, stops overdue tasks and drops
// expired records. It has to be called every TickInterval.
func (s *Scheduler) Tick() {
	now := s.host.Now()
	for _, j := range s.sortedJobs() {
		switch {
		case !now.Before(j.deadline):
			s.abort(j, "out-of-time", "the caller's time is over")
		case j.parked:
			s.placeReadyTasks(j, "no endpoint can take the task")
		}
	}
	s.forEachPlaced(func(p *placedTask) { s.stopIfOverdue(p, now) })
	for len(s.completedOrder) > 0 && now.Sub(s.completedOrder[0].completedAt) > completedTTL {
		delete(s.completed, s.completedOrder[0].id)
		s.completedOrder = s.completedOrder[1:]
	}
	s.tickQuarantines()
	s.tickNeighbors()
	s.fleet.Expire(now)
}

// stopIfOverdue stops a task that has run past its limit, if another run could still end in
// time to be useful.
func (s *Scheduler) stopIfOverdue(p *placedTask, now time.Time) {
	if p.revoking || p.startedAt.IsZero() || !now.Before(p.job.deadline) {
		return
	}
	if now.Sub(p.startedAt) > p.overdueLimit() && now.Add(stopLatency+p.expectedRun).Before(s.usefulUntil(p.job)) {
		p.revoking = true
		p.job.overdueStops[p.number]++
		s.recordOverdue(p, now)
		s.host.LogDecision("CH1035 task overdue", p.job.work.ID(), "agent", p.agent, "task", p.number, "since", now.Sub(p.startedAt), "expected", p.expectedRun)
		s.host.Cancel(p.agent, p.ref)
	}
}

// overdueLimit returns how long the task may run: a multiple of its expected run time and of
// the overrun that other tasks of the step have shown. The run time is taken as at least half
// of the caller's estimate, whatever the queue's other jobs take. The limit is higher if no
// task of the step has completed and another runs about as long elsewhere. It doubles with
// each stop, up to maxLimitDoublings: a task that is longer than expected would otherwise be
// stopped for ever.
func (p *placedTask) overdueLimit() time.Duration {
	step, _ := p.job.work.StepAndIndex(p.number)
	run := max(p.expectedRun, p.job.work.Steps()[step].Estimate/2) + p.job.overrun[step]
	if len(p.job.runs[step]) == 0 && p.hasSimilarRun() {
		run *= similarRunFactor
	}
	return max(overdueFactor*run<<min(p.job.overdueStops[p.number], maxLimitDoublings), minOverdueRun)
}

// hasSimilarRun reports whether another task of the step is running at another endpoint and
// has run for at least as long as this one, less minOverdueRun.
func (p *placedTask) hasSimilarRun() bool {
	step, _ := p.job.work.StepAndIndex(p.number)
	for _, o := range p.job.placed {
		other, _ := p.job.work.StepAndIndex(o.number)
		if other == step && o.agent != p.agent && !o.startedAt.IsZero() && !o.startedAt.After(p.startedAt.Add(minOverdueRun)) {
			return true
		}
	}
	return false
}

// sortedJobs returns the running and parked jobs ordered by ID.
func (s *Scheduler) sortedJobs() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].work.ID() < list[k].work.ID() })
	return list
}

// CapDeadlines moves the deadline of every job to the given time, when this process stops,
// unless it is earlier.
func (s *Scheduler) CapDeadlines(at time.Time) {
	for _, j := range s.jobs {
		if j.deadline.After(at) {
			j.deadline = at
		}
	}
}

// AbortAll ends every job after this process was suspended: the agents have stopped the
// tasks meanwhile.
func (s *Scheduler) AbortAll(reason string) {
	for _, j := range s.sortedJobs() {
		s.abort(j, "suspended", reason)
	}
}
