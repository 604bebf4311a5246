package slot

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

// resendUnacknowledged sends a witness the keys that it has not acknowledged, since
// frames of a lost session may not have arrived.
func (s *Slot) resendUnacknowledged(agent string) {
	inNext := s.nextWitnesses != nil && s.nextWitnesses.has(agent)
	if !s.witnesses.has(agent) && !inNext {
		return
	}
	acked := s.witnesses.acked[agent]
	if inNext && !s.witnesses.has(agent) {
		acked = s.nextWitnesses.acked[agent]
	}
	if acked >= s.sequence {
		return
	}
	body := &wire.Remember{Sequence: s.sequence}
	for _, j := range sortedJobs(s.jobs) {
		if j.Sequence() > acked || inNext || j.Ended() {
			body.Keys = append(body.Keys, s.key(j, max(j.Sequence(), 1)))
		}
	}
	s.send(agent, &wire.EntryFrame{Body: &wire.EntryFrame_Remember{Remember: body}})
}

// Witnesses returns the agents that store the keys of the slot.
func (s *Slot) Witnesses() []string { return s.witnesses.members }

// ProposeWitnesses starts to replace the witnesses: the new set receives every key,
// and until ReplaceWitnesses a majority of each set has to acknowledge each write. It
// does nothing unless the slot is active. It returns false if an earlier proposal may
// still reach the log; the caller then has to void that one first with a claim that
// names no witnesses.
func (s *Slot) ProposeWitnesses(members []string) bool {
	if s.phase != Active || s.nextWitnesses != nil && slices.Equal(s.nextWitnesses.members, members) {
		return true
	}
	if s.proposalMayBeLogged {
		return false
	}
	nextWitnesses := newQuorum(members)
	for _, m := range members {
		if s.witnesses.has(m) {
			nextWitnesses.acked[m] = s.witnesses.acked[m]
		}
	}
	s.nextWitnesses = &nextWitnesses
	s.sequence++
	s.copySequence = s.sequence
	for _, m := range members {
		s.resendUnacknowledged(m)
	}
	return true
}

// ProposedWitnesses returns the proposed witnesses and whether a majority of them
// has acknowledged the full copy.
func (s *Slot) ProposedWitnesses() ([]string, bool) {
	if s.nextWitnesses == nil {
		return nil, false
	}
	ready := s.nextWitnesses.majorityAcked() >= s.copySequence
	s.proposalMayBeLogged = s.proposalMayBeLogged || ready
	return s.nextWitnesses.members, ready
}

// DoubtUntil returns the time until which a key unknown to the slot may have run
// under a former owner.
func (s *Slot) DoubtUntil() time.Time { return s.doubtUntil }

// ReplicatedTo reports whether a majority of the given witnesses stores the keys of
// this slot: they are the current ones, or proposed ones that acknowledged the copy.
func (s *Slot) ReplicatedTo(witnesses []string) bool {
	if slices.Equal(s.witnesses.members, witnesses) {
		return true
	}
	return s.nextWitnesses != nil && slices.Equal(s.nextWitnesses.members, witnesses) && s.nextWitnesses.majorityAcked() >= s.copySequence
}

// ReplaceWitnesses applies an epoch and a witness set confirmed by the log.
func (s *Slot) ReplaceWitnesses(epoch uint64, witnesses []string) {
	s.epoch = epoch
	if s.nextWitnesses != nil && slices.Equal(s.nextWitnesses.members, witnesses) {
		s.witnesses = *s.nextWitnesses
	}
	s.nextWitnesses = nil
	s.proposalMayBeLogged = false
	s.completeWrites()
}

// allWitnesses returns the current and the proposed witnesses without duplicates.
func (s *Slot) allWitnesses() []string {
	if s.nextWitnesses == nil {
		return s.witnesses.members
	}
	all := slices.Clone(s.witnesses.members)
	for _, m := range s.nextWitnesses.members {
		if !slices.Contains(all, m) {
			all = append(all, m)
		}
	}
	return all
}
