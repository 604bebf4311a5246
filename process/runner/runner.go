// Package runner decides in the sidecar of an endpoint which tasks start, and tracks
// which may still run there. It keeps three invariants, whichever messages are lost or
// late:
//
//   - The tasks never take more than the endpoint's capacity. An order without an
//     answer keeps its capacity until the endpoint shows that it has no effect.
//   - A task runs only while its dispatcher is heard. The time at which it was last
//     alive is by the runner's own clock, so that a delayed message does not extend it.
//   - The end of a task is reported only when no run of it is left.
//
// The package does no I/O.
package runner

import (
	"slices"
	"strconv"
	"time"

	"github.com/corianderhook/corianderhook/process/backlog"
	"github.com/corianderhook/corianderhook/process/crash"
	"github.com/corianderhook/corianderhook/process/endpointhealth"
	"github.com/corianderhook/corianderhook/process/lease"
	"github.com/corianderhook/corianderhook/process/ledger"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/sharing/interference"
	"github.com/corianderhook/corianderhook/sharing/room"
	"github.com/corianderhook/corianderhook/sharing/slowdown"
	"github.com/corianderhook/corianderhook/wire"
)

// Timeouts that ensure that no task of a lost dispatcher runs any more when its callers
// submit their jobs again. OrphanTime stays below the resubmission time of the settings.
const (
	// SilenceTimeout is how long a dispatcher may be silent before its tasks are stopped.
	SilenceTimeout = 560 * time.Millisecond
	// MaxStartSilence is how long a dispatcher may be silent for its tasks to start.
	MaxStartSilence = 350 * time.Millisecond
	// StopGrace is how long a stop order may go without an answer before the lease is no
	// longer extended.
	StopGrace = 100 * time.Millisecond
	// maxOrphanTime is the time from the last word of a dispatcher to the end of the last
	// lease of its runs.
	maxOrphanTime = SilenceTimeout + StopGrace + lease.Duration
	// maxStartTries is how often a start order without an answer is sent in all.
	maxStartTries = 4
	// maxUnansweredStarts is how many start orders may be without an answer at once. Each takes a
	// request to the endpoint, some 50 KiB; the tasks of the largest ordinary job fit.
	maxUnansweredStarts = 512
)

// OrphanTime returns the time from the last word of a dispatcher to the end of its last run,
// whether the endpoint answers or not.
func OrphanTime() time.Duration { return SilenceTimeout + StopGrace + lease.LapseTime() }

// tooLargeReason is the reason of returning a task that the endpoint can never take.
const tooLargeReason = "it is larger than the endpoint's capacity"

type phase uint8

const (
	waiting phase = iota
	starting
	running
	// stopping means that a stop order is not acknowledged yet.
	stopping
	// stopped means that the stop order is acknowledged but the end is not reported yet.
	stopped
)

type task struct {
	name       string
	dispatcher uint64
	ref        uint64
	order      Order
	queue      string
	size       size.Size
	expected   time.Duration
	offeredAt  time.Time
	// decidedAt is when the dispatcher decided on the offer, or offeredAt if that is not known.
	decidedAt time.Time
	orderedAt time.Time
	// answeredAt is when the last answer to a start or stop order came. A report that was
	// requested later lists the run if it exists.
	answeredAt time.Time
	phase      phase
	tries      int
	// startAcknowledged is true once the endpoint has accepted a start order.
	startAcknowledged bool
	// endBy is the time by which the run has to have ended, since the job's caller may submit
	// it again; zero if it may run on.
	endBy time.Time
	// leaseOver is set once the lease has lapsed since the run was ordered to stop.
	leaseOver bool
}

// Runner holds the tasks of one endpoint. It is not safe for concurrent use.
type Runner struct {
	host     Host
	ledger   *ledger.Ledger
	backlog  *backlog.Backlog
	evidence *endpointhealth.Tracker
	tasks    map[string]*task
	byRun    map[string]*task
	// unanswered is the number of tasks whose start order has no answer yet.
	unanswered    int
	sessions      map[uint64]*session
	accepting     bool
	refusalReason string
	// closed is set while no start order may be sent again either.
	closed bool
	// lapsed holds the runs that ended with the lease since the endpoint last answered: if it
	// has crashed, they were there.
	lapsed []crash.Run
	// strays holds the runs at the endpoint that the runner does not know, with the time by
	// which they have to have ended.
	strays map[string]time.Time
	// resumedAt is when the machine was last resumed, suspension how long it was suspended.
	resumedAt  time.Time
	suspension time.Duration
	// taken measures the started work by urgency; nil if reports do not tell it.
	taken *room.Taken
	// crashedBorn is the start of the incarnation that crashed last.
	crashedBorn time.Time
	// slowdowns tells early that the endpoint has turned slow; nil if nobody wants to know.
	slowdowns *slowdown.Tracker
	// neighbors estimates which queues' tasks slow each other down; nil if nobody wants to know.
	neighbors *interference.Estimator
}

// Option changes a runner that New returns.
type Option func(r *Runner)

// WithNeighbors makes the runner pass its runs to an estimator.
func WithNeighbors(e *interference.Estimator) Option { return func(r *Runner) { r.neighbors = e } }

// WithSharedRoom makes capacity reports tell the started work by urgency.
func WithSharedRoom() Option { return func(r *Runner) { r.taken = &room.Taken{} } }

// New returns a runner that accepts no tasks until Accept is called.
func New(host Host, options ...Option) *Runner {
	r := &Runner{
		host:          host,
		ledger:        ledger.New(),
		backlog:       backlog.New(),
		evidence:      endpointhealth.New(),
		tasks:         map[string]*task{},
		byRun:         map[string]*task{},
		sessions:      map[uint64]*session{},
		strays:        map[string]time.Time{},
		refusalReason: "no endpoint has announced itself",
	}
	for _, apply := range options {
		apply(r)
	}
	return r
}

func taskName(dispatcher, ref uint64) string {
	return strconv.FormatUint(dispatcher, 36) + "/" + strconv.FormatUint(ref, 36)
}

// runKey identifies a run by the fields that an endpoint's report lists.
func runKey(o Order) string {
	return o.Job + "." + strconv.Itoa(o.Step) + "." + strconv.Itoa(o.Index) + "." + strconv.FormatUint(o.Run, 10)
}

// Accept lets the runner start tasks at an endpoint of the given capacity.
func (r *Runner) Accept(capacity size.Size) {
	r.ledger.Resize(capacity)
	r.accepting, r.closed = true, false
	r.refusalReason = ""
	for _, t := range r.sortedTasks() {
		if t.phase == waiting && !t.size.Fits(capacity) {
			r.returnTask(t, tooLargeReason)
		}
	}
	r.startWaiting()
}

// Refuse stops new starts and returns all waiting tasks. Start orders without an answer are
// sent again.
func (r *Runner) Refuse(reason string) {
	r.closed = false
	r.refuse(reason)
}

// Close stops new starts and returns all waiting tasks. A start order without an answer is not
// sent again, since a repeated order would start a run that the first one did not: its run is
// stopped, and ends once the endpoint does not list it.
func (r *Runner) Close(reason string) {
	r.closed = true
	r.refuse(reason)
}

func (r *Runner) refuse(reason string) {
	r.accepting = false
	r.refusalReason = reason
	for _, t := range r.sortedTasks() {
		if t.phase == waiting {
			r.returnTask(t, reason)
		}
	}
}

// EndpointRestarted handles a new incarnation of the endpoint: no earlier run is left. Nothing
// starts until Accept is called.
func (r *Runner) EndpointRestarted(reason string) {
	r.accepting, r.refusalReason = false, reason
	for _, t := range r.sortedTasks() {
		if t.phase != waiting {
			r.endUnlisted(t, reason)
		}
	}
	clear(r.strays)
	r.ledger.Clear()
	r.evidence.Reset()
	r.forgetNeighbors()
	if r.slowdowns != nil {
		r.slowdowns.Reset()
	}
}

// HandleFrame handles a dispatcher's frame. A frame holds all messages since the previous
// one, so that it may cancel a task that it offers. Cancels go first: the capacity that
// they free is available to the offers.
func (r *Runner) HandleFrame(dispatcher uint64, f *wire.DispatcherFrame) {
	canceled := make(map[uint64]bool, len(f.GetCancels()))
	for _, ref := range f.GetCancels() {
		canceled[ref] = true
		r.Cancel(dispatcher, ref)
	}
	for _, o := range f.GetOffers() {
		o.Tasks = slices.DeleteFunc(o.GetTasks(), func(t *wire.OfferedTask) bool { return canceled[t.GetRef()] })
		r.Offer(dispatcher, o)
	}
	for _, ref := range f.GetWithdraws() {
		r.Withdraw(dispatcher, ref)
	}
}

// Cancel stops a task that its dispatcher no longer needs.
func (r *Runner) Cancel(dispatcher, ref uint64) {
	if t, known := r.tasks[taskName(dispatcher, ref)]; known {
		r.stopBy(t, r.stopDeadline(), "canceled by its dispatcher")
	}
}

// CancelJob stops all tasks of a job, whichever dispatcher has sent them.
func (r *Runner) CancelJob(job, reason string) {
	for _, t := range r.sortedTasks() {
		if t.order.Job == job {
			r.stopBy(t, r.stopDeadline(), reason)
		}
	}
}

// Withdraw returns a task if it has not started; a started task runs on.
func (r *Runner) Withdraw(dispatcher, ref uint64) {
	if t, known := r.tasks[taskName(dispatcher, ref)]; known && t.phase == waiting {
		r.returnTask(t, "withdrawn by its dispatcher")
	}
}

// startWaiting starts waiting tasks as long as there is room.
func (r *Runner) startWaiting() {
	for r.accepting && r.unanswered < maxUnansweredStarts {
		item, found := r.backlog.Pop(r.ledger.Free(), r.host.Now())
		if !found {
			return
		}
		if r.taken != nil {
			r.taken.Observe(item.Urgency, item.Size.CPU, item.Expected, r.host.Now())
		}
		r.start(r.tasks[item.Name])
	}
}

// startHeldBack starts tasks that only waited for the answer to a start order.
func (r *Runner) startHeldBack() {
	if r.unanswered == maxUnansweredStarts-1 {
		r.startWaiting()
	}
}

// start sends the start order of a task, or returns the task if it must not start.
func (r *Runner) start(t *task) {
	now := r.host.Now()
	silence, mayStart := r.silence(t.dispatcher)
	switch {
	case !mayStart:
		r.returnTask(t, "its dispatcher has not been heard of late")
		return
	case r.byRun[runKey(t.order)] != nil:
		r.returnTask(t, "the same run is known already")
		return
	case !r.ledger.Reserve(t.name, t.size):
		r.returnTask(t, "there is no room for it")
		return
	}
	r.byRun[runKey(t.order)] = t
	r.enter(t, starting)
	t.orderedAt = now
	t.tries = 1
	r.beginBeside(t)
	r.host.LogDecision("CH1126 task started", t.order, "waited", now.Sub(t.offeredAt), "free", r.ledger.Free(), "heard", silence, "decided", now.Sub(t.decidedAt))
	r.host.Start(t.name, t.order)
	r.host.Send(t.dispatcher, &wire.TaskEvent{Ref: t.ref, Kind: wire.TaskEventKind_TASK_EVENT_KIND_STARTED, WaitedMs: millis(now.Sub(t.offeredAt))})
}

// mayRepeatStart reports whether a start order without an answer is sent again. The condition on
// the dispatcher is that of a first order, since the repeated one may be the first that arrives.
func (r *Runner) mayRepeatStart(t *task) bool {
	_, mayStart := r.silence(t.dispatcher)
	return mayStart && t.tries < maxStartTries && !r.closed
}

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// Started handles the result of a start order.
func (r *Runner) Started(n string, result Result, reason string) {
	t, known := r.tasks[n]
	if !known || t.phase == waiting {
		return
	}
	t.answeredAt = r.host.Now()
	t.startAcknowledged = t.startAcknowledged || result == Running
	switch {
	case result == Refused && t.tries == 1:
		// No earlier order is in doubt, so no run of the task can exist.
		r.host.LogDecision("CH1121 start refused", t.order, "reason", reason)
		r.end(t, wire.TaskEventKind_TASK_EVENT_KIND_LOST, "start refused: "+reason)
	case t.phase != starting:
	case result == Running:
		r.enter(t, running)
		r.startHeldBack()
	case result == Doubtful && r.mayRepeatStart(t):
		// The endpoint starts the same run only once, so that a delayed copy of the first
		// order has no effect.
		t.tries++
		r.host.LogDecision("CH1122 start order retried", t.order, "try", t.tries, "reason", reason)
		r.host.Start(t.name, t.order)
	default:
		r.stop(t, "start in doubt: "+reason)
	}
}

// stopBy stops a task whose run has to end by the given time.
func (r *Runner) stopBy(t *task, endBy time.Time, reason string) {
	if t.endBy.IsZero() || endBy.Before(t.endBy) {
		t.endBy = endBy
	}
	r.stop(t, reason)
}

// stop returns a waiting task, or orders the endpoint to stop a started one.
func (r *Runner) stop(t *task, reason string) {
	switch t.phase {
	case waiting:
		r.returnTask(t, reason)
	case starting, running:
		wasStarting := t.phase == starting
		r.enter(t, stopping)
		r.host.LogDecision("CH1123 stop ordered", t.order, "reason", reason)
		r.host.Stop(t.name, t.order)
		if wasStarting {
			r.startHeldBack()
		}
	case stopping, stopped:
	}
}

// Stopped handles the result of a stop order. An order that was not acknowledged is sent
// again.
func (r *Runner) Stopped(n string, acknowledged bool) {
	t, known := r.tasks[n]
	if !known || t.phase != stopping {
		return
	}
	if !acknowledged {
		r.host.Stop(t.name, t.order)
		return
	}
	t.phase = stopped
	t.answeredAt = r.host.Now()
}

// enter changes the phase of a started task.
func (r *Runner) enter(t *task, to phase) {
	if t.phase == starting {
		r.unanswered--
	}
	if to == starting {
		r.unanswered++
	}
	t.phase = to
}

// returnTask removes a task that has not started and returns it to its dispatcher.
func (r *Runner) returnTask(t *task, reason string) {
	r.backlog.Remove(t.name)
	delete(r.tasks, t.name)
	r.host.LogDecision("CH1124 task returned without a start", t.order, "reason", reason)
	r.host.Send(t.dispatcher, &wire.TaskEvent{
		Ref: t.ref, Kind: wire.TaskEventKind_TASK_EVENT_KIND_RETURNED, Reason: reason,
		WaitedMs: millis(r.host.Now().Sub(t.offeredAt)),
	})
}

// end removes a task that has no run left and reports its end to the dispatcher.
func (r *Runner) end(t *task, kind wire.TaskEventKind, reason string) {
	now := r.host.Now()
	r.enter(t, stopped)
	r.ledger.Release(t.name)
	r.endBeside(t)
	delete(r.tasks, t.name)
	delete(r.byRun, runKey(t.order))
	r.host.Send(t.dispatcher, &wire.TaskEvent{
		Ref: t.ref, Kind: kind, Reason: reason,
		WaitedMs: millis(t.orderedAt.Sub(t.offeredAt)), RanMs: millis(now.Sub(t.orderedAt)),
	})
	r.startWaiting()
}
