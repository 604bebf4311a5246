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
	j.Ready()
	return j
}

func done(index uint32) *wire.TaskRecord {
	return &wire.TaskRecord{Index: index, State: wire.TaskState_TASK_STATE_DONE}
}

func TestOnlyRegisteredAgentsGetTasks(t *testing.T) {
	is := is.New(t)
	j := newJob(2)
	is.Equal(len(j.Take("b#1", 1, 2)), 0)
	j.Register(2, []string{"b#1"})
	is.Equal(len(j.Take("a#1", 1, 2)), 0) // until the witnesses have the agent
	j.Ready()
	is.Equal(j.Take("b#1", 1, 1), []uint32{0})
}

func TestLateRefusalDoesNotUndoALaterHandOut(t *testing.T) {
	is := is.New(t)
	j := newJob(1)
	j.Take("a#1", 1, 1)
	is.True(j.Return("a#1", 1, 0))
	j.Take("a#1", 2, 1)
	is.True(!j.Return("a#1", 1, 0))
	is.Equal(j.Waiting(), 0)
}

func TestAnswersOfOtherAgentsDoNotCount(t *testing.T) {
	is := is.New(t)
	j := newJob(1)
	j.Take("a#1", 1, 1)
	is.True(!j.Record("b#1", done(0)))
	is.True(!j.Record("a#1", done(7)))
	is.True(j.Record("a#1", done(0)))
	is.Equal(j.Decide().Outcome(), outcome.Complete)
}

func TestLostSessionIsSettledByAsking(t *testing.T) {
	is := is.New(t)
	j := newJob(2)
	j.Take("a#1", 1, 2)
	is.True(j.Suspect("a#1"))
	is.Equal(j.Waiting(), 0)
	j.Resolve("a#1", []*wire.TaskRecord{done(1)})
	is.Equal(j.Waiting(), 1) // task 0 did not start there
}

func TestEndedAgentLeavesUnknown(t *testing.T) {
	is := is.New(t)
	j := newJob(2)
	j.Take("a#1", 1, 1)
	j.Bury("a#1")
	a := j.Decide()
	is.Equal(a.Outcome(), outcome.Unknown)
	is.Equal(a.Records()[1].GetState(), wire.TaskState_TASK_STATE_NOT_STARTED)
}

func TestGiveUpTellsWhatIsKnown(t *testing.T) {
	is := is.New(t)
	j := newJob(2)
	is.Equal(j.GiveUp("deadline", "").Outcome(), outcome.NotRun)
	j.Take("a#1", 1, 1)
	is.Equal(j.GiveUp("deadline", "").Outcome(), outcome.Failed)
	j.Take("a#1", 2, 1)
	is.Equal(j.GiveUp("deadline", "").Outcome(), outcome.Pending) // all are handed out
}
