package runner

import (
	"time"

	"github.com/corianderhook/corianderhook/process/lease"
)

// LeaseLimit returns the time beyond which the endpoint's lease must not be extended, or the zero
// time. The end of the lease ends the runs whose stop orders get no answer, and those of a
// dispatcher that has gone: their callers may soon submit the jobs again.
func (r *Runner) LeaseLimit() time.Time {
	var limit time.Time
	lower := func(to time.Time) {
		if limit.IsZero() || to.Before(limit) {
			limit = to
		}
	}
	for _, t := range r.tasks {
		switch {
		case t.phase == waiting || t.phase == stopped || t.leaseOver:
		case !t.endBy.IsZero():
			lower(t.endBy)
		default:
			// A dispatcher without a session has no tasks but those that have to end.
			if s, known := r.sessions[t.dispatcher]; known {
				lower(s.heardAt.Add(maxOrphanTime))
			}
		}
	}
	for _, endBy := range r.strays {
		lower(endBy)
	}
	return limit
}

// OrphanEnd returns the time by which the runs of a task have to end if its dispatcher is not
// heard of again.
func (r *Runner) OrphanEnd(name string) time.Time {
	t, known := r.tasks[name]
	if !known {
		return time.Time{}
	}
	if s, known := r.sessions[t.dispatcher]; known {
		return s.heardAt.Add(maxOrphanTime)
	}
	return t.endBy
}

// Lapse ends the tasks whose start or stop the endpoint acknowledged. It is called when
// the endpoint's lease must have expired, so that none of them runs any more, whether a
// stop was answered or not. A start order without an answer stays in doubt: the endpoint
// refuses it from now on, but has not said so.
func (r *Runner) Lapse(reason string) {
	clear(r.strays)
	for _, t := range r.sortedTasks() {
		switch {
		case t.startAcknowledged || t.phase == stopped:
			r.lapsed = append(r.lapsed, crashedRun(t, r.host.Now()))
			r.endUnlisted(t, reason)
		case t.phase == stopping:
			t.leaseOver = true
		}
	}
}

// noteStrays records the runs at the endpoint that the runner does not know. They have to end
// like any other that is being stopped.
func (r *Runner) noteStrays(unknown []RunName) {
	strays := make(map[string]time.Time, len(unknown))
	for _, run := range unknown {
		endBy, known := r.strays[run.key()]
		if !known {
			endBy = r.stopDeadline()
		}
		strays[run.key()] = endBy
	}
	r.strays = strays
}

// stopDeadline returns the time by which a run ends that is ordered to stop now, whether the
// order is answered or not.
func (r *Runner) stopDeadline() time.Time { return r.host.Now().Add(StopGrace + lease.Duration) }
