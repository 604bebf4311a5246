package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the users' pages for a small deployment.
const (
	holdMax       = time.Second
	stopTime      = 30 * time.Millisecond
	beatInterval  = 1500 * time.Millisecond
	executorCPU   = 32000
	executorMemMB = 131072
	leaseCheck    = 5 * time.Millisecond
	endsPerList   = 500
)

// run is one run of a task at an executor.
type run struct {
	task    string
	number  uint64
	started time.Time
	ended   bool
}

type ending struct {
	number int
	run    *run
	how    string
}

// executor is a stand-in for an executor of the platform in the dispatch mode "call". The spec of a
// task is its work in milliseconds.
type executor struct {
	id, app, control, service, zone string
	labels                          []string
	log                             *record
	server                          *http.Server
	mu                              sync.Mutex
	down                            bool
	born                            time.Time
	fence                           uint64
	deadline                        int64
	runs                            map[string]*run
	highest                         map[string]uint64
	ends                            []ending
	lastEnd                         int
	changed                         chan struct{}
	seq                             int
}

// order is a call of the sidecar.
type order struct {
	Task, Spec       string
	Run, Fence       uint64
	Deadline, WaitMS int64
	LastSeen         int
}

// key names the run that a call is about.
func (o order) key() string { return fmt.Sprint(o.Task, "/", o.Run) }

// readOrder reads a call. It returns false if the call has been answered.
func (e *executor) readOrder(w http.ResponseWriter, r *http.Request) (o order, valid bool) {
	var m map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	if id := r.Header.Get(wire("$instance")); id != "" && id != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	return order{
		Task: field[string](m, "task"), Spec: field[string](m, "spec"), Run: field[uint64](m, "run"), Fence: field[uint64](m, "fence"),
		Deadline: field[int64](m, "$lease"), WaitMS: field[int64](m, "waitMs"), LastSeen: field[int](m, "$seen"),
	}, true
}

// start begins a life of the executor.
func (e *executor) start() error {
	l, err := net.Listen("tcp", e.app)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.down, e.born, e.fence, e.deadline, e.lastEnd, e.seq = false, time.Now(), 0, 0, 0, 0
	e.runs, e.highest, e.ends, e.changed = map[string]*run{}, map[string]uint64{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc(wire("POST /$startPath"), e.answer(e.startRun))
	mux.HandleFunc(wire("POST /$stopPath"), e.answer(e.stopRun))
	mux.HandleFunc("POST /hold", e.hold)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	server, born := e.server, e.born
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go e.watchLease(born)
	go e.beat(born)
	return nil
}

func (e *executor) alive(born time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.down && e.born.Equal(born)
}

// clock is the executor's own clock; e.mu is held.
func (e *executor) clock() int64 { return 1000 + time.Since(e.born).Milliseconds() }

func (e *executor) watchLease(born time.Time) {
	for e.alive(born) {
		e.mu.Lock()
		if e.deadline < e.clock() {
			for _, r := range e.runs {
				e.finish(r, "lapsed")
			}
		}
		e.mu.Unlock()
		time.Sleep(leaseCheck)
	}
}

func (e *executor) beat(born time.Time) {
	client := &http.Client{Timeout: time.Second}
	for e.alive(born) {
		e.mu.Lock()
		e.seq++
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.app, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", wire("$cold"): 0,
			"capacity": map[string]int{"cpu": executorCPU, wire("$mem"): executorMemMB, "gpu": 0}, "labels": e.labels, wire("$clock"): e.clock(),
			"seq": e.seq, "born": e.born.UnixMilli(),
		})
		e.mu.Unlock()
		r, _ := http.NewRequest(http.MethodPut, "http://"+e.control+"/instances/"+e.id, bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		wait := beatInterval
		if response, err := client.Do(r); err != nil {
			// The sidecar may not be up yet.
			wait = 200 * time.Millisecond
		} else {
			response.Body.Close()
		}
		time.Sleep(wait)
	}
}

// end ends a run; e.mu is held.
func (e *executor) end(r *run, how string) bool {
	if r.ended {
		return false
	}
	r.ended = true
	delete(e.runs, order{Task: r.task, Run: r.number}.key())
	e.log.ran(e.id, r, how)
	return true
}

// finish ends a run and lists its end; e.mu is held.
func (e *executor) finish(r *run, how string) {
	if !e.end(r, how) {
		return
	}
	e.lastEnd++
	e.ends = append(e.ends, ending{e.lastEnd, r, how})
	close(e.changed)
	e.changed = make(chan struct{})
}

// accepts takes the fence and the lease of a call; e.mu is held.
func (e *executor) accepts(o order) bool {
	if o.Fence < e.fence {
		return false
	}
	e.fence = o.Fence
	e.deadline = max(e.deadline, min(o.Deadline, e.clock()+holdMax.Milliseconds()))
	return true
}

func (e *executor) answer(execute func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, valid := e.readOrder(w, r)
		if !valid {
			return
		}
		e.mu.Lock()
		status, reason := execute(o)
		body := map[string]any{wire("$clock"): e.clock(), "born": e.born.UnixMilli()}
		e.mu.Unlock()
		if reason != "" {
			body["reason"] = reason
		}
		reply(w, status, body)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *executor) startRun(o order) (int, string) {
	if !e.accepts(o) {
		return http.StatusConflict, "fence"
	}
	if e.runs[o.key()] != nil {
		return http.StatusOK, ""
	}
	if o.Run <= e.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if o.Deadline <= e.clock() {
		return http.StatusConflict, "late"
	}
	var work int
	if _, err := fmt.Sscan(o.Spec, &work); err != nil {
		return http.StatusBadRequest, ""
	}
	r := &run{task: o.Task, number: o.Run, started: time.Now()}
	e.highest[o.Task], e.runs[o.key()] = o.Run, r
	e.log.started(e.id, r)
	time.AfterFunc(time.Duration(work)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.finish(r, "done")
	})
	return http.StatusOK, ""
}

func (e *executor) stopRun(o order) (int, string) {
	if !e.accepts(o) {
		return http.StatusConflict, "fence"
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	for _, r := range e.runs {
		if r.task == o.Task && r.number <= o.Run {
			time.AfterFunc(stopTime, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				e.finish(r, "stopped")
			})
		}
	}
	return http.StatusOK, ""
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	o, valid := e.readOrder(w, r)
	if !valid {
		return
	}
	timeout := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for first := true; ; first = false {
		e.mu.Lock()
		if first && !e.accepts(o) {
			body := map[string]any{wire("$clock"): e.clock(), "born": e.born.UnixMilli(), "reason": "fence"}
			e.mu.Unlock()
			reply(w, http.StatusConflict, body)
			return
		}
		for len(e.ends) > 0 && e.ends[0].number <= o.LastSeen {
			e.ends = e.ends[1:]
		}
		body, changed, listed := e.lists(), e.changed, len(e.ends) > 0
		e.mu.Unlock()
		if listed {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// lists returns both lists; e.mu is held.
func (e *executor) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range e.runs {
		running = append(running, []any{r.task, r.number, "", 0, 100})
	}
	for _, f := range e.ends[:min(len(e.ends), endsPerList)] {
		finished = append(finished, []any{f.number, f.run.task, f.run.number, f.how, ""})
	}
	return map[string]any{wire("$clock"): e.clock(), "born": e.born.UnixMilli(), "running": running, "finished": finished}
}
