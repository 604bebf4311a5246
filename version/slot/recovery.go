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

// fence asks every witness to refuse older epochs and to say what it knows.
func (s *Slot) fence() {
	for _, w := range s.witnesses.members {
		s.ask(w)
	}
}

// ask sends one agent a fence. Only the answer to the latest one counts.
func (s *Slot) ask(agent string) {
	s.fenceID++
	s.fences[agent] = s.fenceID
	s.send(agent, &wire.EntryFrame{Body: &wire.EntryFrame_Fence{Fence: &wire.Fence{Id: s.fenceID}}})
}

// Attached takes note that an agent has opened a session. What earlier sessions
// left open with it is asked for again.
func (s *Slot) Attached(agent string) {
	switch s.phase {
	case Deposed:
		return
	case Recovering:
		// What an agent says again may differ from what it said before its former
		// session was lost, together with the end of a task.
		if _, heard := s.records[agent]; heard || s.witnesses.has(agent) && !s.witnesses.read[agent] {
			s.ask(agent)
		}
		s.TryFinishRecovery()
		return
	}
	for _, j := range snapshot(s.active) {
		if s.buryEnded(j) {
			s.UpdateJob(j)
		}
	}
	touched := false
	for _, j := range s.active {
		if j.MarkSuspect(agent) {
			touched = true
		}
	}
	if touched {
		s.ask(agent)
	}
	s.repeat(agent)
}

// Fenced takes what an agent knows of the slot. The epoch is the one that the
// agent had then.
func (s *Slot) Fenced(agent string, epoch uint64, f *wire.Fenced) {
	if s.overtaken(epoch, f.GetDeposed()) || s.fences[agent] != f.GetId() {
		return
	}
	if s.phase == Recovering {
		s.read(agent, f)
		return
	}
	s.resolve(agent, byJob(f.GetJobs()))
}

func byJob(jobs []*wire.JobRecord) map[string][]*wire.TaskRecord {
	m := make(map[string][]*wire.TaskRecord, len(jobs))
	for _, j := range jobs {
		m[j.GetJob()] = j.GetTasks()
	}
	return m
}

// read merges the keys of one witness during recovery.
func (s *Slot) read(agent string, f *wire.Fenced) {
	s.records[agent] = byJob(f.GetJobs())
	if !s.witnesses.has(agent) {
		return
	}
	s.witnesses.read[agent] = true
	for _, key := range f.GetKeys() {
		s.find(key)
	}
	s.TryFinishRecovery()
}

// doneEarly keeps the end of a task that comes after the agent's answer to the
// fence and before the slot is recovered.
func (s *Slot) doneEarly(agent string, d *wire.Done) {
	if jobs, heard := s.records[agent]; heard {
		jobs[d.GetJob()] = append(jobs[d.GetJob()], d.GetTask())
	}
}

// find keeps the latest form of a key with every agent that any form names.
func (s *Slot) find(key *wire.JobKey) {
	old, known := s.found[key.GetJob()]
	if !known {
		s.found[key.GetJob()] = key
		return
	}
	if job.NewerKey(key, old) {
		old, key = key, old
		s.found[old.GetJob()] = old
	}
	for _, a := range key.GetAgents() {
		if !slices.Contains(old.GetAgents(), a) {
			old.Agents = append(old.Agents, a)
		}
	}
}

// Review activates a recovering slot once a majority of the witnesses has been
// read. Where a majority can no longer answer because its members have ended,
// the slot goes on, and keys that nobody knows stay in doubt for the retention.
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
		s.recover()
		return
	}
	if read+ended == len(s.witnesses.members) {
		s.doubtUntil = s.host.Now().Add(s.host.Retention() + clockAllowance)
		s.recover()
	}
}

func (s *Slot) recover() {
	for _, name := range slices.Sorted(maps.Keys(s.found)) {
		s.adopt(s.found[name])
	}
	s.found = nil
	s.activate()
	records := s.records
	s.records = nil
	for _, agent := range slices.Sorted(maps.Keys(records)) {
		s.resolve(agent, records[agent])
	}
	s.chase(records)
}

// adopt makes a job of a key that a former owner registered.
func (s *Slot) adopt(key *wire.JobKey) {
	final, err := outcome.Parse(key.GetOutcome())
	if err == nil && final == outcome.NotRun {
		return
	}
	team, _, _ := strings.Cut(key.GetJob(), "/")
	j := job.Recover(key, team, s.host.Now(), s.host.JobDeadline(key.GetKind()))
	s.jobs[j.Name()] = j
	s.active[j.Name()] = j
	if err == nil && final != outcome.Pending {
		j.End(answer.New(final, key.GetReason(), "decided by a former owner").WithTasks(j.Tasks(), nil), s.host.Now())
		delete(s.active, j.Name())
		s.ended = append(s.ended, j)
	}
}

// chase fences the agents beside the witnesses that may hold recovered tasks.
func (s *Slot) chase(heard map[string]map[string][]*wire.TaskRecord) {
	asked := map[string]bool{}
	for _, j := range snapshot(s.active) {
		for _, a := range j.UnresolvedAgents() {
			if _, ok := heard[a]; ok || asked[a] {
				continue
			}
			asked[a] = true
			s.ask(a)
		}
	}
	for _, j := range snapshot(s.active) {
		s.buryEnded(j)
		s.UpdateJob(j)
	}
}

// buryEnded takes it that agents which have ended have ended with all that they
// held of a job, whatever they said before. It reports whether they held anything.
func (s *Slot) buryEnded(j *job.Job) bool {
	found := false
	for _, a := range j.Agents() {
		if j.MayHaveRunAt(a) && s.host.HasEnded(a) {
			j.MarkAgentEnded(a)
			found = true
		}
	}
	return found
}

func (s *Slot) resolve(agent string, records map[string][]*wire.TaskRecord) {
	for _, j := range snapshot(s.active) {
		if !j.HasAgent(agent) {
			continue
		}
		j.ResolveAgent(agent, records[j.Name()])
		s.UpdateJob(j)
	}
}

// unsettled reports whether agents still have to say what they hold of a
// recovered job.
func (s *Slot) unsettled(j *job.Job) bool {
	return j.Recovered() && !j.Registered() && len(j.UnresolvedAgents()) > 0
}

// settleRecovered decides what becomes of a recovered job once every agent has
// been heard. A job of which no task started is dropped as if it had never been
// accepted: perhaps only a minority of the witnesses knew it, and an owner in
// between, which did not, has refused its key. Attempts are decided anew.
func (s *Slot) settleRecovered(j *job.Job) bool {
	if !j.Recovered() || j.Registered() || len(j.UnresolvedAgents()) > 0 {
		return false
	}
	attempts := s.doubtful[j.Name()]
	delete(s.doubtful, j.Name())
	if !j.NoneStarted() {
		for _, a := range attempts {
			j.AttachBody(a.Body)
		}
		return false
	}
	delete(s.jobs, j.Name())
	delete(s.active, j.Name())
	j.TakeWaiters()
	for _, a := range attempts {
		s.Submit(a)
	}
	return true
}

// snapshot lists jobs so that the map may change while they are looked at.
func snapshot(jobs map[string]*job.Job) []*job.Job {
	list := make([]*job.Job, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job.Job) int { return strings.Compare(a.Name(), b.Name()) })
	return list
}

// activate starts to decide submissions. Attempts that came in at other
// entries before now may have been refused by the former owner.
func (s *Slot) activate() {
	s.phase = Active
	switch {
	case s.inherited != nil:
		s.floor = s.inherited.at
	case s.epoch > 1:
		s.floor = s.host.Clock()
	}
	held := s.held
	s.held = nil
	for _, a := range held {
		s.Submit(a)
	}
}

// Forsake answers those who wait for jobs with tasks at an agent that has been
// out of reach for too long. The jobs stay, in case the agent comes back.
func (s *Slot) ReportAgentLost(agent string) {
	for _, j := range snapshot(s.active) {
		if !j.MayHaveRunAt(agent) {
			continue
		}
		waiters := j.TakeWaiters()
		for _, w := range waiters {
			w.Answer(answer.New(outcome.Unknown, "agent-lost",
				"an agent that may have run tasks is out of reach").
				WithTasks(j.Tasks(), j.Status().Records()).WithRetryAfter(freshRetry))
		}
	}
}
