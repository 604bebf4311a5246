// Package answer holds what a caller gets for its job and its form on the wire.
package answer

import (
	"time"

	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/wire"
)

// Answer is the outcome of a job with what is known of each task. It is
// read-only once it is made.
type Answer struct {
	outcome    outcome.Outcome
	reason     string
	detail     string
	retryAfter time.Duration
	tasks      int
	records    []*wire.TaskRecord
}

// New returns an answer without task records. The reason is a short fixed word
// that programs may match; the detail is a sentence for people.
func New(o outcome.Outcome, reason, detail string) Answer {
	return Answer{outcome: o, reason: reason, detail: detail}
}

// WithRetryAfter returns the answer with the time after which a retry makes sense.
func (a Answer) WithRetryAfter(d time.Duration) Answer {
	a.retryAfter = d
	return a
}

// WithTasks returns the answer with the number of tasks and what is known of each.
func (a Answer) WithTasks(tasks int, records []*wire.TaskRecord) Answer {
	a.tasks = tasks
	a.records = records
	return a
}

// Outcome returns the outcome; Pending where the job still runs.
func (a Answer) Outcome() outcome.Outcome { return a.outcome }

// Reason returns the word that programs may match, such as "quota".
func (a Answer) Reason() string { return a.reason }

// Detail returns the sentence for people.
func (a Answer) Detail() string { return a.detail }

// RetryAfter returns the time after which a retry makes sense, or zero.
func (a Answer) RetryAfter() time.Duration { return a.retryAfter }

// Tasks returns the number of tasks of the job, or zero where it is not known.
func (a Answer) TaskCount() int { return a.tasks }

// Records returns what is known per task, in the order of the task index.
func (a Answer) Records() []*wire.TaskRecord { return a.records }

// Wire returns the form that goes between entries.
func (a Answer) Wire() *wire.Answer {
	return &wire.Answer{
		Outcome:      a.outcome.String(),
		Reason:       a.reason,
		Detail:       a.detail,
		RetryAfterMs: a.retryAfter.Milliseconds(),
		Tasks:        uint32(a.tasks),
		Records:      a.records,
		Final:        a.outcome != outcome.Pending,
	}
}

// FromWire reads the form that Wire writes.
func FromWire(w *wire.Answer) (Answer, error) {
	o, err := outcome.Parse(w.GetOutcome())
	if err != nil {
		return Answer{}, err
	}
	return Answer{
		outcome:    o,
		reason:     w.GetReason(),
		detail:     w.GetDetail(),
		retryAfter: time.Duration(w.GetRetryAfterMs()) * time.Millisecond,
		tasks:      int(w.GetTasks()),
		records:    w.GetRecords(),
	}, nil
}
