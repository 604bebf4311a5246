// Package admission decides who is admitted when room at the endpoints is scarce. Work that waits
// has been promised room that falls free: a new job may only join so much of it. The more room more
// urgent work takes, the less of it less urgent work may count on, so that room is left for the
// urgent work to come. It does no I/O.
package admission

import (
	"fmt"
	"time"
)

// Case is a job to be decided on and the work that waits for the same endpoints.
type Case struct {
	// Wait is the longest expected wait of its tasks, End the expected time until the last ends.
	Wait, End time.Duration
	// Objective is the time within which the job is on time, Budget how long its caller waits.
	Objective, Budget time.Duration
	// Waiting is how long the endpoints need for the work that waits, of all dispatchers.
	Waiting time.Duration
	// Limit is how much waiting work a job like this may join if no more urgent work comes, Most
	// how much the most urgent one of its size may join.
	Limit, Most time.Duration
	// Reserved is the share of the room that the most urgent work takes; 0 if the job is of it.
	Reserved float64
}

// Verdict says whether a job is admitted. The zero value admits it.
type Verdict struct {
	detail string
	after  time.Duration
}

// Admitted reports whether the job is admitted.
func (v Verdict) Admitted() bool { return v.detail == "" }

// Detail returns why the job is refused, for its caller.
func (v Verdict) Detail() string { return v.detail }

// After returns how long it takes until there is room for such a job by what is known now.
func (v Verdict) After() time.Duration { return v.after }

// limit returns how much waiting work the job may join. It is never more than a more urgent job of
// its size may join, so that no urgent work is refused while less urgent work is admitted.
func (c Case) limit() time.Duration {
	return time.Duration((1 - min(max(c.Reserved, 0), 1)) * float64(min(c.Limit, c.Most)))
}

// Decide returns the verdict on a job. A job that could start at once is refused too if more work
// waits than it may join: the room that it would take is about to be used for what waits.
func (c Case) Decide() Verdict {
	switch limit := c.limit(); {
	case c.End > c.Budget:
		return refuse(c.End-c.Budget, "overload: the job would end in %s, after its caller's time", c.End)
	case c.Reserved > 0 && c.Waiting > limit:
		return refuse(c.Waiting-limit, "overload: admitted work waits for %s, a job like this may join %s", c.Waiting, limit)
	case c.Wait == 0:
		return Verdict{}
	case c.Waiting > limit:
		return refuse(c.Waiting-limit, "overload: admitted work waits for %s, a job like this may join %s", c.Waiting, limit)
	case c.End > c.Objective:
		return refuse(c.End-c.Objective, "overload: the job would end in %s, after its objective of %s", c.End, c.Objective)
	}
	return Verdict{}
}

func refuse(after time.Duration, format string, times ...time.Duration) Verdict {
	args := make([]any, 0, len(times))
	for _, t := range times {
		args = append(args, fmt.Sprintf("%d ms", t.Milliseconds()))
	}
	return Verdict{detail: fmt.Sprintf(format, args...), after: after}
}
