// Package executor decides at an agent what starts: which entry's tasks are
// pulled, which starts are refused because the slot has a newer owner, and what
// is remembered for the next owner. It does no I/O.
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
	// pullPatience is how long a pull keeps its slots for an entry that does not
	// answer. A later answer is still taken if a slot is free then.
	pullPatience = 100 * time.Millisecond
	// pullLife is how long an unanswered pull can be answered at all.
	pullLife = 10 * time.Second
	// longestWait bounds what an entry can say of the wait of its tasks.
	longestWait = time.Hour
)

// Host is what the executor needs of the process around it.
type Host interface {
	Now() time.Time
	// Send sends a frame to an entry; it is dropped where the session has ended.
	Send(entry string, f *wire.AgentFrame)
	// Run starts a task at the endpoint. Its end comes back through Finished.
	Run(t *wire.TaskStart)
}

type pull struct {
	entry string
	kind  string
	team  string
	count int
	at    time.Time
	late  bool
}

// Executor is the state of one agent. It is not safe for concurrent use.
type Executor struct {
	host      Host
	queue     *queue.Queue
	slots     int
	running   int
	reserved  int
	pulls     map[uint64]*pull
	lastPull  uint64
	records   map[uint32]*slotRecord
	entries   map[string]bool
	draining  bool
	retention time.Duration
}

// New returns an executor with the given number of slots. Records are kept for
// the retention even where no entry says to forget them.
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

// Attached takes note of a new session with an entry. What an earlier session
// left open is void: no start that it carried is accepted any more.
func (e *Executor) Attached(entry string) {
	e.Detached(entry)
	e.entries[entry] = true
}

// Detached takes note that the session with an entry has ended.
func (e *Executor) Detached(entry string) {
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
	if !p.late {
		e.reserved -= p.count
	}
}

// Load returns what the agent reports of itself.
func (e *Executor) Load() *wire.Load {
	return &wire.Load{
		Free:     uint32(max(0, e.slots-e.running-e.reserved)),
		Waiting:  uint32(e.queue.Waiting()),
		Draining: e.draining,
	}
}

// Running returns the number of tasks at the endpoint.
func (e *Executor) Running() int { return e.running }

// Drain stops all pulls and starts. Tasks that run go on to their end.
func (e *Executor) Drain() { e.draining = true }

// Draining reports whether Drain was called.
func (e *Executor) Draining() bool { return e.draining }

// Frame takes a frame of an entry.
func (e *Executor) HandleFrame(entry string, f *wire.EntryFrame) {
	if !e.entries[entry] {
		return
	}
	switch body := f.GetBody().(type) {
	case *wire.EntryFrame_Reserve:
		e.reserve(entry, body.Reserve)
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

func (e *Executor) reserve(entry string, r *wire.Reserve) {
	e.queue.SetWaiting(entry, r.GetKind(), r.GetTeam(), int(r.GetCount()), e.since(r.GetOldestUs()))
	e.fill()
	if r.GetNow() && e.running+e.reserved >= e.slots && e.queue.Waiting() > 0 {
		e.host.Send(entry, &wire.AgentFrame{Load: e.Load()})
	}
}

// since turns an entry's statement of a wait into this agent's own time.
func (e *Executor) since(waitUS uint64) time.Time {
	return e.host.Now().Add(-min(time.Duration(min(waitUS, math.MaxInt64/1000))*time.Microsecond, longestWait))
}

// fill pulls for every free slot. Choices of the same flow at the same entry
// that follow each other go out as one pull.
func (e *Executor) fill() {
	if e.draining {
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
	e.pulls[e.lastPull] = &pull{entry: c.Source, kind: c.Kind, team: c.Team, count: count, at: e.host.Now()}
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

// start runs the tasks that answer a pull. Each pull is answered once, so that a
// repeated or late message starts nothing.
func (e *Executor) start(entry string, s *wire.Start) {
	p, known := e.pulls[s.GetPull()]
	if !known || p.entry != entry {
		e.reject(entry, s.GetPull(), s.GetTasks(), "the pull is not open")
		return
	}
	e.closePull(s.GetPull(), p)
	e.queue.SetWaiting(entry, p.kind, p.team, int(s.GetRemaining()), e.since(s.GetOldestUs()))
	for _, t := range s.GetTasks() {
		e.startTask(entry, s.GetPull(), t)
	}
	e.fill()
	e.reportIdle(entry, len(s.GetTasks()) == 0)
}

// reportIdle tells an entry of free slots after a pull that brought nothing.
func (e *Executor) reportIdle(entry string, empty bool) {
	if empty && e.queue.Waiting() == 0 {
		e.host.Send(entry, &wire.AgentFrame{Load: e.Load()})
	}
}

func (e *Executor) startTask(entry string, pullID uint64, t *wire.TaskStart) {
	r := e.record(t.GetSlot())
	one := []*wire.TaskStart{t}
	switch {
	case t.GetEpoch() < r.epoch:
		e.reject(entry, pullID, one, "the slot has a newer owner")
		return
	case e.draining:
		e.reject(entry, pullID, one, "the agent is draining")
		return
	case e.running >= e.slots:
		e.reject(entry, pullID, one, "no slot is free")
		return
	}
	r.epoch = t.GetEpoch()
	r.owner = entry
	j := r.job(t.GetJob())
	if _, begun := j.tasks[t.GetIndex()]; begun {
		return
	}
	j.tasks[t.GetIndex()] = &wire.TaskRecord{Index: t.GetIndex(), State: wire.TaskState_TASK_STATE_RUNNING}
	j.touched = e.host.Now()
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

// Finished takes the end of a task and tells the owner that the slot has now.
func (e *Executor) Finished(t *wire.TaskStart, result *wire.TaskRecord) {
	e.running--
	r := e.record(t.GetSlot())
	j := r.job(t.GetJob())
	j.touched = e.host.Now()
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

// Idle reports whether no pull is open, so that Tick has nothing to do.
func (e *Executor) Idle() bool { return len(e.pulls) == 0 }

// Tick frees the slots of pulls that are not answered.
func (e *Executor) Tick(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(e.pulls)) {
		p := e.pulls[id]
		age := now.Sub(p.at)
		if age > pullLife {
			e.closePull(id, p)
		} else if age > pullPatience && !p.late {
			p.late = true
			e.reserved -= p.count
		}
	}
	e.fill()
}
