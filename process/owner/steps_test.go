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
	list := make([][]byte, tasksPerJob)
	for i := range list {
		list[i] = []byte(fmt.Sprintf("%d-%d", variant, i))
	}
	return list
}

// drawStep draws and performs one step of the simulation.
func drawStep(t *rapid.T, w *world) {
	w.now = w.now.Add(time.Millisecond)
	switch action := drawPercent(t, "action"); {
	case action < 60:
		drawDelivery(t, w)
	case action < 70:
		drawRoute(t, w)
	case action < 75:
		e := rapid.SampledFrom(alive(w.entries)).Draw(t, "entry")
		if e.isUp() {
			w.submit(e, drawKey(t, w), payloads(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 1}).Draw(t, "body")))
		}
	case action < 81:
		drawFinish(t, w)
	case action < 89:
		if e := rapid.SampledFrom(alive(w.entries)).Draw(t, "entry"); e.isUp() {
			e.applyNextRecord()
		}
	default:
		drawFault(t, w, drawPercent(t, "rare"))
	}
}

// drawPercent draws a number from 0 to 99. rapid prefers small numbers, so they are
// permuted to spread that bias over the range.
func drawPercent(t *rapid.T, label string) int {
	return rapid.IntRange(0, 99).Draw(t, label) * 37 % 100
}

func drawKey(t *rapid.T, w *world) string {
	return w.keys[rapid.IntRange(0, keyCount-1).Draw(t, "key")]
}

func drawFinish(t *rapid.T, w *world) {
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

// drawFault draws a fault, a change of ownership or another rare event.
func drawFault(t *rapid.T, w *world, action int) {
	e := rapid.SampledFrom(alive(w.entries)).Draw(t, "entry")
	a := rapid.SampledFrom(alive(w.agents)).Draw(t, "agent")
	key := drawKey(t, w)
	number := ownership.Slot("team/" + key)
	switch {
	case action < 12:
		if e.isUp() {
			e.claim(number, e.id, drawWitnesses(t, w))
		}
	case action < 24:
		if e.isUp() {
			e.handOver(number, rapid.SampledFrom(alive(w.entries)).Draw(t, "to"))
		}
	case action < 36:
		if e.isUp() {
			e.replaceWitnesses(number, drawWitnesses(t, w))
		}
	case action < 46:
		w.disconnect(a, e)
		if rapid.Bool().Draw(t, "reconnect") && e.isUp() && a.isUp() {
			w.connect(a, e)
		}
	case action < 52:
		if e.isUp() && a.isUp() {
			w.connect(a, e)
		}
	case action < 72:
		other := rapid.SampledFrom(w.entries).Draw(t, "heard")
		if e.isUp() && other.isUp() {
			e.clocks[other.id] = other.Clock()
		}
	case action < 82:
		if rapid.Bool().Draw(t, "which") {
			e.paused = !e.paused
		} else {
			a.paused = !a.paused
		}
	case action < 86:
		d := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 4 * time.Second, 21 * time.Second, retention + time.Second}).Draw(t, "time")
		w.advance(d)
		for i := range w.keys {
			if d > retention && rapid.Bool().Draw(t, "renew") {
				w.renewKey(i)
			}
		}
	case action < 92:
		if rapid.Bool().Draw(t, "admit") {
			w.admit = !w.admit
			return
		}
		if e.isUp() {
			if s, owned := e.owner.Slots()[number]; owned {
				s.Cancel("team/" + key)
			}
		}
	case action < 96:
		replaceEntry(w, e)
	default:
		replaceAgent(w, a)
	}
}

// drawDelivery delivers up to four messages on one link that has messages in flight.
func drawDelivery(t *rapid.T, w *world) {
	var links []func() bool
	for _, e := range undrained(w.entries) {
		for _, a := range undrained(w.agents) {
			if w.canDeliverToEntry(a, e) {
				links = append(links, func() bool { return w.deliverToEntry(a, e) })
			}
			if w.canDeliverToAgent(a, e) {
				links = append(links, func() bool { return w.deliverToAgent(a, e) })
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

func drawRoute(t *rapid.T, w *world) {
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

func drawWitnesses(t *rapid.T, w *world) []string {
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

// replaceEntry crashes an entry and starts a new incarnation. Callers connected to the
// old one get no answer.
func replaceEntry(w *world, e *entryModel) {
	if e.dead || len(w.entries) > 6 {
		return
	}
	e.dead = true
	for _, at := range w.attempts {
		if at.receivedBy == e {
			at.abandoned = true
		}
		if at.pendingAt == e {
			at.pendingAt = nil
		}
	}
	w.addEntry(nameOf(e.id))
}

// replaceAgent crashes an agent and starts a new incarnation. The state of its tasks is
// lost.
func replaceAgent(w *world, a *agentModel) {
	if a.dead || len(w.agents) > 8 {
		return
	}
	a.dead = true
	w.addAgent(nameOf(a.id))
}

func nameOf(id string) string { return id[:strings.Index(id, "#")] }
