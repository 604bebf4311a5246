// Package owner implements an entry's role as the owner of slots. It connects the
// slots with the dispatcher and admission control, for use by one actor. It does no
// I/O.
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
	// agentUnreachableTimeout is how long an agent may be unreachable before callers
	// that wait for its tasks get the outcome unknown.
	agentUnreachableTimeout = 3 * time.Second
	// unreachableAgentTTL is how long an unreachable agent is tracked.
	unreachableAgentTTL = 15 * time.Minute
)

// Environment provides the owner with the clock, the transport, the metrics and the
// configuration of its process.
type Environment interface {
	Self() string
	Now() time.Time
	// Clock returns monotonic nanoseconds since the process started.
	Clock() uint64
	// Send sends a frame to an agent and reports whether it is attached.
	Send(agent string, f *wire.EntryFrame) bool
	// Finished, Refused and Started update the metrics.
	Finished(j *job.Job, a answer.Answer)
	Refused(kind string, a answer.Answer)
	Started(j *job.Job, count int)
	// Policy returns the policy of the configuration in force.
	Policy() Policy
}

// Policy is the part of the configuration that the owner uses.
type Policy interface {
	Kind(name string) (config.Kind, bool)
	Team(name string) (config.Team, bool)
	// KindShare returns the kind's weight over the weights of all kinds.
	KindShare(kind string) float64
	// TeamWeight returns the team's share within a kind.
	TeamWeight(team string) float64
	// Ejected reports whether an operator has ejected the agent with a process name.
	Ejected(name string) bool
	// Evacuated reports whether an operator has evacuated an availability zone.
	Evacuated(zone string) bool
	JobDeadline(kind string) time.Duration
	TaskTimeout(kind string) time.Duration
	Retention() time.Duration
	MaxKeysPerSlot() int
}

// Owner holds the slots that one entry owns, with their dispatcher and admission
// control. It is not safe for concurrent use.
type Owner struct {
	env       Environment
	dispatch  *dispatch.Dispatch
	admission *admission.Controller
	slots     map[uint32]*slot.Slot
	// latestInstance maps the process name of an agent to its latest instance.
	latestInstance map[string]string
	zones          map[string]string
	// unreachable maps agents without a session to the end of their last session.
	unreachable      map[string]time.Time
	pendingHandOvers map[handOverKey]handOverState
}

// handOverKey identifies a hand-over by the slot and the epoch of its former owner.
type handOverKey struct {
	slot  uint32
	epoch uint64
}

// handOverState holds the tombstones and the floor that a former owner passed on.
type handOverState struct {
	owner string
	// refused and floor are the former owner's tombstones and floor, on its clock.
	refused map[string]uint64
	floor   uint64
}

// New returns an owner without slots.
func New(env Environment, seed uint64, options ...dispatch.Option) *Owner {
	o := &Owner{
		env:              env,
		admission:        admission.New(seed),
		slots:            map[uint32]*slot.Slot{},
		latestInstance:   map[string]string{},
		zones:            map[string]string{},
		unreachable:      map[string]time.Time{},
		pendingHandOvers: map[handOverKey]handOverState{},
	}
	o.dispatch = dispatch.New(dispatchHost{o}, seed, options...)
	return o
}

// Slots returns the slots that this entry owns, by number.
func (o *Owner) Slots() map[uint32]*slot.Slot { return o.slots }

// Dispatch returns the dispatcher.
func (o *Owner) Dispatch() *dispatch.Dispatch { return o.dispatch }

// Reconcile brings the slots in line with a snapshot of the ownership table.
func (o *Owner) Reconcile(t ownership.State) {
	o.admission.SetEntries(len(t.Entries))
	for number := range uint32(ownership.Slots) {
		o.reconcileSlot(number, t.Slots[number])
	}
}

// reconcileSlot brings one slot in line with the ownership table. If this entry is
// still the owner and the epoch has advanced by one, the claim replaced the witnesses
// of an active slot or took back a hand-over, and the slot keeps its state. Otherwise,
// or if the witnesses do not store the slot's keys, the slot is deposed, and recovered
// as a new one if this entry owns it.
func (o *Owner) reconcileSlot(number uint32, state ownership.SlotState) {
	current, owned := o.slots[number]
	isOwner := state.Owner == o.env.Self()
	switch {
	case owned && current.Epoch() == state.Epoch && isOwner:
		// Nothing has changed.
	case owned && isOwner && state.Epoch == current.Epoch()+1 && current.Phase() == slot.Active && current.ReplicatedTo(state.Witnesses):
		current.ReplaceWitnesses(state.Epoch, state.Witnesses)
	case owned && isOwner && state.Epoch == current.Epoch()+1 && current.Phase() == slot.Leaving && current.ReplicatedTo(state.Witnesses):
		current.CancelHandOver(state.Epoch)
	case owned:
		current.Depose()
		delete(o.slots, number)
		if isOwner {
			o.claim(number, state)
		}
	case isOwner:
		o.claim(number, state)
	}
}

func (o *Owner) claim(number uint32, state ownership.SlotState) {
	s := slot.New(slotHost{o}, number, state.Epoch, state.Witnesses, time.UnixMilli(state.DoubtUntil))
	o.slots[number] = s
	key := handOverKey{slot: number, epoch: state.Epoch - 1}
	if in, ok := o.pendingHandOvers[key]; ok {
		s.ApplyHandOver(in.owner, in.refused, in.floor)
		delete(o.pendingHandOvers, key)
	}
	s.TryFinishRecovery()
}

// StoreHandOver stores the tombstones and the floor that the owner of a slot passes on
// before it hands the slot over.
func (o *Owner) StoreHandOver(r *wire.HandOverRequest) {
	o.pendingHandOvers[handOverKey{slot: r.GetSlot(), epoch: r.GetEpoch()}] = handOverState{
		owner:   r.GetOwner(),
		refused: r.GetRefused(),
		floor:   r.GetFloor(),
	}
}

// Submit passes an attempt to its slot, or redirects it if another entry owns the slot.
func (o *Owner) Submit(a slot.Attempt) {
	s, owned := o.slots[ownership.Slot(a.Body.Job())]
	if !owned {
		a.Waiter.NotOwner()
		return
	}
	s.Submit(a)
}

// FindResult is the result of looking up a job.
type FindResult struct {
	// Owned is false if another entry owns the slot or the slot is recovering.
	Owned bool
	Known bool
	Job   *job.Job
	// AnswerConfirmed is true if the job has a final answer that may be shown.
	AnswerConfirmed bool
}

// Find looks up a job by name.
func (o *Owner) Find(name string) FindResult {
	s, owned := o.slots[ownership.Slot(name)]
	if !owned || s.Phase() == slot.Recovering || s.Phase() == slot.Deposed {
		return FindResult{}
	}
	j, known := s.Job(name)
	return FindResult{Owned: true, Known: known, Job: j, AnswerConfirmed: known && s.AnswerConfirmed(j)}
}

// Cancel abandons a job on behalf of its caller.
func (o *Owner) Cancel(name string) {
	if s, owned := o.slots[ownership.Slot(name)]; owned {
		s.Cancel(name)
	}
}

// AttachAgent handles a new session with an agent. Any earlier instance of the agent is
// taken to have ended. It returns false for a session of such an earlier instance.
func (o *Owner) AttachAgent(agent, zone string, slots int) bool {
	name := instance.Name(agent)
	former := o.latestInstance[name]
	if instance.Replaces(former, agent) {
		return false
	}
	if former != "" && former != agent {
		o.dropAgent(former)
	}
	o.latestInstance[name] = agent
	o.zones[agent] = zone
	delete(o.unreachable, agent)
	for _, s := range o.sortedSlots() {
		s.AttachAgent(agent)
	}
	o.dispatch.Attach(agent, zone, slots)
	return true
}

// Zone returns the availability zone of a known agent.
func (o *Owner) Zone(agent string) string { return o.zones[agent] }

// DetachAgent handles the end of the session with an agent.
func (o *Owner) DetachAgent(agent string) {
	o.dispatch.Detach(agent)
	o.unreachable[agent] = o.env.Now()
}

// UnreachableAgents returns the agents without a session and when their last session
// ended.
func (o *Owner) UnreachableAgents() map[string]time.Time { return o.unreachable }

// dropAgent deletes the state of an agent instance that has ended.
func (o *Owner) dropAgent(agent string) {
	delete(o.unreachable, agent)
	delete(o.zones, agent)
	o.dispatch.Detach(agent)
}

// sortedSlots returns the slots by number, so that the order of messages is
// deterministic.
func (o *Owner) sortedSlots() []*slot.Slot {
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

// HandleFrame handles a frame of an attached agent.
func (o *Owner) HandleFrame(agent string, f *wire.AgentFrame) {
	o.dispatch.UpdateLoad(agent, f.GetLoad())
	switch body := f.GetBody().(type) {
	case *wire.AgentFrame_Pull:
		o.dispatch.Pull(agent, body.Pull)
	case *wire.AgentFrame_Rejected:
		o.handleRejected(agent, body.Rejected)
	case nil:
		// The frame carries the load alone. An agent without a free slot loses its reservations.
		o.dispatch.Busy(agent)
	default:
		o.handleSlotFrame(agent, f)
	}
}

func (o *Owner) handleSlotFrame(agent string, f *wire.AgentFrame) {
	s, owned := o.slots[f.GetSlot()]
	if !owned {
		return
	}
	switch body := f.GetBody().(type) {
	case *wire.AgentFrame_Done:
		o.handleDone(agent, s, body.Done)
	case *wire.AgentFrame_Remembered:
		s.Remembered(agent, f.GetEpoch(), body.Remembered)
	case *wire.AgentFrame_Fenced:
		s.Fenced(agent, f.GetEpoch(), body.Fenced)
	}
}

func (o *Owner) handleDone(agent string, s *slot.Slot, d *wire.Done) {
	j := s.Done(agent, d)
	if j == nil {
		return
	}
	t := d.GetTask()
	seconds := float64(t.GetServiceUs()) / 1e6
	o.dispatch.Observe(health.Observation{
		Agent:  agent,
		Kind:   j.Kind(),
		Job:    j.Name(),
		Index:  t.GetIndex(),
		Failed: t.GetState() != wire.TaskState_TASK_STATE_DONE,
		Cost:   seconds,
	})
	if seconds > 0 {
		o.admission.ObserveServiceTime(j.Kind(), j.Team(), seconds)
	}
}

func (o *Owner) handleRejected(agent string, r *wire.Rejected) {
	for _, t := range r.GetTasks() {
		s, owned := o.slots[t.GetSlot()]
		if !owned {
			continue
		}
		o.dispatch.TaskReturned(agent, t.GetJob(), t.GetIndex())
		s.Returned(agent, t.GetJob(), r.GetPull(), t.GetIndex())
	}
}

// Tick runs the dispatcher's timers. It is called every few milliseconds.
func (o *Owner) Tick(now time.Time) { o.dispatch.Tick(now) }

// TickSlots runs the timers of agent health, unreachable agents and slots. It is
// called every few tens of milliseconds.
func (o *Owner) TickSlots(now time.Time) {
	o.dispatch.TickHealth(now)
	for _, agent := range slices.Sorted(maps.Keys(o.unreachable)) {
		since := o.unreachable[agent]
		if now.Sub(since) > unreachableAgentTTL {
			delete(o.unreachable, agent)
			continue
		}
		if now.Sub(since) > agentUnreachableTimeout {
			o.reportAgentLost(agent)
		}
	}
	for _, s := range o.sortedSlots() {
		s.Tick(now)
	}
}

func (o *Owner) reportAgentLost(agent string) {
	for _, s := range o.sortedSlots() {
		s.ReportAgentLost(agent)
	}
}
