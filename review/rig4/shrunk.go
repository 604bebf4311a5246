package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// shrunk has the room of an executor shrink while the store turns its machine away, and kills the
// machine's process once the smaller room counts. The load is more than the executor can take.
func shrunk(r *rig, trouble bool) (broken bool, err error) {
	const smaller = executorCPU * 55 / 100
	e, m := r.executors[0], r.sides[0]
	r.log.setQuiet(true)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range 60 {
		group.Go(func() { r.press(r.fronts[n%len(r.fronts)], stop) })
	}
	for range 3 {
		time.Sleep(2 * time.Second)
		r.away.Store(trouble)
		time.Sleep(300 * time.Millisecond)
		e.shrink(smaller)
		time.Sleep(contactTime + beatInterval)
		// Just after a report there is the most time until the next one.
		<-e.beaten
		<-e.beaten
		r.away.Store(false)
		if trouble {
			if err = r.restart(m, 300*time.Millisecond); err != nil {
				break
			}
		}
		time.Sleep(3 * time.Second)
		e.grow()
	}
	close(stop)
	group.Wait()
	return r.log.overs > 0, err
}

// press has a client send one job after the other that only the first executor may run.
func (r *rig) press(m *machine, stop <-chan struct{}) {
	const work = 200
	body := fmt.Sprintf(wire(`{"spec":"%d","$unkept":true,"steps":[{"count":1,"cpu":%d,"$mem":64,"$guess":%d,"requires":"%s"}]}`), work, taskCPU, work, firstLabel)
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		r.call(m, http.MethodPost, newID(), body, 1500*time.Millisecond)
	}
}
