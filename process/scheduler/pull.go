package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// settledAfter is how long after its offer a waiting task may be asked back: word of
	// its start takes up to a sidecar's tick.
	settledAfter = 15 * time.Millisecond
	// moveTime is what it takes to ask a task back and offer it elsewhere.
	moveTime = 4 * time.Millisecond
)

// pull asks tasks back that wait elsewhere for an agent that has just told of room for
// them. It answers a load near what the endpoints can do: tasks wait behind long ones
// at one endpoint while another has run empty. The tasks that have to start soonest come
// first, as many as there is room for.
func (s *Scheduler) pull(agent string) {
	if len(s.waiting) == 0 {
		return
	}
	now := s.host.Now()
	room, usable := s.fleet.Candidate(agent, now)
	if !usable || room.Free.CPU <= 0 {
		return
	}
	for _, p := range s.waitingElsewhere(agent, now) {
		step, _ := p.job.work.Task(p.number)
		r := p.job.request(step, s.expect(p.job, step), s.slack(p.job, p.expected))
		sooner := room.Takes(r.Size, r.Slack) && room.Run(r)+moveTime < p.remaining(now)
		if r.Spread > 0 || !room.Allows(r) || !sooner && !room.InTime(r) {
			continue
		}
		room.Add(r.Size, r.Slack, p.expected)
		p.recalled = true
		s.host.LogDecision("CH1034 task withdrawn", p.job.work.ID(), "agent", p.agent, "task", p.number, "since", now.Sub(p.sentAt), "foretold", p.wait, "room", agent)
		s.host.Withdraw(p.agent, p.ref)
	}
}

// remaining is the expected time until the task has ended where it waits. One that waits for
// longer than foretold is taken to wait for as long again.
func (p *placed) remaining(now time.Time) time.Duration {
	over := now.Sub(p.sentAt) - p.wait
	return max(over, -over) + p.expected
}

// waitingElsewhere returns the tasks that wait at other agents, the one that has to start soonest
// first.
func (s *Scheduler) waitingElsewhere(agent string, now time.Time) []*placed {
	service := s.fleet.Service(agent)
	var list []*placed
	for _, p := range s.waiting {
		if !p.recalled && p.agent != agent && p.job.queue.Service == service && now.Before(p.job.deadline) && now.Sub(p.sentAt) >= settledAfter {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *placed) int {
		return cmp.Or(cmp.Compare(s.slack(a.job, a.expected), s.slack(b.job, b.expected)), cmp.Compare(a.ref, b.ref))
	})
	return list
}
