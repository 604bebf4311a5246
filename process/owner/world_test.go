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
	"github.com/corianderhook/corianderhook/process/executor"
	"github.com/corianderhook/corianderhook/process/owner"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/wire"
)

// world simulates a cluster: it holds the decision code of some entries and agents,
// the messages in flight between them, and an independent record of task starts. The
// property test draws each next event.
type world struct {
	now     time.Time
	log     [][]byte
	entries []*entryModel
	agents  []*agentModel
	// startCount counts the starts of each task.
	startCount map[string]int
	// attempts are all submissions by callers.
	attempts   []*attempt
	violations []string
	// admit is whether jobs pass admission control.
	admit  bool
	trace  []string
	lastID int
	// keys are the keys that callers currently use, each a UUIDv7 of the time at which
	// it was made.
	keys [keyCount]string
}

// session is a connection with one ordered queue per direction. A side may have opened
// a newer session before the other side notices.
type session struct {
	agent         *agentModel
	entry         *entryModel
	toEntry       []*wire.AgentFrame
	toAgent       []*wire.EntryFrame
	helloInFlight bool
	broken        bool
}

const (
	// retention is how long keys and answers are kept.
	retention   = time.Minute
	jobDeadline = 20 * time.Second
)

func newWorld(entries, agents int) *world {
	w := &world{now: time.Unix(1000, 0), startCount: map[string]int{}, admit: true}
	for i := range w.keys {
		w.renewKey(i)
	}
	for i := range entries {
		w.addEntry(fmt.Sprintf("e%d", i))
	}
	for i := range agents {
		w.addAgent(fmt.Sprintf("a%d", i))
	}
	return w
}

// renewKey replaces a key with a new one of the same slot.
func (w *world) renewKey(i int) {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(w.now.UnixMilli())<<16)
	id[6], id[8] = 0x70, 0x80
	former := w.keys[i]
	for {
		w.lastID++
		binary.BigEndian.PutUint32(id[12:], uint32(w.lastID))
		if former == "" || ownership.Slot("team/"+id.String()) == ownership.Slot("team/"+former) {
			w.keys[i] = id.String()
			w.logf("key %d is %s", i, w.keys[i])
			return
		}
	}
}

func (w *world) violationf(format string, values ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, values...))
}

// logf appends an event to the trace that is printed on failure.
func (w *world) logf(format string, values ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, values...))
}

func (w *world) newInstance(name string) string {
	w.lastID++
	return instance.FromParts(name, uint64(w.lastID)).String()
}

func (w *world) addEntry(name string) *entryModel {
	e := &entryModel{
		w:         w,
		id:        w.newInstance(name),
		startedAt: w.now.Add(-time.Duration(w.lastID) * time.Hour),
		table:     ownership.New(),
		sessions:  map[string]*session{},
		clocks:    map[string]uint64{},
	}
	e.owner = owner.New(e, 1)
	w.entries = append(w.entries, e)
	w.append(ownership.Record{Join: &ownership.Entry{Instance: e.id, Name: name, Cell: "main"}})
	return e
}

func (w *world) addAgent(name string) *agentModel {
	a := &agentModel{w: w, id: w.newInstance(name), sessions: map[string]*session{}}
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

// advance advances the clock and runs all timers.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.entries {
		if e.isUp() {
			e.owner.Tick(w.now)
			e.owner.TickSlots(w.now)
		}
	}
	for _, a := range w.agents {
		if a.isUp() {
			a.executor.Tick(w.now)
			a.executor.Expire(w.now)
		}
	}
}

// connect opens a new session. The agent uses it at once, the entry when the hello
// arrives.
func (w *world) connect(a *agentModel, e *entryModel) {
	s := &session{agent: a, entry: e, helloInFlight: true}
	a.sessions[e.id] = s
	w.logf("%s connects to %s", a, e)
	a.executor.AttachEntry(e.id)
}

// disconnect closes the latest session of both sides. Messages in flight are lost.
func (w *world) disconnect(a *agentModel, e *entryModel) {
	w.logf("%s disconnects from %s", a, e)
	if s := a.sessions[e.id]; s != nil {
		s.broken = true
		delete(a.sessions, e.id)
		if !a.dead {
			a.executor.DetachEntry(e.id)
		}
	}
	if s := e.sessions[a.id]; s != nil {
		s.broken = true
		delete(e.sessions, a.id)
		if !e.dead {
			e.owner.DetachAgent(a.id)
		}
	}
}

func (w *world) canDeliverToEntry(a *agentModel, e *entryModel) bool {
	s := a.sessions[e.id]
	return s != nil && e.isUp() && (s.helloInFlight || len(s.toEntry) > 0)
}

func (w *world) canDeliverToAgent(a *agentModel, e *entryModel) bool {
	s := e.sessions[a.id]
	return s != nil && a.isUp() && len(s.toAgent) > 0
}

// deliverToEntry delivers the next frame from an agent to an entry.
func (w *world) deliverToEntry(a *agentModel, e *entryModel) bool {
	s := a.sessions[e.id]
	if s == nil || !e.isUp() {
		return false
	}
	if s.helloInFlight {
		s.helloInFlight = false
		former := e.sessions[a.id]
		e.sessions[a.id] = s
		if !e.owner.AttachAgent(a.id, "z", 2) {
			e.sessions[a.id] = former
			s.broken = true
		}
		return true
	}
	if len(s.toEntry) == 0 {
		return false
	}
	f := s.toEntry[0]
	w.logf("%s -> %s: %v", a, e, f)
	s.toEntry = s.toEntry[1:]
	if e.sessions[a.id] == s {
		e.owner.HandleFrame(a.id, f)
	}
	return true
}

// deliverToAgent delivers the next frame from an entry to an agent.
func (w *world) deliverToAgent(a *agentModel, e *entryModel) bool {
	s := e.sessions[a.id]
	if s == nil || !a.isUp() || len(s.toAgent) == 0 {
		return false
	}
	f := s.toAgent[0]
	w.logf("%s -> %s: %v", e, a, f)
	s.toAgent = s.toAgent[1:]
	if a.sessions[e.id] == s {
		a.executor.HandleFrame(e.id, f)
	}
	return true
}

// undrained returns the processes that are alive or have messages in flight.
func undrained[T interface{ isDrained() bool }](list []T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return x.isDrained() })
}

// alive returns the processes that are not dead.
func alive[T interface{ isDead() bool }](list []T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return x.isDead() })
}

// describe returns the state of a job at every entry and agent.
func (w *world) describe(name string) string {
	number := ownership.Slot(name)
	text := ""
	for _, e := range alive(w.entries) {
		text += fmt.Sprintf("%s: table %+v", e.id, e.table.Slot(number))
		if s, owned := e.owner.Slots()[number]; owned {
			text += fmt.Sprintf(" phase %s epoch %d witnesses %v", s.Phase(), s.Epoch(), s.Witnesses())
			if j, known := s.Job(name); known {
				text += fmt.Sprintf(" waiting %d starts allowed %v unresolved %v status %v", j.Waiting(), j.StartsAllowed(), j.UnresolvedAgents(), j.Status())
			}
		}
		text += "\n"
	}
	for _, a := range alive(w.agents) {
		text += fmt.Sprintf("%s: load %v running %d\n", a.id, a.executor.Load(), len(a.running))
	}
	return text
}
