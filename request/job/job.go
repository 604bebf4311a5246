// Package job holds the state of one job at the owner of its slot. It decides which
// tasks may start and when the job has ended. It does no I/O.
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

// Waiter receives the answer of a job once.
type Waiter interface {
	Answer(a answer.Answer)
}

// state is what the owner knows of one task.
type state uint8

const (
	// waiting: the task provably did not start and may be assigned.
	waiting state = iota
	// started: the task was assigned to an agent, which may have started it.
	started
	// suspect: as started, but the session with the agent was lost since.
	suspect
	// inDoubt: a former owner may have assigned the task to any unresolved agent.
	inDoubt
	done
	failed
	unknown
	// dropped: the task did not start and never will.
	dropped
)

type task struct {
	state state
	agent string
	// pull is the agent's pull that the task was assigned for.
	pull   uint64
	record *wire.TaskRecord
}

// Job holds the tasks of a job, the agents that may start them and the answer. It
// is not safe for concurrent use.
type Job struct {
	name   string
	kind   string
	team   string
	digest uint64
	body   *submission.Submission
	tasks  []task
	// waitingTasks holds the indexes of waiting tasks; the last one is assigned first.
	waitingTasks []uint32
	unfinished   int
	// agents are those registered with the witnesses.
	agents map[string]bool
	// unresolved are the agents that have not reported yet on a recovered job.
	unresolved map[string]bool
	// agentLost is set when an unresolved agent has ended.
	agentLost bool
	recovered bool
	created   time.Time
	deadline  time.Time
	waiters   []Waiter
	final     answer.Answer
	// sequence is that of the last write that registered the job.
	sequence      uint64
	startsAllowed bool
	endedAt       time.Time
	// inDispatch is set while the dispatcher holds the job.
	inDispatch bool
}

// New returns a newly accepted job with all tasks waiting.
func New(s *submission.Submission, now time.Time, deadline time.Duration) *Job {
	j := &Job{
		name:         s.Job(),
		kind:         s.Kind(),
		team:         s.Team(),
		digest:       s.Digest(),
		body:         s,
		tasks:        make([]task, s.TaskCount()),
		waitingTasks: make([]uint32, 0, s.TaskCount()),
		unfinished:   s.TaskCount(),
		agents:       map[string]bool{},
		created:      now,
		deadline:     now.Add(deadline),
	}
	for i := s.TaskCount() - 1; i >= 0; i-- {
		j.waitingTasks = append(j.waitingTasks, uint32(i))
	}
	return j
}

// Name returns the job's name, which is team/key.
func (j *Job) Name() string { return j.name }

// Kind returns the kind of work.
func (j *Job) Kind() string { return j.kind }

// Team returns the team that submitted the job.
func (j *Job) Team() string { return j.team }

// Digest returns the hash over the job's body.
func (j *Job) Digest() uint64 { return j.digest }

// TaskCount returns the number of tasks.
func (j *Job) TaskCount() int { return len(j.tasks) }

// Waiting returns the number of tasks that may be assigned. It is 0 while the body
// of a recovered job is missing.
func (j *Job) Waiting() int {
	if j.body == nil || j.Ended() {
		return 0
	}
	return len(j.waitingTasks)
}

// Created returns when this owner accepted or recovered the job.
func (j *Job) Created() time.Time { return j.created }

// Deadline returns the time after which tasks that have not started are abandoned.
func (j *Job) Deadline() time.Time { return j.deadline }

// Ended reports whether the job has its final answer.
func (j *Job) Ended() bool { return j.final.Outcome() != outcome.Pending }

// EndedAt returns when the job got its final answer.
func (j *Job) EndedAt() time.Time { return j.endedAt }

// Body returns the submission. It is nil for an ended job, and for a recovered job
// until a caller resends it.
func (j *Job) Body() *submission.Submission { return j.body }

// AttachBody sets the body of a recovered job, unless it has one or the digest differs.
func (j *Job) AttachBody(s *submission.Submission) {
	if j.body == nil && s.Digest() == j.digest {
		j.body = s
	}
}

// Register adds agents and records the sequence number of the write that stores the
// job with them at the witnesses. No task may start until AllowStarts.
func (j *Job) Register(sequence uint64, agents []string) {
	j.sequence = sequence
	j.startsAllowed = false
	for _, a := range agents {
		j.agents[a] = true
	}
}

// Recovered reports whether a former owner accepted the job.
func (j *Job) Recovered() bool { return j.recovered }

// Registered reports whether this owner has called Register.
func (j *Job) Registered() bool { return j.sequence > 0 }

// Sequence returns the sequence number of the last Register.
func (j *Job) Sequence() uint64 { return j.sequence }

// AllowStarts allows tasks to start. It is called once a majority of the witnesses
// has stored the latest registration.
func (j *Job) AllowStarts() { j.startsAllowed = true }

// StartsAllowed reports whether tasks may start.
func (j *Job) StartsAllowed() bool { return j.startsAllowed }

// HasAgent reports whether the agent is registered as one that may start tasks of
// this job.
func (j *Job) HasAgent(agent string) bool { return j.agents[agent] }

// Agents returns the registered agents, sorted.
func (j *Job) Agents() []string { return slices.Sorted(maps.Keys(j.agents)) }

// Key returns the record that the witnesses store for the job.
func (j *Job) Key() *wire.JobKey {
	return &wire.JobKey{
		Job:    j.name,
		Digest: j.digest,
		Tasks:  uint32(len(j.tasks)),
		Kind:   j.kind,
		Agents: j.Agents(),
	}
}

// Assign assigns up to count waiting tasks to an agent in reply to one of its pulls.
// It marks them as started and returns their indexes.
func (j *Job) Assign(agent string, pull uint64, count int) []uint32 {
	if !j.startsAllowed || !j.agents[agent] || j.Waiting() == 0 {
		return nil
	}
	count = min(count, len(j.waitingTasks))
	assigned := slices.Clone(j.waitingTasks[len(j.waitingTasks)-count:])
	slices.Reverse(assigned)
	j.waitingTasks = j.waitingTasks[:len(j.waitingTasks)-count]
	for _, i := range assigned {
		j.tasks[i].state = started
		j.tasks[i].agent = agent
		j.tasks[i].pull = pull
	}
	return assigned
}

// Payload returns the JSON text of a task.
func (j *Job) Payload(index uint32) []byte { return j.body.Payloads()[index] }

// Unassign requeues a task that the agent returned without starting it. The pull
// identifies the assignment, so that a late return cannot undo a later assignment.
func (j *Job) Unassign(agent string, pull uint64, index uint32) bool {
	if int(index) >= len(j.tasks) {
		return false
	}
	t := &j.tasks[index]
	if (t.state != started && t.state != suspect) || t.agent != agent || t.pull != pull {
		return false
	}
	j.requeue(index)
	return true
}

// requeue makes a task waiting again, or drops it if the job has ended.
func (j *Job) requeue(index uint32) {
	j.tasks[index] = task{state: waiting}
	if j.Ended() {
		j.tasks[index].state = dropped
		return
	}
	j.waitingTasks = append(j.waitingTasks, index)
}

// Evaluate returns the final answer that follows from the states of the tasks, or
// an answer with the outcome Pending.
func (j *Job) Evaluate() answer.Answer {
	if j.Ended() {
		return j.final
	}
	counts := j.countByState()
	switch {
	case counts[done] == len(j.tasks):
		return j.answerWithRecords(outcome.Complete, "complete", "every task succeeded")
	case counts[failed] > 0:
		return j.answerWithRecords(outcome.Failed, "task-failed", "a task failed for good")
	case counts[unknown] > 0:
		return j.answerWithRecords(outcome.Unknown, "task-unknown", "a task may have run and its answer is lost")
	default:
		return j.answerWithRecords(outcome.Pending, "running", "the job has not ended")
	}
}

func (j *Job) countByState() [dropped + 1]int {
	var counts [dropped + 1]int
	for i := range j.tasks {
		counts[j.tasks[i].state]++
	}
	return counts
}

// AnswerIfAbandoned returns the final answer for a job that is abandoned now: at
// its deadline, because its body is lost, or because the caller cancelled it. It is
// Pending if every task has been assigned, since then only the tasks can end the job.
func (j *Job) AnswerIfAbandoned(reason, detail string) answer.Answer {
	if j.Ended() {
		return j.final
	}
	if j.NoneStarted() {
		return answer.New(outcome.NotRun, reason, detail+"; no task started").WithTasks(len(j.tasks), nil)
	}
	counts := j.countByState()
	if counts[waiting] > 0 {
		return j.answerWithRecords(outcome.Failed, reason, detail+" before every task had started")
	}
	if counts[inDoubt] > 0 {
		return j.answerWithRecords(outcome.Unknown, reason, detail+" while an agent that may have run tasks was out of reach")
	}
	return j.answerWithRecords(outcome.Pending, "running", "every task has been handed out")
}

// End makes the answer final and drops waiting tasks.
func (j *Job) End(a answer.Answer, now time.Time) {
	if j.Ended() || a.Outcome() == outcome.Pending {
		return
	}
	j.final = a
	j.endedAt = now
	for _, i := range j.waitingTasks {
		j.tasks[i].state = dropped
	}
	j.waitingTasks = nil
	j.body = nil
}

// Status returns the final answer, or a Pending answer with the task states so far.
func (j *Job) Status() answer.Answer { return j.Evaluate() }

func (j *Job) answerWithRecords(o outcome.Outcome, reason, detail string) answer.Answer {
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
	case suspect, inDoubt:
		r.State = wire.TaskState_TASK_STATE_UNKNOWN
	}
	return r
}

// AddWaiter adds a waiter for the final answer.
func (j *Job) AddWaiter(w Waiter) { j.waiters = append(j.waiters, w) }

// TakeWaiters removes and returns the waiters.
func (j *Job) TakeWaiters() []Waiter {
	w := j.waiters
	j.waiters = nil
	return w
}

// InDispatch reports whether the dispatcher holds the job.
func (j *Job) InDispatch() bool { return j.inDispatch }

// SetInDispatch records whether the dispatcher holds the job.
func (j *Job) SetInDispatch(held bool) { j.inDispatch = held }
