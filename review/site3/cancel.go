package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freezeTime is how long a dispatcher stands still.
	freezeTime = 4 * time.Second
	// cancelTime is the bound "cancel_ms" of a deployment with this traffic.
	cancelTime = 4 * time.Second
	// cancelsPerSecond is the rate at which other jobs are canceled meanwhile.
	cancelsPerSecond = 335
	// cancelAfter is the time from the begin of the freeze to the cancelling of the job.
	cancelAfter = 650 * time.Millisecond
)

// cancel cancels a job at another dispatcher while the one that has it stands still and many other
// jobs are canceled after their ends.
func cancel(s *site, trouble bool) (breach string, err error) {
	if err := s.start(2, 4); err != nil {
		return "", err
	}
	c, id := newCaller(s.record), newID()
	steps := make([]step, 3)
	for i := range steps {
		steps[i] = step{count: 2, cpu: 1000, memory: 64, estimate: time.Second}
		if i > 0 {
			steps[i].after = []int{i - 1}
		}
	}
	j := newJob(work{RunMS: 1000}, steps...)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		c.submit(s.dispatchers[0].front, id, j, 10*time.Second)
	}()
	time.Sleep(400 * time.Millisecond)
	if len(s.record.startsOf(id)) == 0 {
		return "", errors.New("the job has not begun")
	}
	if trouble {
		s.signal(s.dispatchers[0], syscall.SIGSTOP)
	}
	thawAt := time.Now().Add(freezeTime)
	others := make(chan struct{})
	go func() {
		defer close(others)
		s.cancelOthers(freezeTime)
	}()
	time.Sleep(cancelAfter)
	status := c.cancel(s.dispatchers[1].front, id)
	acknowledgedAt := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return "", fmt.Errorf("the cancelling is answered %d", status)
	}
	time.Sleep(time.Until(thawAt))
	if trouble {
		s.signal(s.dispatchers[0], syscall.SIGCONT)
	}
	<-answered
	<-others
	return lateStart(s.record, id, acknowledgedAt, cancelTime), nil
}

// lateStart returns a start of a canceled job that came later than it may, or nothing.
func lateStart(r *record, id string, acknowledgedAt time.Time, bound time.Duration) string {
	for _, a := range r.startsOf(id) {
		if late := a.at.Sub(acknowledgedAt) - bound; late > 0 {
			return fmt.Sprintf("at %.3f s executor %s starts %s, %s later than %s after the ack of its job's cancelling",
				r.since(a.at), a.executor, a.task, late.Round(time.Millisecond), bound)
		}
	}
	return ""
}

// cancelOthers has clients submit jobs for some time, and cancel each right after its answer.
func (s *site) cancelOthers(length time.Duration) {
	c := newCaller(s.record)
	c.quiet = true
	var acknowledged atomic.Int64
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / cancelsPerSecond)
	defer ticker.Stop()
	sent := 0
	at := s.dispatchers[1].front
	for end := time.Now().Add(length); time.Now().Before(end); sent++ {
		<-ticker.C
		group.Go(func() {
			id := newID()
			j := newJob(work{RunMS: 30}, step{count: 1, cpu: 400, memory: 16, estimate: 30 * time.Millisecond})
			if c.submit(at, id, j, 1500*time.Millisecond) != http.StatusOK {
				return
			}
			if status := c.cancel(at, id); status == http.StatusOK || status == http.StatusGone {
				acknowledged.Add(1)
			}
		})
	}
	s.record.note("clients have submitted %d other jobs within %s", sent, length)
	group.Wait()
	s.record.note("%d of them were canceled after their answers", acknowledged.Load())
}
