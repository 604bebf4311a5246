// Package owner is the entry's part as the owner of slots: it brings slots,
// dispatcher and admission together for one actor. It does no I/O.
package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/common/instance"
	"github.com/corianderhook/corianderhook/process/admission"
	"github.com/corianderhook/corianderhook/process/dispatch"
	"github.com/corianderhook/corianderhook/process/health"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/version/config"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/version/slot"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// agentGrace is how long an agent may be out of reach before those who wait
	// for its tasks are told that the outcome is unknown.
	agentGrace = 3 * time.Second
	// goneMemory is how long an agent that is out of reach is kept in mind.
	goneMemory = 15 * time.Minute
)

// Environment is what the owner needs of the process around it.
type Environment interface {
	Self() string
	Now() time.Time
	// Clock returns monotonic nanoseconds since the process started.
	Clock() uint64
	// Send sends a frame to an agent and reports whether it is attached.
	Send(agent string, f *wire.EntryFrame) bool
	// Finished, Refused and Started report to the metrics.
	Finished(j *job.Job, a answer.Answer)
	Refused(kind string, a answer.Answer)
	Started(j *job.Job, count int)
	// Policy returns the rules of the configuration in force.
	Policy() Policy
}

// Policy is what the configuration says.
type Policy interface {
	Kind(name string) (config.Kind, bool)
	Team(name string) (config.Team, bool)
	// KindShare returns the kind's weight over the weights of all kinds.
	KindShare(kind string) float64
	// TeamWeight returns the team's share within a kind.
	TeamWeight(team string) float64
	// Ejected reports whether an operator has taken out the agent of a process name.
	Ejected(name string) bool
	JobDeadline(kind string) time.Duration
	TaskTimeout(kind string) time.Duration
	Retention() time.Duration
	MaxKeys() int
}

// Owner is all that one entry owns. It is not safe for concurrent use.
type Owner struct {
	env       Environment
	dispatch  *dispatch.Dispatch
	admission *admission.Controller
	slots     map[uint32]*slot.Slot
	latest    map[string]string
	zones     map[string]string
	gone      map[string]time.Time
	promised  map[handOver]inheritance
}

type handOver struct {
	slot  uint32
	epoch uint64
}

type inheritance struct {
	owner   string
	refused map[string]uint64
	floor   uint64
}

// New returns an owner of nothing.
func New(env Environment, seed uint64, options ...dispatch.Option) *Owner {
	o := &Owner{
		env:       env,
		admission: admission.New(seed),
		slots:     map[uint32]*slot.Slot{},
		latest:    map[string]string{},
		zones:     map[string]string{},
		gone:      map[string]time.Time{},
		promised:  map[handOver]inheritance{},
	}
	o.dispatch = dispatch.New(dispatchHost{o}, seed, options...)
	return o
}

// Slots returns the slots that this entry owns by number.
func (o *Owner) Slots() map[uint32]*slot.Slot { return o.slots }

// Dispatch returns the dispatcher.
func (o *Owner) Dispatch() *dispatch.Dispatch { return o.dispatch }

// Follow brings the slots in line with a snapshot of the table.
func (o *Owner) Reconcile(t ownership.State) {
	o.admission.SetEntries(len(t.Entries))
	for number := range uint32(ownership.Slots) {
		o.followSlot(number, t.Slots[number])
	}
}

func (o *Owner) followSlot(number uint32, state ownership.SlotState) {
	held, owned := o.slots[number]
	mine := state.Owner == o.env.Self()
	switch {
	case owned && held.Epoch() == state.Epoch && mine:
	case owned && mine && state.Epoch == held.Epoch()+1 && held.Phase() == slot.Active && held.ReplicatedTo(state.Witnesses):
		held.ReplaceWitnesses(state.Epoch, state.Witnesses)
	case owned && mine && state.Epoch == held.Epoch()+1 && held.Phase() == slot.Leaving && held.ReplicatedTo(state.Witnesses):
		held.CancelHandOver(state.Epoch)
	case owned:
		held.Depose()
		delete(o.slots, number)
		if mine {
			o.claim(number, state)
		}
	case mine:
		o.claim(number, state)
	}
}

func (o *Owner) claim(number uint32, state ownership.SlotState) {
	s := slot.New(slotHost{o}, number, state.Epoch, state.Witnesses, time.UnixMilli(state.DoubtUntil))
	o.slots[number] = s
	key := handOver{slot: number, epoch: state.Epoch - 1}
	if in, ok := o.promised[key]; ok {
		s.ApplyHandOver(in.owner, in.refused, in.floor)
		delete(o.promised, key)
	}
	s.TryFinishRecovery()
}

// Inherit keeps what an owner passes on before it hands a slot over.
func (o *Owner) StoreHandOver(r *wire.HandOverRequest) {
	o.promised[handOver{slot: r.GetSlot(), epoch: r.GetEpoch()}] = inheritance{
		owner:   r.GetOwner(),
		refused: r.GetRefused(),
		floor:   r.GetFloor(),
	}
}

// Submit decides an attempt of a slot that this entry owns.
func (o *Owner) Submit(a slot.Attempt) {
	s, owned := o.slots[ownership.Slot(a.Body.Job())]
	if !owned {
		a.Waiter.NotOwner()
		return
	}
	s.Submit(a)
}

// Found is what an owner knows of a job.
type FindResult struct {
	// Owned is false where the slot is another entry's or not yet recovered.
	Owned bool
	Known bool
	Job   *job.Job
	// Told is true where the job has a final answer that may be shown.
	AnswerConfirmed bool
}

// Find returns a job of a slot that this entry owns.
func (o *Owner) Find(name string) FindResult {
	s, held := o.slots[ownership.Slot(name)]
	if !held || s.Phase() == slot.Recovering || s.Phase() == slot.Deposed {
		return FindResult{}
	}
	j, known := s.Job(name)
	return FindResult{Owned: true, Known: known, Job: j, AnswerConfirmed: known && s.AnswerConfirmed(j)}
}

// Cancel gives a job up for its caller.
func (o *Owner) Cancel(name string) {
	if s, owned := o.slots[ownership.Slot(name)]; owned {
		s.Cancel(name)
	}
}

// Attached takes note of a session with an agent. An earlier run of the same
// agent has ended. It reports false for a session of such an earlier run.
func (o *Owner) Attached(agent, zone string, slots int) bool {
	name := instance.Name(agent)
	former := o.latest[name]
	if instance.Replaces(former, agent) {
		return false
	}
	if former != "" && former != agent {
		o.forget(former)
	}
	o.latest[name] = agent
	o.zones[agent] = zone
	delete(o.gone, agent)
	for _, s := range o.each() {
		s.Attached(agent)
	}
	o.dispatch.Attach(agent, zone, slots)
	return true
}

// Zone returns the availability zone of an agent that was attached.
func (o *Owner) Zone(agent string) string { return o.zones[agent] }

// Detached takes note that the session with an agent has ended.
func (o *Owner) Detached(agent string) {
	o.dispatch.Detach(agent)
	o.gone[agent] = o.env.Now()
}

// Gone returns the agents that are out of reach and since when.
func (o *Owner) UnreachableAgents() map[string]time.Time { return o.gone }

// forget drops what is kept of a run of an agent that has ended.
func (o *Owner) forget(agent string) {
	delete(o.gone, agent)
	delete(o.zones, agent)
	o.dispatch.Detach(agent)
}

// each lists the slots in order, so that equal histories give equal messages.
func (o *Owner) each() []*slot.Slot {
	numbers := make([]uint32, 0, len(o.slots))
	for n := range o.slots {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	list := make([]*slot.Slot, 0, len(numbers))
	for _, n := range numbers {
		list = append(list, o.slots[n])
	}
	return list
}

// Frame takes a frame of an attached agent.
func (o *Owner) HandleFrame(agent string, f *wire.AgentFrame) {
	o.dispatch.UpdateLoad(agent, f.GetLoad())
	switch body := f.GetBody().(type) {
	case *wire.AgentFrame_Pull:
		o.dispatch.Pull(agent, body.Pull)
	case *wire.AgentFrame_Rejected:
		o.rejected(agent, body.Rejected)
	case nil:
		o.dispatch.Busy(agent)
	default:
		o.slotFrame(agent, f)
	}
}

func (o *Owner) slotFrame(agent string, f *wire.AgentFrame) {
	s, owned := o.slots[f.GetSlot()]
	if !owned {
		return
	}
	switch body := f.GetBody().(type) {
	case *wire.AgentFrame_Done:
		o.done(agent, s, body.Done)
	case *wire.AgentFrame_Remembered:
		s.Remembered(agent, f.GetEpoch(), body.Remembered)
	case *wire.AgentFrame_Fenced:
		s.Fenced(agent, f.GetEpoch(), body.Fenced)
	}
}

func (o *Owner) done(agent string, s *slot.Slot, d *wire.Done) {
	j := s.Done(agent, d)
	if j == nil {
		return
	}
	t := d.GetTask()
	seconds := float64(t.GetServiceUs()) / 1e6
	o.dispatch.Observe(health.Observation{
		Agent:   agent,
		Kind:    j.Kind(),
		Job:     j.Name(),
		Index:   t.GetIndex(),
		Failed:  t.GetState() != wire.TaskState_TASK_STATE_DONE,
		Seconds: seconds,
	})
	if seconds > 0 {
		o.admission.ObserveServiceTime(j.Kind(), j.Team(), seconds)
	}
}

func (o *Owner) rejected(agent string, r *wire.Rejected) {
	for _, t := range r.GetTasks() {
		s, owned := o.slots[t.GetSlot()]
		if !owned {
			continue
		}
		o.dispatch.TaskReturned(agent, t.GetJob(), t.GetIndex())
		s.Returned(agent, t.GetJob(), r.GetPull(), t.GetIndex())
	}
}

// Tick does what is due. It is called every few milliseconds.
func (o *Owner) Tick(now time.Time) { o.dispatch.Tick(now) }

// TickSlots does what is due once in some tens of milliseconds.
func (o *Owner) TickSlots(now time.Time) {
	o.dispatch.TickHealth(now)
	for _, agent := range slices.Sorted(maps.Keys(o.gone)) {
		since := o.gone[agent]
		if now.Sub(since) > goneMemory {
			delete(o.gone, agent)
			continue
		}
		if now.Sub(since) > agentGrace {
			o.forsake(agent)
		}
	}
	for _, s := range o.each() {
		s.Tick(now)
	}
}

func (o *Owner) forsake(agent string) {
	for _, s := range o.each() {
		s.ReportAgentLost(agent)
	}
}
