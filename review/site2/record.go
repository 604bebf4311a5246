package site2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/corianderhook/corianderhook/platform/standin/caller"
	"github.com/corianderhook/corianderhook/platform/standin/operator"
)

// Record writes down what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// ended holds the ends that have been written, since executors list them until they are
	// acknowledged.
	ended map[string]bool
}

// NewRecord returns a record that is written to a file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Record{file: f, began: time.Now(), ended: map[string]bool{}}, nil
}

// Write writes a line with the time since the start.
func (r *Record) Write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// Submit has a client submit a job through the first address, and again through the second one as long
// as there is no final answer.
func (s *Site) Submit(j caller.Job, first, second string) []caller.Attempt {
	c := caller.New(first, s.clock, caller.WithRoute(func(previous caller.Attempt) string {
		to := first
		if !previous.SentAt.IsZero() {
			to = second
		}
		s.Record.Write("client opens a channel to %s for %s", to, j.ID)
		return to
	}))
	defer c.Close()
	attempts := c.Submit(s.ctx, j)
	for _, a := range attempts {
		s.Record.Write("client sent %s %s %s", j.ID, a, a.State)
	}
	return attempts
}

// Cancel has a client cancel a job at an address. It returns when that was acknowledged, the zero time if
// it was not.
func (s *Site) Cancel(id, address string) time.Time {
	request, err := http.NewRequest(http.MethodDelete, "http://"+address+operator.Prefix+id, nil)
	if err != nil {
		panic(err) // The address is a valid one.
	}
	request.Host = operator.Host
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		s.Record.Write("client has no answer to DELETE %s: %v", id, err)
		return time.Time{}
	}
	response.Body.Close()
	s.Record.Write("client gets %d for DELETE %s from %s", response.StatusCode, id, address)
	if response.StatusCode/100 != 2 && response.StatusCode != http.StatusGone {
		return time.Time{}
	}
	return time.Now()
}

// Bystanders sends jobs of other clients, which stay, one every interval, and waits for their
// answers.
func (s *Site) Bystanders(count int, interval time.Duration, fronts ...string) {
	var group sync.WaitGroup
	for i := range count {
		j := caller.Job{ID: fmt.Sprintf("f%015x", i), Tasks: 2, RunTime: 200 * time.Millisecond, CPU: 500, Budget: 1500 * time.Millisecond, NewConnection: true}
		group.Go(func() { s.Submit(j, fronts[i%len(fronts)], fronts[(i+1)%len(fronts)]) })
		time.Sleep(interval)
	}
	group.Wait()
}

// watch writes down the orders that an executor gets and the ends that it lists.
func (r *Record) watch(executor string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		answer := &teeWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(answer, request)
		if strings.HasSuffix(request.URL.Path, "-start") || strings.HasSuffix(request.URL.Path, "-stop") {
			r.Write("%s gets %s %s and answers %d", executor, request.URL.Path, body, answer.status)
			return
		}
		r.writeEnds(executor, answer.text.Bytes())
	})
}

// writeEnds writes down the ends in a list: the rows that begin with a number.
func (r *Record) writeEnds(executor string, text []byte) {
	var lists map[string]any
	if err := json.Unmarshal(text, &lists); err != nil {
		return
	}
	for _, value := range lists {
		rows, _ := value.([]any)
		for _, row := range rows {
			cells, _ := row.([]any)
			if len(cells) == 0 {
				continue
			}
			if _, isEnd := cells[0].(float64); isEnd && r.isNew(fmt.Sprint(executor, cells)) {
				r.Write("%s lists the end %v", executor, cells)
			}
		}
	}
}

func (r *Record) isNew(end string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.ended[end]
	r.ended[end] = true
	return !known
}

// teeWriter keeps what is answered.
type teeWriter struct {
	http.ResponseWriter
	status int
	text   bytes.Buffer
}

// WriteHeader keeps the status.
func (t *teeWriter) WriteHeader(status int) {
	t.status = status
	t.ResponseWriter.WriteHeader(status)
}

func (t *teeWriter) Write(b []byte) (int, error) {
	t.text.Write(b)
	return t.ResponseWriter.Write(b)
}

// Twice returns the descriptions of the tasks that ran twice at the same time, and writes them down.
func (s *Site) Twice() []string {
	var list []string
	for _, v := range s.Runs.Violations() {
		if strings.Contains(v, "runs twice at a time") {
			s.Record.Write("TWICE: %s", v)
			list = append(list, v)
		}
	}
	return list
}

// JudgeTwice applies the rule TWICE. It returns the exit code of a script: 2 if fewer tasks than least have
// started since the number of starts was before.
func (s *Site) JudgeTwice(jobs, before, least int) int {
	overlaps, starts := s.Twice(), s.Runs.Starts()-before
	short := 0
	for _, o := range overlaps {
		if strings.HasPrefix(o, "task d") || strings.HasPrefix(o, "task e") {
			short++
		}
	}
	text := fmt.Sprintf("%d jobs, %d runs, %d tasks twice at the same time, %d of them with the time budget of the site", jobs, starts, len(overlaps), short)
	s.Record.Write("%s", text)
	fmt.Println(text)
	switch {
	case starts < least:
		return 2
	case len(overlaps) > 0:
		return 1
	}
	return 0
}
