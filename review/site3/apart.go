package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	// cutTime is how long a dispatcher is cut off from all other machines of the system.
	cutTime = 5500 * time.Millisecond
	// smallCancelTime is the bound "cancel_ms" of a deployment of this size.
	smallCancelTime = 3 * time.Second
	// cutLead is the time from the begin of the cut to the cancelling of the job.
	cutLead = 300 * time.Millisecond
	// chain is the number of steps of the job, one after the other.
	chain = 7
)

// apart cancels a job at a dispatcher that is cut off from all other machines of the system.
func apart(s *site, trouble bool) (breach string, err error) {
	address, err := s.address()
	if err != nil {
		return "", err
	}
	if s.links, err = newLinks(address); err != nil {
		return "", err
	}
	if err := s.start(3, 4); err != nil {
		return "", err
	}
	// The dispatchers exchange what they know every second.
	time.Sleep(2 * time.Second)
	c, id := newCaller(s.record), newID()
	steps := make([]step, chain)
	for i := range steps {
		steps[i] = step{count: 1, cpu: 1000, memory: 64, estimate: 900 * time.Millisecond}
		if i > 0 {
			steps[i].after = []int{i - 1}
		}
	}
	j := newJob(work{RunMS: 900}, steps...)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		c.submit(s.dispatchers[0].front, id, j, 12*time.Second)
	}()
	time.Sleep(400 * time.Millisecond)
	if len(s.record.startsOf(id)) == 0 {
		return "", errors.New("the job has not begun")
	}
	other := s.dispatchers[1]
	if trouble {
		s.record.note("%s is cut off from all other machines of the system", other.name)
		s.links.setCut(other.name)
	}
	healAt := time.Now().Add(cutTime)
	time.Sleep(cutLead)
	status := c.cancel(other.front, id)
	acknowledgedAt := time.Now()
	time.Sleep(time.Until(healAt))
	s.links.setCut("")
	s.record.note("nothing is cut off")
	<-answered
	if status != http.StatusOK && status != http.StatusGone {
		// Without an acknowledgement there is nothing to keep.
		s.record.note("the cancelling is answered %d", status)
		return "", nil
	}
	return lateStart(s.record, id, acknowledgedAt, smallCancelTime), nil
}
