// Package audit writes the audit trail: who changed what, when, from where, and with
// which outcome. The trail is a stream of its own on the platform's log.
package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/version/publication"
)

// Stream is the name of the audit stream on the platform's log.
const Stream = "audit"

const (
	// maxPending is the number of records kept while the log is unavailable; further
	// ones are dropped. A process makes a few changes an hour.
	maxPending = 10_000
	// retryDelay is the delay after a failed append.
	retryDelay = 500 * time.Millisecond
	// lateAfter is the delay between a change and its append above which the record is
	// marked as late.
	lateAfter = 5 * time.Second
)

// Record describes one change.
type Record struct {
	// ID identifies the record, so that readers can skip a repeated append.
	ID   string    `json:"id"`
	Time time.Time `json:"time"`
	// Who is the process or operator that made the change, From its address.
	Who  string `json:"who"`
	From string `json:"from"`
	// What is the kind of change, Subject the object that was changed.
	What    string `json:"what"`
	Subject string `json:"subject"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
	// Outcome is "done", or the reason why the change was not made.
	Outcome string `json:"outcome"`
	// Late is set if the record was appended more than lateAfter after the change,
	// because the log was unavailable.
	Late bool `json:"late,omitempty"`
}

// ConfigChange returns the record of a configuration change and its outcome. Add sets the
// ID and the time.
func ConfigChange(c publication.Change, version uint64, accepted bool, reason string) Record {
	outcome := "done"
	if !accepted {
		outcome = reason
	}
	return Record{
		Who: c.Author, From: c.From, What: "config", Subject: c.File,
		Before: fmt.Sprintf("version %d", c.Base), After: fmt.Sprintf("version %d", version), Outcome: outcome,
	}
}

// Log is the part of the platform's log that the trail uses.
type Log interface {
	Append(ctx context.Context, stream string, record []byte) (uint64, error)
}

// Trail queues records and appends them to the log in order. It is safe for concurrent use.
type Trail struct {
	log     Log
	clock   clockwork.Clock
	mu      sync.Mutex
	pending []Record
	dropped int
	// added and appended count the records that were queued and those that are in the log.
	added    int
	appended int
	// progress is closed and replaced with each append.
	progress chan struct{}
	wake     chan struct{}
}

// New returns an empty trail.
func New(log Log, clock clockwork.Clock) *Trail {
	return &Trail{log: log, clock: clock, progress: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Add queues a record and sets its ID and time. It does not block on the log.
func (t *Trail) Add(r Record) {
	r.ID = uuid.NewString()
	r.Time = t.clock.Now().UTC()
	t.mu.Lock()
	if len(t.pending) < maxPending {
		t.pending = append(t.pending, r)
		t.added++
	} else {
		t.dropped++
		klog.ErrorS(nil, "CH0401 audit record dropped, the queue is full", "record", r, "dropped", t.dropped)
	}
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Flush waits until all records added so far are in the log. An error means that the context
// ended first, and says how many records are not known to be there.
func (t *Trail) Flush(ctx context.Context) error {
	t.mu.Lock()
	target := t.added
	t.mu.Unlock()
	for {
		t.mu.Lock()
		missing, progress := target-t.appended, t.progress
		t.mu.Unlock()
		if missing <= 0 {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d audit records are not in the log", missing)
		}
	}
}

// Pending returns the number of records not yet appended to the log.
func (t *Trail) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending)
}

// Run appends queued records until the context ends.
func (t *Trail) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		t.flush(ctx)
	}
}

func (t *Trail) flush(ctx context.Context) {
	for {
		r, ok := t.oldest()
		if !ok {
			return
		}
		if err := t.append(ctx, r); err != nil {
			klog.V(1).InfoS("CH0402 audit record not appended, will be retried", "waiting", t.Pending(), "error", err)
			if !pause.For(ctx, t.clock, retryDelay) {
				return
			}
			continue
		}
		t.mu.Lock()
		t.pending = t.pending[1:]
		t.appended++
		close(t.progress)
		t.progress = make(chan struct{})
		t.mu.Unlock()
	}
}

func (t *Trail) oldest() (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) == 0 {
		return Record{}, false
	}
	return t.pending[0], true
}

func (t *Trail) append(ctx context.Context, r Record) error {
	r.Late = t.clock.Since(r.Time) > lateAfter
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = t.log.Append(ctx, Stream, raw)
	return err
}
