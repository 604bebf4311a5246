// Package progress tracks the tasks of one workload: which may start, where they
// are placed, and how often they have failed. It does no I/O.
package progress

import (
	"slices"

	"github.com/corianderhook/corianderhook/request/workload"
)

type state uint8

const (
	// blocked: a step that the task depends on is not done.
	blocked state = iota
	ready
	// placed: an agent has the task.
	placed
	done
)

type task struct {
	state    state
	runs     int
	failures int
	agent    string
	// failedAt lists the agents where the task failed.
	failedAt []string
}

// Progress is the state of one workload. It is not safe for concurrent use.
type Progress struct {
	workload        *workload.Workload
	tasks           []task
	remainingInStep []int
	remaining       int
	placed          int
	started         bool
	maxFailures     int
	failed          bool
}

// New returns the progress of a workload of which nothing has started. The job
// fails once one of its tasks has failed maxFailures times.
func New(work *workload.Workload, maxFailures int) *Progress {
	p := &Progress{workload: work, tasks: make([]task, work.TaskCount()), remaining: work.TaskCount(), maxFailures: max(1, maxFailures)}
	for _, s := range work.Steps() {
		p.remainingInStep = append(p.remainingInStep, s.Count)
	}
	p.unblock()
	return p
}

// unblock makes the tasks ready of every step whose dependencies are done.
func (p *Progress) unblock() {
	for step, s := range p.workload.Steps() {
		if slices.ContainsFunc(s.DependsOn, func(a int) bool { return p.remainingInStep[a] > 0 }) {
			continue
		}
		first := p.workload.FirstTask(step)
		for i := first; i < first+s.Count; i++ {
			if p.tasks[i].state == blocked {
				p.tasks[i].state = ready
			}
		}
	}
}

// Ready returns the numbers of the tasks that may start and are not placed yet.
func (p *Progress) Ready() []int {
	var list []int
	for i := range p.tasks {
		if p.tasks[i].state == ready {
			list = append(list, i)
		}
	}
	return list
}

// Place records that a task is placed at an agent and returns the number of the
// run, counted from 1.
func (p *Progress) Place(number int, agent string) int {
	t := &p.tasks[number]
	t.state = placed
	t.agent = agent
	t.runs++
	p.placed++
	return t.runs
}

// MarkStarted records that a start order for a task of the job was sent.
func (p *Progress) MarkStarted() { p.started = true }

// Return makes a placed task ready again. The caller must know that no run of the
// task is left.
func (p *Progress) Return(number int) {
	if t := &p.tasks[number]; t.state == placed {
		t.state = ready
		t.agent = ""
		p.placed--
	}
}

// Fail makes a placed task ready again after its run has failed, and counts the
// failure.
func (p *Progress) Fail(number int) {
	t := &p.tasks[number]
	if t.state == placed {
		t.failedAt = append(t.failedAt, t.agent)
	}
	p.Return(number)
	t.failures++
	if t.failures >= p.maxFailures {
		p.failed = true
	}
}

// FailedAt returns the agents where a task has failed.
func (p *Progress) FailedAt(number int) []string { return p.tasks[number].failedAt }

// MarkDone records that a placed task has succeeded. It ignores tasks that are not
// placed.
func (p *Progress) MarkDone(number int) {
	t := &p.tasks[number]
	if t.state != placed {
		return
	}
	t.state = done
	p.placed--
	p.remaining--
	step, _ := p.workload.StepAndIndex(number)
	p.remainingInStep[step]--
	if p.remainingInStep[step] == 0 {
		p.unblock()
	}
}

// TasksOnAgent returns how many tasks of a step are placed or done at an agent.
func (p *Progress) TasksOnAgent(step int, agent string) int {
	count := 0
	first := p.workload.FirstTask(step)
	for i := first; i < first+p.workload.Steps()[step].Count; i++ {
		if t := p.tasks[i]; t.agent == agent && t.state >= placed {
			count++
		}
	}
	return count
}

// Started reports whether a start order for any task was sent.
func (p *Progress) Started() bool { return p.started }

// Placed returns how many tasks are placed and have not ended.
func (p *Progress) Placed() int { return p.placed }

// Remaining returns how many tasks have not succeeded yet.
func (p *Progress) Remaining() int { return p.remaining }

// Complete reports whether all tasks have succeeded.
func (p *Progress) Complete() bool { return p.remaining == 0 }

// Failed reports whether a task has reached its maximum number of failures.
func (p *Progress) Failed() bool { return p.failed }
