package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// spread has an executor crash under a job of two steps, the first of which may have one task on an
// executor.
func spread(r *rig, trouble bool) (broken bool, err error) {
	const work, budget, downTime = 1500, 10 * time.Second, 2 * time.Second
	// The fronts learn how long such tasks take.
	for _, m := range r.fronts {
		for range 3 {
			r.log.add("job: %v", r.call(m, http.MethodPost, newID(), job(work, 4), budget))
		}
	}
	count, limited := len(r.executors), map[string]bool{}
	for n, m := range r.fronts {
		id := newID()
		limited[id+".0.0"] = true
		body := fmt.Sprintf(wire(`{"spec":"%[1]d","$unkept":true,"steps":[{"count":%[2]d,"cpu":1000,"$mem":64,"$guess":%[1]d,"antiAffinity":1},`+
			`{"count":%[3]d,"cpu":1000,"$mem":64,"$guess":%[1]d}]}`), work, count, 2*count)
		done := make(chan answer, 1)
		r.log.add("job %s is sent to %s: step 0 of %d tasks, one on an executor; step 1 of %d tasks", id, m.name, count, 2*count)
		go func() { done <- r.call(m, http.MethodPost, id, body, budget) }()
		time.Sleep(300 * time.Millisecond)
		if trouble {
			r.executors[n].crash(downTime)
		}
		r.log.add("job %s: %v", id, <-done)
		time.Sleep(2 * downTime)
	}
	return r.beyondLimit(limited), nil
}

// beyondLimit reports whether two tasks of a step with a limit of one have run on one executor at the same time.
func (r *rig) beyondLimit(limited map[string]bool) bool {
	broken := false
	list := r.log.entries()
	for _, a := range list {
		for _, b := range list {
			if a.executor != b.executor || a.task >= b.task || step(a.task) != step(b.task) || !limited[step(a.task)] {
				continue
			}
			if a.from.Before(b.to) && b.from.Before(a.to) {
				broken = true
				r.log.add("BROKEN: %s runs %s (%.3f to %.3f) and %s (%.3f to %.3f)", a.executor, a.task, r.log.offset(a.from), r.log.offset(a.to),
					b.task, r.log.offset(b.from), r.log.offset(b.to))
			}
		}
	}
	return broken
}

// step returns the part ID.K.STEP of the name of a task.
func step(task string) string { return task[:strings.LastIndex(task, ".")] }
