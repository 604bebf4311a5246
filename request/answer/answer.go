// Package answer defines the answer to a caller's job and its wire format.
package answer

import (
	"time"

	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/wire"
)

// Answer is the outcome of a job with the records of its tasks. It is immutable.
type Answer struct {
	outcome    outcome.Outcome
	reason     string
	detail     string
	retryAfter time.Duration
	tasks      int
	records    []*wire.TaskRecord
}

// New returns an answer without task records. The reason is a short fixed string
// that programs may match; the detail is a sentence for people.
func New(o outcome.Outcome, reason, detail string) Answer {
	return Answer{outcome: o, reason: reason, detail: detail}
}

// WithRetryAfter returns a copy of the answer that advises a retry after d.
func (a Answer) WithRetryAfter(d time.Duration) Answer {
	a.retryAfter = d
	return a
}

// WithTasks returns a copy of the answer with the number of tasks and their records.
func (a Answer) WithTasks(tasks int, records []*wire.TaskRecord) Answer {
	a.tasks = tasks
	a.records = records
	return a
}

// Outcome returns the outcome; it is Pending while the job runs.
func (a Answer) Outcome() outcome.Outcome { return a.outcome }

// Reason returns the string that programs may match, such as "quota-rate".
func (a Answer) Reason() string { return a.reason }

// Detail returns the explanation for people.
func (a Answer) Detail() string { return a.detail }

// RetryAfter returns the advised delay before a retry, or zero if there is none.
func (a Answer) RetryAfter() time.Duration { return a.retryAfter }

// TaskCount returns the number of tasks of the job, or zero if it is not known.
func (a Answer) TaskCount() int { return a.tasks }

// Records returns the task records in the order of the task index.
func (a Answer) Records() []*wire.TaskRecord { return a.records }

// Wire returns the message that entries exchange.
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

// FromWire converts a message that Wire returned.
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
