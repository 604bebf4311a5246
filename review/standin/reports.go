package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/corianderhook/corianderhook/platform/standin/endpoint"
)

// reports passes the status reports of an endpoint on to its sidecar.
type reports struct {
	sidecar string
	mu      sync.Mutex
	path    string
	last    []byte
}

// ServeHTTP passes a report on.
func (p *reports) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.path, p.last = r.URL.Path, body
	p.mu.Unlock()
	status, err := p.send(r.URL.Path, body)
	if err != nil {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
}

func (p *reports) send(path string, body []byte) (int, error) {
	r, err := http.NewRequest(http.MethodPut, "http://"+p.sidecar+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// sendNow sends the first report of an endpoint that has just started again.
func (p *reports) sendNow(e *endpoint.Endpoint) error {
	list, err := http.NewRequest(http.MethodPost, "/hold", strings.NewReader("{}"))
	if err != nil {
		return err
	}
	answer := &statusWriter{header: http.Header{}, status: http.StatusOK}
	e.Handler().ServeHTTP(answer, list)
	var state struct {
		Born json.Number `json:"born"`
	}
	if err := json.Unmarshal(answer.body.Bytes(), &state); err != nil {
		return err
	}
	p.mu.Lock()
	path, last := p.path, p.last
	p.mu.Unlock()
	if last == nil {
		return errors.New("the endpoint has not reported yet")
	}
	var report map[string]any
	if err := json.Unmarshal(last, &report); err != nil {
		return err
	}
	report["born"], report["seq"] = state.Born, 0
	body, err := json.Marshal(report)
	if err != nil {
		return err
	}
	if status, err := p.send(path, body); err != nil || status != http.StatusOK {
		return fmt.Errorf("report: status %d, %w", status, err)
	}
	return nil
}
