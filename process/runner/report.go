package runner

import (
	"sort"
	"time"

	"github.com/corianderhook/corianderhook/process/residual"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/wire"
)

// How says how a run ended at the endpoint.
type How uint8

const (
	// EndedWell means that the task did its work.
	EndedWell How = iota // well
	// EndedFailed means a failure through the task's own fault or the endpoint's.
	EndedFailed // failed
	// EndedOtherwise means that the run was stopped, or its lease ran out.
	EndedOtherwise // otherwise
)

// RunName is how an endpoint lists a run.
type RunName struct {
	Job   string
	Step  int
	Index int
	Run   uint64
}

// End is a run that ended at the endpoint.
type End struct {
	RunName
	How    How
	Reason string
}

// Report is an endpoint's list of what runs and what has ended.
type Report struct {
	// Asked is when the list was asked for.
	RequestedAt time.Time
	Running     []RunName
	Ended       []End
	// Whole: no ends are left out.
	Complete bool
}

func (n RunName) key() string {
	return runKey(Order{Job: n.Job, Step: n.Step, Index: n.Index, Run: n.Run})
}

// Report takes an endpoint's list and returns runs that nobody here has asked for.
func (r *Runner) HandleReport(p Report) (strangers []RunName) {
	for _, e := range p.Ended {
		r.ended(e)
	}
	listed := make(map[string]bool, len(p.Running))
	for _, run := range p.Running {
		key := run.key()
		listed[key] = true
		if r.byRun[key] == nil {
			strangers = append(strangers, run)
		}
	}
	if p.Complete {
		r.missing(p.RequestedAt, listed)
	}
	return strangers
}

func (r *Runner) ended(e End) {
	t, known := r.byRun[e.key()]
	if !known {
		return
	}
	kind := wire.TaskEventKind_TASK_EVENT_KIND_LOST
	switch e.How {
	case EndedWell:
		kind = wire.TaskEventKind_TASK_EVENT_KIND_DONE
		if t.tries == 1 {
			// Of several orders it is not known which was carried out.
			r.evidence.Succeeded(t.order.Job, r.host.Now().Sub(t.orderedAt), t.expected, r.host.Now())
		}
	case EndedFailed:
		kind = wire.TaskEventKind_TASK_EVENT_KIND_FAILED
		r.evidence.Failed(t.order.Job, r.host.Now())
	case EndedOtherwise:
	}
	if kind != wire.TaskEventKind_TASK_EVENT_KIND_DONE {
		r.host.Decided("CH1125 run ended otherwise than well", t.order, "how", e.Reason)
	}
	r.end(t, kind, e.Reason)
}

// missing ends tasks that the endpoint had taken, or acknowledged to stop, before
// the list was asked for, and that are not on it.
func (r *Runner) missing(asked time.Time, listed map[string]bool) {
	for _, t := range r.all() {
		settled := t.phase == running || t.phase == stopped
		if settled && asked.After(t.settledAt) && !listed[runKey(t.order)] {
			r.end(t, wire.TaskEventKind_TASK_EVENT_KIND_LOST, "the endpoint does not list it")
		}
	}
}

// Lapse ends what the endpoint had taken before the time at which its lease must
// have run out, whether a stop was answered or not. Orders to start without an answer
// stay in doubt.
func (r *Runner) Lapse(reason string) {
	for _, t := range r.all() {
		if t.taken || t.phase == stopped {
			r.end(t, wire.TaskEventKind_TASK_EVENT_KIND_LOST, reason)
		}
	}
}

// LapsedAfter returns how long after the last renewal everything has ended by the
// endpoint's own clock, which may be slow.
func LeaseLapseTime() time.Duration {
	return LeaseDuration + LeaseDuration*clockError/100 + StopDuration
}

// Tick stops what belongs to dispatchers that are not heard and returns what has
// waited for too long.
func (r *Runner) Tick() {
	now := r.host.Now()
	for d, s := range r.sessions {
		if now.Sub(s.heard) > SilenceTimeout {
			r.drop(d, "its dispatcher is silent")
		}
	}
	for _, i := range r.backlog.PopExpired(now) {
		r.giveBack(r.tasks[i.Name], "it could not start in time")
	}
}

// Held returns the tasks of a dispatcher that wait or may run.
func (r *Runner) HeldBy(dispatcher uint64) []uint64 {
	var held []uint64
	for _, t := range r.all() {
		if t.dispatcher == dispatcher {
			held = append(held, t.ref)
		}
	}
	return held
}

// InDoubt counts runs of which it is not known whether the endpoint has them: an order
// to start or stop them has had no answer.
func (r *Runner) InDoubt() int {
	count := 0
	for _, t := range r.tasks {
		if t.phase == starting && t.tries > 1 || t.phase == stopping {
			count++
		}
	}
	return count
}

// Free reports the room that is left.
func (r *Runner) Free() size.Size { return r.ledger.Free() }

// Empty reports whether nothing waits and nothing may run.
func (r *Runner) Empty() bool { return len(r.tasks) == 0 }

// Room returns what the runner can take now.
func (r *Runner) Room() *wire.Room {
	room := &wire.Room{
		Free:    r.ledger.Free().Wire(),
		Queued:  r.backlog.QueuedWork(r.host.Now()),
		Waiting: uint32(r.backlog.Len()),
	}
	now := r.host.Now()
	var ends residual.CompletionRate
	for _, t := range r.tasks {
		if t.phase != waiting {
			room.Running++
			ends.Add(t.expected, now.Sub(t.orderedAt))
		}
	}
	room.FailingPercent = percent(r.evidence.FailureRate(now))
	room.SlownessPercent = percent(r.evidence.Slowness(now))
	room.NextEndUs = uint32(ends.UntilNext().Microseconds())
	return room
}

func percent(share float64) uint32 { return uint32(100 * share) }

// all returns the tasks in a fixed order, so that equal histories decide alike.
func (r *Runner) all() []*task {
	list := make([]*task, 0, len(r.tasks))
	for _, t := range r.tasks {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}
