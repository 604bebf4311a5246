package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/wire"
)

// makePlan chooses endpoints for the job's ready tasks. Fits is false if no endpoint can take
// one of them.
func (s *Scheduler) makePlan(j *job) (p plan, fits bool) {
	now := s.host.Now()
	s.candidates = s.separate(j, s.fleet.Candidates(j.queue.Service, now, s.candidates[:0]))
	s.applyNeighbors(j)
	ready := j.progress.Ready()
	requests := make([]placement.Request, 0, len(ready))
	last := -1
	var r placement.Request
	for _, number := range ready {
		if step, _ := j.work.StepAndIndex(number); step != last {
			last = step
			s.countStepTasks(j, step, j.work.Steps()[step].MaxPerEndpoint)
			expected := s.forecastRun(j, step)
			r = j.placementRequest(step, expected, s.slack(j, expected))
		}
		if len(requests) == 0 || r.Slack < p.slack {
			p.slack = r.Slack
		}
		r.Number, r.Avoid = number, j.progress.FailedAt(number)
		requests = append(requests, r)
	}
	p.backlog = placement.BacklogTime(s.candidates)
	p.choices, fits = placement.Choose(requests, s.candidates)
	return p, fits
}

// placementRequest returns the requirements of a task of the step.
func (j *job) placementRequest(step int, expected, slack time.Duration) placement.Request {
	spec := j.work.Steps()[step]
	return placement.Request{
		Size: spec.Size, Slack: slack, Expected: expected, RequiredLabel: spec.RequiredLabel, DataLabel: spec.DataLabel, MaxPerEndpoint: spec.MaxPerEndpoint,
	}
}

// countStepTasks sets how many of the step's tasks each candidate has if the step limits them;
// a limit of 0 means none.
func (s *Scheduler) countStepTasks(j *job, step, limit int) {
	for i := range s.candidates {
		s.candidates[i].StepTasks = 0
		if limit > 0 {
			s.candidates[i].StepTasks = j.progress.TasksOnAgent(step, s.candidates[i].Name)
		}
	}
}

// sendOffers sends one offer to each chosen agent. It reorders choices.
func (s *Scheduler) sendOffers(j *job, choices []placement.Choice) {
	now := s.host.Now()
	slices.SortStableFunc(choices, func(a, b placement.Choice) int { return cmp.Compare(a.Agent, b.Agent) })
	for len(choices) > 0 {
		agent := choices[0].Agent
		count := slices.IndexFunc(choices, func(c placement.Choice) bool { return c.Agent != agent })
		if count < 0 {
			count = len(choices)
		}
		s.sendOffer(j, agent, choices[:count], now)
		choices = choices[count:]
	}
}

// sendOffer offers tasks to one agent. If the agent has no session the tasks become ready
// again and the job is parked.
func (s *Scheduler) sendOffer(j *job, agent string, choices []placement.Choice, now time.Time) {
	offer := &wire.Offer{
		Job: j.work.ID(), Payload: j.work.Payload(), Urgency: uint32(max(0, j.queue.Urgency)),
		Queue: j.queue.Name,
	}
	offer.AtOnce = !slices.ContainsFunc(choices, func(c placement.Choice) bool {
		return c.Wait > 0 || j.atOnceReturns[c.Number] >= maxAtOnceReturns
	})
	slowness := s.fleet.Slowness(agent, now)
	for _, c := range choices {
		step, index := j.work.StepAndIndex(c.Number)
		spec := j.work.Steps()[step]
		expected := s.forecastRun(j, step)
		run := j.progress.Place(c.Number, agent)
		s.lastRef++
		p := &placedTask{
			job: j, number: c.Number, agent: agent, ref: s.lastRef, offeredAt: now, expectedWait: c.Wait, atOnce: offer.GetAtOnce(),
			expectedRun: time.Duration(float64(expected) * slowness),
		}
		s.placedByRef[p.ref] = p
		j.placed[c.Number] = p
		if !p.atOnce {
			s.queued[p.ref] = p
		}
		offer.Tasks = append(offer.Tasks, &wire.OfferedTask{
			Ref: p.ref, Step: uint32(step), Index: uint32(index), Run: j.firstRun + uint64(run),
			ExpectedMs: uint32(expected.Milliseconds()),
			Size:       spec.Size.Wire(),
		})
		within := s.usefulUntil(j).Sub(now) - p.expectedRun
		offer.OnTimeWithinMs = s.slack(j, p.expectedRun).Milliseconds()
		offer.StartWithinMs = uint32(max(1, within.Milliseconds()))
	}
	number, sent := s.host.Send(agent, offer)
	s.host.LogDecision("CH1027 tasks offered", j.work.ID(), "agent", agent, "tasks", len(choices), "sent", sent, "wait", choices[0].Wait,
		"heard", s.fleet.Silence(agent, now), "slowness", slowness, "first", offer.GetTasks()[0].GetIndex())
	for _, c := range choices {
		if !sent {
			s.unplace(j.placed[c.Number])
			j.parked = true
			continue
		}
		step, _ := j.work.StepAndIndex(c.Number)
		s.fleet.RecordSent(agent, number, s.slack(j, s.forecastRun(j, step)), j.work.Steps()[step].Size, s.forecastRun(j, step))
		s.recordNeighbor(agent, number, j)
	}
}

// slack returns how long a task may wait before its start so that the job meets its objective.
func (s *Scheduler) slack(j *job, run time.Duration) time.Duration {
	return j.latestStart(run).Sub(s.host.Now())
}

// latestStart returns the latest start of a task with the given run time at which the job meets its
// objective.
func (j *job) latestStart(run time.Duration) time.Time {
	return j.submittedAt.Add(j.objective - run - onTimeMargin)
}
