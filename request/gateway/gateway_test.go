package gateway_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/gateway"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/receipt"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/version/access"
	"github.com/corianderhook/corianderhook/wire"
)

// routes gives every request the same answer and counts submissions.
type routes struct {
	answer answer.Answer
	sent   int
	found  int
	// token, where set, is what callers of the team must carry.
	token string
}

func (r *routes) AuthorizeCaller(_, token string) error {
	if token != r.token {
		return access.ErrRefused
	}
	return nil
}

func (r *routes) Receipt(string) receipt.Receipt { return receipt.Receipt{} }

func (r *routes) Submit(context.Context, *submission.Submission, receipt.Receipt, time.Time) answer.Answer {
	r.sent++
	return r.answer
}

func (r *routes) Find(context.Context, string, bool, time.Time) answer.Answer {
	r.found++
	return r.answer
}

func post(r *routes, target, key, body string) (*httptest.ResponseRecorder, gateway.Document) {
	request := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
	request.Header.Set(gateway.HeaderKey, key)
	request.Header.Set(gateway.HeaderTeam, "team")
	w := httptest.NewRecorder()
	gateway.New(r, r, clockwork.NewFakeClock()).Handler().ServeHTTP(w, request)
	var doc gateway.Document
	_ = json.Unmarshal(w.Body.Bytes(), &doc)
	return w, doc
}

const good = `{"kind":"k","tasks":[{"payload":1}]}`

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
			w, doc := post(&routes{answer: c.answer}, "/v1/jobs", "key", good)
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
		"no key":   {"/v1/jobs", "", good},
		"wait":     {"/v1/jobs?wait=soon", "key", good},
		"too long": {"/v1/jobs?wait=1h", "key", good},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &routes{}
			w, doc := post(r, c.target, c.key, c.body)
			is.Equal(w.Code, http.StatusBadRequest)
			is.Equal(doc.Outcome, "not_run")
			is.Equal(doc.Reason, "invalid")
			is.True(doc.Detail != "")
			is.Equal(r.sent, 0)
		})
	}
}

func TestResultsAreReturnedAsJSON(t *testing.T) {
	is := is.New(t)
	a := answer.New(outcome.Complete, "complete", "").WithTasks(2, []*wire.TaskRecord{
		{Index: 0, State: wire.TaskState_TASK_STATE_DONE, Status: 200, Result: []byte(`{"seat": 4}`)},
		{Index: 1, State: wire.TaskState_TASK_STATE_DONE, Status: 200, Result: []byte(`four "seats"`)},
	})
	_, doc := post(&routes{answer: a}, "/v1/jobs", "key", good)
	is.Equal(string(doc.Tasks[0].Result), `{"seat":4}`)
	is.Equal(string(doc.Tasks[1].Result), `"four \"seats\""`)
}

func TestCallerWithoutTokenIsRejected(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for _, authorization := range []string{"", "Bearer other", "Bearer secret"} {
			t.Run(method+" "+authorization, func(t *testing.T) {
				is := is.New(t)
				r := &routes{answer: answer.New(outcome.Complete, "complete", ""), token: "secret"}
				target := "/v1/jobs/key"
				if method == http.MethodPost {
					target = "/v1/jobs"
				}
				request := httptest.NewRequest(method, target, strings.NewReader(good))
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
				is.Equal(r.sent, 0)
				is.Equal(r.found, 0)
				is.True(!strings.Contains(w.Body.String(), "secret"))
			})
		}
	}
}
