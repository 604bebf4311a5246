package runner

import (
	"time"

	"github.com/corianderhook/corianderhook/sharing/slowdown"
)

// WithSlowdowns makes the runner report its endpoint as slow by the runs that are under way too.
func WithSlowdowns(t *slowdown.Tracker) Option { return func(r *Runner) { r.slowdowns = t } }

// StoodStill makes the runner report its endpoint as slow only by runs that begin from now on.
func (r *Runner) StoodStill() {
	if r.slowdowns != nil {
		r.slowdowns.StoodStill(r.host.Now())
	}
}

// recordEnded records that the run of a task has succeeded.
func (r *Runner) recordEnded(t *task) {
	if r.slowdowns != nil {
		now := r.host.Now()
		r.slowdowns.Ended(t.run(now), now)
	}
}

// slownessUnderWay returns how slow the endpoint evidently is, or 0. A run with several orders is
// left out: it is unknown when it began.
func (r *Runner) slownessUnderWay(now time.Time) float64 {
	if r.slowdowns == nil {
		return 0
	}
	var underWay []slowdown.Run
	for _, t := range r.tasks {
		if t.tries == 1 && (t.phase == starting || t.phase == running) {
			underWay = append(underWay, t.run(now))
		}
	}
	return r.slowdowns.Slowness(underWay, now)
}

// run returns the run of the task as it is now.
func (t *task) run(now time.Time) slowdown.Run {
	return slowdown.Run{Job: t.order.Job, Ran: now.Sub(t.orderedAt), Expected: t.expected}
}
