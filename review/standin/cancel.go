package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the dispatcher stands still.
	freezeTime = 4 * time.Second
	// cancelBound is the time after the acknowledgement of a cancel from which on no task of
	// the job may start, contactTime the time after a disruption from which on a machine is in
	// touch again.
	cancelBound = 3 * time.Second
	contactTime = 3 * time.Second
	// observation is how long the case watches for starts after the cancel.
	observation = 16 * time.Second
)

// withSecondStep returns the body of a job with a second step, equal to the first, that waits
// for it.
func withSecondStep(body string) string {
	from, to := strings.Index(body, "[")+1, strings.LastIndex(body, "]")
	step := body[from:to]
	return body[:to] + "," + strings.TrimSuffix(step, "}") + `,"after":[0]}` + body[to:]
}

// cancelDuringFreeze cancels a job while its dispatcher stands still. The balancer sends the
// cancel to another dispatcher.
func cancelDuringFreeze(s *site, trouble bool) (broken []string, err error) {
	const workers, tasks = 11, 8
	if err := s.start(3, workers); err != nil {
		return nil, err
	}
	// Jobs of this kind come all the time.
	for range 2 {
		if a := s.submit(s.dispatchers[0].callers, newJob(tasks, 6*time.Second, 17000, 30*time.Second)); a.status != http.StatusOK {
			return nil, errors.New("a job is not served without a disruption")
		}
	}
	j := newJob(tasks, 6*time.Second, 17000, 30*time.Second)
	stop, leave := context.WithCancel(s.record.ctx)
	defer leave()
	answered := make(chan attempt, 1)
	go func() {
		answered <- s.call(stop, http.MethodPost, s.balancer.Address(), j.ID, withSecondStep(j.Body()), j.Budget)
	}()
	time.Sleep(500 * time.Millisecond)
	frozen, frozenAt := s.dispatchers[0], time.Now()
	if trouble {
		s.signal(frozen, syscall.SIGSTOP)
		for s.pick() == frozen.callers && time.Since(frozenAt) < freezeTime {
			time.Sleep(pollInterval)
		}
	}
	a := s.call(s.record.ctx, http.MethodDelete, s.balancer.Address(), j.ID, "", 2*time.Second)
	canceledAt := time.Now()
	if a.status != http.StatusOK && a.status != http.StatusGone {
		return nil, errors.New("the cancel is not acknowledged")
	}
	inTouchAt := time.Now()
	if trouble {
		time.Sleep(freezeTime - time.Since(frozenAt))
		s.signal(frozen, syscall.SIGCONT)
		inTouchAt = time.Now().Add(contactTime)
	}
	time.Sleep(time.Until(canceledAt.Add(cancelBound)))
	from := canceledAt.Add(cancelBound)
	if inTouchAt.After(from) {
		from = inTouchAt
	}
	time.Sleep(time.Until(canceledAt.Add(observation)))
	if s.runs.StartedBetween(j.ID, from, time.Now()) {
		broken = append(broken, fmt.Sprintf("tasks of job %s start later than %s after its cancelling was acknowledged with %d, on the order of a machine in touch", j.ID, cancelBound, a.status))
	}
	s.record.add("%d runs of the job are left", s.runs.Running())
	return broken, nil
}
