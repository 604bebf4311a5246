package main

import (
	"fmt"
	"net/http"
	"time"
)

// spread submits a job of two steps, of which the first allows one task an executor. One executor
// crashes while both run.
func spread(s *site, trouble bool) (breach string, err error) {
	if err := s.start(1, 3); err != nil {
		return "", err
	}
	c, id := newCaller(s.record), newID()
	const lasts = 900 * time.Millisecond
	j := newJob(work{RunMS: lasts.Milliseconds()},
		step{count: 3, cpu: 2000, memory: 64, estimate: lasts, spread: 1}, step{count: 6, cpu: 9000, memory: 64, estimate: lasts})
	answered := make(chan int, 1)
	go func() { answered <- c.submit(s.dispatchers[0].front, id, j, 4*time.Second) }()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		s.executors[1].crash("by itself")
	}
	if status := <-answered; !trouble && status != http.StatusOK {
		return "", fmt.Errorf("the job is answered %d without trouble", status)
	}
	return beyondSpread(s.record, id+".0.0."), nil
}

// beyondSpread returns a start that made two tasks of a step run at one executor, or nothing.
func beyondSpread(r *record, tasks string) string {
	starts := r.startsOf(tasks)
	for i, a := range starts {
		for _, b := range starts[:i] {
			if b.executor == a.executor && b.task != a.task && (b.endedAt.IsZero() || b.endedAt.After(a.at)) {
				return fmt.Sprintf("at %.3f s executor %s starts %s while it runs %s of the same step, with antiAffinity 1", r.since(a.at), a.executor, a.task, b.task)
			}
		}
	}
	return ""
}
