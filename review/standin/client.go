package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/corianderhook/corianderhook/platform/standin/caller"
	"github.com/corianderhook/corianderhook/platform/standin/operator"
)

// The header with the time for which a caller waits. Its name is put together here since the
// names of the platform's messages may be written out in platform/ only.
const budgetHeader = "Deadline" + "-Ms"

var lastID atomic.Uint64

// newJob returns a job with one step.
func newJob(tasks int, runTime time.Duration, cpu int, budget time.Duration) caller.Job {
	id := fmt.Sprintf("%08x%08x", uint32(time.Now().Unix()), lastID.Add(1))
	return caller.Job{ID: id, Tasks: tasks, RunTime: runTime, CPU: cpu, Budget: budget}
}

// attempt is the result of one request; status is 0 if no complete answer came.
type attempt struct {
	status int
	text   string
}

// submit sends a job on a channel of its own and waits for the answer.
func (s *site) submit(address string, j caller.Job) attempt {
	return s.call(s.record.ctx, http.MethodPost, address, j.ID, j.Body(), j.Budget)
}

// call sends a request on a channel of its own. A client waits for its budget.
func (s *site) call(ctx context.Context, method, address, id, body string, budget time.Duration) attempt {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+operator.Prefix+id, strings.NewReader(body))
	if err != nil {
		return attempt{text: err.Error()}
	}
	r.Host = operator.Host
	r.Header.Set(budgetHeader, strconv.FormatInt(budget.Milliseconds(), 10))
	r.GetBody = nil
	s.record.add("client sends %s %s to %s, waits %s", method, id, address, budget)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		s.record.add("client has no answer to %s %s: %v", method, id, err)
		return attempt{text: err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.record.add("client has no whole answer to %s %s: %v", method, id, err)
		return attempt{text: err.Error()}
	}
	a := attempt{status: response.StatusCode, text: strings.TrimSpace(string(text))}
	s.record.add("client gets %d %s for %s %s", a.status, a.text, method, id)
	return a
}
