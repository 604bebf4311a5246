package slot

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/wire"
)

// maxClockSkew is how far a caller's clock may be ahead of this entry's. Keys are
// kept for that much longer than UUIDv7 keys are accepted.
const maxClockSkew = 10 * time.Second

// Depose ends this entry's ownership. All waiters are redirected to the new owner.
func (s *Slot) Depose() {
	if s.phase == Deposed {
		return
	}
	s.phase = Deposed
	for _, j := range sortedJobs(s.jobs) {
		s.host.Withdraw(j)
		s.redirectWaiters(j.TakeWaiters())
	}
	for _, a := range s.heldAttempts {
		a.Waiter.NotOwner()
	}
	s.redirectRefusals()
	s.jobs, s.activeJobs, s.heldAttempts, s.pendingWrites, s.undecidedAttempts = nil, nil, nil, nil, nil
}

// redirectRefusals redirects attempts with unconfirmed refusals to the next owner.
func (s *Slot) redirectRefusals() {
	for _, r := range s.queuedRefusals {
		r.attempt.Waiter.NotOwner()
	}
	s.queuedRefusals = nil
	for i := range s.pendingWrites {
		for _, r := range s.pendingWrites[i].refusals {
			r.attempt.Waiter.NotOwner()
		}
		s.pendingWrites[i].refusals = nil
	}
}

func (s *Slot) redirectWaiters(waiters []job.Waiter) {
	for _, w := range waiters {
		if a, ok := w.(Waiter); ok {
			a.NotOwner()
		}
	}
}

// BeginHandOver stops deciding submissions. It returns what the next owner needs to
// decide attempts in flight: the tombstones, the floor and this entry's clock.
func (s *Slot) BeginHandOver() (refused map[string]uint64, floor, clock uint64) {
	s.phase = Leaving
	s.redirectRefusals()
	// Clone, since tombstones keep expiring here while the copy is being sent.
	return maps.Clone(s.tombstones), s.floor, s.host.Clock()
}

// CancelHandOver resumes a slot whose hand-over did not happen.
func (s *Slot) CancelHandOver(epoch uint64) {
	if s.phase == Leaving {
		s.phase = Active
		s.floor = s.host.Clock()
	}
	s.epoch = epoch
}

// Tick abandons jobs that are past their deadline or whose body was not resent in time,
// and expires old keys and tombstones.
func (s *Slot) Tick(now time.Time) {
	if s.phase != Active && s.phase != Leaving {
		return
	}
	for _, j := range sortedJobs(s.activeJobs) {
		s.abandonIfOverdue(j, now)
	}
	s.expire(now)
}

func (s *Slot) abandonIfOverdue(j *job.Job, now time.Time) {
	noBody := j.Body() == nil && len(j.UnresolvedAgents()) == 0 && now.Sub(j.Created()) > bodyResendTimeout
	switch {
	case noBody:
		s.abandon(j, "body-lost", "the entry that held the tasks ended and no caller sent them again")
	case now.After(j.Deadline()):
		s.abandon(j, "deadline", "the deadline passed")
	}
}

func (s *Slot) abandon(j *job.Job, reason, detail string) {
	a := j.AnswerIfAbandoned(reason, detail)
	if a.Outcome() != outcome.Pending {
		s.endJob(j, a)
	}
}

// expire deletes ended jobs past the retention, oldest first, here and at the
// agents that store records of them. If there are none, it expires tombstones.
func (s *Slot) expire(now time.Time) {
	var names []string
	agents := map[string]bool{}
	for len(s.endedJobs) > 0 && now.Sub(s.endedJobs[0].EndedAt()) > s.host.Retention()+maxClockSkew {
		j := s.endedJobs[0]
		s.endedJobs = s.endedJobs[1:]
		if s.jobs[j.Name()] == j {
			delete(s.jobs, j.Name())
		}
		names = append(names, j.Name())
		for _, a := range j.Key().GetAgents() {
			agents[a] = true
		}
	}
	for _, w := range s.allWitnesses() {
		agents[w] = true
	}
	if len(names) == 0 {
		s.expireTombstones()
		return
	}
	for _, a := range slices.Sorted(maps.Keys(agents)) {
		s.send(a, &wire.EntryFrame{Body: &wire.EntryFrame_Forget{Forget: &wire.Forget{Jobs: names}}})
	}
}

// expireTombstones deletes old tombstones and raises the floor in their place.
func (s *Slot) expireTombstones() {
	clock := s.host.Clock()
	ttl := uint64(tombstoneTTL.Nanoseconds())
	if clock < ttl || len(s.tombstones) == 0 {
		return
	}
	cutoff := clock - ttl
	for name, at := range s.tombstones {
		if at < cutoff {
			delete(s.tombstones, name)
			s.floor = max(s.floor, at)
		}
	}
}
