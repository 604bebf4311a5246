package main

import (
	"net/http"
	"strings"
	"time"
)

// Bounds of the small sites.
const (
	retransmit = 1300 * time.Millisecond
	cancelTime = 3 * time.Second
	stopSlack  = 50 * time.Millisecond
)

// cancel has a client cancel a job at the front that has it. The answer to the job is then 504, after
// which the job is sent again.
func cancel(r *rig, trouble bool) (broken bool, err error) {
	const work, budget = 6000, 20 * time.Second
	for n := range r.fronts {
		id := newID()
		first := make(chan answer, 1)
		r.log.add("job %s is sent to %s", id, r.fronts[n].name)
		go func() { first <- r.call(r.fronts[n], http.MethodPost, id, job(work, 4), budget) }()
		time.Sleep(time.Second)
		var acked time.Time
		if trouble {
			d := r.call(r.fronts[n], http.MethodDelete, id, "", 1500*time.Millisecond)
			r.log.add("DELETE of job %s at %s: %v", id, r.fronts[n].name, d)
			if d.status != http.StatusOK && d.status != http.StatusGone {
				continue
			}
			acked = d.to
		}
		a := <-first
		r.log.add("job %s: %v", id, a)
		if a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
			time.Sleep(retransmit)
			m := r.fronts[(n+1)%len(r.fronts)]
			r.log.add("job %s is sent again to %s", id, m.name)
			r.log.add("job %s: %v", id, r.call(m, http.MethodPost, id, job(work, 4), budget))
		}
		if trouble && r.ranAfterCancel(id, acked) {
			broken = true
		}
	}
	return broken, nil
}

// ranAfterCancel reports whether a task of a job has started, or run on, too long after the cancelling
// of the job was acknowledged.
func (r *rig) ranAfterCancel(id string, acked time.Time) bool {
	broken := false
	for _, e := range r.log.entries() {
		if strings.HasPrefix(e.task, id) && e.to.After(acked.Add(cancelTime+stopSlack)) {
			broken = true
			r.log.add("BROKEN: %s runs %s from %.3f to %.3f; the cancelling was acknowledged at %.3f", e.executor, e.task,
				r.log.offset(e.from), r.log.offset(e.to), r.log.offset(acked))
		}
	}
	return broken
}
