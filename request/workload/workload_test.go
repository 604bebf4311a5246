package workload_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/request/workload"
)

func TestNewRejectsInvalidSteps(t *testing.T) {
	for name, c := range map[string]struct {
		steps []workload.Step
		says  string
	}{
		"no steps":       {nil, "has no steps"},
		"no tasks":       {[]workload.Step{{}}, "step 0 has 0 tasks"},
		"too many tasks": {[]workload.Step{{Count: 4000}, {Count: 4000}}, "more than 4096 tasks"},
		"negative size":  {[]workload.Step{{Count: 1, Size: size.Size{CPU: -1}}}, "negative"},
		"waits for itself": {
			[]workload.Step{{Count: 1, DependsOn: []int{0}}}, "waits for step 0, which is not an earlier one",
		},
		"waits for none": {[]workload.Step{{Count: 1, DependsOn: []int{-1}}}, "waits for step -1"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := workload.New("job", "", c.steps)
			if err == nil || !strings.Contains(err.Error(), c.says) {
				t.Fatalf("error %v, must say %q", err, c.says)
			}
		})
	}
}

func TestTasksAreNumberedAcrossSteps(t *testing.T) {
	i := is.New(t)
	w, err := workload.New("job", "text", []workload.Step{{Count: 2}, {Count: 3}})
	i.NoErr(err)
	i.Equal(w.TaskCount(), 5)
	step, index := w.StepAndIndex(1)
	i.Equal([]int{step, index}, []int{0, 1})
	step, index = w.StepAndIndex(4)
	i.Equal([]int{step, index}, []int{1, 2})
	i.Equal(w.FirstTask(1), 2)
}

func TestCriticalPathIsLongestChain(t *testing.T) {
	i := is.New(t)
	w, err := workload.New("job", "", []workload.Step{{Count: 1}, {Count: 1}, {Count: 1, DependsOn: []int{0, 1}}})
	i.NoErr(err)
	times := []time.Duration{3 * time.Second, time.Second, 2 * time.Second}
	i.Equal(w.CriticalPath(func(step int) time.Duration { return times[step] }), 5*time.Second)
}
