// Package logclient speaks to the platform's log over HTTP.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// answerTime is how long the log may take beyond the time that a read waits.
	answerTime = 5 * time.Second
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 64 << 20
	// errorBytes bounds what is quoted of an error.
	errorBytes = 200
)

// Client is a connection to the log. It is safe for concurrent use.
type Client struct {
	address string
	client  *http.Client
}

// New returns a client of the log at ip:port.
func New(address string) *Client {
	return &Client{
		address: address,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     30 * time.Second,
		}},
	}
}

// Append adds a record to a stream. After an error the record may have been
// added all the same, so that a record has to carry an id of its own.
func (c *Client) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream, ""), bytes.NewReader(record))
	if err != nil {
		return 0, errors.Wrap(err, "log append")
	}
	var appended AppendResponse
	if err := c.do(request, &appended); err != nil {
		return 0, errors.Wrapf(err, "append to log stream %q", stream)
	}
	return appended.Offset, nil
}

// Read returns records from an offset on, or none after the given wait.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	query := "?from=" + strconv.FormatUint(from, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream, query), nil)
	if err != nil {
		return Batch{}, errors.Wrap(err, "log read")
	}
	var batch Batch
	if err := c.do(request, &batch); err != nil {
		return Batch{}, errors.Wrapf(err, "read log stream %q", stream)
	}
	return batch, nil
}

// SetFaults tells the stand-in log what to do wrong.
func (c *Client) SetFaults(ctx context.Context, f Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "log faults")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+c.address+"/v1/faults", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "log faults")
	}
	return errors.Wrap(c.do(request, &f), "set log faults")
}

func (c *Client) url(stream, query string) string {
	return "http://" + c.address + "/v1/streams/" + url.PathEscape(stream) + query
}

func (c *Client) do(request *http.Request, into any) error {
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "answer was cut off")
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the log answered %s: %s", response.Status, bytes.TrimSpace(body[:min(len(body), errorBytes)]))
	}
	return json.Unmarshal(body, into)
}
