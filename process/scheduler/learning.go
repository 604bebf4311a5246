package scheduler

import (
	"time"

	"github.com/corianderhook/corianderhook/process/health"
	"github.com/corianderhook/corianderhook/process/speed"
)

// observe learns from the end of a task.
func (s *Scheduler) observe(p *placed, failed bool, ran time.Duration) {
	step, _ := p.job.work.Task(p.number)
	expected := s.expect(p.job, step)
	ratio := float64(ran) / float64(max(expected, time.Millisecond))
	now := s.host.Now()
	verdict := s.fleet.Health().Observe(health.Observation{
		Agent: p.agent, Kind: p.job.queue.Name, Job: p.job.work.ID(), Index: uint32(p.number), Failed: failed, Seconds: ratio,
	}, now)
	if verdict != health.Keep {
		s.host.LogDecision("CH1041 agent judged", p.job.work.ID(), "agent", p.agent, "verdict", verdict, "failed", failed, "ran", ran, "expected", expected)
	}
	if !failed {
		s.stretch(p.job, step, time.Duration(float64(ran)/s.fleet.Slowness(p.agent, now)))
		p.job.runs[step] = append(p.job.runs[step], speed.Run{Agent: p.agent, Ran: ran})
	}
}

// stretch lets the objective grow where a job's first tasks ran for longer than its
// caller had estimated: the others will, too.
func (s *Scheduler) stretch(j *job, step int, ran time.Duration) {
	more := ran - s.expect(j, step)
	if more <= j.more[step] {
		return
	}
	j.objective += time.Duration(j.queue.Stretch * float64(more-j.more[step]))
	j.more[step] = more
}

// learn takes the run times of a job that has ended well.
func (s *Scheduler) learn(j *job) {
	now := s.host.Now()
	patience := j.patience
	if j.begun.Sub(s.began) < returnTime {
		patience = 0
	}
	for step, runs := range j.runs {
		if len(runs) > 0 {
			s.forecast.Observe(j.queue.Name, j.work.Steps()[step].Estimate, patience, s.fleet.Speeds().Job(runs, now))
		}
	}
}

// overdue counts a task that runs for too long against its endpoint.
func (s *Scheduler) overdue(p *placed, now time.Time) {
	ran := now.Sub(p.started)
	s.fleet.Speeds().Overdue(p.agent, float64(ran)/float64(max(p.expected, time.Millisecond)), now)
	step, _ := p.job.work.Task(p.number)
	s.fleet.Health().Observe(health.Observation{
		Agent: p.agent, Kind: p.job.queue.Name, Job: p.job.work.ID(), Index: uint32(p.number),
		Seconds: float64(ran) / float64(max(s.expect(p.job, step), time.Millisecond)),
	}, now)
}
