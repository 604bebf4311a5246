// Package runner decides beside an endpoint which tasks start, and knows what may
// still run there. Three things hold whatever is lost or late:
//
//   - The tasks never take more than the endpoint's capacity. An order without an
//     answer holds its room until the endpoint shows that it is void.
//   - A task runs only while its dispatcher is heard, dated by the runner's own
//     clock, so that a message that was held up extends nothing.
//   - An end is told only when no run of the task is left.
//
// The package does no I/O.
package runner

import (
	"slices"
	"strconv"
	"time"

	"github.com/corianderhook/corianderhook/process/backlog"
	"github.com/corianderhook/corianderhook/process/evidence"
	"github.com/corianderhook/corianderhook/process/ledger"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/wire"
)

// Timing of the promise that nothing of a dispatcher runs any more when its callers
// send their jobs again; dispatcher, runner and lease together stay within it.
const (
	// Silence is how long a dispatcher may be unheard before its tasks are stopped.
	SilenceTimeout = 560 * time.Millisecond
	// Lease is how long an endpoint goes on without being renewed.
	LeaseDuration = 500 * time.Millisecond
	// Fresh is the age of the last sign of a dispatcher at which tasks still start.
	MaxStartSilence = 350 * time.Millisecond
	// Reset is how long an endpoint takes to carry out a stop.
	StopDuration = 50 * time.Millisecond
	// clockError is how much slower the endpoint's clock may be, in parts of a hundred.
	clockError = 2
	// startTries is how often a start without an answer is sent.
	startTries = 4
)

// Order is a start order for an endpoint.
type Order struct {
	Job     string
	Step    int
	Index   int
	Run     uint64
	Payload string
}

// Host carries out what the runner decides.
type Host interface {
	// Now returns the steady time.
	Now() time.Time
	// Start sends a start order; Started brings the result.
	Start(name string, o Order)
	// Stop sends a stop order; Stopped brings the result.
	Stop(name string, o Order)
	// Send queues events for a dispatcher.
	Send(dispatcher uint64, events ...*wire.TaskEvent)
	// Decided logs a decision on a task under a numbered event.
	Decided(event string, o Order, details ...any)
}

//go:generate stringer -type=Result,How -linecomment

// Result is what became of a start order.
type Result uint8

const (
	// Running means that the endpoint has taken the order.
	Running Result = iota // running
	// Refused means that the endpoint has done nothing, and never will for the order.
	Refused // refused
	// Doubtful means no answer: the order may be carried out later.
	Doubtful // doubtful
)

type phase uint8

const (
	waiting phase = iota
	starting
	running
	// stopping: a stop has been ordered and not acknowledged.
	stopping
	// stopped: the stop is acknowledged, the end is not seen.
	stopped
)

type task struct {
	name       string
	dispatcher uint64
	ref        uint64
	order      Order
	size       size.Size
	expected   time.Duration
	offered    time.Time
	orderedAt  time.Time
	// settledAt is when the last answer to a start or stop came: an endpoint's list
	// that was asked for later must show the run if it exists.
	settledAt time.Time
	phase     phase
	tries     int
	// taken: the endpoint has acknowledged an order to start it.
	taken bool
}

type session struct {
	heard time.Time
	name  string
}

// Runner is the state beside one endpoint. It is not safe for concurrent use.
type Runner struct {
	host      Host
	ledger    *ledger.Ledger
	backlog   *backlog.Backlog
	evidence  *evidence.Evidence
	tasks     map[string]*task
	byRun     map[string]*task
	sessions  map[uint64]*session
	accepting bool
	reason    string
}

// New returns a runner that accepts nothing until Accept is called.
func New(host Host) *Runner {
	return &Runner{
		host:     host,
		ledger:   ledger.New(),
		backlog:  backlog.New(),
		evidence: evidence.New(),
		tasks:    map[string]*task{},
		byRun:    map[string]*task{},
		sessions: map[uint64]*session{},
		reason:   "no endpoint has announced itself",
	}
}

func name(dispatcher, ref uint64) string {
	return strconv.FormatUint(dispatcher, 36) + "/" + strconv.FormatUint(ref, 36)
}

// runKey names a run as the endpoint's lists do.
func runKey(o Order) string {
	return o.Job + "." + strconv.Itoa(o.Step) + "." + strconv.Itoa(o.Index) + "." + strconv.FormatUint(o.Run, 10)
}

// Accept opens the runner for an endpoint of the given capacity.
func (r *Runner) Accept(capacity size.Size) {
	r.ledger.Resize(capacity)
	r.accepting = true
	r.reason = ""
	r.fill()
}

// Refuse closes the runner for new starts and returns all that waits.
func (r *Runner) Refuse(reason string) {
	r.accepting = false
	r.reason = reason
	for _, t := range r.all() {
		if t.phase == waiting {
			r.giveBack(t, reason)
		}
	}
}

// Forget notes that the endpoint has begun a new life: nothing of before runs.
func (r *Runner) EndpointRestarted(reason string) {
	for _, t := range r.all() {
		if t.phase != waiting {
			r.end(t, wire.TaskEventKind_TASK_EVENT_KIND_LOST, reason)
		}
	}
	r.ledger.Clear()
	r.evidence.Reset()
}

// Heard notes that a dispatcher is known to have lived at the given time.
func (r *Runner) Heard(dispatcher uint64, address string, at time.Time) {
	s, known := r.sessions[dispatcher]
	if !known {
		s = &session{}
		r.sessions[dispatcher] = s
		r.replaced(dispatcher, address)
	}
	s.name = address
	if at.After(s.heard) {
		s.heard = at
	}
}

// replaced stops the tasks of an earlier run of the dispatcher at an address.
func (r *Runner) replaced(dispatcher uint64, address string) {
	for d, s := range r.sessions {
		if d != dispatcher && s.name == address {
			r.drop(d, "the dispatcher has started anew")
		}
	}
}

// drop stops all tasks of a dispatcher.
func (r *Runner) drop(dispatcher uint64, reason string) {
	for _, t := range r.all() {
		if t.dispatcher == dispatcher {
			r.stop(t, reason)
		}
	}
	delete(r.sessions, dispatcher)
}

// Take takes a frame of a dispatcher, which may hold all that it has said since the
// last one: an offer can be canceled in the frame that brings it.
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

// Offer takes tasks of a job from a dispatcher.
func (r *Runner) Offer(dispatcher uint64, o *wire.Offer) {
	now := r.host.Now()
	for _, offered := range o.GetTasks() {
		n := name(dispatcher, offered.GetRef())
		if _, known := r.tasks[n]; known {
			continue
		}
		t := &task{
			name: n, dispatcher: dispatcher, ref: offered.GetRef(), offered: now,
			size:     size.FromWire(offered.GetSize()),
			expected: time.Duration(offered.GetExpectedMs()) * time.Millisecond,
			order: Order{
				Job: o.GetJob(), Step: int(offered.GetStep()), Index: int(offered.GetIndex()),
				Run: offered.GetRun(), Payload: o.GetPayload(),
			},
		}
		r.tasks[n] = t
		if !r.accepting {
			r.giveBack(t, r.reason)
			continue
		}
		r.backlog.Add(backlog.Item{
			Name: n, Urgency: int(o.GetUrgency()), Size: t.size, Expected: t.expected,
			LatestStart: now.Add(time.Duration(o.GetOnTimeWithinMs()) * time.Millisecond),
			Expiry:      now.Add(time.Duration(o.GetStartWithinMs()) * time.Millisecond),
		})
	}
	r.fill()
	if !o.GetAtOnce() {
		return
	}
	for _, offered := range o.GetTasks() {
		if t, known := r.tasks[name(dispatcher, offered.GetRef())]; known && t.phase == waiting {
			r.giveBack(t, "it could not start at once")
		}
	}
}

// Cancel stops a task that its dispatcher has given up.
func (r *Runner) Cancel(dispatcher, ref uint64) {
	if t, known := r.tasks[name(dispatcher, ref)]; known {
		r.stop(t, "canceled by its dispatcher")
	}
}

// Withdraw gives a task back that has not started; a later one goes on.
func (r *Runner) Withdraw(dispatcher, ref uint64) {
	if t, known := r.tasks[name(dispatcher, ref)]; known && t.phase == waiting {
		r.giveBack(t, "withdrawn by its dispatcher")
	}
}

// fill starts what waits as long as there is room.
func (r *Runner) fill() {
	for r.accepting {
		item, found := r.backlog.Pop(r.ledger.Free(), r.host.Now())
		if !found {
			return
		}
		r.begin(r.tasks[item.Name])
	}
}

func (r *Runner) begin(t *task) {
	now := r.host.Now()
	s, known := r.sessions[t.dispatcher]
	switch {
	case !known || now.Sub(s.heard) > MaxStartSilence:
		r.giveBack(t, "its dispatcher has not been heard of late")
		return
	case r.byRun[runKey(t.order)] != nil:
		r.giveBack(t, "the same run is known already")
		return
	case !r.ledger.Reserve(t.name, t.size):
		r.giveBack(t, "there is no room for it")
		return
	}
	r.byRun[runKey(t.order)] = t
	t.phase = starting
	t.orderedAt = now
	t.tries = 1
	r.host.Decided("CH1126 task started", t.order, "waited", now.Sub(t.offered), "free", r.ledger.Free(), "heard", now.Sub(s.heard))
	r.host.Start(t.name, t.order)
	r.host.Send(t.dispatcher, &wire.TaskEvent{Ref: t.ref, Kind: wire.TaskEventKind_TASK_EVENT_KIND_STARTED, WaitedMs: millis(now.Sub(t.offered))})
}

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// Started takes the result of a start order.
func (r *Runner) Started(n string, result Result, reason string) {
	t, known := r.tasks[n]
	if !known || t.phase == waiting {
		return
	}
	t.settledAt = r.host.Now()
	t.taken = t.taken || result == Running
	switch {
	case result == Refused && t.tries == 1:
		// With no earlier order in doubt nothing of the task can run.
		r.host.Decided("CH1121 start refused", t.order, "reason", reason)
		r.end(t, wire.TaskEventKind_TASK_EVENT_KIND_LOST, "start refused: "+reason)
	case t.phase != starting:
	case result == Running:
		t.phase = running
	case result == Doubtful && t.tries < startTries:
		// The same run again: the endpoint starts it once, and a delayed copy of the
		// first order does nothing then.
		t.tries++
		r.host.Decided("CH1122 start sent again", t.order, "try", t.tries, "reason", reason)
		r.host.Start(t.name, t.order)
	default:
		r.stop(t, "start in doubt: "+reason)
	}
}

// stop ends a task: at once where it waits, else by an order to the endpoint.
func (r *Runner) stop(t *task, reason string) {
	switch t.phase {
	case waiting:
		r.giveBack(t, reason)
	case starting, running:
		t.phase = stopping
		r.host.Decided("CH1123 stop ordered", t.order, "reason", reason)
		r.host.Stop(t.name, t.order)
	case stopping, stopped:
	}
}

// Stopped takes the result of a stop order.
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
	t.settledAt = r.host.Now()
}

func (r *Runner) giveBack(t *task, reason string) {
	r.backlog.Remove(t.name)
	delete(r.tasks, t.name)
	r.host.Decided("CH1124 task returned without a start", t.order, "reason", reason)
	r.host.Send(t.dispatcher, &wire.TaskEvent{
		Ref: t.ref, Kind: wire.TaskEventKind_TASK_EVENT_KIND_RETURNED, Reason: reason,
		WaitedMs: millis(r.host.Now().Sub(t.offered)),
	})
}

// end forgets a task of which no run is left and tells its dispatcher.
func (r *Runner) end(t *task, kind wire.TaskEventKind, reason string) {
	now := r.host.Now()
	r.ledger.Release(t.name)
	delete(r.tasks, t.name)
	delete(r.byRun, runKey(t.order))
	r.host.Send(t.dispatcher, &wire.TaskEvent{
		Ref: t.ref, Kind: kind, Reason: reason,
		WaitedMs: millis(t.orderedAt.Sub(t.offered)), RanMs: millis(now.Sub(t.orderedAt)),
	})
	r.fill()
}
