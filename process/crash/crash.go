// Package crash holds what is known of crashed endpoints: which runs each may have had, which
// of them is likely to be the cause, and which tasks must not be started again. A task that
// crashes each endpoint that starts it would otherwise take down one after the other. The
// package does no I/O.
package crash

import (
	"math"
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

// startupRisk is the time after its start in which a run that crashes its endpoint does so
// most often. The blame of a run falls with its age beyond this time.
const startupRisk = 20 * time.Millisecond

// Task identifies a task across the submissions of its job.
type Task struct {
	Job   string
	Step  int
	Index int
}

// Run is a run that an endpoint may have had when it crashed.
type Run struct {
	Task
	// Queue is empty if it is not known.
	Queue string
	// Age is the time from the start order to the crash.
	Age time.Duration
}

// ID identifies a crash: the sidecar, and the start of the endpoint's incarnation in Unix
// milliseconds.
type ID struct {
	Agent  string
	BornMS int64
}

// Record describes a crash of an endpoint.
type Record struct {
	ID
	Service string
	// At is when the crash was noticed, by the local monotonic clock.
	At   time.Time
	Runs []Run
	// Inferred is set if the ages of the runs are not known, and others may have run beside
	// them.
	Inferred bool
}

// Blame returns the probability, by the ages of the runs, that the run with the given index
// is the one that has caused the crash if any has.
func (r Record) Blame(index int) float64 {
	total := 0.0
	for i := range r.Runs {
		total += r.weight(i)
	}
	return r.weight(index) / total
}

func (r Record) weight(index int) float64 {
	if r.Inferred {
		return 1
	}
	return math.Pow(startupRisk.Seconds()/(r.Runs[index].Age+startupRisk).Seconds(), 2)
}

// PrimeSuspect returns the queue whose runs have most of the blame, and their share of it. The
// queue is empty if the crash tells nothing of queues.
func (r Record) PrimeSuspect() (queue string, share float64) {
	if r.Inferred {
		return "", 0
	}
	shares := map[string]float64{}
	for i, run := range r.Runs {
		shares[run.Queue] += r.Blame(i)
	}
	for q, s := range shares {
		if q != "" && (s > share || s == share && q < queue) {
			queue, share = q, s
		}
	}
	return queue, share
}

// Wire returns the record as a message that is sent now.
func (r Record) Wire(now time.Time) *wire.Crash {
	m := &wire.Crash{Agent: r.Agent, BornMs: r.BornMS, Service: r.Service, AgeMs: uint32(max(0, now.Sub(r.At).Milliseconds())), Inferred: r.Inferred}
	for _, run := range r.Runs {
		m.Runs = append(m.Runs, &wire.CrashedRun{
			Job: run.Job, Step: uint32(run.Step), Index: uint32(run.Index), Queue: run.Queue, RanMs: uint32(max(0, run.Age.Milliseconds())),
		})
	}
	return m
}

// FromWire returns the record in a message that was received now.
func FromWire(m *wire.Crash, now time.Time) Record {
	r := Record{
		ID: ID{Agent: m.GetAgent(), BornMS: m.GetBornMs()}, Service: m.GetService(), At: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond), Inferred: m.GetInferred(),
	}
	for _, run := range m.GetRuns() {
		r.Runs = append(r.Runs, Run{
			Task:  Task{Job: run.GetJob(), Step: int(run.GetStep()), Index: int(run.GetIndex())},
			Queue: run.GetQueue(), Age: time.Duration(run.GetRanMs()) * time.Millisecond,
		})
	}
	return r
}
