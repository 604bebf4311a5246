// Package endpoint sends tasks to an endpoint as HTTP POST requests.
package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/wire"
)

const (
	// HeaderKey carries the task's name, team/key/index.
	HeaderKey = "Idempotency-Key"
	// HeaderKind carries the kind of the task.
	HeaderKind = "Corianderhook-Kind"
	// HeaderNotStarted is set to true by an endpoint that did not start the task, which
	// may then be sent to another endpoint.
	HeaderNotStarted = "Corianderhook-Not-Started"
	// maxResultBytes limits the result of a task.
	maxResultBytes = 4 << 20
	// dialTimeout limits the time to open a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = time.Minute
)

// Client sends tasks to one endpoint. It is safe for concurrent use.
type Client struct {
	url    string
	clock  clockwork.Clock
	client *http.Client
}

// New returns a client that opens at most the given number of connections.
func New(url string, connections int, clock clockwork.Clock) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		url:   url,
		clock: clock,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxConnsPerHost:     connections,
				MaxIdleConnsPerHost: connections,
				IdleConnTimeout:     idleTimeout,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// nonRewindableBody hides the reader's type from net/http, which resends requests with an
// Idempotency-Key header if it can rewind their body. That could start a task twice.
type nonRewindableBody struct{ io.Reader }

// Do sends a task and returns its outcome. Without a connection for the request, the task
// did not start. If there was a connection but no response, the task may have run.
func (c *Client) Do(ctx context.Context, name string, t *wire.TaskStart) *wire.TaskRecord {
	start := c.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(t.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	record := c.post(ctx, name, t, &gotConn)
	record.Index = t.GetIndex()
	record.ServiceUs = c.clock.Since(start).Microseconds()
	return record
}

func (c *Client) post(ctx context.Context, name string, t *wire.TaskStart, gotConn *atomic.Bool) *wire.TaskRecord {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, nonRewindableBody{bytes.NewReader(t.GetPayload())})
	if err != nil {
		return &wire.TaskRecord{State: wire.TaskState_TASK_STATE_NOT_STARTED, Detail: err.Error()}
	}
	request.ContentLength = int64(len(t.GetPayload()))
	request.Header.Set(HeaderKey, name)
	request.Header.Set(HeaderKind, t.GetKind())
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return errorRecord(err, gotConn)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResultBytes+1))
	if err != nil {
		return &wire.TaskRecord{State: wire.TaskState_TASK_STATE_UNKNOWN, Detail: "the endpoint's answer was cut off: " + err.Error()}
	}
	return responseRecord(response, body)
}

func errorRecord(err error, gotConn *atomic.Bool) *wire.TaskRecord {
	if !gotConn.Load() {
		return &wire.TaskRecord{State: wire.TaskState_TASK_STATE_NOT_STARTED, Detail: "no connection to the endpoint: " + err.Error()}
	}
	return &wire.TaskRecord{State: wire.TaskState_TASK_STATE_UNKNOWN, Detail: "no answer from the endpoint: " + err.Error()}
}

func responseRecord(response *http.Response, body []byte) *wire.TaskRecord {
	record := &wire.TaskRecord{Status: int32(response.StatusCode), Result: body}
	switch {
	case response.Header.Get(HeaderNotStarted) == "true":
		record.State = wire.TaskState_TASK_STATE_NOT_STARTED
		record.Detail = "the endpoint did not start the task"
	case len(body) > maxResultBytes:
		record.State = wire.TaskState_TASK_STATE_FAILED
		record.Result = nil
		record.Detail = "the result is larger than 4 MiB"
	case response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices:
		record.State = wire.TaskState_TASK_STATE_DONE
	default:
		record.State = wire.TaskState_TASK_STATE_FAILED
	}
	return record
}
