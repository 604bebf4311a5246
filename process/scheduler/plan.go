package scheduler

import (
	"math"
	"time"

	"github.com/corianderhook/corianderhook/process/placement"
)

const (
	// maxBacklog is the backlog up to which the most urgent jobs are accepted: tasks that
	// wait then start within the slack of the shortest jobs, some 100 ms.
	maxBacklog = 140 * time.Millisecond
	// urgencyBacklogFactor multiplies the backlog limit once per level of lower urgency.
	urgencyBacklogFactor = 0.5
	// slackBacklogShare times its slack is the least backlog limit of a job, before
	// backlogShare is applied: a long job lets others pass and still starts in time. With a
	// higher share, waiting work piles up until short jobs are late (both seen in
	// process/replay).
	slackBacklogShare = 0.35
)

// plan holds where a job's ready tasks would run and the figures that decide on its admission.
// The rules of admission are meant for bursts of 1.6 to 3 times the capacity of the endpoints.
type plan struct {
	choices []placement.Choice
	// backlog is how long the endpoints need for the tasks that wait.
	backlog time.Duration
	// slack is the least slack of the ready tasks.
	slack time.Duration
	// backlogShare multiplies the backlog limit: above 1 for a job with less work than its
	// queue's mean, below 1 for one with more.
	backlogShare float64
}

// makespan returns the expected time until the last task has ended.
func (p plan) makespan() time.Duration { return placement.Makespan(p.choices) }

// backlogLimit returns the backlog above which a job is refused if one of its tasks has to
// wait. Each level of urgency has its own limit, so that no level is shed wholly; within a
// queue the jobs with the most work are shed first.
func (p plan) backlogLimit(urgency int) time.Duration {
	byUrgency := time.Duration(float64(maxBacklog) * math.Pow(urgencyBacklogFactor, float64(urgency)))
	return time.Duration(p.backlogShare * max(float64(byUrgency), slackBacklogShare*float64(p.slack)))
}

// admits reports whether the job is accepted. A job whose tasks all start at once delays no
// other and only has to end within the caller's budget. Any other job also has to meet its
// objective, and the backlog must not exceed the job's limit.
func (p plan) admits(urgency int, objective, budget time.Duration) bool {
	if p.makespan() > budget-answerMargin {
		return false
	}
	return placement.LongestWait(p.choices) == 0 || p.makespan() <= objective && p.backlog <= p.backlogLimit(urgency)
}
