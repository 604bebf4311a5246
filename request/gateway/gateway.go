// Package gateway implements the HTTP API for callers.
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
	// HeaderTeam carries the team to which the key belongs.
	HeaderTeam = "Corianderhook-Team"
	// A request waits defaultWaitTime for the answer unless it sets a wait of up
	// to maxWaitTime.
	defaultWaitTime = 30 * time.Second
	maxWaitTime     = 5 * time.Minute
	// ownerLookupTime is added to the wait, so that the owner can still be found.
	ownerLookupTime = 3 * time.Second
	// readHeaderTimeout limits how long a caller may take to send the headers, idleTimeout how
	// long a connection stays open without a request.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxHeaderBytes limits the size of the headers of a request.
	maxHeaderBytes = 16 << 10
)

// Router forwards submissions and lookups to the owner of the job.
type Router interface {
	Receipt(job string) receipt.Receipt
	Submit(ctx context.Context, s *submission.Submission, rcpt receipt.Receipt, until time.Time) answer.Answer
	Find(ctx context.Context, job string, cancel bool, until time.Time) answer.Answer
}

// Authorizer decides whether a caller may act for a team.
type Authorizer interface {
	AuthorizeCaller(team, token string) error
}

// countedBody is a body for which the server counts what its job takes. Keep returns an error if
// there is no room.
type countedBody interface{ Keep(bytes int64) error }

// bodyRefusal is the error of reading a body that the server does not receive to its end.
type bodyRefusal interface {
	error
	// Status returns the HTTP status and sets the headers that belong to it.
	Status(h http.Header) int
}

// Gateway handles the requests of callers.
type Gateway struct {
	authorizer Authorizer
	router     Router
	clock      clockwork.Clock
}

// New returns a gateway.
func New(router Router, authorizer Authorizer, clock clockwork.Clock) *Gateway {
	return &Gateway{router: router, authorizer: authorizer, clock: clock}
}

// Server returns an HTTP server with the gateway's limits. Its listener bounds the bodies.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Handler serves:
//
//	POST   /v1/jobs         submits a job and waits for its answer
//	GET    /v1/jobs/{key}   returns the answer, or the state of a running job
//	DELETE /v1/jobs/{key}   cancels a job
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", g.submit)
	mux.HandleFunc("GET /v1/jobs/{key}", g.status)
	mux.HandleFunc("DELETE /v1/jobs/{key}", g.cancel)
	return mux
}

func (g *Gateway) submit(w http.ResponseWriter, r *http.Request) {
	team, key := r.Header.Get(HeaderTeam), r.Header.Get(HeaderKey)
	// The receipt is created before anything else, so that it dates the arrival: a
	// refusal of the key also applies to every attempt received before it.
	rcpt := g.router.Receipt(team + "/" + key)
	if err := g.authorizer.AuthorizeCaller(team, bearer.Token(r)); err != nil {
		writeUnauthenticated(w, outcome.NotRun, err)
		return
	}
	wait, err := parseWaitTime(r)
	if err != nil {
		writeInvalid(w, err)
		return
	}
	s, err := readSubmission(r, team, key)
	if err != nil {
		writeUnread(w, err)
		return
	}
	if body, ok := r.Body.(countedBody); ok {
		if err := body.Keep(s.HeldBytes()); err != nil {
			writeUnread(w, err)
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait+ownerLookupTime)
	defer cancel()
	writeAnswer(w, key, g.router.Submit(ctx, s, rcpt, g.clock.Now().Add(wait)))
}

// writeInvalid rejects a malformed request. The answer has no key, since it says
// nothing about other requests sent under the same key.
func writeInvalid(w http.ResponseWriter, err error) {
	writeAnswer(w, "", answer.New(outcome.NotRun, "invalid", err.Error()))
}

// readSubmission reads a job. A body that is announced with more than the limit is not read.
func readSubmission(r *http.Request, team, key string) (*submission.Submission, error) {
	if r.ContentLength > submission.MaxBodyBytes {
		return nil, submission.ErrTooLarge
	}
	return submission.Read(r.Body, team, key)
}

// writeUnread rejects a request whose body has not been read, or is not a job. The rest of the
// body is not read. Like those of writeInvalid, the answers have no key.
func writeUnread(w http.ResponseWriter, err error) {
	var refusal bodyRefusal
	switch {
	case errors.As(err, &refusal):
		reason, found := reasonByStatus[refusal.Status(w.Header())]
		if !found {
			reason = "no-room"
		}
		writeAnswer(w, "", answer.New(outcome.NotRun, reason, refusal.Error()))
	case errors.Is(err, submission.ErrTooLarge):
		w.Header().Set("Connection", "close")
		writeAnswer(w, "", answer.New(outcome.NotRun, "too-large", err.Error()))
	default:
		writeInvalid(w, err)
	}
}

// writeUnauthenticated rejects a caller without the team's token. The answer does
// not reveal whether the job exists.
func writeUnauthenticated(w http.ResponseWriter, o outcome.Outcome, err error) {
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeAnswer(w, "", answer.New(o, "unauthenticated", err.Error()))
}

// parseWaitTime parses the query parameter "wait", a duration such as 500ms or 2s.
func parseWaitTime(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return defaultWaitTime, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWaitTime {
		return 0, errors.Errorf("parameter %q is %q; it must be a time from 0s to %s", "wait", text, maxWaitTime)
	}
	return wait, nil
}

func (g *Gateway) status(w http.ResponseWriter, r *http.Request) { g.find(w, r, false) }

func (g *Gateway) cancel(w http.ResponseWriter, r *http.Request) { g.find(w, r, true) }

func (g *Gateway) find(w http.ResponseWriter, r *http.Request, cancel bool) {
	team, key := r.Header.Get(HeaderTeam), r.PathValue("key")
	if err := g.authorizer.AuthorizeCaller(team, bearer.Token(r)); err != nil {
		writeUnauthenticated(w, outcome.Unknown, err)
		return
	}
	if err := submission.CheckNames(team, key); err != nil {
		writeInvalid(w, err)
		return
	}
	wait, err := parseWaitTime(r)
	if err != nil {
		writeInvalid(w, err)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), wait+ownerLookupTime)
	defer stop()
	writeAnswer(w, key, g.router.Find(ctx, team+"/"+key, cancel, g.clock.Now().Add(wait)))
}

// Document is the body of an answer. Errors also have the fields of an RFC 9457
// problem document.
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

// TaskDocument is the state of one task in an answer.
type TaskDocument struct {
	Index  uint32 `json:"index"`
	State  string `json:"state"`
	Status int32  `json:"status,omitempty"`
	// Result is the endpoint's response: unchanged if it is valid JSON, otherwise
	// as a JSON string.
	Result json.RawMessage `json:"result,omitempty"`
	Detail string          `json:"detail,omitempty"`
}

var statusByOutcome = map[outcome.Outcome]int{
	outcome.Pending:  http.StatusAccepted,
	outcome.Complete: http.StatusOK,
	outcome.Failed:   http.StatusBadGateway,
	outcome.NotRun:   http.StatusServiceUnavailable,
	outcome.Unknown:  http.StatusGatewayTimeout,
}

var statusByReason = map[string]int{
	"unauthenticated":  http.StatusUnauthorized,
	"invalid":          http.StatusBadRequest,
	"incomplete":       http.StatusRequestTimeout,
	"too-large":        http.StatusRequestEntityTooLarge,
	"key-conflict":     http.StatusUnprocessableEntity,
	"key-expired":      http.StatusUnprocessableEntity,
	"unknown-team":     http.StatusForbidden,
	"unknown-kind":     http.StatusUnprocessableEntity,
	"quota-rate":       http.StatusTooManyRequests,
	"quota-concurrent": http.StatusTooManyRequests,
	"overload":         http.StatusTooManyRequests,
	"not-found":        http.StatusNotFound,
}

// reasonByStatus holds the reasons of bodies that the server refuses; that of others is "no-room".
var reasonByStatus = map[int]string{
	http.StatusRequestTimeout:        "incomplete",
	http.StatusRequestEntityTooLarge: "too-large",
}

func writeAnswer(w http.ResponseWriter, key string, a answer.Answer) {
	code, found := statusByReason[a.Reason()]
	if !found {
		code = statusByOutcome[a.Outcome()]
	}
	doc := newDocument(key, a)
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
	// A failed write means that the caller has disconnected; the owner retains
	// the answer.
	_ = json.NewEncoder(w).Encode(doc)
}

func newDocument(key string, a answer.Answer) Document {
	doc := Document{Job: key, Outcome: a.Outcome().String(), Reason: a.Reason(), Detail: a.Detail()}
	for _, r := range a.Records() {
		doc.Tasks = append(doc.Tasks, newTaskDocument(r))
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

func newTaskDocument(r *wire.TaskRecord) TaskDocument {
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
