package slot

import (
	"maps"
	"slices"
	"strings"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/wire"
)

// fenceWitnesses asks every witness to reject older epochs and to report the keys
// and task records it stores.
func (s *Slot) fenceWitnesses() {
	for _, w := range s.witnesses.members {
		s.sendFence(w)
	}
}

// sendFence sends a fence to an agent. Only the reply to the latest fence is used.
func (s *Slot) sendFence(agent string) {
	s.lastFenceID++
	s.fenceIDs[agent] = s.lastFenceID
	s.send(agent, &wire.EntryFrame{Body: &wire.EntryFrame_Fence{Fence: &wire.Fence{Id: s.lastFenceID}}})
}

// AttachAgent handles a new session of an agent. It fences the agent again if an
// earlier session left fence replies or tasks unresolved, and resends writes that
// the agent has not acknowledged. Since the session may show that an earlier instance
// of the agent has ended, it also marks the tasks of ended agents.
func (s *Slot) AttachAgent(agent string) {
	switch s.phase {
	case Deposed:
		return
	case Recovering:
		// Ask again even if the agent has replied: a task may have ended since, and
		// the report of its end may have been lost with the former session.
		if _, replied := s.recoveredRecords[agent]; replied || s.witnesses.has(agent) && !s.witnesses.read[agent] {
			s.sendFence(agent)
		}
		s.TryFinishRecovery()
		return
	}
	for _, j := range sortedJobs(s.activeJobs) {
		if s.markEndedAgents(j) {
			s.UpdateJob(j)
		}
	}
	unresolved := false
	for _, j := range s.activeJobs {
		if j.MarkSuspect(agent) {
			unresolved = true
		}
	}
	if unresolved {
		s.sendFence(agent)
	}
	s.resendUnacknowledged(agent)
}

// Fenced handles an agent's reply to a fence. The epoch is the agent's epoch for
// the slot when it replied.
func (s *Slot) Fenced(agent string, epoch uint64, f *wire.Fenced) {
	if s.staleReply(epoch, f.GetDeposed()) || s.fenceIDs[agent] != f.GetId() {
		return
	}
	if s.phase == Recovering {
		s.applyRecoveryReply(agent, f)
		return
	}
	s.resolveAgent(agent, byJob(f.GetJobs()))
}

func byJob(jobs []*wire.JobRecord) map[string][]*wire.TaskRecord {
	m := make(map[string][]*wire.TaskRecord, len(jobs))
	for _, j := range jobs {
		m[j.GetJob()] = j.GetTasks()
	}
	return m
}

// applyRecoveryReply stores an agent's task records during recovery and, if the agent
// is a witness, merges its keys.
func (s *Slot) applyRecoveryReply(agent string, f *wire.Fenced) {
	s.recoveredRecords[agent] = byJob(f.GetJobs())
	if !s.witnesses.has(agent) {
		return
	}
	s.witnesses.read[agent] = true
	for _, key := range f.GetKeys() {
		s.mergeKey(key)
	}
	s.TryFinishRecovery()
}

// bufferDone stores the end of a task that arrives after the agent's reply to the
// fence and before the recovery has finished.
func (s *Slot) bufferDone(agent string, d *wire.Done) {
	if jobs, replied := s.recoveredRecords[agent]; replied {
		jobs[d.GetJob()] = append(jobs[d.GetJob()], d.GetTask())
	}
}

// mergeKey keeps the latest version of a key, with the agents of all versions.
func (s *Slot) mergeKey(key *wire.JobKey) {
	old, known := s.recoveredKeys[key.GetJob()]
	if !known {
		s.recoveredKeys[key.GetJob()] = key
		return
	}
	if job.NewerKey(key, old) {
		old, key = key, old
		s.recoveredKeys[old.GetJob()] = old
	}
	for _, a := range key.GetAgents() {
		if !slices.Contains(old.GetAgents(), a) {
			old.Agents = append(old.Agents, a)
		}
	}
}

// TryFinishRecovery activates a recovering slot once a majority of the witnesses
// has been read. If every other witness has ended, so that no majority can reply,
// the slot becomes active as well, and unknown keys stay in doubt for the retention.
func (s *Slot) TryFinishRecovery() {
	if s.phase != Recovering {
		return
	}
	read, ended := 0, 0
	for _, w := range s.witnesses.members {
		if s.witnesses.read[w] {
			read++
		} else if s.host.HasEnded(w) {
			ended++
		}
	}
	if read >= s.witnesses.majority() {
		s.finishRecovery()
		return
	}
	if read+ended == len(s.witnesses.members) {
		s.doubtUntil = s.host.Now().Add(s.host.Retention() + maxClockSkew)
		s.finishRecovery()
	}
}

func (s *Slot) finishRecovery() {
	for _, name := range slices.Sorted(maps.Keys(s.recoveredKeys)) {
		s.recoverJob(s.recoveredKeys[name])
	}
	s.recoveredKeys = nil
	s.activate()
	records := s.recoveredRecords
	s.recoveredRecords = nil
	for _, agent := range slices.Sorted(maps.Keys(records)) {
		s.resolveAgent(agent, records[agent])
	}
	s.fenceUnresolvedAgents(records)
}

// recoverJob recreates the job of a key that a former owner registered. A job with
// the outcome not_run is not recreated, so that a new attempt may run.
func (s *Slot) recoverJob(key *wire.JobKey) {
	final, err := outcome.Parse(key.GetOutcome())
	if err == nil && final == outcome.NotRun {
		return
	}
	team, _, _ := strings.Cut(key.GetJob(), "/")
	j := job.Recover(key, team, s.host.Now(), s.host.JobDeadline(key.GetKind()))
	s.jobs[j.Name()] = j
	s.activeJobs[j.Name()] = j
	if err == nil && final != outcome.Pending {
		j.End(answer.New(final, key.GetReason(), "decided by a former owner").WithTasks(j.TaskCount(), nil), s.host.Now())
		delete(s.activeJobs, j.Name())
		s.endedJobs = append(s.endedJobs, j)
	}
}

// fenceUnresolvedAgents fences the agents that may hold tasks of recovered jobs and
// have not reported yet.
func (s *Slot) fenceUnresolvedAgents(replied map[string]map[string][]*wire.TaskRecord) {
	fenced := map[string]bool{}
	for _, j := range sortedJobs(s.activeJobs) {
		for _, a := range j.UnresolvedAgents() {
			if _, ok := replied[a]; ok || fenced[a] {
				continue
			}
			fenced[a] = true
			s.sendFence(a)
		}
	}
	for _, j := range sortedJobs(s.activeJobs) {
		s.markEndedAgents(j)
		s.UpdateJob(j)
	}
}

// markEndedAgents marks the tasks of ended agents as unknown, whatever these agents
// reported before. It reports whether any of them may have held tasks of the job.
func (s *Slot) markEndedAgents(j *job.Job) bool {
	found := false
	for _, a := range j.Agents() {
		if j.MayHaveRunAt(a) && s.host.HasEnded(a) {
			j.MarkAgentEnded(a)
			found = true
		}
	}
	return found
}

func (s *Slot) resolveAgent(agent string, records map[string][]*wire.TaskRecord) {
	for _, j := range sortedJobs(s.activeJobs) {
		if !j.HasAgent(agent) {
			continue
		}
		j.ResolveAgent(agent, records[j.Name()])
		s.UpdateJob(j)
	}
}

// awaitsAgents reports whether agents still have to report what they hold of a
// recovered job.
func (s *Slot) awaitsAgents(j *job.Job) bool {
	return j.Recovered() && !j.Registered() && len(j.UnresolvedAgents()) > 0
}

// decideRecovered decides a recovered job once every agent has reported or ended,
// and reports whether it dropped the job. A job without started tasks is dropped as
// if it had never been accepted, and its attempts are submitted again: possibly only
// a minority of the witnesses stored it, and an intermediate owner that read the
// others has refused its key.
func (s *Slot) decideRecovered(j *job.Job) bool {
	if !j.Recovered() || j.Registered() || len(j.UnresolvedAgents()) > 0 {
		return false
	}
	attempts := s.undecidedAttempts[j.Name()]
	delete(s.undecidedAttempts, j.Name())
	if !j.NoneStarted() {
		for _, a := range attempts {
			j.AttachBody(a.Body)
		}
		return false
	}
	delete(s.jobs, j.Name())
	delete(s.activeJobs, j.Name())
	j.TakeWaiters()
	for _, a := range attempts {
		s.Submit(a)
	}
	return true
}

// sortedJobs returns the jobs by name, so that the map may change while the caller
// iterates and the order of messages is deterministic.
func sortedJobs(jobs map[string]*job.Job) []*job.Job {
	list := make([]*job.Job, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job.Job) int { return strings.Compare(a.Name(), b.Name()) })
	return list
}

// activate starts to decide submissions, the held ones first. It raises the floor,
// since the former owner may have refused attempts that entries received before now.
func (s *Slot) activate() {
	s.phase = Active
	switch {
	case s.handOver != nil:
		s.floor = s.handOver.receivedAt
	case s.epoch > 1:
		s.floor = s.host.Clock()
	}
	heldAttempts := s.heldAttempts
	s.heldAttempts = nil
	for _, a := range heldAttempts {
		s.Submit(a)
	}
}

// ReportAgentLost answers unknown to the waiters of jobs that may have tasks at an
// agent that has been unreachable for too long. The jobs stay, in case the agent
// returns.
func (s *Slot) ReportAgentLost(agent string) {
	for _, j := range sortedJobs(s.activeJobs) {
		if !j.MayHaveRunAt(agent) {
			continue
		}
		waiters := j.TakeWaiters()
		for _, w := range waiters {
			w.Answer(answer.New(outcome.Unknown, "agent-lost",
				"an agent that may have run tasks is out of reach").
				WithTasks(j.TaskCount(), j.Status().Records()).WithRetryAfter(minRetryAfter))
		}
	}
}
