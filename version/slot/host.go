package slot

import (
	"time"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/wire"
)

// Waiter receives the answer to an attempt, or NotOwner if the attempt has to go to another
// entry.
type Waiter interface {
	job.Waiter
	NotOwner()
}

// Attempt is a submission as forwarded to the owner.
type Attempt struct {
	Body   *submission.Submission
	Waiter Waiter
	// Owner is the slot's owner as known to the receiving entry when the request arrived.
	Owner string
	// OwnerClock is the last clock reading of that owner, in nanoseconds, known to the
	// receiving entry at that time.
	OwnerClock uint64
}

// Host provides a slot with the clock, the transport and the policy of its process.
type Host interface {
	// Self returns this entry's instance.
	Self() string
	// Now returns the wall time.
	Now() time.Time
	// Clock returns monotonic nanoseconds since the process started.
	Clock() uint64
	// Send sends a frame and reports whether the agent is attached.
	Send(agent string, f *wire.EntryFrame) bool
	// HasEnded reports whether the agent instance has provably ended.
	HasEnded(agent string) bool
	// Candidates returns the agents that may start tasks of a kind.
	Candidates(kind string) []string
	// Admit decides whether a new job may be queued.
	Admit(s *submission.Submission) (refusal answer.Answer, admitted bool)
	// Offer passes a job with waiting tasks to the dispatcher.
	Offer(slot uint32, j *job.Job)
	// Withdraw removes a job from the dispatcher.
	Withdraw(j *job.Job)
	// Finished is called once with the final answer of a job.
	Finished(j *job.Job, a answer.Answer)
	// Refused is called once for each refusal.
	Refused(s *submission.Submission, a answer.Answer)
	// JobDeadline returns the default deadline of jobs of a kind.
	JobDeadline(kind string) time.Duration
	// Retention returns how long keys and answers are kept.
	Retention() time.Duration
	// MaxKeysPerSlot returns how many job keys the slot keeps at most.
	MaxKeysPerSlot() int
}
