// Package startup keeps the times at which a process has reached the steps from its start to its
// first work, so that what a start waits for can be read from the log. It does no I/O.
package startup

import (
	"math/bits"
	"sync/atomic"
	"time"
)

//go:generate stringer -type=Step -linecomment

// Step is a step of a start. Each is reached once.
type Step int

// Steps of a dispatcher and of a sidecar.
const (
	Listening     Step = iota // listening
	StoreAnswered             // store-answered
	Configured                // configured
	PeerHeard                 // peer-heard
	JobTaken                  // job-taken
	JobServed                 // job-served
	EndpointTaken             // endpoint-taken
	Announced                 // announced
	Accepting                 // accepting
	Session                   // session
	TaskStarted               // task-started
)

// Timeline holds the steps of one process. It is safe for concurrent use.
type Timeline struct {
	startedAt time.Time
	reached   atomic.Uint32
	sessions  atomic.Int64
}

// New returns the timeline of a process that starts now.
func New(now time.Time) *Timeline { return &Timeline{startedAt: now} }

// Reach records that a step is reached. It returns the time since the start, and whether the step is
// reached for the first time.
func (t *Timeline) Reach(s Step, now time.Time) (after time.Duration, first bool) {
	bit := uint32(1) << uint(s)
	if t.reached.Load()&bit != 0 || t.reached.Or(bit)&bit != 0 {
		return 0, false
	}
	return now.Sub(t.startedAt), true
}

// Reached reports whether a step is reached.
func (t *Timeline) Reached(s Step) bool { return t.reached.Load()&(1<<uint(s)) != 0 }

// Sessions records the number of sessions. It returns the time since the start, and whether the
// number is a power of two that is reached for the first time.
func (t *Timeline) Sessions(count int, now time.Time) (after time.Duration, first bool) {
	most := t.sessions.Load()
	if bits.OnesCount(uint(count)) != 1 || int64(count) <= most || !t.sessions.CompareAndSwap(most, int64(count)) {
		return 0, false
	}
	return now.Sub(t.startedAt), true
}
