package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/wire"
)

// choose plans endpoints for the job's ready tasks; false where one fits nowhere.
func (s *Scheduler) choose(j *job) (p plan, fits bool) {
	now := s.host.Now()
	s.candidates = s.fleet.Candidates(j.queue.Service, now, s.candidates[:0])
	ready := j.progress.Ready()
	requests := make([]placement.Request, 0, len(ready))
	last := -1
	var r placement.Request
	for _, number := range ready {
		if step, _ := j.work.Task(number); step != last {
			last = step
			s.countTaken(j, step, j.work.Steps()[step].Spread)
			expected := s.expect(j, step)
			r = j.request(step, expected, s.slack(j, expected))
		}
		if len(requests) == 0 || r.Slack < p.slack {
			p.slack = r.Slack
		}
		r.Number, r.Avoid = number, j.progress.FailedAt(number)
		requests = append(requests, r)
	}
	p.backlog = placement.Backlog(s.candidates)
	p.choices, fits = placement.Choose(requests, s.candidates)
	return p, fits
}

// request is what a task of a step needs of an endpoint.
func (j *job) request(step int, expected, slack time.Duration) placement.Request {
	spec := j.work.Steps()[step]
	return placement.Request{
		Size: spec.Size, Slack: slack, Expected: expected, Label: spec.Label, Near: spec.Near, Spread: spec.Spread,
	}
}

func (s *Scheduler) countTaken(j *job, step, spread int) {
	for i := range s.candidates {
		s.candidates[i].Taken = 0
		if spread > 0 {
			s.candidates[i].Taken = j.progress.On(step, s.candidates[i].Name)
		}
	}
}

// send offers chosen tasks to their agents, those of one agent together.
func (s *Scheduler) send(j *job, choices []placement.Choice) {
	now := s.host.Now()
	slices.SortStableFunc(choices, func(a, b placement.Choice) int { return cmp.Compare(a.Agent, b.Agent) })
	for len(choices) > 0 {
		agent := choices[0].Agent
		count := slices.IndexFunc(choices, func(c placement.Choice) bool { return c.Agent != agent })
		if count < 0 {
			count = len(choices)
		}
		s.offer(j, agent, choices[:count], now)
		choices = choices[count:]
	}
}

func (s *Scheduler) offer(j *job, agent string, choices []placement.Choice, now time.Time) {
	offer := &wire.Offer{
		Job: j.work.ID(), Payload: j.work.Payload(), Urgency: uint32(max(0, j.queue.Urgency)),
	}
	offer.AtOnce = !slices.ContainsFunc(choices, func(c placement.Choice) bool {
		return c.Wait > 0 || j.bounced[c.Number] >= mostBounces
	})
	slowness := s.fleet.Slowness(agent, now)
	for _, c := range choices {
		step, index := j.work.Task(c.Number)
		spec := j.work.Steps()[step]
		expected := s.expect(j, step)
		run := j.progress.Place(c.Number, agent)
		s.lastRef++
		p := &placed{
			job: j, number: c.Number, agent: agent, ref: s.lastRef, sentAt: now, wait: c.Wait, atOnce: offer.GetAtOnce(),
			expected: time.Duration(float64(expected) * slowness),
		}
		s.refs[p.ref] = p
		j.placed[c.Number] = p
		if !p.atOnce {
			s.waiting[p.ref] = p
		}
		offer.Tasks = append(offer.Tasks, &wire.OfferedTask{
			Ref: p.ref, Step: uint32(step), Index: uint32(index), Run: j.firstRun + uint64(run),
			ExpectedMs: uint32(expected.Milliseconds()),
			Size:       spec.Size.Wire(),
		})
		within := s.useful(j).Sub(now) - p.expected
		offer.OnTimeWithinMs = s.slack(j, p.expected).Milliseconds()
		offer.StartWithinMs = uint32(max(1, within.Milliseconds()))
	}
	number, sent := s.host.Send(agent, offer)
	s.host.LogDecision("CH1027 tasks offered", j.work.ID(), "agent", agent, "tasks", len(choices), "sent", sent, "wait", choices[0].Wait,
		"heard", s.fleet.Age(agent, now), "slowness", slowness, "first", offer.GetTasks()[0].GetIndex())
	for _, c := range choices {
		if !sent {
			s.takeBack(j.placed[c.Number])
			j.parked = true
			continue
		}
		step, _ := j.work.Task(c.Number)
		s.fleet.Sent(agent, number, s.slack(j, s.expect(j, step)), j.work.Steps()[step].Size, s.expect(j, step))
	}
}

// slack is the time that is left for a start after which the job is still on time.
func (s *Scheduler) slack(j *job, run time.Duration) time.Duration {
	return j.begun.Add(j.objective - run - onTimeMargin).Sub(s.host.Now())
}
