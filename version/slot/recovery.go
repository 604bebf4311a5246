package slot

import (
	"slices"
	"strings"
	"time"

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
		if s.witnesses.has(agent) && !s.witnesses.read[agent] {
			s.ask(agent)
		}
		s.Review()
		return
	}
	s.buryEarlier(agent)
	touched := false
	for _, j := range s.active {
		if j.Suspect(agent) {
			touched = true
		}
	}
	if touched {
		s.ask(agent)
	}
	s.repeat(agent)
}

// repeat sends a witness what it has not acknowledged. Frames of a lost session
// may never have arrived.
func (s *Slot) repeat(agent string) {
	inNext := s.next != nil && s.next.has(agent)
	if !s.witnesses.has(agent) && !inNext {
		return
	}
	acked := s.witnesses.acked[agent]
	if inNext && !s.witnesses.has(agent) {
		acked = s.next.acked[agent]
	}
	if acked >= s.sequence {
		return
	}
	body := &wire.Remember{Sequence: s.sequence}
	for _, j := range s.jobs {
		if j.Sequence() > acked || inNext || j.Ended() {
			body.Keys = append(body.Keys, s.key(j, max(j.Sequence(), 1)))
		}
	}
	s.send(agent, &wire.EntryFrame{Body: &wire.EntryFrame_Remember{Remember: body}})
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
	s.Review()
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
	if key.GetEpoch() > old.GetEpoch() || key.GetEpoch() == old.GetEpoch() && key.GetSequence() > old.GetSequence() {
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
func (s *Slot) Review() {
	if s.phase != Recovering {
		return
	}
	read, ended := 0, 0
	for _, w := range s.witnesses.members {
		if s.witnesses.read[w] {
			read++
		} else if s.host.Buried(w) {
			ended++
		}
	}
	if read >= s.witnesses.majority() {
		s.recover()
		return
	}
	if read+ended == len(s.witnesses.members) {
		s.doubtUntil = s.host.Now().Add(s.host.Retention())
		s.recover()
	}
}

func (s *Slot) recover() {
	for _, key := range s.found {
		s.adopt(key)
	}
	s.found = nil
	s.activate()
	records := s.records
	s.records = nil
	for agent, jobs := range records {
		s.resolve(agent, jobs)
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
	for _, j := range s.active {
		for _, a := range j.Unproved() {
			if _, ok := heard[a]; ok || asked[a] {
				continue
			}
			asked[a] = true
			s.ask(a)
		}
	}
	for _, j := range snapshot(s.active) {
		for _, a := range j.Unproved() {
			if s.host.Buried(a) {
				j.Bury(a)
			}
		}
		s.Settle(j)
	}
}

func (s *Slot) resolve(agent string, records map[string][]*wire.TaskRecord) {
	for _, j := range snapshot(s.active) {
		if !j.Knows(agent) {
			continue
		}
		j.Resolve(agent, records[j.Name()])
		s.Settle(j)
	}
}

// unsettled reports whether agents still have to say what they hold of a
// recovered job.
func (s *Slot) unsettled(j *job.Job) bool {
	return j.Recovered() && !j.Registered() && len(j.Unproved()) > 0
}

// settleRecovered decides what becomes of a recovered job once every agent has
// been heard. A job of which no task started is dropped as if it had never been
// accepted: perhaps only a minority of the witnesses knew it, and an owner in
// between, which did not, has refused its key. Attempts are decided anew.
func (s *Slot) settleRecovered(j *job.Job) bool {
	if !j.Recovered() || j.Registered() || len(j.Unproved()) > 0 {
		return false
	}
	attempts := s.doubtful[j.Name()]
	delete(s.doubtful, j.Name())
	if !j.Untouched() {
		for _, a := range attempts {
			j.Attach(a.Body)
		}
		return false
	}
	delete(s.jobs, j.Name())
	delete(s.active, j.Name())
	j.Waiters()
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

// buryEarlier takes it that the earlier runs of an agent have ended with all
// that they held.
func (s *Slot) buryEarlier(agent string) {
	for _, j := range snapshot(s.active) {
		earlier := j.EarlierRuns(agent)
		for _, a := range earlier {
			j.Bury(a)
		}
		if len(earlier) > 0 {
			s.Settle(j)
		}
	}
}

// Forsake answers those who wait for jobs with tasks at an agent that has been
// out of reach for too long. The jobs stay, in case the agent comes back.
func (s *Slot) Forsake(agent string) {
	for _, j := range s.active {
		if !j.HeldBy(agent) {
			continue
		}
		waiters := j.Waiters()
		for _, w := range waiters {
			w.Answer(answer.New(outcome.Unknown, "agent-lost",
				"an agent that may have run tasks is out of reach").
				WithTasks(j.Tasks(), j.Status().Records()).WithRetryAfter(freshRetry))
		}
	}
}

// Depose ends this entry's ownership. Those who wait are sent to the new owner.
func (s *Slot) Depose() {
	if s.phase == Deposed {
		return
	}
	s.phase = Deposed
	for _, j := range s.jobs {
		s.host.Withdraw(j)
		s.release(j.Waiters())
	}
	for _, a := range s.held {
		a.Waiter.NotOwner()
	}
	for _, r := range s.refusals {
		r.attempt.Waiter.NotOwner()
	}
	for _, p := range s.proofs {
		for _, r := range p.refused {
			r.attempt.Waiter.NotOwner()
		}
	}
	s.jobs, s.active, s.held, s.refusals, s.proofs, s.doubtful = nil, nil, nil, nil, nil, nil
}

func (s *Slot) release(waiters []job.Waiter) {
	for _, w := range waiters {
		if a, ok := w.(Waiter); ok {
			a.NotOwner()
		}
	}
}

// Leave stops deciding submissions and returns what the next owner needs to
// take attempts that are under way.
func (s *Slot) Leave() (refused map[string]uint64, floor, clock uint64) {
	s.phase = Leaving
	for _, r := range s.refusals {
		r.attempt.Waiter.NotOwner()
	}
	s.refusals = nil
	for i := range s.proofs {
		for _, r := range s.proofs[i].refused {
			r.attempt.Waiter.NotOwner()
		}
		s.proofs[i].refused = nil
	}
	return s.tombstones, s.floor, s.host.Clock()
}

// Stay takes a slot back that was not handed over after all.
func (s *Slot) Stay(epoch uint64) {
	if s.phase == Leaving {
		s.phase = Active
		s.floor = s.host.Clock()
	}
	s.epoch = epoch
}

// Bodies returns the submissions of running jobs, for the next owner.
func (s *Slot) Bodies() []*job.Job {
	return snapshot(s.active)
}

// Witnesses returns the agents that remember the keys of the slot.
func (s *Slot) Witnesses() []string { return s.witnesses.members }

// Propose starts to replace the witnesses: the new ones get every key, and
// until Replace both sets have to acknowledge. It reports false where an
// earlier proposal may still be on its way to the log: that one has to be made
// void first, by a claim of this entry without witnesses.
func (s *Slot) Propose(members []string) bool {
	if s.phase != Active || s.next != nil && slices.Equal(s.next.members, members) {
		return true
	}
	if s.offered {
		return false
	}
	next := newQuorum(members)
	for _, m := range members {
		if s.witnesses.has(m) {
			next.acked[m] = s.witnesses.acked[m]
		}
	}
	s.next = &next
	s.sequence++
	s.copied = s.sequence
	for _, m := range members {
		s.repeat(m)
	}
	return true
}

// Proposed returns the new witnesses once a majority of them has every key.
func (s *Slot) Proposed() ([]string, bool) {
	if s.next == nil {
		return nil, false
	}
	ready := s.next.acknowledged() >= s.copied
	s.offered = s.offered || ready
	return s.next.members, ready
}

// DoubtUntil returns until when keys that no witness knows may have run.
func (s *Slot) DoubtUntil() time.Time { return s.doubtUntil }

// Covers reports whether the keys of this slot are known to a majority of the
// given witnesses, because they are its own or have got a copy.
func (s *Slot) Covers(witnesses []string) bool {
	if slices.Equal(s.witnesses.members, witnesses) {
		return true
	}
	return s.next != nil && slices.Equal(s.next.members, witnesses) && s.next.acknowledged() >= s.copied
}

// Replace takes the new witnesses that the log has confirmed.
func (s *Slot) Replace(epoch uint64, witnesses []string) {
	s.epoch = epoch
	if s.next != nil && slices.Equal(s.next.members, witnesses) {
		s.witnesses = *s.next
	}
	s.next = nil
	s.offered = false
	s.pass()
}

// Tick gives up what is past its time and forgets what is past its retention.
func (s *Slot) Tick(now time.Time) {
	if s.phase != Active && s.phase != Leaving {
		return
	}
	for _, j := range snapshot(s.active) {
		s.giveUp(j, now)
	}
	s.expire(now)
}

func (s *Slot) giveUp(j *job.Job, now time.Time) {
	noBody := j.Body() == nil && len(j.Unproved()) == 0 && now.Sub(j.Created()) > bodyGrace
	switch {
	case noBody:
		s.giveUpNow(j, "body-lost", "the entry that held the tasks ended and no caller sent them again")
	case now.After(j.Deadline()):
		s.giveUpNow(j, "deadline", "the deadline passed")
	}
}

func (s *Slot) giveUpNow(j *job.Job, reason, detail string) {
	a := j.GiveUp(reason, detail)
	if a.Outcome() != outcome.Pending {
		s.end(j, a)
	}
}

// expire forgets ended jobs past the retention, oldest first, at the owner and
// at the agents.
func (s *Slot) expire(now time.Time) {
	var names []string
	agents := map[string]bool{}
	for len(s.ended) > 0 && now.Sub(s.ended[0].EndedAt()) > s.host.Retention() {
		j := s.ended[0]
		s.ended = s.ended[1:]
		if s.jobs[j.Name()] == j {
			delete(s.jobs, j.Name())
		}
		names = append(names, j.Name())
		for _, a := range j.Key().GetAgents() {
			agents[a] = true
		}
	}
	for _, w := range s.everyWitness() {
		agents[w] = true
	}
	if len(names) == 0 {
		s.expireTombstones()
		return
	}
	for a := range agents {
		s.send(a, &wire.EntryFrame{Body: &wire.EntryFrame_Forget{Forget: &wire.Forget{Jobs: names}}})
	}
}

// expireTombstones raises the floor instead of keeping refusals for ever.
func (s *Slot) expireTombstones() {
	clock := s.host.Clock()
	age := uint64(tombstoneAge.Nanoseconds())
	if clock < age || len(s.tombstones) == 0 {
		return
	}
	horizon := clock - age
	for name, at := range s.tombstones {
		if at < horizon {
			delete(s.tombstones, name)
			s.floor = max(s.floor, at)
		}
	}
}

func (s *Slot) everyWitness() []string {
	if s.next == nil {
		return s.witnesses.members
	}
	all := slices.Clone(s.witnesses.members)
	for _, m := range s.next.members {
		if !slices.Contains(all, m) {
			all = append(all, m)
		}
	}
	return all
}
