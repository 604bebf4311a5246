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
const clockAllowance = 10 * time.Second

// Depose ends this entry's ownership. Those who wait are sent to the new owner.
func (s *Slot) Depose() {
	if s.phase == Deposed {
		return
	}
	s.phase = Deposed
	for _, j := range snapshot(s.jobs) {
		s.host.Withdraw(j)
		s.release(j.TakeWaiters())
	}
	for _, a := range s.held {
		a.Waiter.NotOwner()
	}
	s.turnAway()
	s.jobs, s.active, s.held, s.proofs, s.doubtful = nil, nil, nil, nil, nil
}

// turnAway sends the attempts whose refusal is not proved to the next owner.
func (s *Slot) turnAway() {
	for _, r := range s.refusals {
		r.attempt.Waiter.NotOwner()
	}
	s.refusals = nil
	for i := range s.proofs {
		for _, r := range s.proofs[i].refused {
			r.attempt.Waiter.NotOwner()
		}
		s.proofs[i].refused = nil
	}
}

func (s *Slot) release(waiters []job.Waiter) {
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
	s.turnAway()
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
	for _, j := range snapshot(s.active) {
		s.giveUp(j, now)
	}
	s.expire(now)
}

func (s *Slot) giveUp(j *job.Job, now time.Time) {
	noBody := j.Body() == nil && len(j.UnresolvedAgents()) == 0 && now.Sub(j.Created()) > bodyGrace
	switch {
	case noBody:
		s.giveUpNow(j, "body-lost", "the entry that held the tasks ended and no caller sent them again")
	case now.After(j.Deadline()):
		s.giveUpNow(j, "deadline", "the deadline passed")
	}
}

func (s *Slot) giveUpNow(j *job.Job, reason, detail string) {
	a := j.AnswerIfAbandoned(reason, detail)
	if a.Outcome() != outcome.Pending {
		s.end(j, a)
	}
}

// expire forgets ended jobs past the retention, oldest first, at the owner and
// at the agents.
func (s *Slot) expire(now time.Time) {
	var names []string
	agents := map[string]bool{}
	for len(s.ended) > 0 && now.Sub(s.ended[0].EndedAt()) > s.host.Retention()+clockAllowance {
		j := s.ended[0]
		s.ended = s.ended[1:]
		if s.jobs[j.Name()] == j {
			delete(s.jobs, j.Name())
		}
		names = append(names, j.Name())
		for _, a := range j.Key().GetAgents() {
			agents[a] = true
		}
	}
	for _, w := range s.everyWitness() {
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
	age := uint64(tombstoneAge.Nanoseconds())
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
