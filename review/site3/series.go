package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// crashAfter is the time after its start at which the task crashes its executor.
	crashAfter = 9900 * time.Millisecond
	// seriesEstimate is what the caller takes the task to last.
	seriesEstimate = 12 * time.Second
	// seriesPatience is how long the caller waits, seriesTime how long the case watches.
	seriesPatience = 100 * time.Second
	seriesTime     = 66 * time.Second
)

// series submits a job whose only task crashes each executor that starts it, beside other jobs.
func series(s *site, trouble bool) (breach string, err error) {
	s.stretch = 3
	if err := s.start(2, 6); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for i := range 40 {
		group.Go(func() { s.callOften(ctx, s.dispatchers[i%len(s.dispatchers)].front) })
	}
	time.Sleep(3 * time.Second)
	c, id := newCaller(s.record), newID()
	w := work{RunMS: seriesEstimate.Milliseconds()}
	if trouble {
		w.CrashMS = crashAfter.Milliseconds()
	}
	j := newJob(w, step{count: 1, cpu: 1000, memory: 64, estimate: seriesEstimate})
	answered := make(chan int, 1)
	go func() { answered <- c.submit(s.dispatchers[0].front, id, j, seriesPatience) }()
	select {
	case status := <-answered:
		if !trouble && status != http.StatusOK {
			return "", fmt.Errorf("the job is answered %d without trouble", status)
		}
	case <-time.After(seriesTime):
	}
	return afterThreeCrashes(s.record, id), nil
}

// callOften submits jobs of short and long tasks, one after the other.
func (s *site) callOften(ctx context.Context, front string) {
	c := newCaller(s.record)
	c.quiet = true
	for ctx.Err() == nil {
		ms := int64(30 * math.Exp(rand.Float64()*math.Log(25)))
		c.submit(front, newID(), newJob(work{RunMS: ms}, step{count: 12, cpu: 400, memory: 64, estimate: time.Duration(ms) * time.Millisecond}), 1500*time.Millisecond)
	}
}

// afterThreeCrashes returns the third start of a job's task after three executors have crashed under
// it, or nothing.
func afterThreeCrashes(r *record, id string) string {
	starts, crashes, later := r.startsOf(id+"."), 0, 0
	for _, a := range starts {
		if crashes >= 3 {
			if later++; later == 3 {
				return fmt.Sprintf("at %.3f s executor %s starts %s, the third start after three executors have crashed under it", r.since(a.at), a.executor, a.task)
			}
		}
		if a.how == "crashed" {
			crashes++
		}
	}
	return ""
}
