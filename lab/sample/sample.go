// Package sample provides an endpoint for the demonstration, the benchmarks and the
// tests. It records the tasks that it starts independently of the dispatcher.
package sample

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/connection/endpoint"
)

// maxPayloadBytes limits the payload of a task.
const maxPayloadBytes = 1 << 20

// Payload tells the endpoint how to run a task.
type Payload struct {
	// WorkMS is how long the task takes, in milliseconds.
	WorkMS float64 `json:"work_ms"`
	// Fail makes the task fail.
	Fail bool `json:"fail,omitempty"`
	// Note is copied to the result.
	Note string `json:"note,omitempty"`
}

// Result is the result of a task.
type Result struct {
	Note string `json:"note,omitempty"`
	Task string `json:"task"`
}

// Behaviour describes the faults of an endpoint. The zero value has none.
type Behaviour struct {
	// FailAll makes every task fail after FailAfter.
	FailAll   bool
	FailAfter time.Duration
	// Slowdown multiplies the run time of every task; zero means one.
	Slowdown float64
}

// Endpoint is one sample endpoint. It is safe for concurrent use.
type Endpoint struct {
	clock     clockwork.Clock
	starts    *Starts
	index     int
	mu        sync.Mutex
	behaviour Behaviour
}

// New returns an endpoint that records its task starts in the given record.
func New(clock clockwork.Clock, starts *Starts) *Endpoint {
	return &Endpoint{clock: clock, starts: starts, index: starts.registerEndpoint()}
}

// SetBehaviour replaces the faults of the endpoint.
func (e *Endpoint) SetBehaviour(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
}

func (e *Endpoint) currentBehaviour() Behaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.behaviour
}

// ServeHTTP runs one task.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxPayloadBytes))
	task := r.Header.Get(endpoint.HeaderKey)
	if err != nil || task == "" {
		w.Header().Set(endpoint.HeaderNotStarted, "true")
		http.Error(w, "the request has no whole body or no Idempotency-Key", http.StatusBadRequest)
		return
	}
	start := e.clock.Now()
	e.starts.recordStart(task)
	defer func() { e.starts.recordRun(Run{Endpoint: e.index, Task: task, From: start, To: e.clock.Now()}) }()
	var p Payload
	if err := json.Unmarshal(raw, &p); err != nil {
		http.Error(w, "the payload is not of the form {\"work_ms\": 50}: "+err.Error(), http.StatusUnprocessableEntity)
		return
	}
	b := e.currentBehaviour()
	if b.FailAll {
		e.clock.Sleep(b.FailAfter)
		http.Error(w, "this endpoint fails everything", http.StatusInternalServerError)
		return
	}
	e.clock.Sleep(b.runTime(p))
	if p.Fail {
		http.Error(w, "the task was told to fail", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the agent has closed the connection.
	_ = json.NewEncoder(w).Encode(Result{Note: p.Note, Task: task})
}

func (b Behaviour) runTime(p Payload) time.Duration {
	slowdown := b.Slowdown
	if slowdown == 0 {
		slowdown = 1
	}
	return time.Duration(p.WorkMS * slowdown * float64(time.Millisecond))
}
