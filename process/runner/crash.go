package runner

import (
	"time"

	"github.com/corianderhook/corianderhook/process/crash"
)

// EndpointCrashed returns the record of a crash of the endpoint's incarnation that started at
// born, with all runs that may have been there: also those that are being stopped, those whose
// order is in doubt, and those that ended with the lease since the endpoint last answered. Runs
// that were ordered later than at, when the crash was noticed, are left out unless the endpoint
// has acknowledged them. It returns false if the crash is known already or nothing ran.
func (r *Runner) EndpointCrashed(agent string, born, at time.Time) (crash.Record, bool) {
	if born.Equal(r.crashedBorn) {
		return crash.Record{}, false
	}
	r.crashedBorn = born
	record := crash.Record{ID: crash.ID{Agent: agent, BornMS: born.UnixMilli()}, At: at, Runs: r.lapsed}
	r.lapsed = nil
	for _, t := range r.sortedTasks() {
		if t.phase != waiting && (t.startAcknowledged || !t.orderedAt.After(at)) {
			record.Runs = append(record.Runs, crashedRun(t, at))
		}
	}
	return record, len(record.Runs) > 0
}

func crashedRun(t *task, at time.Time) crash.Run {
	return crash.Run{
		Task:  crash.Task{Job: t.order.Job, Step: t.order.Step, Index: t.order.Index},
		Queue: t.queue, Age: max(0, at.Sub(t.orderedAt)),
	}
}
