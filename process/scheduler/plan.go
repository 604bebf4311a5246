package scheduler

import (
	"math"
	"time"

	"github.com/corianderhook/corianderhook/process/placement"
)

const (
	// mostBacklog is the backlog up to which the most urgent jobs are taken: what waits
	// starts within the slack of the shortest jobs, of some 100 ms.
	mostBacklog = 140 * time.Millisecond
	// shedStep is how much less backlog each further level of urgency may find.
	shedStep = 0.5
	// slackShare of its slack is the backlog that a job may find in any case: a long
	// job lets others pass and still starts in time. More of it lets waiting work pile
	// up until short jobs are late; both by process/replay.
	slackShare = 0.35
)

// plan is where a job's tasks would go, and what it finds there. It answers the load
// of bursts of 1.6 to 3 times what there is room for.
type plan struct {
	choices []placement.Choice
	// backlog is how long the endpoints need for what waits.
	backlog time.Duration
	// slack is what is left for the task that has to start soonest.
	slack time.Duration
	// share is how much more backlog than an ordinary job of its queue this one may find.
	share float64
}

// ends is the time until the last task has ended.
func (p plan) ends() time.Duration { return placement.Makespan(p.choices) }

// limit is the backlog up to which a job is taken where some task has to wait. Each
// level of urgency is shed at its own backlog, so that none goes wholly; within a queue
// the jobs go first that ask for the most.
func (p plan) limit(urgency int) time.Duration {
	byUrgency := time.Duration(float64(mostBacklog) * math.Pow(shedStep, float64(urgency)))
	return time.Duration(p.share * max(float64(byUrgency), slackShare*float64(p.slack)))
}

// admit decides whether a job is taken. One whose tasks all start at once takes nothing
// from others and is taken as long as its caller waits; else it has to be on time, and
// the backlog within its limit.
func (p plan) admit(urgency int, objective, budget time.Duration) bool {
	if p.ends() > budget-answerMargin {
		return false
	}
	return placement.LongestWait(p.choices) == 0 || p.ends() <= objective && p.backlog <= p.limit(urgency)
}
