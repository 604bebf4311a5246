package owner_test

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/wire"
)

func payloads(variant int) [][]byte {
	list := make([][]byte, modelTask)
	for i := range list {
		list[i] = []byte(fmt.Sprintf("%d-%d", variant, i))
	}
	return list
}

// step draws one thing that happens.
func step(t *rapid.T, w *world) {
	w.now = w.now.Add(time.Millisecond)
	switch action := spread(t, "action"); {
	case action < 60:
		deliver(t, w)
	case action < 70:
		routeOne(t, w)
	case action < 75:
		e := rapid.SampledFrom(alive(w.entries)).Draw(t, "entry")
		if e.runs() {
			w.submit(e, drawKey(t, w), payloads(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 1}).Draw(t, "body")))
		}
	case action < 81:
		finishOne(t, w)
	case action < 89:
		if e := rapid.SampledFrom(alive(w.entries)).Draw(t, "entry"); e.runs() {
			e.fold()
		}
	default:
		rare(t, w, spread(t, "rare"))
	}
}

// spread draws a number from 0 to 99. The library prefers small numbers, so the
// numbers are dealt in an order that has no meaning.
func spread(t *rapid.T, label string) int {
	return rapid.IntRange(0, 99).Draw(t, label) * 37 % 100
}

func drawKey(t *rapid.T, w *world) string { return w.keys[rapid.IntRange(0, keys-1).Draw(t, "key")] }

func finishOne(t *rapid.T, w *world) {
	var busy []*agentModel
	for _, a := range alive(w.agents) {
		if len(a.running) > 0 {
			busy = append(busy, a)
		}
	}
	if len(busy) == 0 {
		return
	}
	rapid.SampledFrom(busy).Draw(t, "agent").finish(rapid.SampledFrom([]wire.TaskState{
		wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_DONE,
		wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_DONE,
		wire.TaskState_TASK_STATE_FAILED, wire.TaskState_TASK_STATE_NOT_STARTED, wire.TaskState_TASK_STATE_UNKNOWN,
	}).Draw(t, "end"))
}

// rare draws a fault, or a change of ownership.
func rare(t *rapid.T, w *world, action int) {
	e := rapid.SampledFrom(alive(w.entries)).Draw(t, "entry")
	a := rapid.SampledFrom(alive(w.agents)).Draw(t, "agent")
	key := drawKey(t, w)
	number := ownership.Slot("team/" + key)
	switch {
	case action < 12:
		if e.runs() {
			e.claim(number, e.id, someWitnesses(t, w))
		}
	case action < 24:
		if e.runs() {
			e.handOver(number, rapid.SampledFrom(alive(w.entries)).Draw(t, "to"))
		}
	case action < 36:
		if e.runs() {
			e.rewitness(number, someWitnesses(t, w))
		}
	case action < 46:
		w.disconnect(a, e)
		if rapid.Bool().Draw(t, "reconnect") && e.runs() && a.runs() {
			w.connect(a, e)
		}
	case action < 52:
		if e.runs() && a.runs() {
			w.connect(a, e)
		}
	case action < 72:
		other := rapid.SampledFrom(w.entries).Draw(t, "heard")
		if e.runs() && other.runs() {
			e.readings[other.id] = other.Clock()
		}
	case action < 82:
		if rapid.Bool().Draw(t, "which") {
			e.paused = !e.paused
		} else {
			a.paused = !a.paused
		}
	case action < 86:
		d := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 4 * time.Second, 21 * time.Second, retention + time.Second}).Draw(t, "time")
		w.tick(d)
		for i := range w.keys {
			if d > retention && rapid.Bool().Draw(t, "renew") {
				w.renew(i)
			}
		}
	case action < 92:
		if rapid.Bool().Draw(t, "admit") {
			w.admit = !w.admit
			return
		}
		if e.runs() {
			if s, owned := e.owner.Slots()[number]; owned {
				s.Cancel("team/" + key)
			}
		}
	case action < 96:
		crashEntry(w, e)
	default:
		crashAgent(w, a)
	}
}

// deliver hands over some messages of one link that has any under way.
func deliver(t *rapid.T, w *world) {
	var links []func() bool
	for _, e := range present(w.entries) {
		for _, a := range present(w.agents) {
			if w.canUp(a, e) {
				links = append(links, func() bool { return w.deliverUp(a, e) })
			}
			if w.canDown(a, e) {
				links = append(links, func() bool { return w.deliverDown(a, e) })
			}
		}
	}
	if len(links) == 0 {
		return
	}
	next := links[rapid.IntRange(0, len(links)-1).Draw(t, "link")]
	for range rapid.IntRange(1, 4).Draw(t, "messages") {
		next()
	}
}

func routeOne(t *rapid.T, w *world) {
	var open []*attempt
	for _, at := range w.attempts {
		if !at.answered && !at.abandoned {
			open = append(open, at)
		}
	}
	if len(open) > 0 {
		rapid.SampledFrom(open).Draw(t, "attempt").route()
	}
}

func someWitnesses(t *rapid.T, w *world) []string {
	living := alive(w.agents)
	if len(living) == 0 {
		return nil
	}
	first := rapid.IntRange(0, len(living)-1).Draw(t, "witness")
	var chosen []string
	for i := range min(3, len(living)) {
		chosen = append(chosen, living[(first+i)%len(living)].id)
	}
	return chosen
}

// crashEntry replaces a run of an entry. Requests that it held are cut off.
func crashEntry(w *world, e *entryModel) {
	if e.dead || len(w.entries) > 6 {
		return
	}
	e.dead = true
	for _, at := range w.attempts {
		if at.at == e {
			at.abandoned = true
		}
		if at.under == e {
			at.under = nil
		}
	}
	w.addEntry(name(e.id))
}

// crashAgent replaces a run of an agent; what its tasks do is not known.
func crashAgent(w *world, a *agentModel) {
	if a.dead || len(w.agents) > 8 {
		return
	}
	a.dead = true
	w.addAgent(name(a.id))
}

func name(id string) string { return id[:strings.Index(id, "#")] }
