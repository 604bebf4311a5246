package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/corianderhook/corianderhook/common/excerpt"
	"github.com/corianderhook/corianderhook/common/segment"
	"github.com/corianderhook/corianderhook/connection/doorway"
	"github.com/corianderhook/corianderhook/connection/guard"
	"github.com/corianderhook/corianderhook/process/audit"
	"github.com/corianderhook/corianderhook/version/publication"
)

const (
	// maxConfigBytes bounds the body of a publish request.
	maxConfigBytes = 1 << 20
	// changeCopies is how many times its length a change takes while it is decoded, put into the log
	// and merged.
	changeCopies = 8
	// applyResultTimeout is how long a publish request waits for the result of its change.
	applyResultTimeout = 4 * time.Second
)

// PublishRequest is the body of POST /v1/config.
type PublishRequest struct {
	File string `json:"file"`
	// Base is the version that the change replaces; without it, the version in force.
	Base *uint64 `json:"base,omitempty"`
	Text string  `json:"text"`
}

// PublishAnswer is the result of a change. If the change was not accepted, InForce holds the
// file in force.
type PublishAnswer struct {
	Change   string            `json:"change,omitempty"`
	File     string            `json:"file"`
	Version  uint64            `json:"version"`
	Accepted bool              `json:"accepted"`
	Reason   string            `json:"reason,omitempty"`
	InForce  *publication.File `json:"in_force,omitempty"`
	// AuditError says why the audit trail may lack the change; it is empty if the record is
	// in the log.
	AuditError string `json:"audit_error,omitempty"`
}

func (e *Entry) showConfig(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.published.Load())
}

// publish appends an operator's change to the log and responds with the result.
func (e *Entry) publish(w http.ResponseWriter, r *http.Request) {
	request, err := readChange(w, r)
	if refusal := doorway.RefusalOf(err); refusal != nil {
		writeJSON(w, refusal.Status(w.Header()), PublishAnswer{Reason: refusal.Error()})
		return
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, PublishAnswer{Reason: "the body is not a change: " + excerpt.Of(err.Error())})
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
	e.auditTrail.Add(audit.ConfigChange(change, answer.Version, answer.Accepted, answer.Reason))
	answer.AuditError = e.flushAudit(r.Context())
	writeJSON(w, code, answer)
}

// readChange reads an operator's change, for which there has to be room.
func readChange(w http.ResponseWriter, r *http.Request) (request PublishRequest, err error) {
	text, err := segment.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		return request, err
	}
	defer text.Release()
	if err := doorway.Keep(r, changeCopies*int64(len(text.Bytes()))); err != nil {
		return request, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text.Bytes()))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&request)
	return request, err
}

// publishChange appends a change and waits until it is read back and applied.
func (e *Entry) publishChange(ctx context.Context, c publication.Change) (int, PublishAnswer) {
	ctx, cancel := context.WithTimeout(ctx, applyResultTimeout)
	defer cancel()
	answer := PublishAnswer{Change: c.ID, File: c.File}
	results := e.awaitApplyResult(c.ID)
	defer e.removeApplyResult(c.ID)
	raw, err := json.Marshal(publication.Record{Change: &c})
	if err != nil {
		answer.Reason = err.Error()
		return http.StatusBadRequest, answer
	}
	_, appendErr := e.deps.Log.Append(ctx, publication.Stream, raw)
	select {
	case result := <-results:
		return e.answerApplyResult(result, answer)
	case <-ctx.Done():
	}
	answer.Reason = "whether the change was published is not known: the log did not return it in time"
	if appendErr != nil {
		answer.Reason = "whether the change was published is not known: " + appendErr.Error()
	}
	return http.StatusGatewayTimeout, answer
}

func (e *Entry) answerApplyResult(result publication.ApplyResult, answer PublishAnswer) (int, PublishAnswer) {
	answer.Version, answer.Accepted, answer.Reason = result.Version, result.Accepted, result.Reason
	if result.Accepted {
		return http.StatusOK, answer
	}
	inForce := e.published.Load().Files[answer.File]
	answer.InForce = &inForce
	return http.StatusConflict, answer
}

func (e *Entry) awaitApplyResult(id string) <-chan publication.ApplyResult {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	results := make(chan publication.ApplyResult, 1)
	e.applyResults[id] = results
	return results
}

func (e *Entry) removeApplyResult(id string) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	delete(e.applyResults, id)
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A failed write means that the client has gone.
	_ = json.NewEncoder(w).Encode(body)
}
