package owner_test

import (
	"strconv"
	"strings"

	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/wire"
)

// checkAnswer compares an answer with the starts recorded until then.
func (w *world) checkAnswer(at *attempt) {
	a := at.answer
	started := w.startedTasks(at.body.Job())
	switch a.Outcome() {
	case outcome.NotRun:
		if a.Reason() != "key-conflict" && started > 0 && !w.hasNewerAttempt(at) {
			w.violationf("attempt of %s got not_run (%s) and %d tasks had started", at.key, a.Reason(), started)
		}
	case outcome.Complete:
		w.checkComplete(at)
	case outcome.Failed:
		for _, other := range w.attempts {
			if other.answered && other.answer.Outcome() == outcome.Complete && other.key == at.key {
				w.violationf("job %s was complete for one caller and failed (%s) for another", at.key, a.Reason())
			}
		}
	case outcome.Pending:
		w.violationf("attempt of %s got a pending answer", at.key)
	}
}

func (w *world) checkComplete(at *attempt) {
	if len(at.answer.Records()) != at.body.TaskCount() {
		w.violationf("complete answer of %s has %d of %d tasks", at.key, len(at.answer.Records()), at.body.TaskCount())
	}
	for i, r := range at.answer.Records() {
		name := at.body.Job() + "/" + strconv.Itoa(i)
		if r.GetState() != wire.TaskState_TASK_STATE_DONE || string(r.GetResult()) != name || w.startCount[name] != 1 {
			w.violationf("complete answer of %s has for task %d: %v, started %d times", at.key, i, r, w.startCount[name])
		}
	}
	for _, other := range w.attempts {
		if other.answered && other.answer.Outcome() == outcome.Failed && other.key == at.key {
			w.violationf("job %s was failed for one caller and complete for another", at.key)
		}
	}
}

func (w *world) startedTasks(job string) int {
	n := 0
	for name := range w.startCount {
		if strings.HasPrefix(name, job+"/") {
			n++
		}
	}
	return n
}

// checkStart compares a start with earlier refusals and failures. A refusal covers
// every attempt received before it was decided.
func (w *world) checkStart(t *wire.TaskStart) {
	for _, at := range w.attempts {
		if !at.answered || at.body.Job() != t.GetJob() {
			continue
		}
		switch at.answer.Outcome() {
		case outcome.NotRun:
			if at.answer.Reason() != "key-conflict" && !w.hasNewerAttempt(at) {
				w.violationf("task %s/%d started after not_run (%s)", t.GetJob(), t.GetIndex(), at.answer.Reason())
			}
		case outcome.Failed:
			records := at.answer.Records()
			if records == nil || records[t.GetIndex()].GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
				w.violationf("task %s/%d started after failed (%s) had said it never would", t.GetJob(), t.GetIndex(), at.answer.Reason())
			}
		}
	}
}

// hasNewerAttempt reports whether an attempt of the same key was received after the
// refused one had reached its owner. The next owner may accept such an attempt while
// the refusal, which the witnesses confirmed for the former owner, is in flight.
func (w *world) hasNewerAttempt(refused *attempt) bool {
	for _, at := range w.attempts {
		if at.key == refused.key && at != refused && at.receivedAt.After(refused.sentAt) {
			return true
		}
	}
	return false
}
