package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/wire"
)

// jobRecord holds the tasks of a job that were started here.
type jobRecord struct {
	tasks     map[uint32]*wire.TaskRecord
	updatedAt time.Time
}

// slotRecord is an ownership slot as known to this agent: its newest epoch and owner, the
// job keys stored for it as a witness, and the jobs whose tasks were started here.
type slotRecord struct {
	epoch       uint64
	owner       string
	keys        map[string]*wire.JobKey
	keyStoredAt map[string]time.Time
	jobs        map[string]*jobRecord
}

// record returns the record of an ownership slot, creating it if needed.
func (e *Executor) record(slot uint32) *slotRecord {
	r, known := e.records[slot]
	if !known {
		r = &slotRecord{
			keys:        map[string]*wire.JobKey{},
			keyStoredAt: map[string]time.Time{},
			jobs:        map[string]*jobRecord{},
		}
		e.records[slot] = r
	}
	return r
}

func (r *slotRecord) job(name string) *jobRecord {
	j, known := r.jobs[name]
	if !known {
		j = &jobRecord{tasks: map[uint32]*wire.TaskRecord{}}
		r.jobs[name] = j
	}
	return j
}

// acceptOwner returns the record of the frame's slot. It registers the entry as the
// slot's owner unless the frame's epoch is stale.
func (e *Executor) acceptOwner(entry string, f *wire.EntryFrame) (r *slotRecord, current bool) {
	r = e.record(f.GetSlot())
	if f.GetEpoch() < r.epoch {
		return r, false
	}
	r.epoch = f.GetEpoch()
	r.owner = entry
	return r, true
}

// remember stores job keys for the slot's owner. An owner with a stale epoch is answered
// that it is deposed.
func (e *Executor) remember(entry string, f *wire.EntryFrame, body *wire.Remember) {
	r, current := e.acceptOwner(entry, f)
	answer := &wire.Remembered{Sequence: body.GetSequence(), Deposed: !current}
	if current {
		for _, key := range body.GetKeys() {
			r.storeKey(key, e.host.Now())
		}
	}
	e.host.Send(entry, &wire.AgentFrame{
		Slot:  f.GetSlot(),
		Epoch: r.epoch,
		Load:  e.Load(),
		Body:  &wire.AgentFrame_Remembered{Remembered: answer},
	})
}

// storeKey keeps a job key unless the stored one is newer.
func (r *slotRecord) storeKey(key *wire.JobKey, now time.Time) {
	old, known := r.keys[key.GetJob()]
	if known && job.NewerKey(old, key) {
		return
	}
	r.keys[key.GetJob()] = key
	r.keyStoredAt[key.GetJob()] = now
}

// fence raises the slot's epoch and sends the new owner all keys and job records of the
// slot.
func (e *Executor) fence(entry string, f *wire.EntryFrame, body *wire.Fence) {
	r, current := e.acceptOwner(entry, f)
	answer := &wire.Fenced{Id: body.GetId(), Deposed: !current}
	if current {
		r.addRecords(answer)
	}
	e.host.Send(entry, &wire.AgentFrame{
		Slot:  f.GetSlot(),
		Epoch: r.epoch,
		Load:  e.Load(),
		Body:  &wire.AgentFrame_Fenced{Fenced: answer},
	})
}

// addRecords adds all keys and job records of the slot to an answer.
func (r *slotRecord) addRecords(answer *wire.Fenced) {
	for _, name := range slices.Sorted(maps.Keys(r.keys)) {
		answer.Keys = append(answer.Keys, r.keys[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.jobs)) {
		j := r.jobs[name]
		record := &wire.JobRecord{Job: name}
		for _, i := range slices.Sorted(maps.Keys(j.tasks)) {
			record.Tasks = append(record.Tasks, j.tasks[i])
		}
		answer.Jobs = append(answer.Jobs, record)
	}
}

func (e *Executor) forget(f *wire.EntryFrame, body *wire.Forget) {
	r := e.record(f.GetSlot())
	if f.GetEpoch() < r.epoch {
		return
	}
	for _, name := range body.GetJobs() {
		r.dropJob(name)
	}
}

// dropJob deletes a job's key, and its record unless one of its tasks still runs.
func (r *slotRecord) dropJob(name string) {
	delete(r.keys, name)
	delete(r.keyStoredAt, name)
	if j, known := r.jobs[name]; known && !j.hasRunningTask() {
		delete(r.jobs, name)
	}
}

func (j *jobRecord) hasRunningTask() bool {
	for _, t := range j.tasks {
		if t.GetState() == wire.TaskState_TASK_STATE_RUNNING {
			return true
		}
	}
	return false
}

// Expire deletes keys and jobs that were not updated for twice the retention time.
func (e *Executor) Expire(now time.Time) {
	cutoff := now.Add(-2 * e.retention)
	for _, r := range e.records {
		for name, at := range r.keyStoredAt {
			if at.Before(cutoff) {
				r.dropJob(name)
			}
		}
		for name, j := range r.jobs {
			if j.updatedAt.Before(cutoff) {
				r.dropJob(name)
			}
		}
	}
}

// RecordCounts returns the number of stored job keys and job records.
func (e *Executor) RecordCounts() (keys, jobs int) {
	for _, r := range e.records {
		keys += len(r.keys)
		jobs += len(r.jobs)
	}
	return keys, jobs
}
