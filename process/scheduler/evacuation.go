package scheduler

import (
	"slices"

	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/version/evacuation"
)

// evacuatedReason and evacuatedDetail describe the refusal of a job that only endpoints in
// evacuated zones could take.
const (
	evacuatedReason = "evacuated"
	evacuatedDetail = "every endpoint that can take the job is in an evacuated availability zone"
)

// SetEvacuated sets the availability zones that get no tasks. Tasks that wait there are
// withdrawn and placed elsewhere. Running ones are left alone: a stop loses their work, and
// the evacuation asks only that nothing starts.
func (s *Scheduler) SetEvacuated(state evacuation.State) {
	s.fleet.SetEvacuated(state)
	s.forEachPlaced(func(p *placedTask) {
		if p.startedAt.IsZero() && !p.revoking && s.fleet.InEvacuatedZone(p.agent) {
			p.revoking = true
			s.host.LogDecision("CH1038 task withdrawn from an evacuated zone", p.job.work.ID(), "agent", p.agent, "task", p.number)
			s.host.Withdraw(p.agent, p.ref)
		}
	})
}

// endBlocked ends a job that only evacuated endpoints could complete. While tasks that have not
// started are on their way back, the job is parked: it has not run if none of them does.
func (s *Scheduler) endBlocked(j *job) {
	switch {
	case j.progress.Started():
		s.finish(j, answer.New(outcome.Unknown, evacuatedReason, evacuatedDetail))
	case j.progress.Placed() > 0:
		j.parked = true
	default:
		s.finish(j, refusal(evacuatedReason, evacuatedDetail, maxRetryAfter))
	}
}

// blockedByEvacuation reports whether a ready task of the job, which fits no candidate, can
// only be taken by endpoints in evacuated zones. An evacuation lasts for longer than callers
// wait.
func (s *Scheduler) blockedByEvacuation(j *job) bool {
	evacuated, others := s.fleet.Recent(j.queue.Service, s.host.Now())
	return slices.ContainsFunc(j.progress.Ready(), func(number int) bool {
		step, _ := j.work.StepAndIndex(number)
		r := j.placementRequest(step, 0, 0)
		eligible := func(c placement.Candidate) bool { return c.Eligible(r) }
		return slices.ContainsFunc(evacuated, eligible) && !slices.ContainsFunc(others, eligible)
	})
}
