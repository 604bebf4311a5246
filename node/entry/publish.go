package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/corianderhook/corianderhook/connection/guard"
	"github.com/corianderhook/corianderhook/process/audit"
	"github.com/corianderhook/corianderhook/version/publication"
)

const (
	// maxConfigBytes bounds one published file.
	maxConfigBytes = 1 << 20
	// verdictTime is how long an operator waits for what became of a change.
	verdictTime = 4 * time.Second
)

// PublishRequest is the body of POST /v1/config.
type PublishRequest struct {
	File string `json:"file"`
	// Base is the version that the change replaces; nothing takes the one in force.
	Base *uint64 `json:"base,omitempty"`
	Text string  `json:"text"`
}

// PublishAnswer tells what became of a change. A conflict shows what is in force.
type PublishAnswer struct {
	Change   string            `json:"change,omitempty"`
	File     string            `json:"file"`
	Version  uint64            `json:"version"`
	Accepted bool              `json:"accepted"`
	Reason   string            `json:"reason,omitempty"`
	InForce  *publication.File `json:"in_force,omitempty"`
}

func (e *Entry) showConfig(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, http.StatusOK, e.published.Load())
}

// publish appends a change for an operator and tells what became of it.
func (e *Entry) publish(w http.ResponseWriter, r *http.Request) {
	var request PublishRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		answerJSON(w, http.StatusBadRequest, PublishAnswer{Reason: "the body is not a change: " + err.Error()})
		return
	}
	base := e.published.Load().Files[request.File].Version
	if request.Base != nil {
		base = *request.Base
	}
	change := publication.Change{
		ID: uuid.NewString(), File: request.File, Base: base, Author: guard.Operator(r.Context()), From: r.RemoteAddr, Text: request.Text,
	}
	code, answer := e.publishChange(r.Context(), change)
	answerJSON(w, code, answer)
	e.trail.Add(audit.ConfigChange(change, answer.Version, answer.Accepted, answer.Reason))
}

func (e *Entry) publishChange(ctx context.Context, c publication.Change) (int, PublishAnswer) {
	ctx, cancel := context.WithTimeout(ctx, verdictTime)
	defer cancel()
	answer := PublishAnswer{Change: c.ID, File: c.File}
	verdicts := e.awaitVerdict(c.ID)
	defer e.forgetVerdict(c.ID)
	raw, err := json.Marshal(publication.Record{Change: &c})
	if err != nil {
		answer.Reason = err.Error()
		return http.StatusBadRequest, answer
	}
	_, appendErr := e.deps.Log.Append(ctx, publication.Stream, raw)
	select {
	case v := <-verdicts:
		return e.judged(v, answer)
	case <-ctx.Done():
	}
	answer.Reason = "whether the change was published is not known: the log did not return it in time"
	if appendErr != nil {
		answer.Reason = "whether the change was published is not known: " + appendErr.Error()
	}
	return http.StatusGatewayTimeout, answer
}

func (e *Entry) judged(v publication.ApplyResult, answer PublishAnswer) (int, PublishAnswer) {
	answer.Version, answer.Accepted, answer.Reason = v.Version, v.Accepted, v.Reason
	if v.Accepted {
		return http.StatusOK, answer
	}
	inForce := e.published.Load().Files[answer.File]
	answer.InForce = &inForce
	return http.StatusConflict, answer
}

func (e *Entry) awaitVerdict(id string) <-chan publication.ApplyResult {
	e.adoptMu.Lock()
	defer e.adoptMu.Unlock()
	waiter := make(chan publication.ApplyResult, 1)
	e.verdicts[id] = waiter
	return waiter
}

func (e *Entry) forgetVerdict(id string) {
	e.adoptMu.Lock()
	defer e.adoptMu.Unlock()
	delete(e.verdicts, id)
}

func answerJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A failed write means that the reader is gone.
	_ = json.NewEncoder(w).Encode(body)
}
