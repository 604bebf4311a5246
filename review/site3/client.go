package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// send sends a request with a JSON body, unless that is nil, and returns the status of the answer.
func send(client *http.Client, method, url, host string, body any, header map[string]string) (int, error) {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, url, content)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if host != "" {
		request.Host = host
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// step is a step of a job.
type step struct {
	count, cpu, memory int
	estimate           time.Duration
	after              []int
	// spread is the number of its tasks that one executor may run, 0 for any number.
	spread int
}

// newJob returns the body of a job whose tasks do the same work.
func newJob(w work, steps ...step) map[string]any {
	spec, err := json.Marshal(w)
	if err != nil {
		panic(err) // Numbers can always be encoded.
	}
	list := make([]map[string]any, 0, len(steps))
	for _, s := range steps {
		body := map[string]any{"count": s.count, "cpu": s.cpu, name("memory"): s.memory, name("estimate"): s.estimate.Milliseconds()}
		if len(s.after) > 0 {
			body["after"] = s.after
		}
		if s.spread > 0 {
			body[name("spread")] = s.spread
		}
		list = append(list, body)
	}
	return map[string]any{"spec": string(spec), name("not kept"): true, "steps": list}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// caller is a client with channels of its own to the dispatchers.
type caller struct {
	record *record
	client *http.Client
	quiet  bool
	prefix string
}

func newCaller(r *record) *caller {
	return &caller{record: r, prefix: prefix, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// submit hands a job in and returns the status of the answer; 0 is none.
func (c *caller) submit(front, id string, j map[string]any, patience time.Duration) int {
	return c.submitFor(front, id, j, patience, patience+500*time.Millisecond)
}

// submitFor does the same, and waits for any answer for the given time, however long that which the
// request tells.
func (c *caller) submitFor(front, id string, j map[string]any, patience, timeout time.Duration) int {
	if !c.quiet {
		c.record.note("client sends job %s to %s, waits for %s", id, front, patience)
	}
	client := *c.client
	client.Timeout = timeout
	header := map[string]string{name("budget"): strconv.FormatInt(patience.Milliseconds(), 10)}
	status, err := send(&client, http.MethodPost, "http://"+front+c.prefix+id, host, j, header)
	if !c.quiet {
		c.record.note("job %s is answered %s", id, result(status, err))
	}
	return status
}

// cancel cancels a job and returns the status of the answer; 0 is none.
func (c *caller) cancel(front, id string) int {
	client := *c.client
	client.Timeout = 10 * time.Second
	status, err := send(&client, http.MethodDelete, "http://"+front+c.prefix+id, host, nil, nil)
	if !c.quiet {
		c.record.note("the cancelling of job %s at %s is answered %s", id, front, result(status, err))
	}
	return status
}

func result(status int, err error) string {
	if err != nil {
		return "by nothing: " + strings.TrimSpace(err.Error())
	}
	return strconv.Itoa(status)
}
