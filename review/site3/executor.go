package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// holdMax is the longest lease, stopTime how long a stop takes.
	holdMax  = time.Second
	stopTime = 20 * time.Millisecond
	// heartbeat is the time between two reports of an executor on itself.
	heartbeat = 1500 * time.Millisecond
	// readHeaderTimeout applies to the header of a request to a stand-in.
	readHeaderTimeout = 5 * time.Second
)

// work is what the spec of a task says.
type work struct {
	RunMS int64 `json:"runMs"`
}

// run is a run of a task at an executor.
type run struct {
	task   string
	number uint64
	ended  bool
}

// executor is a sound executor: it carries out each order at once, keeps its lease and its fence, and
// runs nothing after a crash until it has restarted.
type executor struct {
	id, address, sidecar, zone string
	cpu                        int
	record                     *record
	// downTime is how long it is down after a crash.
	downTime time.Duration

	mu       sync.Mutex
	up       bool
	life     int
	server   *http.Server
	born     time.Time
	fence    uint64
	sequence uint64
	leaseEnd int64
	runs     map[string]*run
	highest  map[string]uint64
	ends     [][]any
	lastEnd  uint64
	changed  chan struct{}
}

func newExecutor(id, address, sidecar string, r *record) *executor {
	return &executor{
		id: id, address: address, sidecar: sidecar, zone: "z1", cpu: 32000, record: r, downTime: 3 * time.Second,
		changed: make(chan struct{}),
	}
}

// start begins a new life.
func (e *executor) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+name("start"), e.handle(e.startRun))
	mux.HandleFunc("POST "+name("stop"), e.handle(e.stopRun))
	mux.HandleFunc("POST "+name("hold"), e.handleHold)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	e.up, e.born, e.fence, e.sequence, e.leaseEnd, e.ends, e.lastEnd = true, time.Now(), 0, 0, 0, nil, 0
	e.life++
	e.runs, e.highest = map[string]*run{}, map[string]uint64{}
	server, life := e.server, e.life
	go func() { _ = server.Serve(l) }()
	go e.keepLease(life)
	go e.report(life)
	return nil
}

// crash ends all runs and closes all connections. The executor is back after its downTime, unless that
// is 0.
func (e *executor) crash(cause string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	e.record.note("executor %s crashes: %s", e.id, cause)
	for _, r := range e.runs {
		r.ended = true
		e.record.end(e.id, r, "crashed")
	}
	e.runs = map[string]*run{}
	_ = e.server.Close()
	if e.downTime > 0 {
		time.AfterFunc(e.downTime, func() {
			if err := e.start(); err != nil {
				e.record.note("executor %s cannot start again: %v", e.id, err)
			}
		})
	}
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// isLive reports whether a life goes on. The lock is held.
func (e *executor) isLive(life int) bool { return e.up && e.life == life }

// keepLease ends all runs when the lease has run out.
func (e *executor) keepLease(life int) {
	for {
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		if !e.isLive(life) {
			e.mu.Unlock()
			return
		}
		if e.clock() >= e.leaseEnd {
			for _, r := range e.runs {
				e.finish(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// order is an order or a call for the lists.
type order struct {
	task, spec          string
	run, fence, lastEnd uint64
	leaseEnd, waitMS    int64
}

// readOrder decodes an order. Fields that are left out are zero.
func readOrder(text io.Reader) (o order, err error) {
	fields := map[string]json.RawMessage{}
	if err := json.NewDecoder(text).Decode(&fields); err != nil {
		return o, err
	}
	for field, to := range map[string]any{
		"task": &o.task, "spec": &o.spec, "run": &o.run, "fence": &o.fence, name("last end"): &o.lastEnd, name("lease end"): &o.leaseEnd, name("wait"): &o.waitMS,
	} {
		if value, there := fields[field]; there {
			if err := json.Unmarshal(value, to); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}

// take reads an order for this incarnation. It returns false if it has answered. The lock is held.
func (e *executor) take(w http.ResponseWriter, r *http.Request, o *order) bool {
	var err error
	if *o, err = readOrder(r.Body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	e.mu.Lock()
	if want := r.Header.Get(name("incarnation")); want != "" && want != e.id {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if o.fence < e.fence {
		body := map[string]any{name("clock"): e.clock(), "reason": "fence"}
		e.mu.Unlock()
		answer(w, http.StatusConflict, body)
		return false
	}
	e.fence = o.fence
	if now := e.clock(); o.leaseEnd > 0 {
		e.leaseEnd = max(e.leaseEnd, min(o.leaseEnd, now+holdMax.Milliseconds()))
	}
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails if the sidecar has left.
	_ = json.NewEncoder(w).Encode(body)
}

func (e *executor) handle(carryOut func(o order) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if !e.take(w, r, &o) {
			return
		}
		reason := carryOut(o)
		clock := e.clock()
		e.mu.Unlock()
		if reason != "" {
			answer(w, http.StatusConflict, map[string]any{name("clock"): clock, "reason": reason})
			return
		}
		answer(w, http.StatusOK, map[string]any{name("clock"): clock})
	}
}

// startRun carries out a start order. The lock is held.
func (e *executor) startRun(o order) string {
	if r, running := e.runs[o.task]; running && r.number == o.run {
		return ""
	}
	switch {
	case o.run <= e.highest[o.task]:
		return "old"
	case o.leaseEnd <= e.clock():
		return "late"
	}
	w := work{RunMS: 50}
	if err := json.Unmarshal([]byte(o.spec), &w); err != nil {
		e.record.note("executor %s cannot read the spec of %s: %v", e.id, o.task, err)
	}
	r := &run{task: o.task, number: o.run}
	e.runs[o.task], e.highest[o.task] = r, o.run
	e.record.start(e.id, r)
	life := e.life
	time.AfterFunc(time.Duration(w.RunMS)*time.Millisecond, func() { e.finishIn(r, life, "done") })
	return ""
}

// stopRun carries out a stop order. The lock is held.
func (e *executor) stopRun(o order) string {
	e.highest[o.task] = max(e.highest[o.task], o.run)
	if r, running := e.runs[o.task]; running && r.number <= o.run {
		life := e.life
		time.AfterFunc(stopTime, func() { e.finishIn(r, life, "stopped") })
	}
	return ""
}

func (e *executor) finishIn(r *run, life int, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isLive(life) {
		e.finish(r, how)
	}
}

// finish ends a run. The lock is held.
func (e *executor) finish(r *run, how string) {
	if r.ended {
		return
	}
	r.ended = true
	if e.runs[r.task] == r {
		delete(e.runs, r.task)
	}
	e.record.end(e.id, r, how)
	e.lastEnd++
	e.ends = append(e.ends, []any{e.lastEnd, r.task, r.number, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) handleHold(w http.ResponseWriter, r *http.Request) {
	var o order
	if !e.take(w, r, &o) {
		return
	}
	for len(e.ends) > 0 && e.ends[0][0].(uint64) <= o.lastEnd {
		e.ends = e.ends[1:]
	}
	if changed := e.changed; len(e.ends) == 0 && o.waitMS > 0 {
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.waitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
	}
	running := [][]any{}
	for _, r := range e.runs {
		running = append(running, []any{r.task, r.number, "", 100, 1})
	}
	ends := append([][]any{}, e.ends[:min(len(e.ends), 500)]...)
	body := map[string]any{name("clock"): e.clock(), "born": e.born.UnixMilli(), "running": running, "finished": ends}
	e.mu.Unlock()
	answer(w, http.StatusOK, body)
}

// report sends status reports for the time of a life.
func (e *executor) report(life int) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for {
		e.mu.Lock()
		if !e.isLive(life) {
			e.mu.Unlock()
			return
		}
		e.sequence++
		body := map[string]any{
			"service": service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", name("warm-up"): 0,
			"capacity": map[string]int{"cpu": e.cpu, name("memory"): 131072, "gpu": 0}, "labels": []string{"a", "r1"},
			name("clock"): e.clock(), "seq": e.sequence, "born": e.born.UnixMilli(),
		}
		e.mu.Unlock()
		wait := heartbeat
		if status, err := send(client, http.MethodPut, fmt.Sprintf("http://%s/instances/%s", e.sidecar, e.id), "", body, nil); err != nil || status != http.StatusOK {
			wait = 300 * time.Millisecond
		}
		time.Sleep(wait)
	}
}
