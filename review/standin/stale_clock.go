package main

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// endpointAge is the age of the endpoints at the first crash.
	endpointAge = 14 * time.Second
	// restartTime is how long a crashed endpoint is down, lateTime how long it leaves calls
	// unanswered from then on, soundTime how long it then answers all of them, and silentTime
	// how long none.
	restartTime = 100 * time.Millisecond
	lateTime    = 1500 * time.Millisecond
	soundTime   = 2 * time.Second
	silentTime  = 2 * time.Second
	// crashedAtOnce endpoints, 0.15 of them, crash at a time.
	crashedAtOnce = 2
	shortLoops    = 30
	longLoops     = 10
)

// staleClock lets an endpoint start again while it leaves half of the calls unanswered and
// carries them out late. Seconds later, it does not answer for a time. Its sidecar has to know
// for how long the runs there go on.
func staleClock(s *site, trouble bool) (broken []string, err error) {
	if err := s.start(3, 11); err != nil {
		return nil, err
	}
	var stopped atomic.Bool
	var group sync.WaitGroup
	defer group.Wait()
	defer stopped.Store(true)
	for n := range shortLoops + longLoops {
		group.Go(func() { s.sendJobs(n, n >= shortLoops, &stopped) })
	}
	time.Sleep(endpointAge)
	for began, round := time.Now(), 0; time.Since(began) < scriptTime-endpointAge; round++ {
		if !trouble {
			time.Sleep(time.Second)
			continue
		}
		first := crashedAtOnce * round % len(s.workers)
		var pair sync.WaitGroup
		for n := range crashedAtOnce {
			pair.Go(func() { s.restartThenSilence(s.workers[(first+n)%len(s.workers)]) })
		}
		pair.Wait()
		if broken = s.runs.Violations(); len(broken) > 0 {
			break
		}
	}
	return s.runs.Violations(), nil
}

// restartThenSilence lets an endpoint crash and start again while half of the calls to it get no
// answer, and later leaves all of them without an answer for silentTime.
func (s *site) restartThenSilence(w *worker) {
	w.orders.setLateCalls(lateShare)
	if err := s.crash(w, restartTime); err != nil {
		s.record.add("%s does not start again: %v", w.name, err)
	}
	time.Sleep(lateTime - restartTime)
	w.orders.setLateCalls(0)
	time.Sleep(soundTime)
	s.record.add("%s is silent", w.name)
	w.orders.setSilent(true)
	time.Sleep(silentTime)
	w.orders.setSilent(false)
	s.record.add("%s answers", w.name)
}

// sendJobs sends one job after the other until it is stopped: of a single short task, or of
// two long ones.
func (s *site) sendJobs(n int, long bool, stopped *atomic.Bool) {
	rng := rand.New(rand.NewPCG(uint64(n), 17))
	d := s.dispatchers[n%len(s.dispatchers)]
	for !stopped.Load() {
		j := newJob(1, 100*time.Millisecond, 500, 2*time.Second)
		if long {
			j = newJob(3, 5*time.Second, 2000, 15*time.Second)
		}
		s.submit(d.callers, j)
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
}
