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
			a.executor.Expire(w.now)
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
		e.owner.HandleFrame(a.id, f)
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
		a.executor.HandleFrame(e.id, f)
	}
	return true
}

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
				text += fmt.Sprintf(" waiting %d ready %v unproved %v status %v", j.Waiting(), j.StartsAllowed(), j.UnresolvedAgents(), j.Status())
			}
		}
		text += "\n"
	}
	for _, a := range alive(w.agents) {
		text += fmt.Sprintf("%s: load %v running %d\n", a.id, a.executor.Load(), len(a.running))
	}
	return text
}
