package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/wire"
)

type jobRecord struct {
	tasks   map[uint32]*wire.TaskRecord
	touched time.Time
}

type slotRecord struct {
	epoch   uint64
	owner   string
	keys    map[string]*wire.JobKey
	keyTime map[string]time.Time
	jobs    map[string]*jobRecord
}

func (e *Executor) record(slot uint32) *slotRecord {
	r, known := e.records[slot]
	if !known {
		r = &slotRecord{
			keys:    map[string]*wire.JobKey{},
			keyTime: map[string]time.Time{},
			jobs:    map[string]*jobRecord{},
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

// follow returns the record of the frame's slot, and takes the entry as its owner
// unless the frame is of an epoch that has passed.
func (e *Executor) follow(entry string, f *wire.EntryFrame) (r *slotRecord, current bool) {
	r = e.record(f.GetSlot())
	if f.GetEpoch() < r.epoch {
		return r, false
	}
	r.epoch = f.GetEpoch()
	r.owner = entry
	return r, true
}

// remember keeps job keys for an owner. An owner whose epoch has passed hears so.
func (e *Executor) remember(entry string, f *wire.EntryFrame, body *wire.Remember) {
	r, current := e.follow(entry, f)
	answer := &wire.Remembered{Sequence: body.GetSequence(), Deposed: !current}
	if current {
		for _, key := range body.GetKeys() {
			r.keep(key, e.host.Now())
		}
	}
	e.host.Send(entry, &wire.AgentFrame{
		Slot:  f.GetSlot(),
		Epoch: r.epoch,
		Load:  e.Load(),
		Body:  &wire.AgentFrame_Remembered{Remembered: answer},
	})
}

func (r *slotRecord) keep(key *wire.JobKey, now time.Time) {
	old, known := r.keys[key.GetJob()]
	if known && job.NewerKey(old, key) {
		return
	}
	r.keys[key.GetJob()] = key
	r.keyTime[key.GetJob()] = now
}

// fence raises the slot's epoch and tells the new owner all that is known here.
func (e *Executor) fence(entry string, f *wire.EntryFrame, body *wire.Fence) {
	r, current := e.follow(entry, f)
	answer := &wire.Fenced{Id: body.GetId(), Deposed: !current}
	if current {
		r.describe(answer)
	}
	e.host.Send(entry, &wire.AgentFrame{
		Slot:  f.GetSlot(),
		Epoch: r.epoch,
		Load:  e.Load(),
		Body:  &wire.AgentFrame_Fenced{Fenced: answer},
	})
}

func (r *slotRecord) describe(answer *wire.Fenced) {
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
		r.drop(name)
	}
}

// drop forgets a job, unless one of its tasks still runs.
func (r *slotRecord) drop(name string) {
	delete(r.keys, name)
	delete(r.keyTime, name)
	if j, known := r.jobs[name]; known && !j.runs() {
		delete(r.jobs, name)
	}
}

func (j *jobRecord) runs() bool {
	for _, t := range j.tasks {
		if t.GetState() == wire.TaskState_TASK_STATE_RUNNING {
			return true
		}
	}
	return false
}

// Expire forgets what has not been touched for twice the retention.
func (e *Executor) Expire(now time.Time) {
	horizon := now.Add(-2 * e.retention)
	for _, r := range e.records {
		for name, at := range r.keyTime {
			if at.Before(horizon) {
				r.drop(name)
			}
		}
		for name, j := range r.jobs {
			if j.touched.Before(horizon) {
				r.drop(name)
			}
		}
	}
}

// Keys returns the number of job keys and of job records kept.
func (e *Executor) RecordCounts() (keys, jobs int) {
	for _, r := range e.records {
		keys += len(r.keys)
		jobs += len(r.jobs)
	}
	return keys, jobs
}
