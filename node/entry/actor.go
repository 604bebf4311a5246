package entry

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/process/membership"
	"github.com/corianderhook/corianderhook/process/owner"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/receipt"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/version/slot"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	tickEvery     = 5 * time.Millisecond
	slowTickEvery = 50 * time.Millisecond
)

// Messages to the owner actor.
type (
	tick     struct{}
	slowTick struct{}
	// submit carries an attempt.
	submit struct{ attempt slot.Attempt }
	// find asks for a job; the reply goes to the channel.
	find struct {
		job    string
		cancel bool
		reply  chan<- found
	}
	// attached, detached and received come from the sessions of agents.
	attached struct {
		session *session
		hello   *wire.Hello
	}
	detached struct{ session *session }
	received struct {
		session *session
		batch   *wire.AgentBatch
	}
	// follow brings the slots in line with the table.
	follow struct{ table *ownership.State }
	// leave prepares slots for a hand-over; the reply has what the next owner needs.
	leave struct {
		claims []ownership.SlotClaim
		reply  chan<- []*wire.HandOverRequest
	}
	// inherit keeps what a former owner passes on.
	inherit struct{ request *wire.HandOverRequest }
	// inspect runs a function on the owner's state.
	inspect struct {
		run  func(o *owner.Owner)
		done chan<- struct{}
	}
)

type found struct {
	owned bool
	known bool
	job   answer.Answer
	wait  *waiter
}

// ownerActor owns the state of all slots of this entry.
type ownerActor struct {
	entry *Entry
	owner *owner.Owner
	live  map[string]*session
}

func newOwnerActor(e *Entry) *ownerActor {
	a := &ownerActor{entry: e, live: map[string]*session{}}
	a.owner = owner.New(a, e.deps.Seed, e.deps.DispatchOptions...)
	return a
}

// Receive handles one message at a time.
func (a *ownerActor) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case tick:
		a.owner.Tick(a.Now())
	case slowTick:
		a.slowTick()
	case submit:
		a.owner.Submit(m.attempt)
	case find:
		m.reply <- a.find(m)
	case attached:
		a.attach(m)
	case detached:
		a.detach(m.session)
	case received:
		a.receive(m)
	case follow:
		a.owner.Reconcile(*m.table)
	case leave:
		m.reply <- a.leave(m.claims)
	case inherit:
		a.owner.StoreHandOver(m.request)
	case inspect:
		m.run(a.owner)
		close(m.done)
	}
	a.entry.idle.Store(a.owner.Dispatch().Idle())
}

func (a *ownerActor) slowTick() {
	a.owner.TickSlots(a.Now())
	a.entry.report(a.owner)
}

func (a *ownerActor) find(m find) found {
	f := a.owner.Find(m.job)
	if !f.Known {
		return found{owned: f.Owned}
	}
	if f.AnswerConfirmed {
		return found{owned: true, known: true, job: f.Job.Status()}
	}
	w := newWaiter()
	f.Job.AddWaiter(w)
	if m.cancel {
		a.owner.Cancel(m.job)
	}
	running := answer.New(outcome.Pending, "running", "the job has not ended")
	if !f.Job.Ended() {
		running = f.Job.Status()
	}
	return found{owned: true, known: true, job: running, wait: w}
}

func (a *ownerActor) attach(m attached) {
	agent := m.session.agent
	former := a.live[agent]
	a.live[agent] = m.session
	if a.owner.AttachAgent(agent, m.hello.GetZone(), int(m.hello.GetSlots())) {
		return
	}
	klog.InfoS("CH0104 agent session of an earlier run refused", "entry", a.entry.self.Instance, "agent", agent)
	a.live[agent] = former
	m.session.out.Close()
}

func (a *ownerActor) detach(s *session) {
	if a.live[s.agent] != s {
		return
	}
	delete(a.live, s.agent)
	a.owner.DetachAgent(s.agent)
}

// receive passes over what a replaced session still brings.
func (a *ownerActor) receive(m received) {
	if a.live[m.session.agent] != m.session {
		return
	}
	for _, f := range m.batch.GetFrames() {
		a.owner.HandleFrame(m.session.agent, f)
	}
}

func (a *ownerActor) leave(claims []ownership.SlotClaim) []*wire.HandOverRequest {
	var requests []*wire.HandOverRequest
	for _, c := range claims {
		s, owned := a.owner.Slots()[c.Slot]
		if !owned || s.Epoch() != c.Expected || s.Phase() != slot.Active && s.Phase() != slot.Leaving {
			continue
		}
		refused, floor, clock := s.BeginHandOver()
		requests = append(requests, &wire.HandOverRequest{
			Slot:    c.Slot,
			Epoch:   c.Expected,
			Owner:   a.Self(),
			Clock:   clock,
			Refused: refused,
			Floor:   floor,
		})
	}
	return requests
}

// Self, Now and Clock are for the owner.
func (a *ownerActor) Self() string { return a.entry.self.Instance }

// Now returns the wall time.
func (a *ownerActor) Now() time.Time { return a.entry.deps.Clock.Now() }

// Clock returns monotonic nanoseconds since the start.
func (a *ownerActor) Clock() uint64 { return a.entry.peers.OwnClock() }

// Send queues a frame for an agent.
func (a *ownerActor) Send(agent string, f *wire.EntryFrame) bool {
	s, known := a.live[agent]
	return known && s.out.Put(f)
}

// Finished counts a final answer.
func (a *ownerActor) Finished(j *job.Job, final answer.Answer) {
	a.entry.metrics.ObserveJob(a.entry.kindLabel(j.Kind()), final.Outcome().String(), a.Now().Sub(j.Created()))
}

// Refused counts a refusal.
func (a *ownerActor) Refused(kind string, refused answer.Answer) {
	a.entry.metrics.CountRefusal(a.entry.kindLabel(kind), refused.Reason())
}

// Started counts tasks that were handed out.
func (a *ownerActor) Started(j *job.Job, count int) {
	a.entry.metrics.ObserveStart(a.entry.kindLabel(j.Kind()), count, a.Now().Sub(j.Created()))
}

// Policy returns the configuration in force.
func (a *ownerActor) Policy() owner.Policy { return a.entry.config.Load() }

// kindLabel keeps words that callers made up out of the metrics.
func (e *Entry) kindLabel(kind string) string {
	if _, known := e.config.Load().Kind(kind); known {
		return kind
	}
	return "unknown"
}

func (e *Entry) report(o *owner.Owner) {
	phases := map[slot.Phase]int{}
	for _, s := range o.Slots() {
		phases[s.Phase()]++
	}
	for p := slot.Recovering; p <= slot.Leaving; p++ {
		e.metrics.SetOwnershipSlots(p.String(), phases[p])
	}
	for _, kind := range e.config.Load().KindNames() {
		e.metrics.SetTasksWaiting(kind, o.Dispatch().Waiting(kind))
	}
	wasted := o.Dispatch().Wasted()
	e.metrics.SetWastedMessages("empty", wasted.Empty)
	e.metrics.SetWastedMessages("busy", wasted.Busy)
	e.metrics.SetWastedMessages("recalled", wasted.Recalled)
}

// agents returns the agents that are attached or were lately.
func agents(o *owner.Owner) []membership.Agent {
	var list []membership.Agent
	for _, name := range o.Dispatch().Agents() {
		list = append(list, membership.Agent{Instance: name, Zone: o.Zone(name)})
	}
	for name, since := range o.UnreachableAgents() {
		list = append(list, membership.Agent{Instance: name, Zone: o.Zone(name), DetachedSince: since})
	}
	return list
}

// waiter hands one answer to one request.
type waiter struct {
	answers chan answer.Answer
	moved   chan struct{}
}

func newWaiter() *waiter {
	return &waiter{answers: make(chan answer.Answer, 1), moved: make(chan struct{}, 1)}
}

// Answer gives the answer to the request.
func (w *waiter) Answer(a answer.Answer) {
	select {
	case w.answers <- a:
	default:
	}
}

// NotOwner sends the request to the new owner.
func (w *waiter) NotOwner() {
	select {
	case w.moved <- struct{}{}:
	default:
	}
}

// wait returns the answer, Pending at the given time, or false where the slot
// has another owner.
func (e *Entry) wait(ctx context.Context, w *waiter, until time.Time) (answer.Answer, bool) {
	timer := e.deps.Clock.NewTimer(max(0, until.Sub(e.deps.Clock.Now())))
	defer timer.Stop()
	select {
	case a := <-w.answers:
		return a, true
	case <-w.moved:
		return answer.Answer{}, false
	case <-timer.Chan():
	case <-ctx.Done():
	}
	select {
	case a := <-w.answers:
		return a, true
	default:
		return answer.New(outcome.Pending, "running", "the job has not ended"), true
	}
}

// Submit decides an attempt at this entry. It is false where this entry does
// not own the slot.
func (e *Entry) Submit(ctx context.Context, s *submission.Submission, at receipt.Receipt, until time.Time) (answer.Answer, bool) {
	w := newWaiter()
	e.deps.System.Root.Send(e.owner, submit{attempt: slot.Attempt{Body: s, Waiter: w, Owner: at.Owner, OwnerClock: at.OwnerClock}})
	return e.wait(ctx, w, until)
}

// Find returns the state of a job of this entry's slots.
func (e *Entry) Find(ctx context.Context, name string, cancel bool, until time.Time) (answer.Answer, bool) {
	reply := make(chan found, 1)
	e.deps.System.Root.Send(e.owner, find{job: name, cancel: cancel, reply: reply})
	select {
	case <-ctx.Done():
		return answer.Answer{}, false
	case f := <-reply:
		return e.answerFind(ctx, f, until)
	}
}

func (e *Entry) answerFind(ctx context.Context, f found, until time.Time) (answer.Answer, bool) {
	switch {
	case !f.owned:
		return answer.Answer{}, false
	case !f.known:
		return answer.New(outcome.Unknown, "not-found", "the key is not known; it may have run before the retention"), true
	case f.wait == nil:
		return f.job, true
	}
	if !until.After(e.deps.Clock.Now()) {
		return f.job, true
	}
	return e.wait(ctx, f.wait, until)
}

// onOwner runs a function on the owner's state and waits for it.
func (e *Entry) onOwner(ctx context.Context, run func(o *owner.Owner)) error {
	done := make(chan struct{})
	e.deps.System.Root.Send(e.owner, inspect{run: run, done: done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
