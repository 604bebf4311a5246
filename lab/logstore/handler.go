package logstore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/connection/logclient"
)

// maxReadWait limits how long a read waits for records.
const maxReadWait = 30 * time.Second

// Handler returns an HTTP handler of the store:
//
//	POST /v1/streams/{name}                       appends the body
//	GET  /v1/streams/{name}?from=N&wait_ms=N      reads a batch
//	GET  /v1/faults, PUT /v1/faults               returns and sets the faults
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{name}", s.serveAppend)
	mux.HandleFunc("GET /v1/streams/{name}", s.serveRead)
	mux.HandleFunc("GET /v1/faults", s.serveFaults)
	mux.HandleFunc("PUT /v1/faults", s.serveSetFaults)
	return mux
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	record, err := io.ReadAll(io.LimitReader(r.Body, MaxRecordBytes+1))
	if err != nil {
		http.Error(w, "the body was cut off", http.StatusBadRequest)
		return
	}
	offset, err := s.Append(r.Context(), r.PathValue("name"), record)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, logclient.AppendResponse{Offset: offset})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, `parameter "from" is not an offset`, http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err != nil || ms < 0 {
		http.Error(w, `parameter "wait_ms" is not a time in milliseconds`, http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(ms)*time.Millisecond, maxReadWait)
	batch, err := s.Read(r.Context(), r.PathValue("name"), from, wait)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, batch)
}

func (s *Store) serveFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) }

func (s *Store) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f logclient.Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, "the body is not a set of faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if f.DelayMS < 0 || f.LostResponseShare < 0 || f.LostResponseShare > 1 {
		http.Error(w, "delay_ms must not be negative and lose_answers must be 0 to 1", http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, ErrTooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: a failed write means that the client has disconnected, and it
	// will retry.
	_ = json.NewEncoder(w).Encode(body)
}
