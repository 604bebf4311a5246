// Package logclient is an HTTP client of the platform's log.
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
	// responseTimeout limits an append, and a read beyond the time it waits for records.
	responseTimeout = 5 * time.Second
	// maxResponseBytes limits what is read of a response.
	maxResponseBytes = 64 << 20
	// maxQuotedErrorBytes limits what an error quotes of a response.
	maxQuotedErrorBytes = 200
)

// Client is a client of the log. It is safe for concurrent use.
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

// Append adds a record to a stream and returns its offset. The record may have been added
// despite an error, so records need an id of their own to detect duplicates.
func (c *Client) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
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

// Read returns the records from an offset on. If there are none it waits for new ones, at
// most for the given time.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
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

// SetFaults sets the faults that a simulated log injects.
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

func (c *Client) do(request *http.Request, result any) error {
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "answer was cut off")
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the log answered %s: %s", response.Status, bytes.TrimSpace(body[:min(len(body), maxQuotedErrorBytes)]))
	}
	return json.Unmarshal(body, result)
}
