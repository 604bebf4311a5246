// Package endpoint posts tasks to an endpoint over HTTP.
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
	// HeaderKind carries the kind of work.
	HeaderKind = "Corianderhook-Kind"
	// HeaderNotStarted says, with the value true, that the endpoint did not start
	// the task, so that the task may be sent elsewhere.
	HeaderNotStarted = "Corianderhook-Not-Started"
	// maxResultBytes is the largest result of a task.
	maxResultBytes = 4 << 20
	// dialTime bounds the opening of a connection.
	dialTime = 2 * time.Second
	// idleTime closes connections that are not used.
	idleTime = time.Minute
)

// Client is the connection to one endpoint. It is safe for concurrent use.
type Client struct {
	url    string
	clock  clockwork.Clock
	client *http.Client
}

// New returns a client that opens at most the given number of connections.
func New(url string, connections int, clock clockwork.Clock) *Client {
	dialer := &net.Dialer{Timeout: dialTime}
	return &Client{
		url:   url,
		clock: clock,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxConnsPerHost:     connections,
				MaxIdleConnsPerHost: connections,
				IdleConnTimeout:     idleTime,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// once is a body that the transport cannot send a second time: net/http
// repeats requests with an Idempotency-Key when it can rewind their body.
type once struct{ io.Reader }

// Do posts a task and returns its end. A task whose request was not begun on
// the wire did not start; one that was begun and not answered may have run.
func (c *Client) Do(ctx context.Context, name string, t *wire.TaskStart) *wire.TaskRecord {
	began := c.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(t.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	record := c.post(ctx, name, t, &sent)
	record.Index = t.GetIndex()
	record.ServiceUs = c.clock.Since(began).Microseconds()
	return record
}

func (c *Client) post(ctx context.Context, name string, t *wire.TaskStart, sent *atomic.Bool) *wire.TaskRecord {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, once{bytes.NewReader(t.GetPayload())})
	if err != nil {
		return &wire.TaskRecord{State: wire.TaskState_TASK_STATE_NOT_STARTED, Detail: err.Error()}
	}
	request.ContentLength = int64(len(t.GetPayload()))
	request.Header.Set(HeaderKey, name)
	request.Header.Set(HeaderKind, t.GetKind())
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return lost(err, sent)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResultBytes+1))
	if err != nil {
		return &wire.TaskRecord{State: wire.TaskState_TASK_STATE_UNKNOWN, Detail: "the endpoint's answer was cut off: " + err.Error()}
	}
	return judge(response, body)
}

func lost(err error, sent *atomic.Bool) *wire.TaskRecord {
	if !sent.Load() {
		return &wire.TaskRecord{State: wire.TaskState_TASK_STATE_NOT_STARTED, Detail: "no connection to the endpoint: " + err.Error()}
	}
	return &wire.TaskRecord{State: wire.TaskState_TASK_STATE_UNKNOWN, Detail: "no answer from the endpoint: " + err.Error()}
}

func judge(response *http.Response, body []byte) *wire.TaskRecord {
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
