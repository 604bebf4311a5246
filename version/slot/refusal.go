package slot

import (
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/wire"
)

// bar refuses attempts that may have come in before a refusal of their key, or
// whose key may have run unseen.
func (s *Slot) bar(a Attempt) (answer.Answer, bool) {
	name := a.Body.Job()
	if refused, barred := s.outOfTime(a.Body.Key()); barred {
		return refused, true
	}
	if s.host.Now().Before(s.doubtUntil) {
		return answer.New(outcome.Unknown, "witnesses-lost",
			"the memory of this key was lost with its witnesses; it may have run").
			WithRetryAfter(s.doubtUntil.Sub(s.host.Now())), true
	}
	if !s.fresh(a, name) {
		return answer.New(outcome.NotRun, "stale-attempt",
			"the attempt came in before the owner of its key last changed or refused it").
			WithRetryAfter(freshRetry), true
	}
	if len(s.jobs) >= s.host.MaxKeys() {
		return answer.New(outcome.NotRun, "keys-full",
			"the memory for job keys is full").WithRetryAfter(s.host.Retention() / 4), true
	}
	return answer.Answer{}, false
}

// outOfTime bars keys that say when they were made and are too old to be known
// for sure, or too new to be kept for long enough. Nothing can be said of what
// an old one did.
func (s *Slot) outOfTime(key string) (answer.Answer, bool) {
	made, told := submission.MadeAt(key)
	if !told {
		return answer.Answer{}, false
	}
	age := s.host.Now().Sub(made)
	if age > s.host.Retention() {
		return answer.New(outcome.Unknown, "key-expired",
			"the UUIDv7 key is older than the time for which keys are kept; it may have run"), true
	}
	if age < -clockAllowance {
		return answer.New(outcome.NotRun, "key-ahead",
			"the UUIDv7 key was made in the future by this entry's clock").WithRetryAfter(-age), true
	}
	return answer.Answer{}, false
}

func (s *Slot) fresh(a Attempt, name string) bool {
	if a.Owner == s.host.Self() {
		return a.Reading > s.floor && a.Reading > s.tombstones[name]
	}
	if s.epoch == 1 && s.floor == 0 {
		// Nobody owned the slot before, so nobody else can have refused the key.
		return s.tombstones[name] == 0
	}
	if in := s.inherited; in != nil && in.owner == a.Owner {
		return a.Reading > in.floor && a.Reading > in.refused[name] && s.tombstones[name] == 0
	}
	return false
}

// refuse answers an attempt with not_run once the witnesses have proved that
// this entry still owned the slot after the attempt came in.
func (s *Slot) refuse(a Attempt, refused answer.Answer) {
	if refused.Outcome() == outcome.Unknown {
		a.Waiter.Answer(refused)
		return
	}
	s.refusals = append(s.refusals, refusal{attempt: a, answer: refused})
	s.prove()
}

// prove sends one proof at a time for all refusals that wait.
func (s *Slot) prove() {
	if len(s.refusals) == 0 || s.proving() {
		return
	}
	refused := s.refusals
	s.refusals = nil
	s.remember(proof{refused: refused}, nil)
}

func (s *Slot) proving() bool {
	for i := range s.proofs {
		if s.proofs[i].refused != nil {
			return true
		}
	}
	return false
}

// remember asks the witnesses to keep a key, or only to confirm the epoch.
func (s *Slot) remember(p proof, j *job.Job) {
	s.sequence++
	p.sequence = s.sequence
	s.proofs = append(s.proofs, p)
	body := &wire.Remember{Sequence: p.sequence}
	if j != nil {
		body.Keys = []*wire.JobKey{s.key(j, p.sequence)}
	}
	for _, w := range s.everyWitness() {
		s.send(w, &wire.EntryFrame{Body: &wire.EntryFrame_Remember{Remember: body}})
	}
}

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

// Remembered takes a witness's acknowledgement of all sequences up to the given.
// The epoch is the one that the witness had then.
func (s *Slot) Remembered(agent string, epoch uint64, r *wire.Remembered) {
	if s.overtaken(epoch, r.GetDeposed()) {
		return
	}
	s.witnesses.ack(agent, r.GetSequence())
	if s.next != nil {
		s.next.ack(agent, r.GetSequence())
	}
	s.pass()
}

// overtaken deposes this entry where an agent knows a newer epoch. It reports
// true for answers that do not count: those, and answers to what this entry
// sent when it owned the slot at an earlier time.
func (s *Slot) overtaken(epoch uint64, deposed bool) bool {
	if epoch > s.epoch {
		s.Depose()
	}
	return deposed || epoch < s.since || s.phase == Deposed
}

// pass carries out what waited for proofs that are now complete.
func (s *Slot) pass() {
	if s.phase != Active && s.phase != Leaving {
		return
	}
	proved := s.witnesses.acknowledged()
	if s.next != nil {
		proved = min(proved, s.next.acknowledged())
	}
	for len(s.proofs) > 0 && s.proofs[0].sequence <= proved {
		p := s.proofs[0]
		s.proofs = s.proofs[1:]
		s.carryOut(p)
	}
	s.prove()
}

func (s *Slot) carryOut(p proof) {
	if p.job != nil && p.job.Sequence() == p.sequence {
		p.job.AllowStarts()
		if p.job.Waiting() > 0 {
			s.host.Offer(s.number, p.job)
		}
	}
	for _, r := range p.refused {
		s.carryOutRefusal(r)
	}
	if p.ended != nil {
		s.announce(p.ended, p.verdict)
	}
}

// carryOutRefusal says not_run, unless an attempt of the same key was accepted
// while the proof was under way: then the refused one joins it.
func (s *Slot) carryOutRefusal(r refusal) {
	name := r.attempt.Body.Job()
	if j, known := s.jobs[name]; known {
		s.join(j, r.attempt)
		return
	}
	s.bury(name)
	s.host.Refused(r.attempt.Body, r.answer)
	r.attempt.Waiter.Answer(r.answer)
}

// bury bars every attempt of the name that came in before now.
func (s *Slot) bury(name string) {
	if len(s.tombstones) >= maxTombstones {
		s.tombstones = map[string]uint64{}
		s.floor = s.host.Clock()
		return
	}
	s.tombstones[name] = s.host.Clock()
}
