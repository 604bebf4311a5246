package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// resubmission is the time after which a client sends a job again whose channel broke.
	resubmission = 1300 * time.Millisecond
	// lateShare is the share of the orders that get no answer.
	lateShare = 0.5
	// scriptTime is the time for the rounds of a case.
	scriptTime = 85 * time.Second
)

// lostDispatcher kills the dispatcher of a job again and again while endpoints leave half of
// their orders without an answer. The client sends the job again, as clients do.
func lostDispatcher(s *site, trouble bool) (broken []string, err error) {
	const workers, tasks = 33, 30
	if err := s.start(3, workers); err != nil {
		return nil, err
	}
	rounds := 0
	for began := time.Now(); time.Since(began) < scriptTime; rounds++ {
		lost, next := s.dispatchers[rounds%3], s.dispatchers[(rounds+1)%3]
		j := newJob(tasks, 4*time.Second, 17000, 10*time.Second)
		first := make(chan attempt, 1)
		go func() { first <- s.submit(lost.callers, j) }()
		time.Sleep(150 * time.Millisecond)
		if trouble {
			for _, w := range s.workers {
				w.orders.setShare(lateShare)
			}
			time.Sleep(50 * time.Millisecond)
			s.kill(lost)
			a := <-first
			time.Sleep(resubmission)
			if a.status == 0 || a.status == http.StatusGatewayTimeout {
				again, leave := context.WithTimeout(s.record.ctx, 300*time.Millisecond)
				s.call(again, http.MethodPost, next.callers, j.ID, j.Body(), j.Budget)
				leave()
			}
			for _, w := range s.workers {
				w.orders.setShare(0)
			}
			if err := s.startProcess(lost); err != nil {
				return nil, err
			}
		} else if a := <-first; a.status != http.StatusOK {
			return nil, errors.New("a job is not served without the disruption")
		}
		broken = s.runs.Violations()
		if len(broken) > 0 {
			break
		}
		s.awaitIdle(5 * time.Second)
		time.Sleep(600 * time.Millisecond)
	}
	s.record.add("%d rounds", rounds)
	return broken, nil
}
