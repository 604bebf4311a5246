// Package progress follows one workload from its arrival to its end: which tasks
// may start, where they are, and how often they have failed. It does no I/O.
package progress

import (
	"slices"

	"github.com/corianderhook/corianderhook/request/workload"
)

type state uint8

const (
	blocked state = iota
	ready
	placed
	done
)

type task struct {
	state    state
	runs     int
	failures int
	agent    string
	// failedAt are the agents where it failed.
	failedAt []string
}

// Progress is the state of one workload. It is not safe for concurrent use.
type Progress struct {
	work     *workload.Workload
	tasks    []task
	left     []int
	undone   int
	placed   int
	started  bool
	attempts int
	failed   bool
}

// New returns the progress of a workload of which nothing has started. A task that
// fails as often as attempts says fails the job.
func New(work *workload.Workload, attempts int) *Progress {
	p := &Progress{work: work, tasks: make([]task, work.TaskCount()), undone: work.TaskCount(), attempts: max(1, attempts)}
	for _, s := range work.Steps() {
		p.left = append(p.left, s.Count)
	}
	p.unblock()
	return p
}

func (p *Progress) unblock() {
	for step, s := range p.work.Steps() {
		if slices.ContainsFunc(s.DependsOn, func(a int) bool { return p.left[a] > 0 }) {
			continue
		}
		first := p.work.FirstTask(step)
		for i := first; i < first+s.Count; i++ {
			if p.tasks[i].state == blocked {
				p.tasks[i].state = ready
			}
		}
	}
}

// Ready returns the numbers of the tasks that may start and are not placed.
func (p *Progress) Ready() []int {
	var list []int
	for i := range p.tasks {
		if p.tasks[i].state == ready {
			list = append(list, i)
		}
	}
	return list
}

// Place notes that a task was given to an agent and returns the number of the run,
// counted from 1.
func (p *Progress) Place(number int, agent string) int {
	t := &p.tasks[number]
	t.state = placed
	t.agent = agent
	t.runs++
	p.placed++
	return t.runs
}

// Start notes that a start order of a task has gone out.
func (p *Progress) MarkStarted() { p.started = true }

// Return takes a placed task back of which no run is left.
func (p *Progress) Return(number int) {
	if t := &p.tasks[number]; t.state == placed {
		t.state = ready
		t.agent = ""
		p.placed--
	}
}

// Fail takes a placed task back that has run and failed.
func (p *Progress) Fail(number int) {
	t := &p.tasks[number]
	if t.state == placed {
		t.failedAt = append(t.failedAt, t.agent)
	}
	p.Return(number)
	t.failures++
	if t.failures >= p.attempts {
		p.failed = true
	}
}

// FailedAt returns the agents where a task has failed.
func (p *Progress) FailedAt(number int) []string { return p.tasks[number].failedAt }

// Done notes that a placed task has ended well.
func (p *Progress) MarkDone(number int) {
	t := &p.tasks[number]
	if t.state != placed {
		return
	}
	t.state = done
	p.placed--
	p.undone--
	step, _ := p.work.StepAndIndex(number)
	p.left[step]--
	if p.left[step] == 0 {
		p.unblock()
	}
}

// On returns how many placed or done tasks of a step an agent has.
func (p *Progress) TasksOnAgent(step int, agent string) int {
	count := 0
	first := p.work.FirstTask(step)
	for i := first; i < first+p.work.Steps()[step].Count; i++ {
		if t := p.tasks[i]; t.agent == agent && t.state >= placed {
			count++
		}
	}
	return count
}

// Started reports whether a start order of any task has gone out.
func (p *Progress) Started() bool { return p.started }

// Placed returns how many tasks agents have.
func (p *Progress) Placed() int { return p.placed }

// Undone returns how many tasks have not ended well.
func (p *Progress) Remaining() int { return p.undone }

// Complete reports whether all tasks have ended well.
func (p *Progress) Complete() bool { return p.undone == 0 }

// Failed reports whether a task has failed as often as it may.
func (p *Progress) Failed() bool { return p.failed }
