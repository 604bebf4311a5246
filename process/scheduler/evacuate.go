package scheduler

import "time"

// evacuationFactor is how many times the remaining time of a leaving endpoint a task must
// still need before it is moved: a move loses the work done so far, and forecasts of run
// times are off by some 30 %.
const evacuationFactor = 1.5

// evacuate stops the tasks of a leaving endpoint that cannot end within timeLeft, if a new
// run would still be useful: they are placed elsewhere now and not only when the endpoint
// has gone.
func (s *Scheduler) evacuate(agent string, timeLeft time.Duration) {
	now := s.host.Now()
	s.forEachPlaced(func(p *placedTask) {
		if p.agent != agent || p.revoking || p.started.IsZero() || !now.Before(p.job.deadline) {
			return
		}
		step, _ := p.job.work.StepAndIndex(p.number)
		run := p.expectedRun + p.job.overrun[step]
		rest := run - now.Sub(p.started)
		if float64(rest) < evacuationFactor*float64(timeLeft) || now.Add(stopLatency+run).After(s.usefulUntil(p.job)) {
			return
		}
		p.revoking = true
		s.host.LogDecision("CH1037 task moved off a leaving endpoint", p.job.work.ID(), "agent", agent, "task", p.number, "rest", rest, "stays", timeLeft)
		s.host.Cancel(agent, p.ref)
	})
}
