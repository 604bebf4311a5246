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
	// tickInterval is the time between two runs of the timers of process/dispatch,
	// slowTickInterval the time between two runs of the timers of ownership slots and agents.
	tickInterval     = 5 * time.Millisecond
	slowTickInterval = 50 * time.Millisecond
)

// Messages to the owner actor.
type (
	tick     struct{}
	slowTick struct{}
	// submit carries an attempt.
	submit struct{ attempt slot.Attempt }
	// find looks up a job, and cancels it if cancel is set.
	find struct {
		job    string
		cancel bool
		reply  chan<- findResult
	}
	// sessionOpened, sessionClosed and batchReceived come from the sessions with agents.
	sessionOpened struct {
		session *session
		hello   *wire.Hello
	}
	sessionClosed struct{ session *session }
	batchReceived struct {
		session *session
		batch   *wire.AgentBatch
	}
	// reconcile brings the slots in line with a snapshot of the ownership table.
	reconcile struct{ table *ownership.State }
	// beginHandOver prepares slots for a hand-over. The reply holds a request to the next
	// owner for each of them.
	beginHandOver struct {
		claims []ownership.SlotClaim
		reply  chan<- []*wire.HandOverRequest
	}
	// storeHandOver stores the tombstones and the floor sent by the current owner of a slot.
	storeHandOver struct{ request *wire.HandOverRequest }
	// ownerCall runs a function on the owner's state.
	ownerCall struct {
		run  func(o *owner.Owner)
		done chan<- struct{}
	}
)

// findResult is the result of a find.
type findResult struct {
	owned bool
	known bool
	// answer is final if waiter is nil, and otherwise the state of the job so far.
	answer answer.Answer
	waiter *waiter
}

// ownerActor owns the state of all ownership slots of this entry. It implements owner.Environment.
type ownerActor struct {
	entry *Entry
	owner *owner.Owner
	// sessions holds the current session of each attached agent.
	sessions map[string]*session
}

func newOwnerActor(e *Entry) *ownerActor {
	a := &ownerActor{entry: e, sessions: map[string]*session{}}
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
	case sessionOpened:
		a.attach(m)
	case sessionClosed:
		a.detach(m.session)
	case batchReceived:
		a.receive(m)
	case reconcile:
		a.owner.Reconcile(*m.table)
	case beginHandOver:
		m.reply <- a.beginHandOver(m.claims)
	case storeHandOver:
		a.owner.StoreHandOver(m.request)
	case ownerCall:
		m.run(a.owner)
		close(m.done)
	}
	a.entry.idle.Store(a.owner.Dispatch().Idle())
}

func (a *ownerActor) slowTick() {
	a.owner.TickSlots(a.Now())
	a.entry.updateMetrics(a.owner)
}

func (a *ownerActor) find(m find) findResult {
	f := a.owner.Find(m.job)
	if !f.Known {
		return findResult{owned: f.Owned}
	}
	if f.AnswerConfirmed {
		return findResult{owned: true, known: true, answer: f.Job.Status()}
	}
	w := newWaiter()
	f.Job.AddWaiter(w)
	if m.cancel {
		a.owner.Cancel(m.job)
	}
	current := answer.New(outcome.Pending, "running", "the job has not ended")
	if !f.Job.Ended() {
		current = f.Job.Status()
	}
	return findResult{owned: true, known: true, answer: current, waiter: w}
}

func (a *ownerActor) attach(m sessionOpened) {
	agent := m.session.agent
	former := a.sessions[agent]
	a.sessions[agent] = m.session
	if a.owner.AttachAgent(agent, m.hello.GetZone(), int(m.hello.GetSlots())) {
		return
	}
	klog.InfoS("CH0104 session of an earlier agent instance refused", "entry", a.entry.self.Instance, "agent", agent)
	a.sessions[agent] = former
	m.session.out.Close()
}

func (a *ownerActor) detach(s *session) {
	if a.sessions[s.agent] != s {
		return
	}
	delete(a.sessions, s.agent)
	a.owner.DetachAgent(s.agent)
}

// receive handles the frames of a batch, unless a newer session has replaced the sender.
func (a *ownerActor) receive(m batchReceived) {
	if a.sessions[m.session.agent] != m.session {
		return
	}
	for _, f := range m.batch.GetFrames() {
		a.owner.HandleFrame(m.session.agent, f)
	}
}

func (a *ownerActor) beginHandOver(claims []ownership.SlotClaim) []*wire.HandOverRequest {
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

// Self returns the instance name of this entry.
func (a *ownerActor) Self() string { return a.entry.self.Instance }

// Now returns the wall time.
func (a *ownerActor) Now() time.Time { return a.entry.deps.Clock.Now() }

// Clock returns monotonic nanoseconds since the entry started.
func (a *ownerActor) Clock() uint64 { return a.entry.peers.OwnClock() }

// Send queues a frame for an agent and reports whether it was queued.
func (a *ownerActor) Send(agent string, f *wire.EntryFrame) bool {
	s, known := a.sessions[agent]
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

// Started observes how long tasks of a job waited until they were handed out.
func (a *ownerActor) Started(j *job.Job, count int) {
	a.entry.metrics.ObserveStart(a.entry.kindLabel(j.Kind()), count, a.Now().Sub(j.Created()))
}

// Policy returns the configuration in force.
func (a *ownerActor) Policy() owner.Policy { return a.entry.config.Load() }

// kindLabel returns the metric label of a kind. It is the same for all kinds that are not
// configured, so that callers cannot add label values.
func (e *Entry) kindLabel(kind string) string {
	if _, known := e.config.Load().Kind(kind); known {
		return kind
	}
	return "unknown"
}

func (e *Entry) updateMetrics(o *owner.Owner) {
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

// recentAgents returns the agents that are attached or were until recently.
func recentAgents(o *owner.Owner) []membership.Agent {
	var list []membership.Agent
	for _, name := range o.Dispatch().Agents() {
		list = append(list, membership.Agent{Instance: name, Zone: o.Zone(name)})
	}
	for name, since := range o.UnreachableAgents() {
		list = append(list, membership.Agent{Instance: name, Zone: o.Zone(name), DetachedSince: since})
	}
	return list
}

// waiter passes the answer of a job to one request.
type waiter struct {
	answers  chan answer.Answer
	notOwner chan struct{}
}

func newWaiter() *waiter {
	return &waiter{answers: make(chan answer.Answer, 1), notOwner: make(chan struct{}, 1)}
}

// Answer delivers the answer.
func (w *waiter) Answer(a answer.Answer) {
	select {
	case w.answers <- a:
	default:
	}
}

// NotOwner reports that another entry owns the slot, so that the request is sent there.
func (w *waiter) NotOwner() {
	select {
	case w.notOwner <- struct{}{}:
	default:
	}
}

// awaitAnswer waits for the answer until the given time and returns a Pending one if none
// has come. It returns false if another entry owns the slot.
func (e *Entry) awaitAnswer(ctx context.Context, w *waiter, until time.Time) (answer.Answer, bool) {
	timer := e.deps.Clock.NewTimer(max(0, until.Sub(e.deps.Clock.Now())))
	defer timer.Stop()
	select {
	case a := <-w.answers:
		return a, true
	case <-w.notOwner:
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

// Submit decides an attempt at this entry and waits for the answer until the given time.
// It returns false if this entry does not own the slot.
func (e *Entry) Submit(ctx context.Context, s *submission.Submission, at receipt.Receipt, until time.Time) (answer.Answer, bool) {
	w := newWaiter()
	e.deps.System.Root.Send(e.owner, submit{attempt: slot.Attempt{Body: s, Waiter: w, Owner: at.Owner, OwnerClock: at.OwnerClock}})
	return e.awaitAnswer(ctx, w, until)
}

// Find looks up a job, cancels it if cancel is set, and waits for the answer until the
// given time. It returns false if this entry does not own the slot.
func (e *Entry) Find(ctx context.Context, name string, cancel bool, until time.Time) (answer.Answer, bool) {
	reply := make(chan findResult, 1)
	e.deps.System.Root.Send(e.owner, find{job: name, cancel: cancel, reply: reply})
	select {
	case <-ctx.Done():
		return answer.Answer{}, false
	case f := <-reply:
		return e.answerFind(ctx, f, until)
	}
}

func (e *Entry) answerFind(ctx context.Context, f findResult, until time.Time) (answer.Answer, bool) {
	switch {
	case !f.owned:
		return answer.Answer{}, false
	case !f.known:
		return answer.New(outcome.Unknown, "not-found", "the key is not known; it may have run before the retention"), true
	case f.waiter == nil:
		return f.answer, true
	}
	if !until.After(e.deps.Clock.Now()) {
		return f.answer, true
	}
	return e.awaitAnswer(ctx, f.waiter, until)
}

// runOnOwner runs a function on the owner's state, within the actor, and waits for it.
func (e *Entry) runOnOwner(ctx context.Context, run func(o *owner.Owner)) error {
	done := make(chan struct{})
	e.deps.System.Root.Send(e.owner, ownerCall{run: run, done: done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
