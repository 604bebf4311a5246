package site2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Capacity of an executor, and the labels that it announces.
const (
	capacityCPU, capacityMemory = 32000, 131072
	maxHold                     = time.Second
	stopTime                    = 30 * time.Millisecond
	maxWait                     = 2 * time.Second
	maxEnds                     = 500
)

type run struct {
	task   string
	number uint64
	ended  bool
}

type end struct {
	seq uint64
	run *run
	how string
}

// Executor is a sound executor as the users' pages describe it. The spec of a task is its run
// time, as a text like 900ms.
type Executor struct {
	id         string
	record     *Record
	born       time.Time
	mu         sync.Mutex
	fence      uint64
	leaseEnd   time.Time
	runs       map[string]*run
	highest    map[string]uint64
	ends       []end
	lastEnd    uint64
	held       bool
	changed    chan struct{}
	sequence   uint64
	standStill bool
}

// NewExecutor returns an executor without runs.
func NewExecutor(id string, record *Record) *Executor {
	return &Executor{id: id, record: record, born: time.Now(), runs: map[string]*run{}, highest: map[string]uint64{}, changed: make(chan struct{})}
}

// Held reports whether a sidecar has asked for the list of runs.
func (x *Executor) Held() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.held
}

// clock returns the steady clock in milliseconds. It starts at 1.
func (x *Executor) clock() int64 { return time.Since(x.born).Milliseconds() + 1 }

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	LastSeen   uint64 `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// Handler returns the HTTP handler for the sidecar.
func (x *Executor) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", x.handle(x.start))
	mux.HandleFunc("POST /run-stop", x.handle(x.stop))
	mux.HandleFunc("POST /hold", x.handle(x.list))
	return mux
}

// handle decodes an order and answers with what carry returns. Carry is called with the lock held.
func (x *Executor) handle(carry func(o order) (status int, body map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != x.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Fence >= x.fence {
			x.fence = o.Fence
			status, body = carry(o)
		}
		body["clockMs"], body["born"] = x.clock(), x.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// A write fails if the sidecar has gone.
		_ = json.NewEncoder(w).Encode(body)
	}
}

// extend extends the lease of everything that runs. It never shortens.
func (x *Executor) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	left := min(time.Duration(deadlineMs-x.clock())*time.Millisecond, maxHold)
	if at := time.Now().Add(left); at.After(x.leaseEnd) {
		x.leaseEnd = at
		time.AfterFunc(left, x.lapse)
	}
}

func (x *Executor) lapse() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if time.Now().Before(x.leaseEnd) {
		return
	}
	for _, r := range x.runs {
		x.finish(r, "lapsed")
	}
}

func (x *Executor) start(o order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		x.record.Write("%s refuses %s run %d: %s", x.id, o.Task, o.Run, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if r, known := x.runs[o.Task]; known && r.number == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if o.DeadlineMs <= x.clock() {
		return refuse("late")
	}
	x.extend(o.DeadlineMs)
	if o.Run <= x.highest[o.Task] {
		return refuse("old")
	}
	length, err := time.ParseDuration(o.Spec)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	r := &run{task: o.Task, number: o.Run}
	x.runs[o.Task], x.highest[o.Task] = r, o.Run
	x.record.started(x.id, o.Task, o.Run)
	if !x.standStill {
		time.AfterFunc(length, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.finish(r, "done")
		})
	}
	return http.StatusOK, map[string]any{}
}

func (x *Executor) stop(o order) (int, map[string]any) {
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if r, known := x.runs[o.Task]; known && r.number <= o.Run {
		time.AfterFunc(stopTime, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.finish(r, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

// finish ends a run. The lock is held.
func (x *Executor) finish(r *run, how string) {
	if r.ended {
		return
	}
	r.ended = true
	delete(x.runs, r.task)
	x.lastEnd++
	x.ends = append(x.ends, end{seq: x.lastEnd, run: r, how: how})
	x.record.ended(x.id, r.task, r.number, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

// list returns the runs and the ends. It gives up the lock while it waits for an end.
func (x *Executor) list(o order) (int, map[string]any) {
	x.held = true
	x.extend(o.DeadlineMs)
	for len(x.ends) > 0 && x.ends[0].seq <= o.LastSeen {
		x.ends = x.ends[1:]
	}
	if len(x.ends) == 0 && o.WaitMs > 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Duration(o.WaitMs)*time.Millisecond, maxWait)):
		}
		x.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range x.runs {
		running = append(running, []any{r.task, r.number, "", 50})
	}
	for _, e := range x.ends[:min(len(x.ends), maxEnds)] {
		finished = append(finished, []any{e.seq, e.run.task, e.run.number, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// Announce sends the status reports to the sidecar until stop is closed.
func (x *Executor) Announce(stop <-chan struct{}, sidecar, app, zone string) {
	client := &http.Client{Timeout: time.Second}
	for {
		if x.beat(client, sidecar, app, zone) {
			select {
			case <-stop:
				return
			case <-time.After(beatInterval):
			}
			continue
		}
		// The sidecar is not up.
		select {
		case <-stop:
			return
		case <-time.After(beatInterval / 3):
		}
	}
}

// beat sends one status report and returns whether it was acknowledged.
func (x *Executor) beat(client *http.Client, sidecar, app, zone string) bool {
	x.mu.Lock()
	x.sequence++
	body, err := json.Marshal(map[string]any{
		"service": service, "address": app, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": capacityCPU, "memMb": capacityMemory, "gpu": 0}, "labels": []string{"a", "r1"},
		"clockMs": x.clock(), "seq": x.sequence, "born": x.born.UnixMilli(),
	})
	x.mu.Unlock()
	if err != nil {
		panic(err) // Strings and numbers can always be encoded.
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+sidecar+"/instances/"+x.id, bytes.NewReader(body))
	if err != nil {
		panic(err) // The address is a valid one.
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// StandStill has the tasks that start from now on never end by themselves.
func (x *Executor) StandStill(on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.standStill = on
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// String returns the id.
func (x *Executor) String() string { return fmt.Sprintf("executor %s", x.id) }
