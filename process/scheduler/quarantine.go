package scheduler

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/crash"
	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/process/quarantine"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// quarantinedReason and quarantinedDetail describe the refusal of a job whose queue is
	// quarantined while none of the endpoints set aside for it is up.
	quarantinedReason = "quarantined"
	quarantinedDetail = "tasks of the queue crash endpoints, and those set aside for it are down"
	// endpointRestartTime is the time after which an endpoint that has crashed is usually back.
	endpointRestartTime = 3 * time.Second
)

// lostAgent is what this dispatcher knew of an agent whose sidecar has started anew: the
// incarnation of its endpoint and the runs that may have been there.
type lostAgent struct {
	born int64
	runs []crash.Run
}

// quarantineOf returns the quarantine of a service.
func (s *Scheduler) quarantineOf(service string) *quarantine.Quarantine {
	q, known := s.quarantines[service]
	if !known {
		q = quarantine.New()
		s.quarantines[service] = q
	}
	return q
}

// HandleCrashes applies crashes of endpoints that an agent or another dispatcher has
// reported, and reports whether any of them was new.
func (s *Scheduler) HandleCrashes(list []*wire.Crash) (changed bool) {
	for _, m := range list {
		changed = s.observeCrash(crash.FromWire(m, s.host.Now())) || changed
	}
	return changed
}

func (s *Scheduler) observeCrash(r crash.Record) bool {
	now := s.host.Now()
	if !s.crashes.Add(r, now) {
		return false
	}
	suspect, blame := r.PrimeSuspect()
	s.host.LogDecision("CH1042 endpoint crash learned", "", "agent", r.Agent, "born", r.BornMS, "runs", len(r.Runs), "suspect", suspect, "blame", blame, "inferred", r.Inferred)
	if queue := s.quarantineOf(r.Service).ObserveCrash(r, now); queue != "" {
		s.beginQuarantine(r.Service, queue, "crashes")
	}
	return true
}

func (s *Scheduler) beginQuarantine(service, queue, source string) {
	cell := s.quarantineOf(service).Cell(queue, s.knownAgents(service, nil), 0)
	s.host.LogDecision("CH1043 queue quarantined", "", "queue", queue, "service", service, "endpoints", cell, "source", source)
	s.withdrawMisplaced(service)
}

// AdoptQuarantines applies the quarantines of another dispatcher: one that has just started
// has not seen the crashes that they follow from.
func (s *Scheduler) AdoptQuarantines(list []*wire.Quarantine) {
	for _, m := range list {
		if s.quarantineOf(m.GetService()).Adopt(m.GetQueue(), m.GetShare(), s.host.Now()) {
			s.beginQuarantine(m.GetService(), m.GetQueue(), "dispatcher")
		}
	}
}

// Quarantines returns the quarantined queues.
func (s *Scheduler) Quarantines() []*wire.Quarantine {
	var list []*wire.Quarantine
	for service, q := range s.quarantines {
		for _, queue := range q.Queues() {
			list = append(list, &wire.Quarantine{Service: service, Queue: queue, Share: q.Share(queue)})
		}
	}
	return list
}

// withdrawMisplaced withdraws the waiting tasks that a quarantine does not allow where they are.
func (s *Scheduler) withdrawMisplaced(service string) {
	s.forEachPlaced(func(p *placedTask) {
		if p.job.queue.Service == service && p.startedAt.IsZero() && !p.revoking && !s.mayUse(p.job, p.agent) {
			p.revoking = true
			s.host.Withdraw(p.agent, p.ref)
		}
	})
}

// knownAgents returns the agents of a service, also those whose endpoints are down: they keep
// their places in a quarantine, so that a queue does not go on to others. If a job is given,
// those are left out that can never take its ready tasks.
func (s *Scheduler) knownAgents(service string, j *job) []string {
	var names []string
	for _, c := range s.fleet.Known(service, s.host.Now()) {
		if j == nil || s.canEverTake(c, j) {
			names = append(names, c.Name)
		}
	}
	return names
}

// confinement returns the agents that a job may use because of a quarantine; confined is false
// if it may use all that are not set aside. A job is confined if its queue is quarantined or,
// while no queue is, if a ready task is suspected of a crash.
func (s *Scheduler) confinement(j *job) (cell []string, confined bool) {
	q := s.quarantineOf(j.queue.Service)
	switch {
	case q.Contains(j.queue.Name):
		return q.Cell(j.queue.Name, s.knownAgents(j.queue.Service, j), j.minEndpoints()), true
	case len(q.Queues()) > 0 || s.crashes.Empty():
		return nil, false
	case slices.ContainsFunc(j.progress.Ready(), func(number int) bool {
		return quarantine.Suspicious(s.crashes.MaxBlame(j.crashTask(number)))
	}):
		return quarantine.SuspectCell(j.queue.Name, s.knownAgents(j.queue.Service, j), j.minEndpoints()), true
	}
	return nil, false
}

// canEverTake reports whether the endpoint can take each ready task of the job.
func (s *Scheduler) canEverTake(c placement.Candidate, j *job) bool {
	return !slices.ContainsFunc(j.progress.Ready(), func(number int) bool {
		step, _ := j.work.StepAndIndex(number)
		return !c.Eligible(j.placementRequest(step, 0, 0))
	})
}

// minEndpoints returns the least number of endpoints over which a step's tasks are spread.
func (j *job) minEndpoints() int {
	least := 1
	for _, step := range j.work.Steps() {
		if step.MaxPerEndpoint > 0 {
			least = max(least, (step.Count+step.MaxPerEndpoint-1)/step.MaxPerEndpoint)
		}
	}
	return least
}

// separate removes the candidates that the job must not use because of a quarantine. A job
// that is not confined uses endpoints that are set aside only if no other can ever take it.
func (s *Scheduler) separate(j *job, candidates []placement.Candidate) []placement.Candidate {
	if cell, confined := s.confinement(j); confined {
		return slices.DeleteFunc(candidates, func(c placement.Candidate) bool { return !slices.Contains(cell, c.Name) })
	}
	q := s.quarantineOf(j.queue.Service)
	if len(q.Queues()) == 0 {
		return candidates
	}
	aside := q.Aside(s.knownAgents(j.queue.Service, nil))
	usable := func(c placement.Candidate) bool { return !slices.Contains(aside, c.Name) && s.canEverTake(c, j) }
	if !slices.ContainsFunc(candidates, usable) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c placement.Candidate) bool { return slices.Contains(aside, c.Name) })
}

// mayUse reports whether the quarantine allows the job's waiting tasks at an agent.
func (s *Scheduler) mayUse(j *job, agent string) bool {
	if cell, confined := s.confinement(j); confined {
		return slices.Contains(cell, agent)
	}
	q := s.quarantineOf(j.queue.Service)
	return len(q.Queues()) == 0 || !slices.Contains(q.Aside(s.knownAgents(j.queue.Service, nil)), agent)
}

// crashTask returns the name under which a task is known in records of crashes.
func (j *job) crashTask(number int) crash.Task {
	step, index := j.work.StepAndIndex(number)
	return crash.Task{Job: j.work.ID(), Step: step, Index: index}
}

// giveUpHarmful ends a job as failed if one of its ready tasks must not be started again, and
// reports whether it did.
func (s *Scheduler) giveUpHarmful(j *job) bool {
	if s.crashes.Empty() {
		return false
	}
	for _, number := range j.progress.Ready() {
		if t := j.crashTask(number); s.crashes.Harmful(t) {
			s.host.LogDecision("CH1044 task given up", j.work.ID(), "task", number, "crashes", s.crashes.Crashes(t))
			s.finish(j, answer.New(outcome.Failed, "task-crashes-endpoints", "endpoints have crashed under a task of the job"))
			return true
		}
	}
	return false
}

// noteLostAgent keeps what may have run at an agent whose sidecar has started anew without a
// task of this dispatcher. If the endpoint has crashed meanwhile, no other process may know.
func (s *Scheduler) noteLostAgent(agent string, born int64, p *placedTask) {
	if born == 0 || p.startedAt.IsZero() {
		return
	}
	l := s.lostAgents[agent]
	if l.born != born {
		l = lostAgent{born: born}
	}
	l.runs = append(l.runs, crash.Run{Task: p.job.crashTask(p.number), Queue: p.job.queue.Name})
	s.lostAgents[agent] = l
}

// inferCrash records a crash of an agent's endpoint if another incarnation has followed the
// one that ran the lost tasks.
func (s *Scheduler) inferCrash(agent string, born int64) {
	l, lost := s.lostAgents[agent]
	if !lost || born == 0 {
		return
	}
	delete(s.lostAgents, agent)
	if l.born != born {
		s.observeCrash(crash.Record{ID: crash.ID{Agent: agent, BornMS: l.born}, Service: s.fleet.Service(agent), At: s.host.Now(), Runs: l.runs, Inferred: true})
	}
}

// inferOldAgentCrash counts the loss of a task as a crash if its agent is too old to report
// crashes: nothing else would end a task that crashes the endpoints of such agents. While the
// endpoint accepts tasks, it has only refused the start.
func (s *Scheduler) inferOldAgentCrash(p *placedTask) {
	if p.revoking || p.startedAt.IsZero() || s.fleet.Born(p.agent) != 0 || s.fleet.Accepting(p.agent) {
		return
	}
	s.observeCrash(crash.Record{
		ID: crash.ID{Agent: p.agent, BornMS: -int64(p.ref)}, Service: p.job.queue.Service, At: s.host.Now(), Inferred: true,
		Runs: []crash.Run{{Task: p.job.crashTask(p.number), Queue: p.job.queue.Name}},
	})
}

// tickQuarantines releases the queues whose endpoints have been up without a crash.
func (s *Scheduler) tickQuarantines() {
	now := s.host.Now()
	for service, q := range s.quarantines {
		if len(q.Queues()) == 0 {
			continue
		}
		agents := s.knownAgents(service, nil)
		for _, queue := range q.Queues() {
			up := slices.ContainsFunc(q.Cell(queue, agents, 0), func(agent string) bool { return s.fleet.Usable(agent, now) })
			if up && q.ObserveQuiet(queue, TickInterval, now) {
				s.logRelease(queue)
			}
		}
	}
}

func (s *Scheduler) logRelease(queue string) {
	s.host.LogDecision("CH1045 queue released", "", "queue", queue)
}
