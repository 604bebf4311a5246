package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/corianderhook/corianderhook/platform/standin/endpoint"
)

const (
	// crashLoops endpoints at most are down at a time, each for darkTime. Between two crashes of
	// a loop are up to maxUpTime.
	crashLoops = 2
	darkTime   = 300 * time.Millisecond
	maxUpTime  = 200 * time.Millisecond
	clients    = 10
	// blameTime is the time for the crashes.
	blameTime = 105 * time.Second
)

// taskRuns knows which runs an endpoint has started and not yet reported as ended, and under
// which tasks it has crashed.
type taskRuns struct {
	mu      sync.Mutex
	running map[string]map[string]bool
	// crashes counts by task the crashes of endpoints that had it.
	crashes map[string]int
}

func newTaskRuns() *taskRuns {
	return &taskRuns{running: map[string]map[string]bool{}, crashes: map[string]int{}}
}

// observe takes note of a call that an endpoint has answered.
func (t *taskRuns) observe(worker, path string, body, answer []byte, status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[worker] == nil {
		t.running[worker] = map[string]bool{}
	}
	var order struct {
		Task string `json:"task"`
	}
	var list struct {
		Finished [][]any `json:"finished"`
	}
	switch {
	case status != http.StatusOK:
	case strings.HasSuffix(path, "start") && json.Unmarshal(body, &order) == nil:
		t.running[worker][order.Task] = true
	case json.Unmarshal(answer, &list) == nil:
		for _, row := range list.Finished {
			if name, isText := row[1].(string); isText {
				delete(t.running[worker], name)
			}
		}
	}
}

// crash takes note of the crash of an endpoint, and returns the tasks that it had.
func (t *taskRuns) crash(worker string) (tasks []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task := range t.running[worker] {
		t.crashes[task]++
		tasks = append(tasks, task)
	}
	delete(t.running, worker)
	return tasks
}

// mostCrashes returns the most crashes under one task of a job.
func (t *taskRuns) mostCrashes(job string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for task, count := range t.crashes {
		if strings.HasPrefix(task, job+".") {
			most = max(most, count)
		}
	}
	return most
}

// crashDark lets an endpoint crash without a sign, and come back as another incarnation.
func (s *site) crashDark(w *worker, dark time.Duration) {
	tasks := s.tasks.crash(w.name)
	w.endpoint.SetFaults(endpoint.Faults{Silent: true})
	w.endpoint.Restart()
	s.record.add("%s crashes with %s", w.name, strings.Join(tasks, " "))
	time.Sleep(dark)
	w.endpoint.Restart()
	w.endpoint.SetFaults(endpoint.Faults{})
	s.record.add("%s is back", w.name)
}

// crashBlame lets one endpoint after the other crash while clients send short jobs. A job may be
// given up if two endpoints have crashed under one of its tasks, and not before.
func crashBlame(s *site, trouble bool) (broken []string, err error) {
	if err := s.start(3, 11); err != nil {
		return nil, err
	}
	end := time.Now().Add(blameTime)
	var group sync.WaitGroup
	var mu sync.Mutex
	done := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(broken) > 0 || time.Now().After(end)
	}
	for n := range clients {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 11))
			for !done() {
				j := newJob(1, 200*time.Millisecond, 17000, 3*time.Second)
				a := s.submit(s.dispatchers[n%len(s.dispatchers)].callers, j)
				crashes := s.tasks.mostCrashes(j.ID)
				if a.status == http.StatusOK && strings.Contains(a.text, "failed") && crashes < 2 {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("job %s is shown as failed: no run of it has failed, and at most %d endpoints have crashed under one of its tasks", j.ID, crashes))
					mu.Unlock()
				}
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		})
	}
	for n := range crashLoops {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 5))
			for trouble && !done() {
				// Each loop has endpoints of its own.
				w := s.workers[(crashLoops*rng.IntN(len(s.workers))+n)%(len(s.workers)-1)]
				s.crashDark(w, darkTime)
				time.Sleep(time.Duration(rng.Float64() * float64(maxUpTime)))
			}
		})
	}
	group.Wait()
	return broken, nil
}
