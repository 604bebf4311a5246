package runner

import "time"

type session struct {
	heardAt time.Time
	address string
}

// Heard records that a dispatcher was alive at the given time.
func (r *Runner) Heard(dispatcher uint64, address string, at time.Time) {
	at = r.withSuspension(at)
	s, known := r.sessions[dispatcher]
	if !known {
		s = &session{}
		r.sessions[dispatcher] = s
		r.dropPredecessors(dispatcher, address)
	}
	s.address = address
	if at.After(s.heardAt) {
		s.heardAt = at
	}
}

// Opened records that a session with a dispatcher was opened at the given time. That is no sign of
// life of one whose tasks may be here: it may owe cancellations that the session before has lost.
func (r *Runner) Opened(dispatcher uint64, address string, at time.Time) {
	if s, known := r.sessions[dispatcher]; known {
		s.address = address
		return
	}
	r.Heard(dispatcher, address, at)
}

// withSuspension returns a time at which the machine ran, moved by the last suspension if that came
// later.
func (r *Runner) withSuspension(at time.Time) time.Time {
	if at.Before(r.resumedAt) {
		return at.Add(-r.suspension)
	}
	return at
}

// Resumed records that the machine was suspended for some time, which the clock does not count.
// The last words of the dispatchers are older by that time.
func (r *Runner) Resumed(suspension time.Duration) {
	r.resumedAt, r.suspension = r.host.Now(), suspension
	for _, s := range r.sessions {
		s.heardAt = s.heardAt.Add(-suspension)
	}
}

// dropPredecessors stops the tasks of earlier incarnations of the dispatcher at an address.
func (r *Runner) dropPredecessors(dispatcher uint64, address string) {
	for d, s := range r.sessions {
		if d != dispatcher && s.address == address {
			r.dropDispatcher(d, "the dispatcher has started anew")
		}
	}
}

// dropDispatcher stops all tasks of a dispatcher and forgets its session.
func (r *Runner) dropDispatcher(dispatcher uint64, reason string) {
	endBy := r.stopDeadline()
	if orphanEnd := r.sessions[dispatcher].heardAt.Add(maxOrphanTime); orphanEnd.Before(endBy) {
		endBy = orphanEnd
	}
	for _, t := range r.sortedTasks() {
		if t.dispatcher == dispatcher {
			r.stopBy(t, endBy, reason)
		}
	}
	delete(r.sessions, dispatcher)
}

// silence returns the time since the last word of a dispatcher, and whether its tasks may start.
func (r *Runner) silence(dispatcher uint64) (silence time.Duration, mayStart bool) {
	s, known := r.sessions[dispatcher]
	if !known {
		return 0, false
	}
	silence = r.host.Now().Sub(s.heardAt)
	return silence, silence <= MaxStartSilence
}
