// Package workload holds a job as a caller describes it: steps of tasks that need
// a part of an endpoint. It may run again from the start as long as two runs do
// not overlap.
package workload

import (
	"fmt"
	"time"

	"github.com/corianderhook/corianderhook/request/size"
)

// MaxTasks bounds the tasks of one job; the target of the system is 350.
const MaxTasks = 4096

// Step is a group of equal tasks.
type Step struct {
	Count int
	Size  size.Size
	// Estimate is the caller's guess of a task's run time.
	Estimate time.Duration
	// After are the numbers of earlier steps that have to be done first.
	DependsOn []int
	// Label is one that the endpoint must have; empty for any endpoint.
	RequiredLabel string
	// Near is the label of the endpoints where the data lies.
	DataLabel string
	// Spread is the most tasks of the step on one endpoint; 0 is no limit.
	MaxPerEndpoint int
}

// Workload is one job. It is read-only.
type Workload struct {
	id      string
	payload string
	steps   []Step
	first   []int
	tasks   int
}

// New checks and returns a job.
func New(id, payload string, steps []Step) (*Workload, error) {
	w := &Workload{id: id, payload: payload, steps: steps}
	if len(steps) == 0 {
		return nil, fmt.Errorf("job %q has no steps", id)
	}
	for i, s := range steps {
		if err := s.check(i); err != nil {
			return nil, fmt.Errorf("job %q: %w", id, err)
		}
		w.first = append(w.first, w.tasks)
		w.tasks += s.Count
		if w.tasks > MaxTasks {
			return nil, fmt.Errorf("job %q has more than %d tasks", id, MaxTasks)
		}
	}
	return w, nil
}

func (s Step) check(number int) error {
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

// ID returns the caller's name of the job.
func (w *Workload) ID() string { return w.id }

// Payload returns what every task of the job is given.
func (w *Workload) Payload() string { return w.payload }

// Steps returns the steps in order.
func (w *Workload) Steps() []Step { return w.steps }

// Tasks returns the number of tasks over all steps.
func (w *Workload) TaskCount() int { return w.tasks }

// Task returns step and index within the step of a task by its number.
func (w *Workload) StepAndIndex(number int) (step, index int) {
	for step = len(w.first) - 1; w.first[step] > number; step-- {
	}
	return step, number - w.first[step]
}

// First returns the number of the first task of a step.
func (w *Workload) FirstTask(step int) int { return w.first[step] }

// Work returns what the tasks ask of the endpoints in core-milliseconds, by the run
// time of each step's tasks.
func (w *Workload) TotalWork(run func(step int) time.Duration) float64 {
	work := 0.0
	for number, s := range w.steps {
		work += float64(s.Count) * float64(s.Size.CPU) / 1000 * float64(run(number)) / float64(time.Millisecond)
	}
	return work
}

// Chain returns the longest sum of estimates over steps that follow each other,
// with each step's estimate given by the function.
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
