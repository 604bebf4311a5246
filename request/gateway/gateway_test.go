package gateway_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/gateway"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/receipt"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/version/access"
	"github.com/corianderhook/corianderhook/wire"
)

// fakeRouter returns the same answer to every request and counts the calls. It is
// the Authorizer too.
type fakeRouter struct {
	answer      answer.Answer
	submissions int
	lookups     int
	// token is the token that callers must send; empty if they must send none.
	token string
}

func (r *fakeRouter) AuthorizeCaller(_, token string) error {
	if token != r.token {
		return access.ErrRefused
	}
	return nil
}

func (r *fakeRouter) Receipt(string) receipt.Receipt { return receipt.Receipt{} }

func (r *fakeRouter) Submit(context.Context, *submission.Submission, receipt.Receipt, time.Time) answer.Answer {
	r.submissions++
	return r.answer
}

func (r *fakeRouter) Find(context.Context, string, bool, time.Time) answer.Answer {
	r.lookups++
	return r.answer
}

func post(r *fakeRouter, target, key, body string) (*httptest.ResponseRecorder, gateway.Document) {
	request := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
	request.Header.Set(gateway.HeaderKey, key)
	request.Header.Set(gateway.HeaderTeam, "team")
	w := httptest.NewRecorder()
	gateway.New(r, r, clockwork.NewFakeClock()).Handler().ServeHTTP(w, request)
	var doc gateway.Document
	_ = json.Unmarshal(w.Body.Bytes(), &doc)
	return w, doc
}

const validJob = `{"kind":"k","tasks":[{"payload":1}]}`

func TestOutcomesMapToStatusAndProblem(t *testing.T) {
	for name, c := range map[string]struct {
		answer answer.Answer
		code   int
		retry  string
	}{
		"complete":  {answer.New(outcome.Complete, "complete", ""), 200, ""},
		"pending":   {answer.New(outcome.Pending, "running", ""), 202, ""},
		"failed":    {answer.New(outcome.Failed, "task-failed", ""), 502, ""},
		"unknown":   {answer.New(outcome.Unknown, "task-unknown", ""), 504, ""},
		"overload":  {answer.New(outcome.NotRun, "overload", "").WithRetryAfter(1500 * time.Millisecond), 429, "2"},
		"conflict":  {answer.New(outcome.NotRun, "key-conflict", ""), 422, ""},
		"not owner": {answer.New(outcome.Unknown, "owner-unreachable", "").WithRetryAfter(2 * time.Second), 504, "2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, doc := post(&fakeRouter{answer: c.answer}, "/v1/jobs", "key", validJob)
			is.Equal(w.Code, c.code)
			is.Equal(w.Header().Get("Retry-After"), c.retry)
			is.Equal(doc.Outcome, c.answer.Outcome().String())
			problem := w.Header().Get("Content-Type") == "application/problem+json"
			is.Equal(problem, c.code >= 400)
			is.Equal(doc.Status != 0, problem)
		})
	}
}

func TestInvalidRequestIsNotSubmitted(t *testing.T) {
	for name, c := range map[string]struct{ target, key, body string }{
		"body":     {"/v1/jobs", "key", `{"kind":`},
		"no key":   {"/v1/jobs", "", validJob},
		"wait":     {"/v1/jobs?wait=soon", "key", validJob},
		"too long": {"/v1/jobs?wait=1h", "key", validJob},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &fakeRouter{}
			w, doc := post(r, c.target, c.key, c.body)
			is.Equal(w.Code, http.StatusBadRequest)
			is.Equal(doc.Outcome, "not_run")
			is.Equal(doc.Reason, "invalid")
			is.True(doc.Detail != "")
			is.Equal(r.submissions, 0)
		})
	}
}

// refusal is the error of a body that is not received to its end.
type refusal int

func (r refusal) Error() string { return "refused" }

func (r refusal) Status(h http.Header) int {
	h.Set("Connection", "close")
	return int(r)
}

// A body that is not received to its end, or is announced with too much, is not submitted, and the
// answer names no key, as it says nothing about other requests with it.
func TestUnreceivedBodyIsNotSubmitted(t *testing.T) {
	for name, c := range map[string]struct {
		body   io.Reader
		length int64
		code   int
		reason string
	}{
		"stalled":   {iotest.ErrReader(refusal(http.StatusRequestTimeout)), -1, 408, "incomplete"},
		"no room":   {iotest.ErrReader(refusal(http.StatusServiceUnavailable)), -1, 503, "no-room"},
		"too large": {iotest.ErrReader(errors.New("the body must not be read")), submission.MaxBodyBytes + 1, 413, "too-large"},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := &fakeRouter{}
			request := httptest.NewRequest(http.MethodPost, "/v1/jobs", c.body)
			request.ContentLength = c.length
			request.Header.Set(gateway.HeaderKey, "key")
			request.Header.Set(gateway.HeaderTeam, "team")
			w := httptest.NewRecorder()
			gateway.New(r, r, clockwork.NewFakeClock()).Handler().ServeHTTP(w, request)
			var doc gateway.Document
			i.NoErr(json.Unmarshal(w.Body.Bytes(), &doc))
			i.Equal(w.Code, c.code)
			i.Equal(doc.Reason, c.reason)
			i.Equal(doc.Outcome, "not_run")
			i.Equal(doc.Job, "")
			i.Equal(w.Header().Get("Connection"), "close")
			i.Equal(r.submissions, 0)
		})
	}
}

func TestResultsAreReturnedAsJSON(t *testing.T) {
	is := is.New(t)
	a := answer.New(outcome.Complete, "complete", "").WithTasks(2, []*wire.TaskRecord{
		{Index: 0, State: wire.TaskState_TASK_STATE_DONE, Status: 200, Result: []byte(`{"seat": 4}`)},
		{Index: 1, State: wire.TaskState_TASK_STATE_DONE, Status: 200, Result: []byte(`four "seats"`)},
	})
	_, doc := post(&fakeRouter{answer: a}, "/v1/jobs", "key", validJob)
	is.Equal(string(doc.Tasks[0].Result), `{"seat":4}`)
	is.Equal(string(doc.Tasks[1].Result), `"four \"seats\""`)
}

func TestCallerWithoutTokenIsRejected(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for _, authorization := range []string{"", "Bearer other", "Bearer secret"} {
			t.Run(method+" "+authorization, func(t *testing.T) {
				is := is.New(t)
				r := &fakeRouter{answer: answer.New(outcome.Complete, "complete", ""), token: "secret"}
				target := "/v1/jobs/key"
				if method == http.MethodPost {
					target = "/v1/jobs"
				}
				request := httptest.NewRequest(method, target, strings.NewReader(validJob))
				request.Header.Set(gateway.HeaderKey, "key")
				request.Header.Set(gateway.HeaderTeam, "team")
				request.Header.Set("Authorization", authorization)
				w := httptest.NewRecorder()
				gateway.New(r, r, clockwork.NewFakeClock()).Handler().ServeHTTP(w, request)
				if authorization == "Bearer secret" {
					is.Equal(w.Code, http.StatusOK)
					return
				}
				is.Equal(w.Code, http.StatusUnauthorized)
				is.Equal(r.submissions, 0)
				is.Equal(r.lookups, 0)
				is.True(!strings.Contains(w.Body.String(), "secret"))
			})
		}
	}
}
