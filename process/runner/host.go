package runner

import (
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

// Order identifies a run to start or stop, with its payload.
type Order struct {
	Job     string
	Step    int
	Index   int
	Run     uint64
	Payload string
}

// Host carries out the runner's decisions.
type Host interface {
	// Now returns monotonic time.
	Now() time.Time
	// StampTime returns the time of a stamp that a frame to a dispatcher carried.
	StampTime(us uint64) time.Time
	// Start sends a start order. Its result is passed to Started.
	Start(name string, o Order)
	// Stop sends a stop order. Its result is passed to Stopped.
	Stop(name string, o Order)
	// Send queues events for a dispatcher.
	Send(dispatcher uint64, events ...*wire.TaskEvent)
	// LogDecision logs a decision on a task under a numbered event.
	LogDecision(event string, o Order, details ...any)
}

//go:generate stringer -type=Result,EndKind -linecomment

// Result is the result of a start order.
type Result uint8

const (
	// Running means that the endpoint has accepted the order.
	Running Result = iota // running
	// Refused means that the endpoint has not started the run and never will by this order.
	Refused // refused
	// Doubtful means that there was no answer: the order may still be carried out.
	Doubtful // doubtful
)
