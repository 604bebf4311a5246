package slot

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/wire"
)

// clockAllowance is how far a caller's clock may be ahead of this entry's. Keys
// are kept for as much longer than a UUIDv7 key is taken.
const maxClockSkew = 10 * time.Second

// Depose ends this entry's ownership. Those who wait are sent to the new owner.
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

// turnAway sends the attempts whose refusal is not proved to the next owner.
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

// Leave stops deciding submissions and returns what the next owner needs to
// take attempts that are under way.
func (s *Slot) BeginHandOver() (refused map[string]uint64, floor, clock uint64) {
	s.phase = Leaving
	s.redirectRefusals()
	// The copy is sent while this slot goes on to forget old refusals.
	return maps.Clone(s.tombstones), s.floor, s.host.Clock()
}

// Stay takes a slot back that was not handed over after all.
func (s *Slot) CancelHandOver(epoch uint64) {
	if s.phase == Leaving {
		s.phase = Active
		s.floor = s.host.Clock()
	}
	s.epoch = epoch
}

// Tick gives up what is past its time and forgets what is past its retention.
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

// expire forgets ended jobs past the retention, oldest first, at the owner and
// at the agents.
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

// expireTombstones raises the floor instead of keeping refusals for ever.
func (s *Slot) expireTombstones() {
	clock := s.host.Clock()
	age := uint64(tombstoneTTL.Nanoseconds())
	if clock < age || len(s.tombstones) == 0 {
		return
	}
	horizon := clock - age
	for name, at := range s.tombstones {
		if at < horizon {
			delete(s.tombstones, name)
			s.floor = max(s.floor, at)
		}
	}
}
