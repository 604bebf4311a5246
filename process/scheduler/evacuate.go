package scheduler

import "time"

// surelyLonger times the time that is left a task has to need, to be moved from an endpoint
// that leaves: what it has done is lost then, and forecasts are off by some 30 %.
const surelyLonger = 1.5

// evacuate moves tasks that cannot end before their endpoint leaves, at once and not when it
// is gone. It answers endpoints that are taken away under long tasks.
func (s *Scheduler) evacuate(agent string, stays time.Duration) {
	now := s.host.Now()
	s.each(func(p *placed) {
		if p.agent != agent || p.recalled || p.started.IsZero() || !now.Before(p.job.deadline) {
			return
		}
		step, _ := p.job.work.Task(p.number)
		run := p.expected + p.job.more[step]
		rest := run - now.Sub(p.started)
		if float64(rest) < surelyLonger*float64(stays) || now.Add(stopTime+run).After(s.useful(p.job)) {
			return
		}
		p.recalled = true
		s.host.LogDecision("CH1037 task moved from an endpoint that leaves", p.job.work.ID(), "agent", agent, "task", p.number, "rest", rest, "stays", stays)
		s.host.Cancel(agent, p.ref)
	})
}
