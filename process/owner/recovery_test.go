package owner_test

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/wire"
)

// recoverAll resumes all paused processes, reconnects everything and runs a number
// of rounds that is enough for every attempt to be answered.
func recoverAll(w *world) {
	w.admit = true
	for _, e := range w.entries {
		e.paused = false
	}
	for _, a := range w.agents {
		a.paused = false
	}
	for _, e := range w.entries {
		for _, a := range w.agents {
			if e.dead || a.dead {
				w.disconnect(a, e)
			}
		}
	}
	for range recoveryRounds {
		recoverOnce(w)
	}
}

func recoverOnce(w *world) {
	w.advance(50 * time.Millisecond)
	entries, agents := alive(w.entries), alive(w.agents)
	for _, e := range entries {
		for e.applyNextRecord() {
			continue
		}
		for _, other := range entries {
			e.clocks[other.id] = other.Clock()
		}
		for _, a := range agents {
			if a.sessions[e.id] == nil || e.sessions[a.id] != a.sessions[e.id] && !a.sessions[e.id].helloInFlight {
				w.connect(a, e)
			}
		}
	}
	for _, key := range w.keys {
		repairOwnership(w, entries, agents, ownership.Slot("team/"+key))
	}
	for _, at := range w.attempts {
		if at.pendingAt == nil {
			at.route()
		}
	}
	deliverAll(w, entries, agents)
}

// repairOwnership claims a slot whose owner has ended. If the owner is alive, it takes
// back an unfinished hand-over and replaces witnesses that have ended.
func repairOwnership(w *world, entries []*entryModel, agents []*agentModel, number uint32) {
	var witnesses []string
	for _, a := range agents {
		witnesses = append(witnesses, a.id)
	}
	first := entries[0]
	state := first.table.Slot(number)
	for _, e := range entries {
		if e.id != state.Owner {
			continue
		}
		if s, owned := e.owner.Slots()[number]; owned && s.Phase().String() == "leaving" {
			e.claim(number, e.id, nil)
		}
		if slices.ContainsFunc(state.Witnesses, func(x string) bool { return !slices.Contains(witnesses, x) }) {
			e.replaceWitnesses(number, witnesses)
		}
		return
	}
	first.claim(number, first.id, witnesses)
}

func deliverAll(w *world, entries []*entryModel, agents []*agentModel) {
	for range 8 {
		for _, e := range entries {
			for _, a := range agents {
				for w.deliverToEntry(a, e) || w.deliverToAgent(a, e) {
					continue
				}
			}
		}
		for _, a := range agents {
			for len(a.running) > 0 {
				a.finish(wire.TaskState_TASK_STATE_DONE)
			}
		}
	}
}
