package progress_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/request/progress"
	"github.com/corianderhook/corianderhook/request/workload"
)

func steps(t *testing.T, steps ...workload.Step) *workload.Workload {
	t.Helper()
	w, err := workload.New("job", "", steps)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func TestStepWaitsForEarlierStep(t *testing.T) {
	i := is.New(t)
	p := progress.New(steps(t, workload.Step{Count: 2}, workload.Step{Count: 1, DependsOn: []int{0}}), 3)
	i.Equal(p.Ready(), []int{0, 1})
	p.Place(0, "a")
	p.Place(1, "b")
	p.MarkDone(0)
	i.Equal(len(p.Ready()), 0)
	p.MarkDone(1)
	i.Equal(p.Ready(), []int{2})
	p.Place(2, "a")
	p.MarkDone(2)
	i.True(p.Complete())
}

func TestRepeatedEndsCountOnce(t *testing.T) {
	i := is.New(t)
	p := progress.New(steps(t, workload.Step{Count: 2}), 3)
	p.Place(0, "a")
	p.MarkDone(0)
	p.MarkDone(0)
	p.Return(0)
	i.Equal(p.Remaining(), 1)
	i.Equal(p.Placed(), 0)
	i.Equal(p.Ready(), []int{1})
}

func TestRunsAreNumberedAndFailuresCounted(t *testing.T) {
	i := is.New(t)
	p := progress.New(steps(t, workload.Step{Count: 1}), 2)
	i.Equal(p.Place(0, "a"), 1)
	p.Return(0)
	i.Equal(p.Place(0, "a"), 2)
	p.Fail(0)
	i.True(!p.Failed())
	i.Equal(p.Place(0, "b"), 3)
	i.Equal(p.FailedAt(0), []string{"a"})
	p.Fail(0)
	i.True(p.Failed())
	i.Equal(p.FailedAt(0), []string{"a", "b"})
}

func TestTasksPerAgent(t *testing.T) {
	i := is.New(t)
	p := progress.New(steps(t, workload.Step{Count: 3}), 1)
	p.Place(0, "a")
	p.Place(1, "a")
	p.Place(2, "b")
	p.MarkDone(0)
	i.Equal(p.TasksOnAgent(0, "a"), 2)
	p.Return(1)
	i.Equal(p.TasksOnAgent(0, "a"), 1)
}
