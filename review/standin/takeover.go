package main

import (
	"context"
	"net/http"
	"time"
)

const (
	// killedAtOnce sidecars, 0.6 of them, are killed at a time and started again after
	// processRestart.
	killedAtOnce   = 13
	processRestart = 100 * time.Millisecond
)

// takeover kills sidecars while their endpoints leave half of the calls without an answer. The
// next sidecars have to know when the runs of the previous ones have ended.
func takeover(s *site, trouble bool) (broken []string, err error) {
	const workers, tasks = 22, 22
	if err := s.start(3, workers); err != nil {
		return nil, err
	}
	rounds := 0
	for began := time.Now(); time.Since(began) < scriptTime; rounds++ {
		j := newJob(tasks, 4*time.Second, 8000, 10*time.Second)
		waiting, leave := context.WithCancel(s.record.ctx)
		done := make(chan attempt, 1)
		go func() {
			done <- s.call(waiting, http.MethodPost, s.dispatchers[rounds%3].callers, j.ID, j.Body(), j.Budget)
		}()
		time.Sleep(300 * time.Millisecond)
		if trouble {
			if err := s.restartSidecars(rounds * killedAtOnce); err != nil {
				leave()
				return nil, err
			}
		}
		time.Sleep(1200 * time.Millisecond)
		leave()
		<-done
		for _, w := range s.workers {
			w.orders.setLateCalls(0)
		}
		if broken = s.runs.Violations(); len(broken) > 0 {
			break
		}
		s.awaitIdle(5 * time.Second)
		time.Sleep(400 * time.Millisecond)
	}
	s.record.add("%d rounds", rounds)
	return broken, nil
}

// restartSidecars kills killedAtOnce sidecars from the given number on and starts them again.
func (s *site) restartSidecars(first int) error {
	for n := range killedAtOnce {
		w := s.workers[(first+n)%len(s.workers)]
		w.orders.setLateCalls(lateShare)
		s.kill(&w.process)
	}
	time.Sleep(processRestart)
	for n := range killedAtOnce {
		if err := s.startProcess(&s.workers[(first+n)%len(s.workers)].process); err != nil {
			return err
		}
	}
	return nil
}
