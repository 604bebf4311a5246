package slot

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

// repeat sends a witness what it has not acknowledged. Frames of a lost session
// may never have arrived.
func (s *Slot) repeat(agent string) {
	inNext := s.next != nil && s.next.has(agent)
	if !s.witnesses.has(agent) && !inNext {
		return
	}
	acked := s.witnesses.acked[agent]
	if inNext && !s.witnesses.has(agent) {
		acked = s.next.acked[agent]
	}
	if acked >= s.sequence {
		return
	}
	body := &wire.Remember{Sequence: s.sequence}
	for _, j := range snapshot(s.jobs) {
		if j.Sequence() > acked || inNext || j.Ended() {
			body.Keys = append(body.Keys, s.key(j, max(j.Sequence(), 1)))
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
	if s.phase != Active || s.next != nil && slices.Equal(s.next.members, members) {
		return true
	}
	if s.offered {
		return false
	}
	next := newQuorum(members)
	for _, m := range members {
		if s.witnesses.has(m) {
			next.acked[m] = s.witnesses.acked[m]
		}
	}
	s.next = &next
	s.sequence++
	s.copied = s.sequence
	for _, m := range members {
		s.repeat(m)
	}
	return true
}

// Proposed returns the new witnesses once a majority of them has every key.
func (s *Slot) ProposedWitnesses() ([]string, bool) {
	if s.next == nil {
		return nil, false
	}
	ready := s.next.acknowledged() >= s.copied
	s.offered = s.offered || ready
	return s.next.members, ready
}

// DoubtUntil returns until when keys that no witness knows may have run.
func (s *Slot) DoubtUntil() time.Time { return s.doubtUntil }

// Covers reports whether the keys of this slot are known to a majority of the
// given witnesses, because they are its own or have got a copy.
func (s *Slot) ReplicatedTo(witnesses []string) bool {
	if slices.Equal(s.witnesses.members, witnesses) {
		return true
	}
	return s.next != nil && slices.Equal(s.next.members, witnesses) && s.next.acknowledged() >= s.copied
}

// Replace takes the new witnesses that the log has confirmed.
func (s *Slot) ReplaceWitnesses(epoch uint64, witnesses []string) {
	s.epoch = epoch
	if s.next != nil && slices.Equal(s.next.members, witnesses) {
		s.witnesses = *s.next
	}
	s.next = nil
	s.offered = false
	s.pass()
}

func (s *Slot) everyWitness() []string {
	if s.next == nil {
		return s.witnesses.members
	}
	all := slices.Clone(s.witnesses.members)
	for _, m := range s.next.members {
		if !slices.Contains(all, m) {
			all = append(all, m)
		}
	}
	return all
}
