package runner

import (
	"sort"
	"time"

	"github.com/corianderhook/corianderhook/process/completion"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/wire"
)

// EndKind is how a run ended at the endpoint.
type EndKind uint8

const (
	// EndSucceeded means that the task succeeded.
	EndSucceeded EndKind = iota // well
	// EndFailed means that the task failed, by its own fault or the endpoint's.
	EndFailed // failed
	// EndStopped means that the run was stopped or its lease expired.
	EndStopped // otherwise
)

// RunName identifies a run in an endpoint's report.
type RunName struct {
	Job   string
	Step  int
	Index int
	Run   uint64
}

// End is a run that ended at the endpoint.
type End struct {
	RunName
	Kind   EndKind
	Reason string
}

// Report lists the runs at an endpoint, and those that have ended.
type Report struct {
	// RequestedAt is when the report was requested, by the runner's clock.
	RequestedAt time.Time
	Running     []RunName
	Ended       []End
	// Complete is true if no ended run is left out.
	Complete bool
}

func (n RunName) key() string {
	return runKey(Order{Job: n.Job, Step: n.Step, Index: n.Index, Run: n.Run})
}

// HandleReport ends the tasks that the report shows to have ended. It returns the
// running runs that the runner does not know.
func (r *Runner) HandleReport(report Report) (unknown []RunName) {
	// The incarnation that answers has not crashed.
	r.lapsed = nil
	for _, e := range report.Ended {
		r.handleEnd(e)
	}
	listed := make(map[string]bool, len(report.Running))
	for _, run := range report.Running {
		key := run.key()
		listed[key] = true
		if r.byRun[key] == nil {
			unknown = append(unknown, run)
		}
	}
	r.noteStrays(unknown)
	if report.Complete {
		r.endMissing(report.RequestedAt, listed)
	}
	return unknown
}

// handleEnd ends the task of a run that ended, and records the run for the endpoint's health.
func (r *Runner) handleEnd(e End) {
	t, known := r.byRun[e.key()]
	if !known {
		return
	}
	kind := wire.TaskEventKind_TASK_EVENT_KIND_LOST
	switch e.Kind {
	case EndSucceeded:
		kind = wire.TaskEventKind_TASK_EVENT_KIND_DONE
		if t.tries == 1 {
			// After several orders it is unknown which one was carried out, and with
			// it when the run began.
			r.evidence.Succeeded(t.order.Job, r.host.Now().Sub(t.orderedAt), t.expected, r.host.Now())
			r.compareRun(t)
			r.recordEnded(t)
		}
	case EndFailed:
		kind = wire.TaskEventKind_TASK_EVENT_KIND_FAILED
		r.evidence.Failed(t.order.Job, r.host.Now())
	case EndStopped:
	}
	if kind != wire.TaskEventKind_TASK_EVENT_KIND_DONE {
		r.host.LogDecision("CH1125 run did not succeed", t.order, "how", e.Reason)
	}
	r.end(t, kind, e.Reason)
}

// endMissing ends the tasks whose start or stop the endpoint acknowledged before the
// report was requested, and that the report does not list.
func (r *Runner) endMissing(requestedAt time.Time, listed map[string]bool) {
	for _, t := range r.sortedTasks() {
		acknowledged := t.phase == running || t.phase == stopped
		if acknowledged && requestedAt.After(t.answeredAt) && !listed[runKey(t.order)] {
			r.endUnlisted(t, "the endpoint does not list it")
		}
	}
}

// endUnlisted ends a task whose run the endpoint has not listed as ended.
func (r *Runner) endUnlisted(t *task, reason string) {
	r.host.LogDecision("CH1127 run taken for ended", t.order, "reason", reason,
		"orders", t.tries, "acknowledged", t.startAcknowledged, "endBy", t.endBy, "since", r.host.Now().Sub(t.orderedAt))
	r.end(t, wire.TaskEventKind_TASK_EVENT_KIND_LOST, reason)
}

// Tick stops the tasks of dispatchers that have been silent for too long and returns
// waiting tasks that are past their latest start.
func (r *Runner) Tick() {
	now := r.host.Now()
	for d, s := range r.sessions {
		if now.Sub(s.heardAt) > SilenceTimeout {
			r.dropDispatcher(d, "its dispatcher is silent")
		}
	}
	for _, i := range r.backlog.PopExpired(now) {
		r.returnTask(r.tasks[i.Name], "it could not start in time")
	}
}

// HeldBy returns the references of a dispatcher's tasks that wait or may run.
func (r *Runner) HeldBy(dispatcher uint64) []uint64 {
	var held []uint64
	for _, t := range r.sortedTasks() {
		if t.dispatcher == dispatcher {
			held = append(held, t.ref)
		}
	}
	return held
}

// InDoubt returns the number of runs that the endpoint may or may not have, because an
// order to start or stop them is unanswered.
func (r *Runner) InDoubt() int {
	count := 0
	for _, t := range r.tasks {
		if t.phase == starting && t.tries > 1 || t.phase == stopping {
			count++
		}
	}
	return count
}

// Free returns the free capacity.
func (r *Runner) Free() size.Size { return r.ledger.Free() }

// TaskCount returns the number of tasks that wait or may run.
func (r *Runner) TaskCount() int { return len(r.tasks) }

// Waiting returns the number of tasks that wait.
func (r *Runner) Waiting() int { return r.backlog.Len() }

// Empty reports whether no task waits and none may run.
func (r *Runner) Empty() bool { return len(r.tasks) == 0 }

// Room returns the capacity report for the dispatchers: the free capacity, the queued
// work and the recent performance of the endpoint.
func (r *Runner) Room() *wire.Room {
	room := &wire.Room{
		Free:    r.ledger.Free().Wire(),
		Queued:  r.backlog.QueuedWork(r.host.Now()),
		Waiting: uint32(r.backlog.Len()),
	}
	now := r.host.Now()
	var completions completion.Rate
	for _, t := range r.tasks {
		if t.phase != waiting {
			room.Running++
			completions.Add(t.expected, now.Sub(t.orderedAt))
		}
	}
	if r.taken != nil {
		room.Taken = r.taken.Millicores(now)
	}
	room.FailingPercent = percent(r.evidence.FailureRate(now))
	room.SlownessPercent = percent(max(r.evidence.Slowness(now), r.slownessUnderWay(now)))
	room.NextEndUs = uint32(completions.UntilNext().Microseconds())
	r.reportQueues(room)
	return room
}

func percent(share float64) uint32 { return uint32(100 * share) }

// sortedTasks returns the tasks in a fixed order, so that equal inputs give equal
// decisions.
func (r *Runner) sortedTasks() []*task {
	list := make([]*task, 0, len(r.tasks))
	for _, t := range r.tasks {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}
