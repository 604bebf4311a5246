package slot

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

// repeat sends a witness what it has not acknowledged. Frames of a lost session
// may never have arrived.
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
			body.Keys = append(body.Keys, s.jobKey(j, max(j.Sequence(), 1)))
		}
	}
	s.send(agent, &wire.EntryFrame{Body: &wire.EntryFrame_Remember{Remember: body}})
}

// Witnesses returns the agents that remember the keys of the slot.
func (s *Slot) Witnesses() []string { return s.witnesses.members }

// Propose starts to replace the witnesses: the new ones get every key, and
// until Replace both sets have to acknowledge. It reports false where an
// earlier proposal may still be on its way to the log: that one has to be made
// void first, by a claim of this entry without witnesses.
func (s *Slot) ProposeWitnesses(members []string) bool {
	if s.phase != Active || s.nextWitnesses != nil && slices.Equal(s.nextWitnesses.members, members) {
		return true
	}
	if s.proposalMayBeLogged {
		return false
	}
	next := newQuorum(members)
	for _, m := range members {
		if s.witnesses.has(m) {
			next.acked[m] = s.witnesses.acked[m]
		}
	}
	s.nextWitnesses = &next
	s.sequence++
	s.copySequence = s.sequence
	for _, m := range members {
		s.resendUnacknowledged(m)
	}
	return true
}

// Proposed returns the new witnesses once a majority of them has every key.
func (s *Slot) ProposedWitnesses() ([]string, bool) {
	if s.nextWitnesses == nil {
		return nil, false
	}
	ready := s.nextWitnesses.majorityAcked() >= s.copySequence
	s.proposalMayBeLogged = s.proposalMayBeLogged || ready
	return s.nextWitnesses.members, ready
}

// DoubtUntil returns until when keys that no witness knows may have run.
func (s *Slot) DoubtUntil() time.Time { return s.doubtUntil }

// Covers reports whether the keys of this slot are known to a majority of the
// given witnesses, because they are its own or have got a copy.
func (s *Slot) ReplicatedTo(witnesses []string) bool {
	if slices.Equal(s.witnesses.members, witnesses) {
		return true
	}
	return s.nextWitnesses != nil && slices.Equal(s.nextWitnesses.members, witnesses) && s.nextWitnesses.majorityAcked() >= s.copySequence
}

// Replace takes the new witnesses that the log has confirmed.
func (s *Slot) ReplaceWitnesses(epoch uint64, witnesses []string) {
	s.epoch = epoch
	if s.nextWitnesses != nil && slices.Equal(s.nextWitnesses.members, witnesses) {
		s.witnesses = *s.nextWitnesses
	}
	s.nextWitnesses = nil
	s.proposalMayBeLogged = false
	s.completeWrites()
}

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
