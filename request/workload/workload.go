// Package workload describes a job that consists of steps of equal tasks. Each task
// takes up part of an endpoint. Tasks may run again from the start as long as two
// runs of a task do not overlap.
package workload

import (
	"fmt"
	"time"

	"github.com/corianderhook/corianderhook/request/size"
)

// MaxTasks limits the tasks of a job; the system is designed for 350.
const MaxTasks = 4096

// Step is a group of equal tasks.
type Step struct {
	Count int
	Size  size.Size
	// Estimate is the caller's estimate of the run time of one task.
	Estimate time.Duration
	// DependsOn lists the numbers of the earlier steps that must be done first.
	DependsOn []int
	// RequiredLabel is a label that the endpoint must have; empty allows any endpoint.
	RequiredLabel string
	// DataLabel is the label of the endpoints that are near the data.
	DataLabel string
	// MaxPerEndpoint limits the tasks of the step on one endpoint; 0 is no limit.
	MaxPerEndpoint int
}

// Workload is a validated job. It is immutable.
type Workload struct {
	id        string
	payload   string
	steps     []Step
	firstTask []int
	tasks     int
}

// New validates the steps of a job and returns it.
func New(id, payload string, steps []Step) (*Workload, error) {
	w := &Workload{id: id, payload: payload, steps: steps}
	if len(steps) == 0 {
		return nil, fmt.Errorf("job %q has no steps", id)
	}
	for i, s := range steps {
		if err := s.validate(i); err != nil {
			return nil, fmt.Errorf("job %q: %w", id, err)
		}
		w.firstTask = append(w.firstTask, w.tasks)
		w.tasks += s.Count
		if w.tasks > MaxTasks {
			return nil, fmt.Errorf("job %q has more than %d tasks", id, MaxTasks)
		}
	}
	return w, nil
}

func (s Step) validate(number int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("step %d has %d tasks, must be 1 to %d", number, s.Count, MaxTasks)
	}
	if s.Size.CPU < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0 || s.Estimate < 0 || s.MaxPerEndpoint < 0 {
		return fmt.Errorf("step %d has a negative size, estimate or spread", number)
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= number {
			return fmt.Errorf("step %d waits for step %d, which is not an earlier one", number, a)
		}
	}
	return nil
}

// ID returns the ID of the job.
func (w *Workload) ID() string { return w.id }

// Payload returns the payload that every task of the job receives.
func (w *Workload) Payload() string { return w.payload }

// Steps returns the steps in order.
func (w *Workload) Steps() []Step { return w.steps }

// TaskCount returns the number of tasks over all steps.
func (w *Workload) TaskCount() int { return w.tasks }

// StepAndIndex returns the step of a task and the index within that step, given the
// number of the task in the job.
func (w *Workload) StepAndIndex(number int) (step, index int) {
	for step = len(w.firstTask) - 1; w.firstTask[step] > number; step-- {
	}
	return step, number - w.firstTask[step]
}

// FirstTask returns the number of the first task of a step.
func (w *Workload) FirstTask(step int) int { return w.firstTask[step] }

// TotalWork returns the CPU time of all tasks in core-milliseconds, where run returns
// the run time of a task of a step.
func (w *Workload) TotalWork(run func(step int) time.Duration) float64 {
	work := 0.0
	for number, s := range w.steps {
		work += float64(s.Count) * float64(s.Size.CPU) / 1000 * float64(run(number)) / float64(time.Millisecond)
	}
	return work
}

// CriticalPath returns the longest total run time over a chain of dependent steps,
// where estimate returns the run time of a task of a step.
func (w *Workload) CriticalPath(estimate func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(w.steps))
	var longest time.Duration
	for i, s := range w.steps {
		var begin time.Duration
		for _, a := range s.DependsOn {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + estimate(i)
		longest = max(longest, ends[i])
	}
	return longest
}
