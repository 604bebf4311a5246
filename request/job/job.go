// Package job holds the state of one job at the owner of its slot and decides
// what may start and when the job is over. It does no I/O.
package job

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/wire"
)

// Waiter gets the answer of a job once.
type Waiter interface {
	Answer(a answer.Answer)
}

// state is what the owner knows of one task.
type state uint8

const (
	// waiting: the task provably did not start and may be handed out.
	waiting state = iota
	// started: the task was handed to an agent that may have started it.
	started
	// suspect: as started, but the session to the agent was lost since.
	suspect
	// doubt: a former owner may have handed the task to any unresolved agent.
	doubt
	done
	failed
	unknown
	// dropped: the task did not start and never will.
	dropped
)

type task struct {
	state  state
	agent  string
	pull   uint64
	record *wire.TaskRecord
}

// Job is one job. It is not safe for concurrent use.
type Job struct {
	name      string
	kind      string
	team      string
	digest    uint64
	body      *submission.Submission
	tasks     []task
	open      []uint32
	unended   int
	agents    map[string]bool
	unproved  map[string]bool
	lost      bool
	recovered bool
	created   time.Time
	deadline  time.Time
	waiters   []Waiter
	final     answer.Answer
	sequence  uint64
	ready     bool
	endedAt   time.Time
	handed    bool
}

// New returns a job that was just accepted. No task has started.
func New(s *submission.Submission, now time.Time, deadline time.Duration) *Job {
	j := &Job{
		name:     s.Job(),
		kind:     s.Kind(),
		team:     s.Team(),
		digest:   s.Digest(),
		body:     s,
		tasks:    make([]task, s.Tasks()),
		open:     make([]uint32, 0, s.Tasks()),
		unended:  s.Tasks(),
		agents:   map[string]bool{},
		created:  now,
		deadline: now.Add(deadline),
	}
	for i := s.Tasks() - 1; i >= 0; i-- {
		j.open = append(j.open, uint32(i))
	}
	return j
}

// Name returns team/key.
func (j *Job) Name() string { return j.name }

// Kind returns the kind of work.
func (j *Job) Kind() string { return j.kind }

// Team returns the team that sent the job.
func (j *Job) Team() string { return j.team }

// Digest returns the hash over the job's body.
func (j *Job) Digest() uint64 { return j.digest }

// Tasks returns the number of tasks.
func (j *Job) Tasks() int { return len(j.tasks) }

// Waiting returns the number of tasks that may be handed out.
func (j *Job) Waiting() int {
	if j.body == nil || j.Ended() {
		return 0
	}
	return len(j.open)
}

// Created returns when this owner accepted or recovered the job.
func (j *Job) Created() time.Time { return j.created }

// Deadline returns when tasks that have not started are given up.
func (j *Job) Deadline() time.Time { return j.deadline }

// Ended reports whether the job has its final answer.
func (j *Job) Ended() bool { return j.final.Outcome() != outcome.Pending }

// EndedAt returns when the job got its final answer.
func (j *Job) EndedAt() time.Time { return j.endedAt }

// Body returns the submission, or nil for a recovered job that nobody has sent again.
func (j *Job) Body() *submission.Submission { return j.body }

// Attach gives a recovered job its body back.
func (j *Job) AttachBody(s *submission.Submission) {
	if j.body == nil && s.Digest() == j.digest {
		j.body = s
	}
}

// Register records the sequence number of the message that asks the witnesses
// to remember the job with the agents. Nothing starts before Ready.
func (j *Job) Register(sequence uint64, agents []string) {
	j.sequence = sequence
	j.ready = false
	for _, a := range agents {
		j.agents[a] = true
	}
}

// Recovered reports whether a former owner accepted the job.
func (j *Job) Recovered() bool { return j.recovered }

// Registered reports whether Register was called by this owner.
func (j *Job) Registered() bool { return j.sequence > 0 }

// Sequence returns the sequence number of the last Register.
func (j *Job) Sequence() uint64 { return j.sequence }

// Ready allows starts, after a majority of witnesses has the job.
func (j *Job) AllowStarts() { j.ready = true }

// IsReady reports whether starts are allowed.
func (j *Job) StartsAllowed() bool { return j.ready }

// Knows reports whether the witnesses know the agent as one that may start
// tasks of this job.
func (j *Job) HasAgent(agent string) bool { return j.agents[agent] }

// Agents returns the agents that may start tasks of the job, in order.
func (j *Job) Agents() []string { return slices.Sorted(maps.Keys(j.agents)) }

// Key returns what a witness has to remember.
func (j *Job) Key() *wire.JobKey {
	return &wire.JobKey{
		Job:    j.name,
		Digest: j.digest,
		Tasks:  uint32(len(j.tasks)),
		Kind:   j.kind,
		Agents: j.Agents(),
	}
}

// Take hands out up to count tasks to the agent in answer to one of its pulls
// and marks them as started.
func (j *Job) Assign(agent string, pull uint64, count int) []uint32 {
	if !j.ready || !j.agents[agent] || j.Waiting() == 0 {
		return nil
	}
	count = min(count, len(j.open))
	taken := slices.Clone(j.open[len(j.open)-count:])
	slices.Reverse(taken)
	j.open = j.open[:len(j.open)-count]
	for _, i := range taken {
		j.tasks[i].state = started
		j.tasks[i].agent = agent
		j.tasks[i].pull = pull
	}
	return taken
}

// Payload returns the JSON text of a task.
func (j *Job) Payload(index uint32) []byte { return j.body.Payloads()[index] }

// Return takes a task back that the agent gave up without a start. The pull
// tells the hand-out, so that a late refusal cannot undo a later one.
func (j *Job) Unassign(agent string, pull uint64, index uint32) bool {
	if int(index) >= len(j.tasks) {
		return false
	}
	t := &j.tasks[index]
	if (t.state != started && t.state != suspect) || t.agent != agent || t.pull != pull {
		return false
	}
	j.release(index)
	return true
}

func (j *Job) release(index uint32) {
	j.tasks[index] = task{state: waiting}
	if j.Ended() {
		j.tasks[index].state = dropped
		return
	}
	j.open = append(j.open, index)
}

// Decide returns the final answer that follows from the tasks, or one with the
// outcome Pending.
func (j *Job) Evaluate() answer.Answer {
	if j.Ended() {
		return j.final
	}
	counts := j.count()
	switch {
	case counts[done] == len(j.tasks):
		return j.describe(outcome.Complete, "complete", "every task succeeded")
	case counts[failed] > 0:
		return j.describe(outcome.Failed, "task-failed", "a task failed for good")
	case counts[unknown] > 0:
		return j.describe(outcome.Unknown, "task-unknown", "a task may have run and its answer is lost")
	default:
		return j.describe(outcome.Pending, "running", "the job has not ended")
	}
}

func (j *Job) count() [dropped + 1]int {
	var counts [dropped + 1]int
	for i := range j.tasks {
		counts[j.tasks[i].state]++
	}
	return counts
}

// GiveUp returns the final answer for a job that is given up now: at its
// deadline, or because the caller cancelled it. It is Pending while every task
// has been handed out, since then only the tasks themselves can end the job.
func (j *Job) AnswerIfAbandoned(reason, detail string) answer.Answer {
	if j.Ended() {
		return j.final
	}
	if j.NoneStarted() {
		return answer.New(outcome.NotRun, reason, detail+"; no task started").WithTasks(len(j.tasks), nil)
	}
	counts := j.count()
	if counts[waiting] > 0 {
		return j.describe(outcome.Failed, reason, detail+" before every task had started")
	}
	if counts[doubt] > 0 {
		return j.describe(outcome.Unknown, reason, detail+" while an agent that may have run tasks was out of reach")
	}
	return j.describe(outcome.Pending, "running", "every task has been handed out")
}

// End makes the answer final. Tasks that wait are dropped.
func (j *Job) End(a answer.Answer, now time.Time) {
	if j.Ended() || a.Outcome() == outcome.Pending {
		return
	}
	j.final = a
	j.endedAt = now
	for _, i := range j.open {
		j.tasks[i].state = dropped
	}
	j.open = nil
	j.body = nil
}

// Status returns the final answer, or what is known so far as Pending.
func (j *Job) Status() answer.Answer { return j.Evaluate() }

func (j *Job) describe(o outcome.Outcome, reason, detail string) answer.Answer {
	records := make([]*wire.TaskRecord, len(j.tasks))
	for i := range j.tasks {
		records[i] = j.recordOf(uint32(i))
	}
	return answer.New(o, reason, detail).WithTasks(len(j.tasks), records)
}

func (j *Job) recordOf(index uint32) *wire.TaskRecord {
	t := &j.tasks[index]
	if t.record != nil {
		return t.record
	}
	r := &wire.TaskRecord{Index: index, State: wire.TaskState_TASK_STATE_NOT_STARTED}
	switch t.state {
	case started:
		r.State = wire.TaskState_TASK_STATE_RUNNING
	case suspect, doubt:
		r.State = wire.TaskState_TASK_STATE_UNKNOWN
	}
	return r
}

// Wait adds a waiter for the final answer.
func (j *Job) AddWaiter(w Waiter) { j.waiters = append(j.waiters, w) }

// Waiters removes and returns those who wait for the answer.
func (j *Job) TakeWaiters() []Waiter {
	w := j.waiters
	j.waiters = nil
	return w
}

// InDispatch reports whether the dispatcher holds the job.
func (j *Job) InDispatch() bool { return j.handed }

// SetInDispatch records whether the dispatcher holds the job.
func (j *Job) SetInDispatch(held bool) { j.handed = held }
