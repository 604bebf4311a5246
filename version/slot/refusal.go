package slot

import (
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/wire"
)

// refusalFor returns a refusal if the key is too old or too far in the future, if it
// may have run under a former owner, if the attempt may have been received before its
// key was last refused or changed owner, or if the slot holds its maximum number of keys.
func (s *Slot) refusalFor(a Attempt) (answer.Answer, bool) {
	name := a.Body.Job()
	if refused, rejected := s.refuseByKeyAge(a.Body.Key()); rejected {
		return refused, true
	}
	if s.host.Now().Before(s.doubtUntil) {
		return answer.New(outcome.Unknown, "witnesses-lost",
			"the memory of this key was lost with its witnesses; it may have run").
			WithRetryAfter(s.doubtUntil.Sub(s.host.Now())), true
	}
	if !s.isFresh(a, name) {
		return answer.New(outcome.NotRun, "stale-attempt",
			"the attempt came in before the owner of its key last changed or refused it").
			WithRetryAfter(minRetryAfter), true
	}
	if len(s.jobs) >= s.host.MaxKeysPerSlot() {
		return answer.New(outcome.NotRun, "keys-full",
			"the memory for job keys is full").WithRetryAfter(s.host.Retention() / 4), true
	}
	return answer.Answer{}, false
}

// refuseByKeyAge refuses UUIDv7 keys outside the time for which keys are kept. An
// old key may have run and been forgotten, so its outcome is unknown. A key from too
// far in the future would be forgotten while it is still accepted.
func (s *Slot) refuseByKeyAge(key string) (answer.Answer, bool) {
	createdAt, hasTime := submission.KeyCreatedAt(key)
	if !hasTime {
		return answer.Answer{}, false
	}
	age := s.host.Now().Sub(createdAt)
	if age > s.host.Retention() {
		return answer.New(outcome.Unknown, "key-expired",
			"the UUIDv7 key is older than the time for which keys are kept; it may have run"), true
	}
	if age < -maxClockSkew {
		return answer.New(outcome.NotRun, "key-ahead",
			"the UUIDv7 key was made in the future by this entry's clock").WithRetryAfter(-age), true
	}
	return answer.Answer{}, false
}

// isFresh reports whether an attempt was provably received after the last refusal
// of its key, judged by the owner's clock that the receiving entry knew. If the slot has
// had no other owner, any key without a tombstone is fresh. Otherwise a reading of
// another entry's clock counts only if that entry handed the slot over to this one.
func (s *Slot) isFresh(a Attempt, name string) bool {
	if a.Owner == s.host.Self() {
		return a.OwnerClock > s.floor && a.OwnerClock > s.tombstones[name]
	}
	if s.epoch == 1 && s.floor == 0 {
		// Nobody owned the slot before, so nobody else can have refused the key.
		return s.tombstones[name] == 0
	}
	if in := s.handOver; in != nil && in.owner == a.Owner {
		return a.OwnerClock > in.floor && a.OwnerClock > in.refused[name] && s.tombstones[name] == 0
	}
	return false
}

// refuse answers an attempt with not_run once the witnesses have confirmed that
// this entry still owned the slot after the attempt arrived. An answer of unknown
// needs no confirmation.
func (s *Slot) refuse(a Attempt, refused answer.Answer) {
	if refused.Outcome() == outcome.Unknown {
		a.Waiter.Answer(refused)
		return
	}
	s.queuedRefusals = append(s.queuedRefusals, pendingRefusal{attempt: a, answer: refused})
	s.confirmRefusals()
}

// confirmRefusals starts one write for all queued refusals, unless one is in flight.
func (s *Slot) confirmRefusals() {
	if len(s.queuedRefusals) == 0 || s.confirmingRefusals() {
		return
	}
	refusals := s.queuedRefusals
	s.queuedRefusals = nil
	s.writeToWitnesses(pendingWrite{refusals: refusals}, nil)
}

// confirmingRefusals reports whether a write with refusals is in flight.
func (s *Slot) confirmingRefusals() bool {
	for i := range s.pendingWrites {
		if s.pendingWrites[i].refusals != nil {
			return true
		}
	}
	return false
}

// writeToWitnesses sends a write to all witnesses. With a job it stores the job's
// key; without one it only confirms the epoch.
func (s *Slot) writeToWitnesses(p pendingWrite, j *job.Job) {
	s.sequence++
	p.sequence = s.sequence
	s.pendingWrites = append(s.pendingWrites, p)
	body := &wire.Remember{Sequence: p.sequence}
	if j != nil {
		body.Keys = []*wire.JobKey{s.key(j, p.sequence)}
	}
	for _, w := range s.allWitnesses() {
		s.send(w, &wire.EntryFrame{Body: &wire.EntryFrame_Remember{Remember: body}})
	}
}

// key returns the record of a job for the witnesses. It omits the outcome complete: the
// record holds no results, so a later owner has to get them from the agents.
func (s *Slot) key(j *job.Job, sequence uint64) *wire.JobKey {
	key := j.Key()
	key.Epoch = s.epoch
	key.Sequence = sequence
	if j.Ended() {
		final := j.Status()
		if final.Outcome() != outcome.Complete {
			key.Outcome = final.Outcome().String()
			key.Reason = final.Reason()
		}
	}
	return key
}

// Remembered handles a witness's acknowledgement of all sequences up to the given
// one. The epoch is the witness's epoch for the slot when it replied.
func (s *Slot) Remembered(agent string, epoch uint64, r *wire.Remembered) {
	if s.staleReply(epoch, r.GetDeposed()) {
		return
	}
	s.witnesses.ack(agent, r.GetSequence())
	if s.nextWitnesses != nil {
		s.nextWitnesses.ack(agent, r.GetSequence())
	}
	s.completeWrites()
}

// staleReply reports whether a reply must be ignored: it was rejected, or it
// answers a frame from an earlier ownership of this entry. If the agent has a newer
// epoch, staleReply deposes this entry.
func (s *Slot) staleReply(epoch uint64, deposed bool) bool {
	if epoch > s.epoch {
		s.Depose()
	}
	return deposed || epoch < s.firstEpoch || s.phase == Deposed
}

// completeWrites applies the effects of writes that a majority of the witnesses has
// acknowledged. While the witnesses are being replaced, a majority of the proposed ones
// has to acknowledge as well.
func (s *Slot) completeWrites() {
	if s.phase != Active && s.phase != Leaving {
		return
	}
	acknowledged := s.witnesses.majorityAcked()
	if s.nextWitnesses != nil {
		acknowledged = min(acknowledged, s.nextWitnesses.majorityAcked())
	}
	for len(s.pendingWrites) > 0 && s.pendingWrites[0].sequence <= acknowledged {
		p := s.pendingWrites[0]
		s.pendingWrites = s.pendingWrites[1:]
		s.completeWrite(p)
	}
	s.confirmRefusals()
}

func (s *Slot) completeWrite(p pendingWrite) {
	if p.job != nil && p.job.Sequence() == p.sequence {
		p.job.AllowStarts()
		if p.job.Waiting() > 0 {
			s.host.Offer(s.number, p.job)
		}
	}
	for _, r := range p.refusals {
		s.completeRefusal(r)
	}
	if p.ended != nil {
		s.deliverAnswer(p.ended, p.finalAnswer)
	}
}

// completeRefusal delivers a confirmed refusal. If an attempt of the same key was
// accepted in the meantime, the refused attempt joins that job instead.
func (s *Slot) completeRefusal(r pendingRefusal) {
	name := r.attempt.Body.Job()
	if j, known := s.jobs[name]; known {
		s.join(j, r.attempt)
		return
	}
	s.addTombstone(name)
	s.host.Refused(r.attempt.Body, r.answer)
	r.attempt.Waiter.Answer(r.answer)
}

// addTombstone refuses every attempt of the job that was received before now. At
// maxTombstones it raises the floor instead, which refuses those of all jobs.
func (s *Slot) addTombstone(name string) {
	if len(s.tombstones) >= maxTombstones {
		s.tombstones = map[string]uint64{}
		s.floor = s.host.Clock()
		return
	}
	s.tombstones[name] = s.host.Clock()
}
