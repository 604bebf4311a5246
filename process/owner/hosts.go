package owner

import (
	"fmt"
	"time"

	"github.com/corianderhook/corianderhook/common/instance"
	"github.com/corianderhook/corianderhook/process/admission"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/wire"
)

// slotHost implements slot.Host.
type slotHost struct{ *Owner }

func (h slotHost) Self() string   { return h.env.Self() }
func (h slotHost) Now() time.Time { return h.env.Now() }
func (h slotHost) Clock() uint64  { return h.env.Clock() }

func (h slotHost) Send(agent string, f *wire.EntryFrame) bool { return h.env.Send(agent, f) }

func (h slotHost) HasEnded(agent string) bool {
	return instance.Replaces(h.latestInstance[instance.Name(agent)], agent)
}

func (h slotHost) Candidates(string) []string { return h.dispatch.Candidates() }

func (h slotHost) Admit(s *submission.Submission) (answer.Answer, bool) {
	policy := h.env.Policy()
	team, known := policy.Team(s.Team())
	if !known {
		return answer.New(outcome.NotRun, "unknown-team", fmt.Sprintf("team %q does not exist in the configuration", s.Team())), false
	}
	kind, known := policy.Kind(s.Kind())
	if !known {
		return answer.New(outcome.NotRun, "unknown-kind", fmt.Sprintf("kind %q does not exist in the configuration", s.Kind())), false
	}
	return h.admission.Admit(admission.Request{
		Team:               s.Team(),
		TeamQuota:          team,
		Kind:               s.Kind(),
		KindRule:           kind,
		Tasks:              s.TaskCount(),
		Waiting:            h.dispatch.WaitingIn(s.Kind(), s.Team()),
		Weight:             policy.TeamWeight(s.Team()),
		TotalWaitingWeight: func() float64 { return h.waitingWeight(s.Kind()) },
		Slots:              h.dispatch.Slots(),
		KindShare:          policy.KindShare(s.Kind()),
	}, h.env.Now())
}

// waitingWeight returns the total weight of the teams with waiting tasks of a kind.
func (h slotHost) waitingWeight(kind string) float64 {
	total := 0.0
	for _, team := range h.dispatch.WaitingTeams(kind) {
		total += h.env.Policy().TeamWeight(team)
	}
	return total
}

func (h slotHost) Offer(number uint32, j *job.Job) { h.dispatch.Offer(number, j) }

func (h slotHost) Withdraw(j *job.Job) { h.dispatch.Withdraw(j) }

func (h slotHost) Finished(j *job.Job, a answer.Answer) {
	h.admission.Release(j.Team(), j.TaskCount())
	h.env.Finished(j, a)
}

func (h slotHost) Refused(s *submission.Submission, a answer.Answer) { h.env.Refused(s.Kind(), a) }

func (h slotHost) JobDeadline(kind string) time.Duration { return h.env.Policy().JobDeadline(kind) }
func (h slotHost) Retention() time.Duration              { return h.env.Policy().Retention() }
func (h slotHost) MaxKeysPerSlot() int                   { return h.env.Policy().MaxKeysPerSlot() }

// dispatchHost implements dispatch.Host.
type dispatchHost struct{ *Owner }

func (h dispatchHost) Now() time.Time { return h.env.Now() }

func (h dispatchHost) Send(agent string, f *wire.EntryFrame) bool { return h.env.Send(agent, f) }

func (h dispatchHost) RegisterAgent(number uint32, j *job.Job, agent string) {
	if s, owned := h.slots[number]; owned {
		s.RegisterAgent(j, agent)
	}
}

func (h dispatchHost) Epoch(number uint32) uint64 {
	if s, owned := h.slots[number]; owned {
		return s.Epoch()
	}
	return 0
}

func (h dispatchHost) ExcludedByOperator(agent, zone string) bool {
	return h.env.Policy().Ejected(instance.Name(agent)) || h.env.Policy().Evacuated(zone)
}

func (h dispatchHost) TaskTimeout(kind string) time.Duration { return h.env.Policy().TaskTimeout(kind) }

func (h dispatchHost) Started(j *job.Job, count int) {
	h.admission.CountStarted(j.Kind(), j.Team(), count, h.env.Now())
	h.env.Started(j, count)
}
