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

// Caller holds the flags of commands that use the callers' interface of an entry.
type Caller struct {
	Credentials
	Entry string        `required:"" placeholder:"IP:PORT" help:"Callers' address of any entry."`
	Team  string        `required:"" help:"Team that the job belongs to."`
	Wait  time.Duration `default:"30s" help:"How long to wait for the answer."`
}

// SubmitCommand submits a job.
type SubmitCommand struct {
	Caller
	Key     string `help:"Idempotency-Key; by default a new UUIDv7. Sending the same key again joins the job."`
	Retries int    `default:"0" help:"How many times to send the job again if the answer has a Retry-After."`
	File    string `arg:"" help:"JSON file with the job, or - for standard input."`
}

// Run submits the job and prints the answer. It fails unless the outcome is complete.
func (c *SubmitCommand) Run(s *Streams) error {
	body, err := readInput(c.File)
	if err != nil {
		return usageError{err}
	}
	key := c.Key
	if key == "" {
		generated, err := uuid.NewV7()
		if err != nil {
			return errors.Wrap(err, "new key")
		}
		key = generated.String()
		fmt.Fprintf(s.Err, "key: %s\n", key)
	}
	if _, err := submission.Read(bytes.NewReader(body), c.Team, key); err != nil {
		return usageError{errors.Wrapf(err, "job %s", c.File)}
	}
	for retriesLeft := c.Retries; ; retriesLeft-- {
		err := c.call(s, http.MethodPost, "/v1/jobs", key, body)
		var retry retryError
		if retriesLeft <= 0 || !errors.As(err, &retry) {
			return err
		}
		fmt.Fprintf(s.Err, "%v; sending again after %s\n", err, retry.after)
		time.Sleep(retry.after)
	}
}

// retryError is an answer with a Retry-After header.
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

// responseMargin is how long an entry may take to answer beyond the wait.
const responseMargin = 5 * time.Second

// call sends a request, prints the answer and fails unless the outcome is complete.
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
		return errors.Wrap(err, "the entry did not answer; it is unknown whether the job ran: send the same key again")
	}
	defer response.Body.Close()
	return printAnswer(s, response)
}

// printAnswer prints an answer and returns an error unless the outcome is complete.
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
	if seconds, parseErr := strconv.Atoi(response.Header.Get("Retry-After")); parseErr == nil {
		return retryError{error: err, after: time.Duration(seconds) * time.Second}
	}
	return err
}

// JobCommand shows or cancels a job.
type JobCommand struct {
	Status JobStatusCommand `cmd:"" help:"Show the answer of a job, or its progress."`
	Cancel JobCancelCommand `cmd:"" help:"Cancel a job: waiting tasks are dropped, running tasks continue."`
}

// JobStatusCommand shows the answer of a job, or its progress.
type JobStatusCommand struct {
	Caller
	Key string `arg:"" help:"Idempotency-Key of the job."`
}

// Run requests the status and prints the answer.
func (c *JobStatusCommand) Run(s *Streams) error {
	return c.call(s, http.MethodGet, "/v1/jobs/"+url.PathEscape(c.Key), c.Key, nil)
}

// JobCancelCommand cancels a job.
type JobCancelCommand struct {
	Caller
	Key string `arg:"" help:"Idempotency-Key of the job."`
}

// Run requests the cancellation and prints the answer.
func (c *JobCancelCommand) Run(s *Streams) error {
	return c.call(s, http.MethodDelete, "/v1/jobs/"+url.PathEscape(c.Key), c.Key, nil)
}
