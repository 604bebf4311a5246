// Package sample is an endpoint for the demonstration, the experiments and the
// tests. It keeps its own record of what it started, independent of the
// dispatcher's.
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

// maxPayloadBytes is the largest payload that the endpoint takes.
const maxPayloadBytes = 1 << 20

// Payload is what a task asks the endpoint to do.
type Payload struct {
	// WorkMS is how long the task takes, in milliseconds.
	WorkMS float64 `json:"work_ms"`
	// Fail makes the task fail.
	Fail bool `json:"fail,omitempty"`
	// Note comes back in the result.
	Note string `json:"note,omitempty"`
}

// Result is what a task returns.
type Result struct {
	Note string `json:"note,omitempty"`
	Task string `json:"task"`
}

// Behaviour is what an endpoint does wrong.
type Behaviour struct {
	// FailAll fails every task, after FailAfter.
	FailAll   bool
	FailAfter time.Duration
	// Slowdown multiplies the time of every task; zero is one.
	Slowdown float64
}

// Endpoint is one sample endpoint. It is safe for concurrent use.
type Endpoint struct {
	clock     clockwork.Clock
	starts    *Starts
	number    int
	mu        sync.Mutex
	behaviour Behaviour
}

// New returns an endpoint that records its starts in the given record.
func New(clock clockwork.Clock, starts *Starts) *Endpoint {
	return &Endpoint{clock: clock, starts: starts, number: starts.enrol()}
}

// SetBehaviour replaces what the endpoint does wrong.
func (e *Endpoint) SetBehaviour(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
}

func (e *Endpoint) now() Behaviour {
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
	began := e.clock.Now()
	e.starts.add(task)
	defer func() { e.starts.end(Run{Endpoint: e.number, Task: task, From: began, To: e.clock.Now()}) }()
	var p Payload
	if err := json.Unmarshal(raw, &p); err != nil {
		http.Error(w, "the payload is not of the form {\"work_ms\": 50}: "+err.Error(), http.StatusUnprocessableEntity)
		return
	}
	b := e.now()
	if b.FailAll {
		e.clock.Sleep(b.FailAfter)
		http.Error(w, "this endpoint fails everything", http.StatusInternalServerError)
		return
	}
	e.clock.Sleep(b.duration(p))
	if p.Fail {
		http.Error(w, "the task was told to fail", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the agent is gone.
	_ = json.NewEncoder(w).Encode(Result{Note: p.Note, Task: task})
}

func (b Behaviour) duration(p Payload) time.Duration {
	slowdown := b.Slowdown
	if slowdown == 0 {
		slowdown = 1
	}
	return time.Duration(p.WorkMS * slowdown * float64(time.Millisecond))
}
