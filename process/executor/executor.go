// Package executor schedules tasks at an agent: it chooses the entries to pull tasks
// from, rejects starts by an owner of an earlier epoch, and keeps the records that the
// next owner of an ownership slot recovers from. It does no I/O.
package executor

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/corianderhook/corianderhook/process/queue"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// reservationTimeout is how long an unanswered pull reserves its task slots. A later
	// answer is still accepted, up to pullTimeout and while task slots are free.
	reservationTimeout = 100 * time.Millisecond
	// pullTimeout is how long an unanswered pull stays open.
	pullTimeout = 10 * time.Second
	// maxReportedWait limits the wait of the oldest task as an entry reports it.
	maxReportedWait = time.Hour
)

// Host is the executor's interface to the agent process.
type Host interface {
	Now() time.Time
	// Send sends a frame to an entry, or drops it if the session has ended.
	Send(entry string, f *wire.AgentFrame)
	// Run starts a task at the endpoint. The host calls Finished when it has ended.
	Run(t *wire.TaskStart)
}

// pull is a request for tasks that the entry has not answered yet.
type pull struct {
	entry  string
	kind   string
	team   string
	count  int
	sentAt time.Time
	// released is set once the reservation has timed out.
	released bool
}

// Executor is the state of one agent. It is not safe for concurrent use.
type Executor struct {
	host  Host
	queue *queue.Queue
	// slots, running and reserved count task slots.
	slots    int
	running  int
	reserved int
	pulls    map[uint64]*pull
	lastPull uint64
	// records holds what is known of each ownership slot.
	records map[uint32]*slotRecord
	// entries holds the entries with a session.
	entries  map[string]bool
	draining bool
	// evacuated is set while the agent's availability zone is evacuated.
	evacuated bool
	retention time.Duration
}

// New returns an executor that runs up to the given number of tasks at once. Records
// that no entry tells it to forget are kept for at least the retention time.
func New(host Host, weights queue.Weights, slots int, retention time.Duration) *Executor {
	return &Executor{
		host:      host,
		queue:     queue.New(weights),
		slots:     slots,
		pulls:     map[uint64]*pull{},
		records:   map[uint32]*slotRecord{},
		entries:   map[string]bool{},
		retention: retention,
	}
}

// AttachEntry registers a new session with an entry. Pulls of an earlier session are
// closed, so that starts sent over it are no longer accepted.
func (e *Executor) AttachEntry(entry string) {
	e.DetachEntry(entry)
	e.entries[entry] = true
}

// DetachEntry closes the pulls of an entry whose session has ended, and drops its
// waiting tasks from the queue.
func (e *Executor) DetachEntry(entry string) {
	delete(e.entries, entry)
	e.queue.DropSource(entry)
	for _, id := range slices.Sorted(maps.Keys(e.pulls)) {
		p := e.pulls[id]
		if p.entry == entry {
			e.closePull(id, p)
		}
	}
	e.fill()
}

func (e *Executor) closePull(id uint64, p *pull) {
	delete(e.pulls, id)
	if !p.released {
		e.reserved -= p.count
	}
}

// Load returns the agent's load as it is reported to the entries.
func (e *Executor) Load() *wire.Load {
	return &wire.Load{
		Free:     uint32(max(0, e.slots-e.running-e.reserved)),
		Waiting:  uint32(e.queue.Waiting()),
		Draining: e.draining,
	}
}

// Running returns the number of tasks that run at the endpoint.
func (e *Executor) Running() int { return e.running }

// Drain stops pulling and starting tasks. Running tasks continue to their end.
func (e *Executor) Drain() { e.draining = true }

// SetEvacuated stops pulling and starting tasks, or resumes it. Running tasks continue to
// their end.
func (e *Executor) SetEvacuated(evacuated bool) {
	e.evacuated = evacuated
	e.fill()
}

// Draining reports whether Drain was called.
func (e *Executor) Draining() bool { return e.draining }

// HandleFrame processes a frame from an entry; frames from entries without a session
// are ignored.
func (e *Executor) HandleFrame(entry string, f *wire.EntryFrame) {
	if !e.entries[entry] {
		return
	}
	switch body := f.GetBody().(type) {
	case *wire.EntryFrame_Reserve:
		e.handleReserve(entry, body.Reserve)
	case *wire.EntryFrame_Start:
		e.start(entry, body.Start)
	case *wire.EntryFrame_Remember:
		e.remember(entry, f, body.Remember)
	case *wire.EntryFrame_Fence:
		e.fence(entry, f, body.Fence)
	case *wire.EntryFrame_Forget:
		e.forget(f, body.Forget)
	case *wire.EntryFrame_Drain:
		e.Drain()
	}
}

// handleReserve updates the number of tasks that wait at an entry and pulls tasks for the
// free task slots. If the frame asks for it, an agent without a free task slot reports its
// load.
func (e *Executor) handleReserve(entry string, r *wire.Reserve) {
	e.queue.SetWaiting(entry, r.GetKind(), r.GetTeam(), int(r.GetCount()), e.waitStart(r.GetOldestUs()))
	e.fill()
	if r.GetNow() && e.running+e.reserved >= e.slots && e.queue.Waiting() > 0 {
		e.host.Send(entry, &wire.AgentFrame{Load: e.Load()})
	}
}

// waitStart converts a reported wait in microseconds into a time of this agent's clock.
func (e *Executor) waitStart(waitUS uint64) time.Time {
	return e.host.Now().Add(-min(time.Duration(min(waitUS, math.MaxInt64/1000))*time.Microsecond, maxReportedWait))
}

// fill pulls a task for every free task slot. Consecutive choices of the same entry,
// kind and team are combined into one pull.
func (e *Executor) fill() {
	if e.draining || e.evacuated {
		return
	}
	var last queue.Choice
	count := 0
	for e.running+e.reserved < e.slots {
		choice, ok := e.queue.Next(e.host.Now())
		if !ok {
			break
		}
		if count > 0 && choice != last {
			e.pull(last, count)
			count = 0
		}
		last = choice
		count++
		e.reserved++
	}
	if count > 0 {
		e.pull(last, count)
	}
}

func (e *Executor) pull(c queue.Choice, count int) {
	e.lastPull++
	e.pulls[e.lastPull] = &pull{entry: c.Source, kind: c.Kind, team: c.Team, count: count, sentAt: e.host.Now()}
	e.host.Send(c.Source, &wire.AgentFrame{
		Load: e.Load(),
		Body: &wire.AgentFrame_Pull{Pull: &wire.Pull{
			Id:    e.lastPull,
			Kind:  c.Kind,
			Team:  c.Team,
			Count: uint32(count),
		}},
	})
}

// start runs the tasks that answer a pull. A pull is closed by its first answer, so
// that a repeated message, or one after pullTimeout, starts nothing.
func (e *Executor) start(entry string, s *wire.Start) {
	p, known := e.pulls[s.GetPull()]
	if !known || p.entry != entry {
		e.reject(entry, s.GetPull(), s.GetTasks(), "the pull is not open")
		return
	}
	e.closePull(s.GetPull(), p)
	e.queue.SetWaiting(entry, p.kind, p.team, int(s.GetRemaining()), e.waitStart(s.GetOldestUs()))
	for _, t := range s.GetTasks() {
		e.startTask(entry, s.GetPull(), t)
	}
	e.fill()
	e.reportIdle(entry, len(s.GetTasks()) == 0)
}

// reportIdle reports the load to an entry whose answer to a pull was empty, unless
// other tasks wait.
func (e *Executor) reportIdle(entry string, empty bool) {
	if empty && e.queue.Waiting() == 0 {
		e.host.Send(entry, &wire.AgentFrame{Load: e.Load()})
	}
}

func (e *Executor) startTask(entry string, pullID uint64, t *wire.TaskStart) {
	r := e.record(t.GetSlot())
	rejected := []*wire.TaskStart{t}
	switch {
	case t.GetEpoch() < r.epoch:
		e.reject(entry, pullID, rejected, "the slot has a newer owner")
		return
	case e.draining:
		e.reject(entry, pullID, rejected, "the agent is draining")
		return
	case e.evacuated:
		e.reject(entry, pullID, rejected, "the availability zone is evacuated")
		return
	case e.running >= e.slots:
		e.reject(entry, pullID, rejected, "no slot is free")
		return
	}
	r.epoch = t.GetEpoch()
	r.owner = entry
	j := r.job(t.GetJob())
	if _, started := j.tasks[t.GetIndex()]; started {
		return
	}
	j.tasks[t.GetIndex()] = &wire.TaskRecord{Index: t.GetIndex(), State: wire.TaskState_TASK_STATE_RUNNING}
	j.updatedAt = e.host.Now()
	e.running++
	e.host.Run(t)
}

func (e *Executor) reject(entry string, pullID uint64, tasks []*wire.TaskStart, reason string) {
	if len(tasks) == 0 {
		return
	}
	body := &wire.Rejected{Reason: reason, Pull: pullID}
	for _, t := range tasks {
		body.Tasks = append(body.Tasks, &wire.TaskName{Slot: t.GetSlot(), Job: t.GetJob(), Index: t.GetIndex()})
	}
	e.host.Send(entry, &wire.AgentFrame{Load: e.Load(), Body: &wire.AgentFrame_Rejected{Rejected: body}})
}

// Finished records the result of a task and reports it to the current owner of its
// ownership slot, which may not be the entry that started the task.
func (e *Executor) Finished(t *wire.TaskStart, result *wire.TaskRecord) {
	e.running--
	r := e.record(t.GetSlot())
	j := r.job(t.GetJob())
	j.updatedAt = e.host.Now()
	if result.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
		delete(j.tasks, t.GetIndex())
	} else {
		j.tasks[t.GetIndex()] = result
		team, _, _ := strings.Cut(t.GetJob(), "/")
		e.queue.ObserveServiceTime(t.GetKind(), team, float64(result.GetServiceUs())/1e6)
	}
	e.host.Send(r.owner, &wire.AgentFrame{
		Slot:  t.GetSlot(),
		Epoch: r.epoch,
		Load:  e.Load(),
		Body:  &wire.AgentFrame_Done{Done: &wire.Done{Job: t.GetJob(), Task: result}},
	})
	e.fill()
}

// Idle reports whether no pull is open; Tick is not needed then.
func (e *Executor) Idle() bool { return len(e.pulls) == 0 }

// Tick releases the reservations of unanswered pulls, closes expired pulls, and pulls
// for the task slots that became free.
func (e *Executor) Tick(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(e.pulls)) {
		p := e.pulls[id]
		age := now.Sub(p.sentAt)
		if age > pullTimeout {
			e.closePull(id, p)
		} else if age > reservationTimeout && !p.released {
			p.released = true
			e.reserved -= p.count
		}
	}
	e.fill()
}
