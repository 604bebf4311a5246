package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/wire"
)

// slowdownFactor is the growth of an endpoint's slowness from which what waits there is looked at
// again. Smaller changes are within the errors of run times.
const slowdownFactor = 1.5

// WithSlowdowns makes the scheduler take back what waits at an endpoint that turns slow.
func WithSlowdowns() Option {
	return func(s *Scheduler) { s.takesBack, s.slownessAtLook = true, map[string]float64{} }
}

// updateRoom applies an agent's capacity report, made after the agent had seen the frame of the
// given number.
func (s *Scheduler) updateRoom(agent string, room *wire.Room, seen uint64) {
	if !s.takesBack {
		s.fleet.UpdateRoom(agent, room, seen)
		return
	}
	now := s.host.Now()
	before, looked := s.slownessAtLook[agent]
	if !looked {
		before = s.fleet.Slowness(agent, now)
	}
	s.fleet.UpdateRoom(agent, room, seen)
	slowness := s.fleet.Slowness(agent, now)
	if slowness >= before*slowdownFactor {
		s.takeBackFromSlow(agent, before, slowness)
		before = slowness
	}
	// The runs under way show a slowness little by little, so that it is compared with the one at
	// the last look.
	if !looked || before == slowness || slowness < before/slowdownFactor {
		s.slownessAtLook[agent] = slowness
	}
}

// takeBackFromSlow withdraws the tasks that wait at an endpoint whose slowness has grown and that
// would be late there, if another endpoint can still end them on time. Those with the least slack
// go first. All other tasks stay: a task that is withdrawn loses its turn, and none is taken back
// twice.
func (s *Scheduler) takeBackFromSlow(agent string, before, slowness float64) {
	now := s.host.Now()
	waiting := s.lateAt(agent, slowness, now)
	if len(waiting) == 0 {
		return
	}
	others := slices.DeleteFunc(s.fleet.Candidates(s.fleet.Service(agent), now, nil), func(c placement.Candidate) bool { return c.Name == agent })
	count := 0
	for _, w := range waiting {
		if !s.wouldBeOnTime(w, others, now) {
			continue
		}
		w.task.revoking = true
		w.task.job.noteTakenBack(w.task.number)
		count++
		s.host.Withdraw(agent, w.task.ref)
	}
	s.host.LogDecision("CH1047 tasks taken back from a slow endpoint", "", "agent", agent, "slowness", slowness, "before", before, "late", len(waiting), "withdrawn", count)
}

// noteTakenBack records that a task has been taken back from a slow endpoint.
func (j *job) noteTakenBack(number int) {
	if j.takenBack == nil {
		j.takenBack = map[int]bool{}
	}
	j.takenBack[number] = true
}

// lateAt returns the tasks that wait at an agent and would be late if they started now, ordered by
// slack.
func (s *Scheduler) lateAt(agent string, slowness float64, now time.Time) []waitingTask {
	var list []waitingTask
	for _, p := range s.queued {
		if p.agent != agent || p.revoking || p.job.takenBack[p.number] || now.Sub(p.offeredAt) < minWithdrawAge {
			continue
		}
		step, _ := p.job.work.StepAndIndex(p.number)
		expectedRun := time.Duration(float64(s.forecastRun(p.job, step)) * slowness)
		if p.job.latestStart(expectedRun).Before(now) && now.Before(p.job.deadline) {
			list = append(list, waitingTask{task: p, latestStart: p.job.latestStart(s.forecastRun(p.job, step))})
		}
	}
	slices.SortFunc(list, func(a, b waitingTask) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.task.ref, b.task.ref))
	})
	return list
}

// wouldBeOnTime reports whether one of the candidates would end a withdrawn task on time, and
// accounts for the task there.
func (s *Scheduler) wouldBeOnTime(w waitingTask, candidates []placement.Candidate, now time.Time) bool {
	p := w.task
	step, _ := p.job.work.StepAndIndex(p.number)
	expected := s.forecastRun(p.job, step)
	r := p.job.placementRequest(step, expected, w.latestStart.Sub(now))
	r.Avoid = p.job.progress.FailedAt(p.number)
	for i := range candidates {
		c := &candidates[i]
		if r.MaxPerEndpoint > 0 || !c.Eligible(r) || slices.Contains(r.Avoid, c.Name) || !s.mayUse(p.job, c.Name) || c.Wait(r.Size, r.Slack)+c.RunTime(r)+moveLatency > r.Slack+expected {
			continue
		}
		c.Add(r.Size, r.Slack, expected)
		return true
	}
	return false
}
