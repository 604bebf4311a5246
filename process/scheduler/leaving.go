package scheduler

import "time"

// leavingFactor times the time left at a leaving endpoint is the remaining run time from
// which a task is moved: a move loses the work done so far, and forecasts of run times are off
// by some 30 %.
const leavingFactor = 1.5

// moveOffLeaving stops the tasks of a leaving endpoint that cannot end within timeLeft, if a new
// run would still be useful. They are placed elsewhere before the endpoint has gone.
func (s *Scheduler) moveOffLeaving(agent string, timeLeft time.Duration) {
	now := s.host.Now()
	s.forEachPlaced(func(p *placedTask) {
		if p.agent != agent || p.revoking || p.startedAt.IsZero() || !now.Before(p.job.deadline) {
			return
		}
		step, _ := p.job.work.StepAndIndex(p.number)
		run := p.expectedRun + p.job.overrun[step]
		remaining := run - now.Sub(p.startedAt)
		if float64(remaining) < leavingFactor*float64(timeLeft) || now.Add(stopLatency+run).After(s.usefulUntil(p.job)) {
			return
		}
		p.revoking = true
		s.host.LogDecision("CH1037 task moved off a leaving endpoint", p.job.work.ID(), "agent", agent, "task", p.number, "rest", remaining, "stays", timeLeft)
		s.host.Cancel(agent, p.ref)
	})
}
