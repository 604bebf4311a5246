package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/request/gateway"
	"github.com/corianderhook/corianderhook/request/submission"
)

// Caller is how commands reach the callers' interface of an entry.
type Caller struct {
	Credentials
	Entry string        `required:"" placeholder:"IP:PORT" help:"Callers' address of any entry."`
	Team  string        `required:"" help:"Team that the job belongs to."`
	Wait  time.Duration `default:"30s" help:"How long to wait for the answer."`
}

// SubmitCommand submits a job.
type SubmitCommand struct {
	Caller
	Key     string `help:"Idempotency-Key; a new UUIDv7 where it is empty. Sending the same key again joins the job."`
	Retries int    `default:"0" help:"How often to send the key again when the answer says when to come back."`
	File    string `arg:"" help:"JSON file with the job, or - for standard input."`
}

// Run prints the answer. It fails unless the outcome is complete.
func (c *SubmitCommand) Run(s *Streams) error {
	body, err := readInput(c.File)
	if err != nil {
		return usageError{err}
	}
	key := c.Key
	if key == "" {
		made, err := uuid.NewV7()
		if err != nil {
			return errors.Wrap(err, "new key")
		}
		key = made.String()
		fmt.Fprintf(s.Err, "key: %s\n", key)
	}
	if _, err := submission.Read(bytes.NewReader(body), c.Team, key); err != nil {
		return usageError{errors.Wrapf(err, "job %s", c.File)}
	}
	for left := c.Retries; ; left-- {
		err := c.call(s, http.MethodPost, "/v1/jobs", key, body)
		var later retryError
		if left <= 0 || !errors.As(err, &later) {
			return err
		}
		fmt.Fprintf(s.Err, "%v; sending again after %s\n", err, later.after)
		time.Sleep(later.after)
	}
}

// retryError is an answer that says when to come back.
type retryError struct {
	error
	after time.Duration
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

// callSlack is how long an entry may take beyond the wait.
const responseMargin = 5 * time.Second

// call sends a request, prints the answer and fails unless it is complete.
func (c *Caller) call(s *Streams, method, path, key string, body []byte) error {
	if _, err := netip.ParseAddrPort(c.Entry); err != nil {
		return usageError{errors.Errorf("--entry is %q; it must be an IP number and a port", c.Entry)}
	}
	scheme, client, err := c.httpClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait+responseMargin)
	defer cancel()
	target := scheme + c.Entry + path + "?wait=" + url.QueryEscape(c.Wait.String())
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(gateway.HeaderKey, key)
	request.Header.Set(gateway.HeaderTeam, c.Team)
	if err := c.addToken(request); err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "the entry did not answer; whether the job ran is not known, send the same key again")
	}
	defer response.Body.Close()
	return printAnswer(s, response)
}

func printAnswer(s *Streams, response *http.Response) error {
	var doc gateway.Document
	if err := json.NewDecoder(response.Body).Decode(&doc); err != nil {
		return errors.Wrapf(err, "the entry's answer %s is not JSON", response.Status)
	}
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(doc); err != nil {
		return err
	}
	if doc.Outcome == "complete" {
		return nil
	}
	err := errors.Errorf("outcome %s: %s", doc.Outcome, doc.Detail)
	if seconds, bad := strconv.Atoi(response.Header.Get("Retry-After")); bad == nil {
		return retryError{error: err, after: time.Duration(seconds) * time.Second}
	}
	return err
}

// JobCommand shows or cancels a job.
type JobCommand struct {
	Status JobStatusCommand `cmd:"" help:"Show the answer of a job, or how far it is."`
	Cancel JobCancelCommand `cmd:"" help:"Give a job up: tasks that wait are dropped, tasks that run go on."`
}

// JobStatusCommand shows a job.
type JobStatusCommand struct {
	Caller
	Key string `arg:"" help:"Idempotency-Key of the job."`
}

// Run prints the answer.
func (c *JobStatusCommand) Run(s *Streams) error {
	return c.call(s, http.MethodGet, "/v1/jobs/"+url.PathEscape(c.Key), c.Key, nil)
}

// JobCancelCommand gives a job up.
type JobCancelCommand struct {
	Caller
	Key string `arg:"" help:"Idempotency-Key of the job."`
}

// Run prints the answer.
func (c *JobCancelCommand) Run(s *Streams) error {
	return c.call(s, http.MethodDelete, "/v1/jobs/"+url.PathEscape(c.Key), c.Key, nil)
}
