package scheduler

import (
	"time"

	"github.com/corianderhook/corianderhook/process/health"
	"github.com/corianderhook/corianderhook/process/speed"
)

// recordRun updates the health of the endpoint with a finished run and, if it succeeded, the
// job's objective and run times.
func (s *Scheduler) recordRun(p *placedTask, failed bool, ran time.Duration) {
	step, _ := p.job.work.StepAndIndex(p.number)
	expected := s.forecastRun(p.job, step)
	ratio := float64(ran) / float64(max(expected, time.Millisecond))
	now := s.host.Now()
	verdict := s.fleet.Health().Observe(health.Observation{
		Agent: p.agent, Kind: p.job.queue.Name, Job: p.job.work.ID(), Index: uint32(p.number), Failed: failed, Cost: ratio,
	}, now)
	if verdict != health.Keep {
		s.host.LogDecision("CH1041 agent health verdict", p.job.work.ID(), "agent", p.agent, "verdict", verdict, "failed", failed, "ran", ran, "expected", expected)
	}
	if !failed {
		s.extendObjective(p.job, step, time.Duration(float64(ran)/s.fleet.Slowness(p.agent, now)))
		p.job.runs[step] = append(p.job.runs[step], speed.Run{Agent: p.agent, Duration: ran})
	}
}

// extendObjective raises the job's objective if a task of a step ran for longer than
// expected, at the speed of an ordinary endpoint: the other tasks of the step are likely to
// take as long.
func (s *Scheduler) extendObjective(j *job, step int, ran time.Duration) {
	overrun := ran - s.forecastRun(j, step)
	if overrun <= j.overrun[step] {
		return
	}
	j.objective += time.Duration(j.queue.Stretch * float64(overrun-j.overrun[step]))
	j.overrun[step] = overrun
}

// recordCompletedJob feeds the run times of a completed job into the forecast. The budget of
// a caller that may have tried to connect before this dispatcher started is left out: part
// of it was spent before the job arrived.
func (s *Scheduler) recordCompletedJob(j *job) {
	now := s.host.Now()
	predictiveBudget := j.predictiveBudget
	if j.submittedAt.Sub(s.startedAt) < reconnectWindow {
		predictiveBudget = 0
	}
	for step, runs := range j.runs {
		if len(runs) > 0 {
			s.forecast.Observe(j.queue.Name, j.work.Steps()[step].Estimate, predictiveBudget, s.fleet.Speeds().ObserveJob(runs, now))
		}
	}
}

// recordOverdue counts an overdue task against the speed and health of its endpoint.
func (s *Scheduler) recordOverdue(p *placedTask, now time.Time) {
	ran := now.Sub(p.started)
	s.fleet.Speeds().ObserveOverdue(p.agent, float64(ran)/float64(max(p.expectedRun, time.Millisecond)), now)
	step, _ := p.job.work.StepAndIndex(p.number)
	s.fleet.Health().Observe(health.Observation{
		Agent: p.agent, Kind: p.job.queue.Name, Job: p.job.work.ID(), Index: uint32(p.number),
		Cost: float64(ran) / float64(max(s.forecastRun(p.job, step), time.Millisecond)),
	}, now)
}
