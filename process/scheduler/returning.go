package scheduler

import "time"

// admitsReturning reports whether a job is accepted although there is a backlog: in the first seconds
// after a loss of power all callers come back at once, and that wave ends as fast as it has come.
// What is expected to end within its objective needs no room for later work then.
func (s *Scheduler) admitsReturning(j *job, p plan, budget time.Duration) bool {
	return s.returning && s.host.Now().Sub(s.startedAt) < reconnectWindow && p.makespan() <= min(j.objective-onTimeMargin, budget-answerMargin)
}
