package owner_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/corianderhook/corianderhook/common/instance"
	"github.com/corianderhook/corianderhook/process/admission"
	"github.com/corianderhook/corianderhook/process/executor"
	"github.com/corianderhook/corianderhook/process/owner"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/version/slot"
	"github.com/corianderhook/corianderhook/wire"
)

// world holds the decision code of some entries and agents, the messages that
// are under way between them, and an independent record of starts. It decides
// nothing: the property test draws what happens next.
type world struct {
	now     time.Time
	log     [][]byte
	entries []*entryModel
	agents  []*agentModel
	starts  map[string]int
	// attempts are the submissions that the callers made.
	attempts []*attempt
	faults   []string
	admit    bool
	history  []string
	made     int
	// keys are those that callers use now; each is a UUIDv7 of its time.
	keys [keys]string
}

// entryModel is one run of an entry.
type entryModel struct {
	w        *world
	id       string
	began    time.Time
	paused   bool
	dead     bool
	table    *ownership.Table
	owner    *owner.Owner
	sessions map[string]*session
	readings map[string]uint64
}

// agentModel is one run of an agent.
type agentModel struct {
	w        *world
	id       string
	executor *executor.Executor
	paused   bool
	dead     bool
	sessions map[string]*session
	running  []*wire.TaskStart
}

// session is a pair of ordered queues. Each side may have moved on to a newer
// session before the other side knows.
type session struct {
	agent  *agentModel
	entry  *entryModel
	up     []*wire.AgentFrame
	down   []*wire.EntryFrame
	hello  bool
	broken bool
}

// attempt is one submission of a caller at one entry.
type attempt struct {
	w         *world
	key       string
	body      *submission.Submission
	at        *entryModel
	received  time.Time
	owner     string
	reading   uint64
	under     *entryModel
	answered  bool
	arrived   time.Time
	answer    answer.Answer
	abandoned bool
	copies    int
}

const (
	// retention is how long the model keeps keys and answers.
	retention   = time.Minute
	jobDeadline = 20 * time.Second
)

func newWorld(entries, agents int) *world {
	w := &world{now: time.Unix(1000, 0), starts: map[string]int{}, admit: true}
	for i := range w.keys {
		w.renew(i)
	}
	for i := range entries {
		w.addEntry(fmt.Sprintf("e%d", i))
	}
	for i := range agents {
		w.addAgent(fmt.Sprintf("a%d", i))
	}
	return w
}

// renew makes a new key of the same slot as the one that it replaces.
func (w *world) renew(i int) {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(w.now.UnixMilli())<<16)
	id[6], id[8] = 0x70, 0x80
	former := w.keys[i]
	for {
		w.made++
		binary.BigEndian.PutUint32(id[12:], uint32(w.made))
		if former == "" || ownership.Slot("team/"+id.String()) == ownership.Slot("team/"+former) {
			w.keys[i] = id.String()
			w.note("key %d is %s", i, w.keys[i])
			return
		}
	}
}

func (w *world) fault(format string, values ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, values...))
}

// note keeps what happened, for the report of a failure.
func (w *world) note(format string, values ...any) {
	w.history = append(w.history, fmt.Sprintf(format, values...))
}

func (w *world) incarnation(name string) string {
	w.made++
	return instance.Of(name, uint64(w.made)).String()
}

func (w *world) addEntry(name string) *entryModel {
	e := &entryModel{
		w:        w,
		id:       w.incarnation(name),
		began:    w.now.Add(-time.Duration(w.made) * time.Hour),
		table:    ownership.New(),
		sessions: map[string]*session{},
		readings: map[string]uint64{},
	}
	e.owner = owner.New(e, 1)
	w.entries = append(w.entries, e)
	w.append(ownership.Record{Join: &ownership.Entry{Instance: e.id, Name: name, Cell: "main"}})
	return e
}

func (w *world) addAgent(name string) *agentModel {
	a := &agentModel{w: w, id: w.incarnation(name), sessions: map[string]*session{}}
	a.executor = executor.New(a, weights{}, 2, retention+jobDeadline)
	w.agents = append(w.agents, a)
	return a
}

func (w *world) append(r ownership.Record) {
	r.ID = strconv.Itoa(len(w.log))
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	w.log = append(w.log, raw)
}

// tick lets time pass.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.entries {
		if e.runs() {
			e.owner.Tick(w.now)
			e.owner.TickSlots(w.now)
		}
	}
	for _, a := range w.agents {
		if a.runs() {
			a.executor.Tick(w.now)
		}
	}
}

// connect opens a new session. The agent uses it at once; the entry when the
// hello arrives.
func (w *world) connect(a *agentModel, e *entryModel) {
	s := &session{agent: a, entry: e, hello: true}
	a.sessions[e.id] = s
	w.note("%s connects to %s", a, e)
	a.executor.Attached(e.id)
}

// disconnect ends the newest session of both sides; what is under way is lost.
func (w *world) disconnect(a *agentModel, e *entryModel) {
	w.note("%s disconnects from %s", a, e)
	if s := a.sessions[e.id]; s != nil {
		s.broken = true
		delete(a.sessions, e.id)
		if !a.dead {
			a.executor.Detached(e.id)
		}
	}
	if s := e.sessions[a.id]; s != nil {
		s.broken = true
		delete(e.sessions, a.id)
		if !e.dead {
			e.owner.Detached(a.id)
		}
	}
}

func (w *world) canUp(a *agentModel, e *entryModel) bool {
	s := a.sessions[e.id]
	return s != nil && e.runs() && (s.hello || len(s.up) > 0)
}

func (w *world) canDown(a *agentModel, e *entryModel) bool {
	s := e.sessions[a.id]
	return s != nil && a.runs() && len(s.down) > 0
}

// deliverUp hands the next frame of an agent to an entry.
func (w *world) deliverUp(a *agentModel, e *entryModel) bool {
	s := a.sessions[e.id]
	if s == nil || !e.runs() {
		return false
	}
	if s.hello {
		s.hello = false
		former := e.sessions[a.id]
		e.sessions[a.id] = s
		if !e.owner.Attached(a.id, "z", 2) {
			e.sessions[a.id] = former
			s.broken = true
		}
		return true
	}
	if len(s.up) == 0 {
		return false
	}
	f := s.up[0]
	w.note("%s -> %s: %v", a, e, f)
	s.up = s.up[1:]
	if e.sessions[a.id] == s {
		e.owner.Frame(a.id, f)
	}
	return true
}

// deliverDown hands the next frame of an entry to an agent.
func (w *world) deliverDown(a *agentModel, e *entryModel) bool {
	s := e.sessions[a.id]
	if s == nil || !a.runs() || len(s.down) == 0 {
		return false
	}
	f := s.down[0]
	w.note("%s -> %s: %v", e, a, f)
	s.down = s.down[1:]
	if a.sessions[e.id] == s {
		a.executor.Frame(e.id, f)
	}
	return true
}

func (e *entryModel) String() string { return e.id }
func (a *agentModel) String() string { return a.id }
func (at *attempt) String() string   { return at.key + "@" + at.at.id }
func (e *entryModel) isDead() bool   { return e.dead }
func (a *agentModel) isDead() bool   { return a.dead }

// isGone is for a dead process that has no message under way any more.
func (e *entryModel) isGone() bool { return e.dead && len(e.sessions) == 0 }
func (a *agentModel) isGone() bool { return a.dead && len(a.sessions) == 0 }

func (e *entryModel) runs() bool { return !e.dead && !e.paused }
func (a *agentModel) runs() bool { return !a.dead && !a.paused }

// fold lets an entry read one more record of the log.
func (e *entryModel) fold() bool {
	next := e.table.Next()
	if next >= uint64(len(e.w.log)) {
		return false
	}
	e.w.note("%s reads %s", e, e.w.log[next])
	if err := e.table.Apply(next, e.w.log[next]); err != nil {
		e.w.fault("log record %d: %v", next, err)
	}
	e.owner.Follow(e.table.Snapshot())
	return true
}

func (e *entryModel) claim(number uint32, newOwner string, witnesses []string) {
	state := e.table.Slot(number)
	if state.Epoch > 0 {
		witnesses = nil
	}
	e.w.append(ownership.Record{Claim: &ownership.Claim{
		Author:    e.id,
		Owner:     newOwner,
		Slots:     []ownership.SlotClaim{{Slot: number, Expected: state.Epoch}},
		Witnesses: witnesses,
	}})
}

// handOver passes a slot to another entry as a planned stop does.
func (e *entryModel) handOver(number uint32, to *entryModel) {
	s, owned := e.owner.Slots()[number]
	if !owned || s.Phase() != slot.Active || !to.runs() {
		return
	}
	refused, floor, clock := s.Leave()
	to.owner.Inherit(&wire.HandOverRequest{Slot: number, Epoch: s.Epoch(), Owner: e.id, Clock: clock, Refused: refused, Floor: floor})
	e.w.append(ownership.Record{Claim: &ownership.Claim{
		Author: e.id, Owner: to.id, Slots: []ownership.SlotClaim{{Slot: number, Expected: s.Epoch()}},
	}})
}

// rewitness replaces the witnesses of a slot.
func (e *entryModel) rewitness(number uint32, members []string) {
	s, owned := e.owner.Slots()[number]
	if !owned || s.Phase() != slot.Active {
		return
	}
	var chosen []string
	if s.Propose(members) {
		var ready bool
		if chosen, ready = s.Proposed(); !ready {
			return
		}
	}
	e.w.append(ownership.Record{Claim: &ownership.Claim{
		Author:     e.id,
		Owner:      e.id,
		Slots:      []ownership.SlotClaim{{Slot: number, Expected: s.Epoch()}},
		Witnesses:  chosen,
		DoubtUntil: s.DoubtUntil().UnixMilli(),
	}})
}

// submit lets a caller send a job to an entry.
func (w *world) submit(e *entryModel, key string, payloads [][]byte) {
	body := submission.New("team", key, "kind", 0, payloads)
	at := &attempt{w: w, key: key, body: body, at: e, received: w.now}
	state := e.table.Slot(ownership.Slot(body.Job()))
	at.owner = state.Owner
	at.reading = e.readings[state.Owner]
	if state.Owner == e.id {
		at.reading = e.Clock()
	}
	w.attempts = append(w.attempts, at)
}

// route sends an attempt to the owner that its entry knows. An earlier copy may
// still be under way.
func (at *attempt) route() bool {
	if at.answered || at.abandoned || !at.at.runs() {
		return false
	}
	target := at.at.table.Slot(ownership.Slot(at.body.Job())).Owner
	for _, e := range at.w.entries {
		if e.id == target && e.runs() {
			at.under = e
			at.w.note("%v goes to %s", at, e)
			at.copies++
			at.arrived = at.w.now
			waiter := &copyOf{attempt: at, number: at.copies}
			e.owner.Submit(slot.Attempt{Body: at.body, Waiter: waiter, Owner: at.owner, Reading: at.reading})
			return true
		}
	}
	return false
}

// copyOf is an attempt on its way to one owner. An entry that sends the attempt
// to another owner no longer listens to the first.
type copyOf struct {
	*attempt
	number int
}

// NotOwner sends the attempt back to its entry.
func (c *copyOf) NotOwner() {
	if c.number == c.copies {
		c.under = nil
	}
}

// Answer checks what the owner says at the moment at which it says it.
func (c *copyOf) Answer(a answer.Answer) {
	at := c.attempt
	if at.answered || c.number != at.copies {
		return
	}
	at.answered = true
	at.w.note("%v gets %s (%s)", at, a.Outcome(), a.Reason())
	at.answer = a
	at.w.check(at)
}

// Self, Now, Clock, Send, Finished, Refused, Started and Policy are for the owner.
func (e *entryModel) Self() string                     { return e.id }
func (e *entryModel) Now() time.Time                   { return e.w.now }
func (e *entryModel) Clock() uint64                    { return uint64(e.w.now.Sub(e.began)) }
func (e *entryModel) Finished(*job.Job, answer.Answer) {}
func (e *entryModel) Refused(string, answer.Answer)    {}
func (e *entryModel) Started(*job.Job, int)            {}
func (e *entryModel) Policy() owner.Policy             { return policy{e.w} }
func (e *entryModel) Send(a string, f *wire.EntryFrame) bool {
	s := e.sessions[a]
	if s == nil {
		return false
	}
	if !s.broken {
		s.down = append(s.down, f)
	}
	return true
}

// Now, Send and Run are for the executor.
func (a *agentModel) Now() time.Time { return a.w.now }

func (a *agentModel) Send(e string, f *wire.AgentFrame) {
	if s := a.sessions[e]; s != nil && !s.broken {
		s.up = append(s.up, f)
	}
}

func (a *agentModel) Run(t *wire.TaskStart) {
	name := t.GetJob() + "/" + strconv.Itoa(int(t.GetIndex()))
	a.w.starts[name]++
	a.w.note("%s starts %s of epoch %d", a, name, t.GetEpoch())
	if a.w.starts[name] > 1 {
		a.w.fault("task %s was started %d times", name, a.w.starts[name])
	}
	a.w.checkStart(t)
	a.running = append(a.running, t)
}

// finish ends the oldest task of an agent.
func (a *agentModel) finish(state wire.TaskState) {
	if len(a.running) == 0 || !a.runs() {
		return
	}
	t := a.running[0]
	a.running = a.running[1:]
	if state == wire.TaskState_TASK_STATE_NOT_STARTED {
		// The endpoint says that it did not start the task after all.
		a.w.unstart(t.GetJob() + "/" + strconv.Itoa(int(t.GetIndex())))
	}
	a.executor.Finished(t, &wire.TaskRecord{
		Index: t.GetIndex(), State: state, Result: []byte(t.GetJob() + "/" + strconv.Itoa(int(t.GetIndex()))),
	})
}

func (w *world) unstart(task string) {
	w.starts[task]--
	if w.starts[task] == 0 {
		delete(w.starts, task)
	}
}

type weights struct{}

func (weights) KindWeight(string) float64 { return 1 }
func (weights) TeamWeight(string) float64 { return 1 }

type policy struct{ w *world }

func (p policy) Kind(string) (admission.Kind, bool) { return admission.Kind{}, p.w.admit }
func (p policy) Team(string) (admission.Team, bool) { return admission.Team{}, true }
func (p policy) KindShare(string) float64           { return 1 }
func (p policy) TeamWeight(string) float64          { return 1 }
func (p policy) Ejected(string) bool                { return false }
func (p policy) JobDeadline(string) time.Duration   { return jobDeadline }
func (p policy) TaskTimeout(string) time.Duration   { return time.Second }
func (p policy) Retention() time.Duration           { return retention }
func (p policy) MaxKeys() int                       { return 3 }

// present drops those that are gone.
func present[T interface{ isGone() bool }](list []T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return x.isGone() })
}

// alive drops those that are dead.
func alive[T interface{ isDead() bool }](list []T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return x.isDead() })
}

// describe shows what every entry and agent holds of a job.
func (w *world) describe(name string) string {
	number := ownership.Slot(name)
	text := ""
	for _, e := range alive(w.entries) {
		text += fmt.Sprintf("%s: table %+v", e.id, e.table.Slot(number))
		if s, owned := e.owner.Slots()[number]; owned {
			text += fmt.Sprintf(" phase %s epoch %d witnesses %v", s.Phase(), s.Epoch(), s.Witnesses())
			if j, known := s.Job(name); known {
				text += fmt.Sprintf(" waiting %d ready %v unproved %v status %v", j.Waiting(), j.IsReady(), j.Unproved(), j.Status())
			}
		}
		text += "\n"
	}
	for _, a := range alive(w.agents) {
		text += fmt.Sprintf("%s: load %v running %d\n", a.id, a.executor.Load(), len(a.running))
	}
	return text
}
