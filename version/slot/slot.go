// Package slot implements one ownership slot on the entry that owns it: the job keys, their
// replication to the witnesses, recovery after a change of owner, and the quorum
// acknowledgement that precedes a refusal. It does no I/O. See docs/design/ownership.md for
// the design.
package slot

import (
	"time"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/wire"
)

//go:generate stringer -type=Phase -linecomment

// Phase is the state of an entry's ownership of a slot.
type Phase uint8

const (
	// Recovering means that a majority of the witnesses has not been read yet.
	Recovering Phase = iota // recovering
	// Active means that this entry accepts and refuses submissions.
	Active // active
	// Leaving means that the slot is being handed over; running jobs continue.
	Leaving // leaving
	// Deposed means that another entry owns the slot.
	Deposed // deposed
)

const (
	// bodyResendTimeout is how long a recovered job waits for a caller to resend its body.
	bodyResendTimeout = 10 * time.Second
	// tombstoneTTL is how long the refusal of a key is kept. After that the floor covers
	// it, which refuses older attempts of every key.
	tombstoneTTL = 30 * time.Second
	// maxTombstones bounds the tombstones per slot. At the limit they are replaced by a
	// floor that refuses all attempts received until then.
	maxTombstones = 4096
	// minRetryAfter is the shortest Retry-After. Heartbeats between entries carry the
	// owner's clock well within it, so that the retry has a newer reading.
	minRetryAfter = time.Second
)

// pendingRefusal is a refusal that waits for the witnesses to confirm ownership.
type pendingRefusal struct {
	attempt Attempt
	answer  answer.Answer
}

// pendingWrite is a write to the witnesses whose effects wait until a majority has
// acknowledged its sequence.
type pendingWrite struct {
	sequence uint64
	// job is the job that this write registers, if any.
	job      *job.Job
	refusals []pendingRefusal
	// ended is the job that this write ends with finalAnswer, if any.
	ended       *job.Job
	finalAnswer answer.Answer
}

// handOverState holds the refusals that the former owner passed on in a planned hand-over.
type handOverState struct {
	owner string
	// refused and floor are the former owner's tombstones and floor, on its clock.
	refused map[string]uint64
	floor   uint64
	// receivedAt is this entry's clock when the state was applied; the former owner had
	// stopped refusing by then.
	receivedAt uint64
}

// Slot holds the jobs, refusals and witnesses of one owned slot. It is not safe for
// concurrent use.
type Slot struct {
	host   Host
	number uint32
	epoch  uint64
	// firstEpoch is the epoch at which this entry became the owner.
	firstEpoch    uint64
	phase         Phase
	witnesses     quorum
	nextWitnesses *quorum
	// copySequence is the sequence of the full copy sent to nextWitnesses.
	copySequence uint64
	// proposalMayBeLogged is set once a record that names nextWitnesses may have been
	// appended to the log.
	proposalMayBeLogged bool
	// sequence is the sequence of the latest write to the witnesses.
	sequence       uint64
	pendingWrites  []pendingWrite
	queuedRefusals []pendingRefusal
	jobs           map[string]*job.Job
	// activeJobs are those without a final answer.
	activeJobs map[string]*job.Job
	// endedJobs are those with a delivered answer, oldest first.
	endedJobs []*job.Job
	// tombstones maps refused jobs to this entry's clock at the refusal.
	tombstones map[string]uint64
	// floor is a reading of this entry's clock: new jobs from attempts received up to then
	// are refused.
	floor    uint64
	handOver *handOverState
	// heldAttempts wait for the end of the recovery.
	heldAttempts []Attempt
	// undecidedAttempts holds, by job, the attempts that arrived while agents still had to
	// report on the recovered job.
	undecidedAttempts map[string][]Attempt
	recoveredKeys     map[string]*wire.JobKey
	// recoveredRecords holds task records by agent and job during recovery.
	recoveredRecords map[string]map[string][]*wire.TaskRecord
	// fenceIDs holds the ID of the latest fence sent to each agent.
	fenceIDs    map[string]uint64
	lastFenceID uint64
	// doubtUntil is the time until which unknown keys may have run under a former owner.
	doubtUntil time.Time
}

// New returns a slot that this entry has claimed at the given epoch. The witnesses are
// those of the ownership table. Epoch 1 needs no recovery since the slot had no owner
// before.
func New(host Host, number uint32, epoch uint64, witnesses []string, doubtUntil time.Time) *Slot {
	s := &Slot{
		host:              host,
		number:            number,
		epoch:             epoch,
		firstEpoch:        epoch,
		witnesses:         newQuorum(witnesses),
		jobs:              map[string]*job.Job{},
		activeJobs:        map[string]*job.Job{},
		tombstones:        map[string]uint64{},
		recoveredKeys:     map[string]*wire.JobKey{},
		recoveredRecords:  map[string]map[string][]*wire.TaskRecord{},
		fenceIDs:          map[string]uint64{},
		undecidedAttempts: map[string][]Attempt{},
		doubtUntil:        doubtUntil,
	}
	if epoch == 1 {
		s.activate()
		return s
	}
	s.fenceWitnesses()
	return s
}

// Phase returns the state of the ownership.
func (s *Slot) Phase() Phase { return s.phase }

// Epoch returns the epoch at which this entry owns the slot.
func (s *Slot) Epoch() uint64 { return s.epoch }

// Keys returns the number of job keys kept.
func (s *Slot) Keys() int { return len(s.jobs) }

// Running returns the number of jobs without a final answer.
func (s *Slot) Running() int { return len(s.activeJobs) }

// ApplyHandOver stores the refusals passed on by the former owner. They are used only for
// attempts that carry a clock reading of that owner.
func (s *Slot) ApplyHandOver(owner string, refused map[string]uint64, floor uint64) {
	s.handOver = &handOverState{owner: owner, refused: refused, floor: floor, receivedAt: s.host.Clock()}
}

// Submit accepts, joins or refuses an attempt. During recovery the attempt is held until
// the slot is active.
func (s *Slot) Submit(a Attempt) {
	switch s.phase {
	case Deposed, Leaving:
		a.Waiter.NotOwner()
		return
	case Recovering:
		s.heldAttempts = append(s.heldAttempts, a)
		return
	}
	if j, known := s.jobs[a.Body.Job()]; known {
		s.join(j, a)
		return
	}
	if refused, rejected := s.refusalFor(a); rejected {
		s.refuse(a, refused)
		return
	}
	if refused, admitted := s.host.Admit(a.Body); !admitted {
		s.refuse(a, refused)
		return
	}
	s.accept(a)
}

// join adds an attempt to the existing job with the same key.
func (s *Slot) join(j *job.Job, a Attempt) {
	if j.Digest() != a.Body.Digest() || j.TaskCount() != a.Body.TaskCount() {
		a.Waiter.Answer(answer.New(outcome.NotRun, "key-conflict",
			"the Idempotency-Key belongs to a job with another body; nothing of this body ran"))
		return
	}
	if s.AnswerConfirmed(j) {
		a.Waiter.Answer(j.Status())
		return
	}
	j.AddWaiter(a.Waiter)
	if j.Body() != nil || j.Ended() {
		return
	}
	if s.awaitsAgents(j) {
		s.undecidedAttempts[j.Name()] = append(s.undecidedAttempts[j.Name()], a)
		return
	}
	j.AttachBody(a.Body)
	s.registerAndOffer(j)
}

// awaitsWitnesses reports whether the job's final answer still waits for a majority of the
// witnesses.
func (s *Slot) awaitsWitnesses(j *job.Job) bool {
	for i := range s.pendingWrites {
		if s.pendingWrites[i].ended == j {
			return true
		}
	}
	return false
}

func (s *Slot) send(agent string, f *wire.EntryFrame) bool {
	f.Slot = s.number
	f.Epoch = s.epoch
	return s.host.Send(agent, f)
}

// accept creates a job, registers it with the witnesses and offers it to the dispatcher.
func (s *Slot) accept(a Attempt) {
	deadline := a.Body.Deadline()
	if deadline == 0 {
		deadline = s.host.JobDeadline(a.Body.Kind())
	}
	j := job.New(a.Body, s.host.Now(), deadline)
	j.AddWaiter(a.Waiter)
	s.jobs[j.Name()] = j
	s.activeJobs[j.Name()] = j
	s.registerAndOffer(j)
}

// registerAndOffer registers a job that has its body, unless that was done, and offers its
// waiting tasks to the dispatcher.
func (s *Slot) registerAndOffer(j *job.Job) {
	if j.Ended() || j.Body() == nil {
		return
	}
	if !j.Registered() {
		s.register(j, s.host.Candidates(j.Kind()))
	}
	if j.Waiting() > 0 && !j.InDispatch() {
		s.host.Offer(s.number, j)
	}
}

func (s *Slot) register(j *job.Job, agents []string) {
	j.Register(s.sequence+1, agents)
	s.writeToWitnesses(pendingWrite{job: j}, j)
}

// RegisterAgent registers another agent for a running job. The agent may start tasks of the
// job once a majority of the witnesses has acknowledged it.
func (s *Slot) RegisterAgent(j *job.Job, agent string) {
	if j.Ended() || !j.StartsAllowed() || j.HasAgent(agent) {
		return
	}
	s.register(j, []string{agent})
}

// UpdateJob re-evaluates a job whose tasks have changed: it ends the job if the tasks
// determine the answer, and otherwise offers waiting tasks.
func (s *Slot) UpdateJob(j *job.Job) {
	if j.Ended() || s.decideRecovered(j) {
		return
	}
	a := j.Evaluate()
	if a.Outcome() != outcome.Pending {
		s.endJob(j, a)
		return
	}
	s.registerAndOffer(j)
}

// endJob makes an answer final. An answer that does not follow from the tasks alone is
// delivered only after a majority of the witnesses has stored it, so that no later owner
// contradicts it. The same holds for any answer to a recovered job: a witness that was not
// read may hold the decision of a former owner, which this answer has to override.
func (s *Slot) endJob(j *job.Job, a answer.Answer) {
	j.End(a, s.host.Now())
	s.host.Withdraw(j)
	delete(s.activeJobs, j.Name())
	fromTasksAlone := a.Outcome() == outcome.Complete || a.Outcome() == outcome.Unknown
	if fromTasksAlone && !j.Recovered() {
		s.deliverAnswer(j, a)
		return
	}
	s.writeToWitnesses(pendingWrite{ended: j, finalAnswer: a}, j)
}

// deliverAnswer sends a final answer to all waiters of the job. A job that did not run is
// deleted and leaves a tombstone.
func (s *Slot) deliverAnswer(j *job.Job, a answer.Answer) {
	if s.phase == Leaving && a.Outcome() == outcome.NotRun {
		// The next owner does not know of this refusal, so it must not be delivered.
		s.redirectWaiters(j.TakeWaiters())
		return
	}
	s.host.Finished(j, a)
	for _, w := range j.TakeWaiters() {
		w.Answer(a)
	}
	if a.Outcome() == outcome.NotRun {
		delete(s.jobs, j.Name())
		s.addTombstone(j.Name())
		return
	}
	s.endedJobs = append(s.endedJobs, j)
}

// Done handles the end of a task. It returns the job, or nil if the record was ignored or
// buffered.
func (s *Slot) Done(agent string, d *wire.Done) *job.Job {
	if s.phase == Recovering {
		s.bufferDone(agent, d)
		return nil
	}
	j, known := s.jobs[d.GetJob()]
	if !known || !j.ApplyRecord(agent, d.GetTask()) {
		return nil
	}
	s.UpdateJob(j)
	return j
}

// Returned requeues a task that the agent returned without starting it.
func (s *Slot) Returned(agent, name string, pull uint64, index uint32) {
	j, known := s.jobs[name]
	if !known || !j.Unassign(agent, pull, index) {
		return
	}
	s.UpdateJob(j)
}

// AnswerConfirmed reports whether a job has a final answer that may be shown to callers,
// which excludes one that still waits for the witnesses.
func (s *Slot) AnswerConfirmed(j *job.Job) bool { return j.Ended() && !s.awaitsWitnesses(j) }

// Job returns the job with the given name.
func (s *Slot) Job(name string) (*job.Job, bool) {
	j, ok := s.jobs[name]
	return j, ok
}

// Cancel abandons a job on behalf of its caller. Running tasks are not stopped.
func (s *Slot) Cancel(name string) {
	j, known := s.jobs[name]
	if !known || j.Ended() {
		return
	}
	s.abandon(j, "cancelled", "the caller cancelled the job")
}
