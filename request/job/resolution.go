package job

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

// Recover recreates a job from a key that a witness stored for a former owner. Its
// tasks are in doubt until each agent that may have started some has reported.
func Recover(key *wire.JobKey, team string, now time.Time, deadline time.Duration) *Job {
	j := &Job{
		name:       key.GetJob(),
		kind:       key.GetKind(),
		team:       team,
		digest:     key.GetDigest(),
		tasks:      make([]task, key.GetTasks()),
		unfinished: int(key.GetTasks()),
		agents:     map[string]bool{},
		unresolved: map[string]bool{},
		recovered:  true,
		created:    now,
		deadline:   now.Add(deadline),
	}
	for i := range j.tasks {
		j.tasks[i].state = inDoubt
	}
	j.AddAgents(key)
	return j
}

// NewerKey reports whether key is a later version than other, which belongs to the
// same job.
func NewerKey(key, other *wire.JobKey) bool {
	return key.GetEpoch() > other.GetEpoch() || key.GetEpoch() == other.GetEpoch() && key.GetSequence() > other.GetSequence()
}

// AddAgents adds the agents that a key of a recovered job names, as unresolved.
func (j *Job) AddAgents(key *wire.JobKey) {
	for _, a := range key.GetAgents() {
		if j.agents[a] {
			continue
		}
		j.agents[a] = true
		j.unresolved[a] = true
	}
}

// ApplyRecord applies an agent's record of a task and reports whether it was
// accepted. Records of tasks that have ended or are assigned to another agent are
// ignored. A task in doubt becomes assigned to the agent, and an unknown task accepts
// a later final state from its agent.
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
	case inDoubt:
		t.agent = agent
	case unknown:
		if t.agent != agent || r.GetState() == wire.TaskState_TASK_STATE_RUNNING {
			return false
		}
		j.unfinished++
	default:
		return false
	}
	j.setRecord(t, r)
	return true
}

func (j *Job) setRecord(t *task, r *wire.TaskRecord) {
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
		j.requeue(r.GetIndex())
		return
	default:
		t.state = started
		return
	}
	j.unfinished--
}

// MarkSuspect marks the tasks of an agent whose session was lost and reports whether
// the agent has tasks to resolve. ResolveAgent resolves them once the agent has
// reported what it holds.
func (j *Job) MarkSuspect(agent string) bool {
	found := j.unresolved[agent]
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.agent == agent && t.state == started {
			t.state = suspect
		}
		found = found || t.agent == agent && t.state == suspect
	}
	return found
}

// ResolveAgent applies an agent's complete report on this job. A suspect task that
// is missing from the report did not start there and never will.
func (j *Job) ResolveAgent(agent string, records []*wire.TaskRecord) {
	for _, r := range records {
		j.ApplyRecord(agent, r)
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.agent == agent && t.state == suspect {
			j.requeue(uint32(i))
		}
	}
	delete(j.unresolved, agent)
	j.resolveDoubt()
}

// MarkAgentEnded marks the tasks of an agent that has ended as unknown. A recovered job
// no longer waits for the agent's report.
func (j *Job) MarkAgentEnded(agent string) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.agent == agent && (t.state == started || t.state == suspect) {
			j.markUnknown(uint32(i), "the agent that held the task has ended")
		}
	}
	if j.unresolved[agent] {
		delete(j.unresolved, agent)
		j.agentLost = true
	}
	j.resolveDoubt()
}

// resolveDoubt resolves the tasks in doubt once every agent has reported or ended:
// they become unknown if an unresolved agent has ended, and waiting otherwise.
func (j *Job) resolveDoubt() {
	if len(j.unresolved) > 0 {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].state != inDoubt {
			continue
		}
		if j.agentLost {
			j.markUnknown(uint32(i), "an agent that may have held the task has ended")
			continue
		}
		j.requeue(uint32(i))
	}
}

func (j *Job) markUnknown(index uint32, detail string) {
	t := &j.tasks[index]
	t.state = unknown
	t.record = &wire.TaskRecord{Index: index, State: wire.TaskState_TASK_STATE_UNKNOWN, Detail: detail}
	j.unfinished--
}

// UnresolvedAgents returns the agents that still have to report what they hold of a
// recovered job, sorted.
func (j *Job) UnresolvedAgents() []string {
	list := make([]string, 0, len(j.unresolved))
	for a := range j.unresolved {
		list = append(list, a)
	}
	slices.Sort(list)
	return list
}

// MayHaveRunAt reports whether a task may be running or may have run at the agent
// without this owner knowing its end.
func (j *Job) MayHaveRunAt(agent string) bool {
	if j.unresolved[agent] {
		return true
	}
	return slices.ContainsFunc(j.tasks, func(t task) bool {
		return t.agent == agent && (t.state == started || t.state == suspect)
	})
}

// NoneStarted reports whether no task started and none is in doubt.
func (j *Job) NoneStarted() bool {
	return !slices.ContainsFunc(j.tasks, func(t task) bool {
		return t.state != waiting && t.state != dropped
	})
}
