// Package audit keeps the trail of changes: who changed what, when, from where,
// and how it ended. The trail is a stream of its own on the platform's log.
package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/version/publication"
)

// Stream is the name of the audit stream on the platform's log.
const Stream = "audit"

const (
	// capacity is how many records wait for a log that is out of service. A
	// process changes something a few times an hour.
	capacity = 10_000
	// retry is the pause after an append that failed.
	retry = 500 * time.Millisecond
	// lateAfter marks a record that reached the log long after the change.
	lateAfter = 5 * time.Second
)

// Record is one change.
type Record struct {
	// ID makes a record that was appended twice count once.
	ID   string    `json:"id"`
	Time time.Time `json:"time"`
	// Who is the process or operator, From its address.
	Who  string `json:"who"`
	From string `json:"from"`
	// What is the kind of change, Subject what was changed.
	What    string `json:"what"`
	Subject string `json:"subject"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
	// Outcome is done, or why it was not.
	Outcome string `json:"outcome"`
	// Late tells that the log could not be reached at the time of the change.
	Late bool `json:"late,omitempty"`
}

// ConfigChange returns the record of a change of the configuration, without id
// and time, and what became of it.
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

// Log is the platform's log as the trail uses it.
type Log interface {
	Append(ctx context.Context, stream string, record []byte) (uint64, error)
}

// Trail takes records and appends them in order. It is safe for concurrent use.
type Trail struct {
	log     Log
	clock   clockwork.Clock
	mu      sync.Mutex
	waiting []Record
	dropped int
	wake    chan struct{}
}

// New returns an empty trail.
func New(log Log, clock clockwork.Clock) *Trail {
	return &Trail{log: log, clock: clock, wake: make(chan struct{}, 1)}
}

// Add takes a record. It never waits for the log.
func (t *Trail) Add(r Record) {
	r.ID = uuid.NewString()
	r.Time = t.clock.Now().UTC()
	t.mu.Lock()
	if len(t.waiting) < capacity {
		t.waiting = append(t.waiting, r)
	} else {
		t.dropped++
		klog.ErrorS(nil, "CH0401 audit record does not fit", "record", r, "dropped", t.dropped)
	}
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Waiting returns the number of records that have not reached the log.
func (t *Trail) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting)
}

// Run appends records until the context ends.
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
		r, ok := t.first()
		if !ok {
			return
		}
		if err := t.append(ctx, r); err != nil {
			klog.V(1).InfoS("CH0402 audit record waits for the log", "waiting", t.Pending(), "error", err)
			if !pause.For(ctx, t.clock, retry) {
				return
			}
			continue
		}
		t.mu.Lock()
		t.waiting = t.waiting[1:]
		t.mu.Unlock()
	}
}

func (t *Trail) first() (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		return Record{}, false
	}
	return t.waiting[0], true
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
