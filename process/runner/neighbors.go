package runner

import (
	"github.com/corianderhook/corianderhook/sharing/interference"
	"github.com/corianderhook/corianderhook/wire"
)

// maxReportedQueues is how many of the queues that run at the endpoint a report lists.
const maxReportedQueues = 8

// beginBeside tells the estimator that a run of a task begins.
func (r *Runner) beginBeside(t *task) {
	if r.neighbors == nil || t.queue == "" {
		return
	}
	share := float64(t.size.CPU) / float64(max(1, r.ledger.Capacity().CPU))
	r.neighbors.Begin(interference.Run{Name: t.name, Job: t.order.Job, Queue: t.queue, Share: share}, r.host.Now())
}

// compareRun tells the estimator that the run of a task has succeeded.
func (r *Runner) compareRun(t *task) {
	if r.neighbors != nil {
		r.neighbors.Succeeded(t.name, r.host.Now().Sub(t.orderedAt), t.expected)
	}
}

// endBeside tells the estimator that a run of a task has ended.
func (r *Runner) endBeside(t *task) {
	if r.neighbors != nil {
		r.neighbors.End(t.name)
	}
}

// forgetNeighbors makes the estimator forget the runs that have ended.
func (r *Runner) forgetNeighbors() {
	if r.neighbors != nil {
		r.neighbors.Reset()
	}
}

// reportQueues adds to a report which queues' tasks run.
func (r *Runner) reportQueues(room *wire.Room) {
	if r.neighbors == nil {
		return
	}
	for _, load := range r.neighbors.Loads(maxReportedQueues) {
		room.Queues = append(room.Queues, interference.Hash(load.Queue))
		room.QueueTasks = append(room.QueueTasks, uint32(load.Tasks))
	}
}
