package scheduler

import (
	"time"

	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/sharing/admission"
	"github.com/corianderhook/corianderhook/sharing/comeback"
)

// WithSharedRoom makes admission use what the agents report of the work of all dispatchers.
func WithSharedRoom() Option { return func(s *Scheduler) { s.sharesRoom = true } }

// sharedRoomVerdict decides on a job by the work of all dispatchers at the endpoints.
func (s *Scheduler) sharedRoomVerdict(r Request, j *job, p plan) admission.Verdict {
	c := admission.Case{
		Wait: placement.LongestWait(p.choices), End: p.makespan(), Objective: j.objective, Budget: r.Budget - r.Elapsed - answerMargin,
		Waiting: p.backlog, Limit: p.backlogLimit(r.Queue.Urgency), Most: time.Duration(p.backlogShare * float64(maxBacklog)),
	}
	if p.backlog > 0 {
		c.Reserved = s.fleet.Reserved(r.Queue.Service, r.Queue.Urgency, s.host.Now())
	}
	return c.Decide()
}

// refuseForRoom refuses a job for want of room.
func (s *Scheduler) refuseForRoom(r Request, j *job, p plan, v admission.Verdict) {
	after := comeback.Window{Earliest: minRetryAfter, Latest: maxRetryAfter}.After(r.Work.ID(), v.After())
	s.host.LogDecision("CH1050 job refused for want of room", r.Work.ID(), "detail", v.Detail(), "queue", r.Queue.Name, "backlog", p.backlog,
		"ends", p.makespan(), "objective", j.objective, "budget", r.Budget, "after", after, "endpoints", len(s.candidates), "version", r.ConfigVersion)
	r.Reply(answer.New(outcome.NotRun, "overload", v.Detail()).WithRetryAfter(after))
}
