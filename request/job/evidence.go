package job

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

// Recover returns a job that a witness knows from a former owner. Its tasks
// are in doubt until each agent that may have started some has answered.
func Recover(key *wire.JobKey, team string, now time.Time, deadline time.Duration) *Job {
	j := &Job{
		name:      key.GetJob(),
		kind:      key.GetKind(),
		team:      team,
		digest:    key.GetDigest(),
		tasks:     make([]task, key.GetTasks()),
		unended:   int(key.GetTasks()),
		agents:    map[string]bool{},
		unproved:  map[string]bool{},
		recovered: true,
		created:   now,
		deadline:  now.Add(deadline),
	}
	for i := range j.tasks {
		j.tasks[i].state = doubt
	}
	j.AddAgents(key)
	return j
}

// Newer reports whether a form of a key was written after the other form of it.
func NewerKey(key, other *wire.JobKey) bool {
	return key.GetEpoch() > other.GetEpoch() || key.GetEpoch() == other.GetEpoch() && key.GetSequence() > other.GetSequence()
}

// Learn adds the agents that a further witness names for a recovered job.
func (j *Job) AddAgents(key *wire.JobKey) {
	for _, a := range key.GetAgents() {
		if j.agents[a] {
			continue
		}
		j.agents[a] = true
		j.unproved[a] = true
	}
}

// Record takes what the agent says of a task. A record for a task that this
// agent does not hold changes nothing. It reports whether the record is news.
func (j *Job) ApplyRecord(agent string, r *wire.TaskRecord) bool {
	if int(r.GetIndex()) >= len(j.tasks) {
		return false
	}
	t := &j.tasks[r.GetIndex()]
	switch t.state {
	case started, suspect:
		if t.agent != agent {
			return false
		}
	case doubt:
		t.agent = agent
	case unknown:
		if t.agent != agent || r.GetState() == wire.TaskState_TASK_STATE_RUNNING {
			return false
		}
		j.unended++
	default:
		return false
	}
	j.apply(t, r)
	return true
}

func (j *Job) apply(t *task, r *wire.TaskRecord) {
	t.record = r
	switch r.GetState() {
	case wire.TaskState_TASK_STATE_DONE:
		t.state = done
	case wire.TaskState_TASK_STATE_FAILED:
		t.state = failed
	case wire.TaskState_TASK_STATE_UNKNOWN:
		t.state = unknown
	case wire.TaskState_TASK_STATE_NOT_STARTED:
		t.record = nil
		j.release(r.GetIndex())
		return
	default:
		t.state = started
		return
	}
	j.unended--
}

// Suspect marks the tasks at an agent whose session was lost. Resolve settles
// them once the agent has said what it holds.
func (j *Job) MarkSuspect(agent string) bool {
	found := j.unproved[agent]
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.agent == agent && t.state == started {
			t.state = suspect
		}
		found = found || t.agent == agent && t.state == suspect
	}
	return found
}

// Resolve takes the whole of what an agent holds of this job. A suspect task
// that the agent does not hold did not start there and never will.
func (j *Job) ResolveAgent(agent string, records []*wire.TaskRecord) {
	for _, r := range records {
		j.ApplyRecord(agent, r)
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.agent == agent && t.state == suspect {
			j.release(uint32(i))
		}
	}
	delete(j.unproved, agent)
	j.settle()
}

// Bury takes it that an agent has ended with all that it held.
func (j *Job) MarkAgentEnded(agent string) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.agent == agent && (t.state == started || t.state == suspect) {
			j.markUnknown(uint32(i), "the agent that held the task has ended")
		}
	}
	if j.unproved[agent] {
		delete(j.unproved, agent)
		j.lost = true
	}
	j.settle()
}

// settle turns doubt into knowledge once every agent has been heard or buried.
func (j *Job) settle() {
	if len(j.unproved) > 0 {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].state != doubt {
			continue
		}
		if j.lost {
			j.markUnknown(uint32(i), "an agent that may have held the task has ended")
			continue
		}
		j.release(uint32(i))
	}
}

func (j *Job) markUnknown(index uint32, detail string) {
	t := &j.tasks[index]
	t.state = unknown
	t.record = &wire.TaskRecord{Index: index, State: wire.TaskState_TASK_STATE_UNKNOWN, Detail: detail}
	j.unended--
}

// Unproved returns the agents that still have to say what they hold of a
// recovered job.
func (j *Job) UnresolvedAgents() []string {
	list := make([]string, 0, len(j.unproved))
	for a := range j.unproved {
		list = append(list, a)
	}
	slices.Sort(list)
	return list
}

// HeldBy reports whether a task may be running, or may have run, at the agent
// without the owner knowing the end of it.
func (j *Job) MayHaveRunAt(agent string) bool {
	if j.unproved[agent] {
		return true
	}
	return slices.ContainsFunc(j.tasks, func(t task) bool {
		return t.agent == agent && (t.state == started || t.state == suspect)
	})
}

// Untouched reports whether no task started, and none is in doubt.
func (j *Job) NoneStarted() bool {
	return !slices.ContainsFunc(j.tasks, func(t task) bool {
		return t.state != waiting && t.state != dropped
	})
}
