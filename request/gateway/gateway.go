// Package gateway is the HTTP interface for callers.
package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/common/bearer"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/receipt"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// HeaderKey carries the caller's key of a job.
	HeaderKey = "Idempotency-Key"
	// HeaderTeam carries the team that the key belongs to.
	HeaderTeam = "Corianderhook-Team"
	// defaultWait and maxWait are how long a request waits for the answer.
	defaultWait = 30 * time.Second
	maxWait     = 5 * time.Minute
	// searchTime is how long an owner is looked for beyond the wait.
	searchTime = 3 * time.Second
	// headerTime and bodyTime bound how long a caller may take to send.
	headerTime = 5 * time.Second
	bodyTime   = 30 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
)

// Routes brings a submission to its owner.
type Router interface {
	Receipt(job string) receipt.Receipt
	Submit(ctx context.Context, s *submission.Submission, at receipt.Receipt, until time.Time) answer.Answer
	Find(ctx context.Context, job string, cancel bool, until time.Time) answer.Answer
}

// Access tells whether a caller may act for a team.
type Authorizer interface {
	AuthorizeCaller(team, token string) error
}

// Gateway serves callers.
type Gateway struct {
	access Authorizer
	routes Router
	clock  clockwork.Clock
}

// New returns a gateway.
func New(routes Router, access Authorizer, clock clockwork.Clock) *Gateway {
	return &Gateway{routes: routes, access: access, clock: clock}
}

// Server returns an HTTP server with the gateway's limits.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: headerTime,
		ReadTimeout:       bodyTime,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Handler serves:
//
//	POST   /v1/jobs         submits a job and waits for its answer
//	GET    /v1/jobs/{key}   returns the answer, or the state of a running job
//	DELETE /v1/jobs/{key}   gives a job up
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", g.submit)
	mux.HandleFunc("GET /v1/jobs/{key}", g.status)
	mux.HandleFunc("DELETE /v1/jobs/{key}", g.cancel)
	return mux
}

func (g *Gateway) submit(w http.ResponseWriter, r *http.Request) {
	team, key := r.Header.Get(HeaderTeam), r.Header.Get(HeaderKey)
	// The receipt is taken first: a refusal bars every attempt received before it.
	at := g.routes.Receipt(team + "/" + key)
	if err := g.access.AuthorizeCaller(team, bearer.Token(r)); err != nil {
		unauthenticated(w, outcome.NotRun, err)
		return
	}
	wait, err := waitTime(r)
	if err != nil {
		invalid(w, err)
		return
	}
	s, err := submission.Read(r.Body, team, key)
	if err != nil {
		invalid(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait+searchTime)
	defer cancel()
	write(w, key, g.routes.Submit(ctx, s, at, g.clock.Now().Add(wait)))
}

// invalid refuses a body that is not a job. That says nothing of other bodies
// that were sent under the same key.
func invalid(w http.ResponseWriter, err error) {
	write(w, "", answer.New(outcome.NotRun, "invalid", err.Error()))
}

// unauthenticated refuses a caller without the team's token. The answer is the
// same whether or not there is such a job.
func unauthenticated(w http.ResponseWriter, o outcome.Outcome, err error) {
	w.Header().Set("WWW-Authenticate", "Bearer")
	write(w, "", answer.New(o, "unauthenticated", err.Error()))
}

// waitTime reads the parameter "wait", a time such as 500ms or 2s.
func waitTime(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return defaultWait, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, errors.Errorf("parameter %q is %q; it must be a time from 0s to %s", "wait", text, maxWait)
	}
	return wait, nil
}

func (g *Gateway) status(w http.ResponseWriter, r *http.Request) { g.find(w, r, false) }

func (g *Gateway) cancel(w http.ResponseWriter, r *http.Request) { g.find(w, r, true) }

func (g *Gateway) find(w http.ResponseWriter, r *http.Request, cancel bool) {
	team, key := r.Header.Get(HeaderTeam), r.PathValue("key")
	if err := g.access.AuthorizeCaller(team, bearer.Token(r)); err != nil {
		unauthenticated(w, outcome.Unknown, err)
		return
	}
	if err := submission.CheckNames(team, key); err != nil {
		invalid(w, err)
		return
	}
	wait, err := waitTime(r)
	if err != nil {
		invalid(w, err)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), wait+searchTime)
	defer stop()
	write(w, key, g.routes.Find(ctx, team+"/"+key, cancel, g.clock.Now().Add(wait)))
}

// Document is the body of an answer. Problems have the fields of RFC 9457 too.
type Document struct {
	Type    string         `json:"type,omitempty"`
	Title   string         `json:"title,omitempty"`
	Status  int            `json:"status,omitempty"`
	Detail  string         `json:"detail,omitempty"`
	Job     string         `json:"job,omitempty"`
	Outcome string         `json:"outcome"`
	Reason  string         `json:"reason,omitempty"`
	Tasks   []TaskDocument `json:"tasks,omitempty"`
}

// TaskDocument is what is known of one task.
type TaskDocument struct {
	Index  uint32 `json:"index"`
	State  string `json:"state"`
	Status int32  `json:"status,omitempty"`
	// Result is the endpoint's answer: as it is where it is JSON, else as a string.
	Result json.RawMessage `json:"result,omitempty"`
	Detail string          `json:"detail,omitempty"`
}

var statusOf = map[outcome.Outcome]int{
	outcome.Pending:  http.StatusAccepted,
	outcome.Complete: http.StatusOK,
	outcome.Failed:   http.StatusBadGateway,
	outcome.NotRun:   http.StatusServiceUnavailable,
	outcome.Unknown:  http.StatusGatewayTimeout,
}

var statusOfReason = map[string]int{
	"unauthenticated":  http.StatusUnauthorized,
	"invalid":          http.StatusBadRequest,
	"key-conflict":     http.StatusUnprocessableEntity,
	"key-expired":      http.StatusUnprocessableEntity,
	"unknown-team":     http.StatusForbidden,
	"unknown-kind":     http.StatusUnprocessableEntity,
	"quota-rate":       http.StatusTooManyRequests,
	"quota-concurrent": http.StatusTooManyRequests,
	"overload":         http.StatusTooManyRequests,
	"not-found":        http.StatusNotFound,
}

func write(w http.ResponseWriter, key string, a answer.Answer) {
	code, special := statusOfReason[a.Reason()]
	if !special {
		code = statusOf[a.Outcome()]
	}
	doc := describe(key, a)
	contentType := "application/json"
	if code >= http.StatusBadRequest {
		contentType = "application/problem+json"
		doc.Type = "https://corianderhook.example/problems/" + a.Reason()
		doc.Title = a.Outcome().String() + ": " + a.Reason()
		doc.Status = code
	}
	w.Header().Set("Content-Type", contentType)
	if after := a.RetryAfter(); after > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	}
	if a.Outcome() == outcome.Pending && key != "" {
		w.Header().Set("Location", "/v1/jobs/"+key)
	}
	w.WriteHeader(code)
	// A failed write means that the caller is gone; its answer is kept.
	_ = json.NewEncoder(w).Encode(doc)
}

func describe(key string, a answer.Answer) Document {
	doc := Document{Job: key, Outcome: a.Outcome().String(), Reason: a.Reason(), Detail: a.Detail()}
	for _, r := range a.Records() {
		doc.Tasks = append(doc.Tasks, describeTask(r))
	}
	return doc
}

var stateNames = map[wire.TaskState]string{
	wire.TaskState_TASK_STATE_RUNNING:     "running",
	wire.TaskState_TASK_STATE_DONE:        "done",
	wire.TaskState_TASK_STATE_FAILED:      "failed",
	wire.TaskState_TASK_STATE_UNKNOWN:     "unknown",
	wire.TaskState_TASK_STATE_NOT_STARTED: "not_started",
}

func describeTask(r *wire.TaskRecord) TaskDocument {
	t := TaskDocument{Index: r.GetIndex(), State: stateNames[r.GetState()], Status: r.GetStatus(), Detail: r.GetDetail()}
	if len(r.GetResult()) == 0 {
		return t
	}
	if json.Valid(r.GetResult()) {
		t.Result = r.GetResult()
		return t
	}
	text, err := json.Marshal(string(r.GetResult()))
	if err != nil {
		t.Detail = "the result cannot be shown: " + err.Error()
		return t
	}
	t.Result = text
	return t
}
