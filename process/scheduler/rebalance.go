package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/request/size"
)

const (
	// minWithdrawAge is how long after its offer a queued task may be withdrawn: the event
	// of its start takes up to a sidecar's tick.
	minWithdrawAge = 15 * time.Millisecond
	// moveLatency is the time to withdraw a task and offer it elsewhere.
	moveLatency = 4 * time.Millisecond
)

// rebalanceTo withdraws queued tasks from other agents for one that has just reported free
// capacity. Near full load, tasks would otherwise wait behind long ones at one endpoint while
// another is idle. A task is withdrawn if it starts at once here and either ends sooner than
// in its queue or ends on time. Tasks with the least slack go first, as many as fit.
func (s *Scheduler) rebalanceTo(agent string) {
	if len(s.queued) == 0 {
		return
	}
	now := s.host.Now()
	candidate, usable := s.fleet.Candidate(agent, now)
	if !usable || candidate.Free.CPU <= 0 {
		return
	}
	for _, w := range s.startableElsewhere(candidate, now) {
		p := w.task
		step, _ := p.job.work.StepAndIndex(p.number)
		slack := w.latestStart.Sub(now)
		if !candidate.StartsAtOnce(p.size(), slack) || !s.mayUse(p.job, agent) {
			continue
		}
		r := p.job.placementRequest(step, s.forecastRun(p.job, step), slack)
		endsSooner := candidate.RunTime(r)+moveLatency < p.expectedRemaining(now)
		if r.MaxPerEndpoint > 0 || !candidate.Eligible(r) || !endsSooner && !candidate.MeetsDeadline(r) {
			continue
		}
		candidate.Add(r.Size, r.Slack, p.expectedRun)
		p.revoking = true
		s.host.LogDecision("CH1034 task withdrawn", p.job.work.ID(), "agent", p.agent, "task", p.number, "since", now.Sub(p.offeredAt), "foretold", p.expectedWait, "room", agent)
		s.host.Withdraw(p.agent, p.ref)
	}
}

// expectedRemaining returns the expected time until a queued task has ended. A task that is
// overdue to start is expected to wait for as long again as it is overdue.
func (p *placedTask) expectedRemaining(now time.Time) time.Duration {
	over := now.Sub(p.offeredAt) - p.expectedWait
	return max(over, -over) + p.expectedRun
}

// waitingTask is a task queued at an agent, with the latest start at which its job is on time.
type waitingTask struct {
	task        *placedTask
	latestStart time.Time
}

// startableElsewhere returns the tasks queued at other agents of the same service that may be
// withdrawn and fit into the free capacity of the candidate, ordered by slack. Most reports are of
// endpoints without such capacity, so that these cost little however many tasks wait.
func (s *Scheduler) startableElsewhere(candidate placement.Candidate, now time.Time) []waitingTask {
	service := s.fleet.Service(candidate.Name)
	var list []waitingTask
	for _, p := range s.queued {
		if p.revoking || p.agent == candidate.Name || !p.size().Fits(candidate.Free) || now.Sub(p.offeredAt) < minWithdrawAge {
			continue
		}
		if p.job.queue.Service == service && now.Before(p.job.deadline) {
			list = append(list, waitingTask{task: p, latestStart: p.job.latestStart(p.expectedRun)})
		}
	}
	slices.SortFunc(list, func(a, b waitingTask) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.task.ref, b.task.ref))
	})
	return list
}

// size returns what the task takes of an endpoint's capacity.
func (p *placedTask) size() size.Size {
	step, _ := p.job.work.StepAndIndex(p.number)
	return p.job.work.Steps()[step].Size
}
