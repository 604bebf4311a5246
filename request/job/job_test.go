package job_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/wire"
)

var now = time.Unix(1000, 0)

func newJob(tasks int) *job.Job {
	payloads := make([][]byte, tasks)
	for i := range payloads {
		payloads[i] = []byte("1")
	}
	j := job.New(submission.New("t", "k", "kind", 0, payloads), now, time.Minute)
	j.Register(1, []string{"a#1"})
	j.AllowStarts()
	return j
}

func done(index uint32) *wire.TaskRecord {
	return &wire.TaskRecord{Index: index, State: wire.TaskState_TASK_STATE_DONE}
}

func TestOnlyRegisteredAgentsGetTasks(t *testing.T) {
	is := is.New(t)
	j := newJob(2)
	is.Equal(len(j.Assign("b#1", 1, 2)), 0)
	j.Register(2, []string{"b#1"})
	is.Equal(len(j.Assign("a#1", 1, 2)), 0) // until the witnesses have the agent
	j.AllowStarts()
	is.Equal(j.Assign("b#1", 1, 1), []uint32{0})
}

func TestLateReturnDoesNotUndoLaterAssignment(t *testing.T) {
	is := is.New(t)
	j := newJob(1)
	j.Assign("a#1", 1, 1)
	is.True(j.Unassign("a#1", 1, 0))
	j.Assign("a#1", 2, 1)
	is.True(!j.Unassign("a#1", 1, 0))
	is.Equal(j.Waiting(), 0)
}

func TestRecordsOfOtherAgentsAreIgnored(t *testing.T) {
	is := is.New(t)
	j := newJob(1)
	j.Assign("a#1", 1, 1)
	is.True(!j.ApplyRecord("b#1", done(0)))
	is.True(!j.ApplyRecord("a#1", done(7)))
	is.True(j.ApplyRecord("a#1", done(0)))
	is.Equal(j.Evaluate().Outcome(), outcome.Complete)
}

func TestSuspectTasksAreResolvedByAgentReport(t *testing.T) {
	is := is.New(t)
	j := newJob(2)
	j.Assign("a#1", 1, 2)
	is.True(j.MarkSuspect("a#1"))
	is.Equal(j.Waiting(), 0)
	j.ResolveAgent("a#1", []*wire.TaskRecord{done(1)})
	is.Equal(j.Waiting(), 1) // task 0 did not start there
}

func TestEndedAgentMakesTasksUnknown(t *testing.T) {
	is := is.New(t)
	j := newJob(2)
	j.Assign("a#1", 1, 1)
	j.MarkAgentEnded("a#1")
	a := j.Evaluate()
	is.Equal(a.Outcome(), outcome.Unknown)
	is.Equal(a.Records()[1].GetState(), wire.TaskState_TASK_STATE_NOT_STARTED)
}

func TestAnswerIfAbandonedReflectsTaskStates(t *testing.T) {
	is := is.New(t)
	j := newJob(2)
	is.Equal(j.AnswerIfAbandoned("deadline", "").Outcome(), outcome.NotRun)
	j.Assign("a#1", 1, 1)
	is.Equal(j.AnswerIfAbandoned("deadline", "").Outcome(), outcome.Failed)
	j.Assign("a#1", 2, 1)
	is.Equal(j.AnswerIfAbandoned("deadline", "").Outcome(), outcome.Pending) // all are handed out
}
