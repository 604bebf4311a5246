// Package slot is the owner's side of one ownership slot during the epochs in
// which this entry owns it: the ledger of job keys, the recovery from the
// former owner, and the proof of ownership that goes before a refusal. It does
// no I/O. docs/design/ownership.md has the reasoning.
package slot

import (
	"time"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/wire"
)

//go:generate stringer -type=Phase -linecomment

// Phase is how far an entry is with the ownership of a slot.
type Phase uint8

const (
	// Recovering means that the witnesses have not yet been read.
	Recovering Phase = iota // recovering
	// Active means that submissions are decided here.
	Active // active
	// Leaving means that the slot is being handed over; running jobs go on.
	Leaving // leaving
	// Deposed means that another entry owns the slot.
	Deposed // deposed
)

const (
	// bodyGrace is how long a recovered job waits for a caller to send its body again.
	bodyGrace = 10 * time.Second
	// tombstoneAge is how long a refusal bars attempts that came in before it.
	// Older attempts are refused without a tombstone.
	tombstoneAge = 30 * time.Second
	// maxTombstones bounds the refusals kept per slot. Past it all attempts that
	// came in before now are barred instead.
	maxTombstones = 4096
	// freshRetry is the least Retry-After: heartbeats between entries carry the
	// owner's clock well within it.
	freshRetry = time.Second
)

// Waiter gets the answer of an attempt, or hears that it went to the wrong entry.
type Waiter interface {
	job.Waiter
	NotOwner()
}

// Attempt is one submission as it reached the owner.
type Attempt struct {
	Body   *submission.Submission
	Waiter Waiter
	// Owner and Reading are the owner, and that owner's clock in nanoseconds, as
	// the receiving entry knew them when the request came in.
	Owner   string
	Reading uint64
}

// Host is what a slot needs of the owner process around it.
type Host interface {
	// Self returns this entry's instance.
	Self() string
	// Now returns the wall time, Clock the monotonic nanoseconds since the start.
	Now() time.Time
	Clock() uint64
	// Send sends a frame and reports whether the agent is attached.
	Send(agent string, f *wire.EntryFrame) bool
	// Buried reports whether the agent instance has provably ended.
	HasEnded(agent string) bool
	// Candidates returns the agents that may start tasks of a kind.
	Candidates(kind string) []string
	// Admit decides whether a new job may wait here.
	Admit(s *submission.Submission) (refusal answer.Answer, admitted bool)
	// Offer hands a job's waiting tasks to the dispatcher, Withdraw takes them back.
	Offer(slot uint32, j *job.Job)
	Withdraw(j *job.Job)
	// Finished hears of each final answer once.
	Finished(j *job.Job, a answer.Answer)
	// Refused hears of each refusal once.
	Refused(s *submission.Submission, a answer.Answer)
	// JobDeadline returns the time that a job of the kind may take.
	JobDeadline(kind string) time.Duration
	// Retention returns how long keys and answers are kept.
	Retention() time.Duration
	// MaxKeys returns how many keys a slot keeps.
	MaxKeys() int
}

type refusal struct {
	attempt Attempt
	answer  answer.Answer
}

// proof is what waits until a majority of witnesses acknowledged a sequence.
type proof struct {
	sequence uint64
	job      *job.Job
	refused  []refusal
	ended    *job.Job
	verdict  answer.Answer
}

// inheritance is what the former owner passed on at a planned stop.
type inheritance struct {
	owner   string
	refused map[string]uint64
	floor   uint64
	// at is this entry's clock when the former owner had stopped to refuse.
	at uint64
}

// Slot is one slot at its owner. It is not safe for concurrent use.
type Slot struct {
	host   Host
	number uint32
	epoch  uint64
	// since is the epoch at which this entry became the owner.
	since     uint64
	phase     Phase
	witnesses quorum
	next      *quorum
	// copied is the sequence with which the new witnesses got the whole ledger.
	copied uint64
	// offered tells that a record with the new witnesses may have been appended.
	offered    bool
	sequence   uint64
	proofs     []proof
	refusals   []refusal
	jobs       map[string]*job.Job
	active     map[string]*job.Job
	ended      []*job.Job
	tombstones map[string]uint64
	floor      uint64
	inherited  *inheritance
	held       []Attempt
	// doubtful are the attempts of recovered jobs that are not settled yet.
	doubtful   map[string][]Attempt
	found      map[string]*wire.JobKey
	records    map[string]map[string][]*wire.TaskRecord
	fences     map[string]uint64
	fenceID    uint64
	doubtUntil time.Time
}

// New returns a slot that this entry has just claimed with the given epoch.
// The witnesses are those of the table: at epoch 1 nobody owned the slot before.
func New(host Host, number uint32, epoch uint64, witnesses []string, doubtUntil time.Time) *Slot {
	s := &Slot{
		host:       host,
		number:     number,
		epoch:      epoch,
		since:      epoch,
		witnesses:  newQuorum(witnesses),
		jobs:       map[string]*job.Job{},
		active:     map[string]*job.Job{},
		tombstones: map[string]uint64{},
		found:      map[string]*wire.JobKey{},
		records:    map[string]map[string][]*wire.TaskRecord{},
		fences:     map[string]uint64{},
		doubtful:   map[string][]Attempt{},
		doubtUntil: doubtUntil,
	}
	if epoch == 1 {
		s.activate()
		return s
	}
	s.fence()
	return s
}

// Phase returns how far the entry is with the slot.
func (s *Slot) Phase() Phase { return s.phase }

// Epoch returns the epoch at which this entry owns the slot.
func (s *Slot) Epoch() uint64 { return s.epoch }

// Keys returns the number of job keys kept.
func (s *Slot) Keys() int { return len(s.jobs) }

// Running returns the number of jobs without a final answer.
func (s *Slot) Running() int { return len(s.active) }

// Inherit takes what the former owner passed on. It counts only for attempts
// that were received while that owner's clock was known to their entry.
func (s *Slot) ApplyHandOver(owner string, refused map[string]uint64, floor uint64) {
	s.inherited = &inheritance{owner: owner, refused: refused, floor: floor, at: s.host.Clock()}
}

// Submit decides an attempt, at once or when the slot is ready to.
func (s *Slot) Submit(a Attempt) {
	switch s.phase {
	case Deposed, Leaving:
		a.Waiter.NotOwner()
		return
	case Recovering:
		s.held = append(s.held, a)
		return
	}
	if j, known := s.jobs[a.Body.Job()]; known {
		s.join(j, a)
		return
	}
	if refused, barred := s.bar(a); barred {
		s.refuse(a, refused)
		return
	}
	if refused, admitted := s.host.Admit(a.Body); !admitted {
		s.refuse(a, refused)
		return
	}
	s.accept(a)
}

// join adds an attempt to the job that has its key.
func (s *Slot) join(j *job.Job, a Attempt) {
	if j.Digest() != a.Body.Digest() || j.Tasks() != a.Body.Tasks() {
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
	if s.unsettled(j) {
		s.doubtful[j.Name()] = append(s.doubtful[j.Name()], a)
		return
	}
	j.AttachBody(a.Body)
	s.resume(j)
}

// undecided reports whether the final answer still waits for its proof.
func (s *Slot) undecided(j *job.Job) bool {
	for i := range s.proofs {
		if s.proofs[i].ended == j {
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

// accept makes a new job, registers it and lets the dispatcher reserve for it.
func (s *Slot) accept(a Attempt) {
	deadline := a.Body.Deadline()
	if deadline == 0 {
		deadline = s.host.JobDeadline(a.Body.Kind())
	}
	j := job.New(a.Body, s.host.Now(), deadline)
	j.AddWaiter(a.Waiter)
	s.jobs[j.Name()] = j
	s.active[j.Name()] = j
	s.resume(j)
}

// resume registers a job that has its body and offers its tasks.
func (s *Slot) resume(j *job.Job) {
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
	s.remember(proof{job: j}, j)
}

// Extend registers a further agent for a running job, so that the agent may
// start tasks of it once the witnesses know.
func (s *Slot) Extend(j *job.Job, agent string) {
	if j.Ended() || !j.StartsAllowed() || j.HasAgent(agent) {
		return
	}
	s.register(j, []string{agent})
}

// Settle looks at a job whose tasks have changed and ends it where that follows.
func (s *Slot) UpdateJob(j *job.Job) {
	if j.Ended() || s.settleRecovered(j) {
		return
	}
	a := j.Evaluate()
	if a.Outcome() != outcome.Pending {
		s.end(j, a)
		return
	}
	s.resume(j)
}

// end makes an answer final. An answer that does not follow from the tasks
// alone is told only when the witnesses know it, so that no later owner
// contradicts it. So is any answer to a recovered job: a witness that was not
// read may hold what a former owner decided, and this has to overrule it.
func (s *Slot) end(j *job.Job, a answer.Answer) {
	j.End(a, s.host.Now())
	s.host.Withdraw(j)
	delete(s.active, j.Name())
	follows := a.Outcome() == outcome.Complete || a.Outcome() == outcome.Unknown
	if follows && !j.Recovered() {
		s.announce(j, a)
		return
	}
	s.remember(proof{ended: j, verdict: a}, j)
}

func (s *Slot) announce(j *job.Job, a answer.Answer) {
	if s.phase == Leaving && a.Outcome() == outcome.NotRun {
		// The next owner does not know of this refusal, so it is not said.
		s.release(j.TakeWaiters())
		return
	}
	s.host.Finished(j, a)
	for _, w := range j.TakeWaiters() {
		w.Answer(a)
	}
	if a.Outcome() == outcome.NotRun {
		delete(s.jobs, j.Name())
		s.bury(j.Name())
		return
	}
	s.ended = append(s.ended, j)
}

// Done takes the end of a task.
func (s *Slot) Done(agent string, d *wire.Done) *job.Job {
	if s.phase == Recovering {
		s.doneEarly(agent, d)
		return nil
	}
	j, known := s.jobs[d.GetJob()]
	if !known || !j.ApplyRecord(agent, d.GetTask()) {
		return nil
	}
	s.UpdateJob(j)
	return j
}

// Returned takes a task back that the agent gave up without a start.
func (s *Slot) Returned(agent, name string, pull uint64, index uint32) {
	j, known := s.jobs[name]
	if !known || !j.Unassign(agent, pull, index) {
		return
	}
	s.UpdateJob(j)
}

// Told reports whether the final answer of a job may be shown: one that still
// waits for the witnesses may not.
func (s *Slot) AnswerConfirmed(j *job.Job) bool { return j.Ended() && !s.undecided(j) }

// Job returns the job with the given name.
func (s *Slot) Job(name string) (*job.Job, bool) {
	j, ok := s.jobs[name]
	return j, ok
}

// Cancel gives a job up for its caller. Tasks that run go on to their end.
func (s *Slot) Cancel(name string) {
	j, known := s.jobs[name]
	if !known || j.Ended() {
		return
	}
	s.giveUpNow(j, "cancelled", "the caller cancelled the job")
}
