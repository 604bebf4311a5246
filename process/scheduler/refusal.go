package scheduler

import (
	"time"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
)

// refusal returns the answer to a job that has not run. After is how long the caller should
// wait before it retries, bounded by minRetryAfter and
// maxRetryAfter.
func refusal(reason, detail string, after time.Duration) answer.Answer {
	return answer.New(outcome.NotRun, reason, detail).WithRetryAfter(min(max(after, minRetryAfter), maxRetryAfter))
}

func (s *Scheduler) refuse(r Request, reason, detail string, after time.Duration) {
	s.host.LogDecision("CH1022 job refused", r.Work.ID(), "reason", reason, "queue", r.Queue.Name, "endpoints", len(s.candidates), "version", r.ConfigVersion)
	r.Reply(refusal(reason, detail, after))
}
