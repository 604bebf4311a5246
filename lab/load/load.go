// Package load sends jobs to the entries as callers would and checks the answers
// against the endpoints' own record of started tasks.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/lab/sample"
	"github.com/corianderhook/corianderhook/request/gateway"
)

// Job is one job of a load plan.
type Job struct {
	// At is when the job is sent, relative to the start of the run.
	At    time.Duration
	Team  string
	Kind  string
	Tasks int
	// WorkMS is how long each task takes, in milliseconds.
	WorkMS float64
	// Fail makes each task fail.
	Fail bool
	// Entry is the index of the entry that a load balancer would choose first.
	Entry int
	// CancelAt is when the caller cancels the job, relative to the start of the run;
	// zero means never.
	CancelAt time.Duration
	// Flood marks disturbing jobs, whose effect on all other jobs is measured.
	Flood bool
}

// Result describes how one job ended for its caller.
type Result struct {
	Job Job
	Key string
	// Outcome is that of the last answer, or "none" if there was no answer.
	Outcome string
	Reason  string
	// ResultsValid is false if a complete answer lacks the result of a task, or if
	// there was no answer.
	ResultsValid bool
	// ResponseTime is the time from the first attempt to the final answer.
	ResponseTime time.Duration
	// EndedAt is when the job ended, relative to the start of the run.
	EndedAt  time.Duration
	Attempts int
}

// Settings configure a Driver.
type Settings struct {
	// EntryAddresses are the addresses at which the entries serve callers.
	EntryAddresses []string
	Clock          clockwork.Clock
	Seed           uint64
	// ResubmitInterval, if set, is how often a job without an answer is sent again.
	ResubmitInterval time.Duration
	// JobTimeout is how long a caller tries to get the final answer of a job.
	JobTimeout time.Duration
	// RequestWait is how long one request waits for the answer.
	RequestWait time.Duration
}

// Driver sends jobs and acts as a load balancer in front of the entries. It is safe
// for concurrent use.
type Driver struct {
	settings Settings
	client   *http.Client
	attempts atomic.Int64
	// down holds, by the index of an entry, whether the load balancer leaves it out.
	down sync.Map
}

const (
	// maxConnections limits the callers' connections to one entry.
	maxConnections = 4096
	// reconnectDelay is the delay before the next attempt after a request without a
	// readable answer.
	reconnectDelay = 100 * time.Millisecond
)

// New returns a Driver whose load balancer uses all entries.
func New(s Settings) *Driver {
	return &Driver{
		settings: s,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxConnections,
			MaxConnsPerHost:     maxConnections,
		}},
	}
}

// Attempts returns the number of requests sent to submit jobs.
func (d *Driver) Attempts() int64 { return d.attempts.Load() }

// SetDown removes an entry from the load balancer, or adds it again.
func (d *Driver) SetDown(entry int, down bool) { d.down.Store(entry, down) }

// Run sends the jobs of a plan, which is sorted by time, and returns a result per
// job in the order of the plan.
func (d *Driver) Run(ctx context.Context, plan []Job) []Result {
	results := make([]Result, len(plan))
	start := d.settings.Clock.Now()
	var group sync.WaitGroup
	for i, j := range plan {
		wait := j.At - d.settings.Clock.Since(start)
		if wait > 0 {
			select {
			case <-ctx.Done():
			case <-d.settings.Clock.After(wait):
			}
		}
		group.Add(1)
		if j.CancelAt > 0 {
			group.Add(1)
			go func() {
				defer group.Done()
				d.sleep(ctx, j.CancelAt-d.settings.Clock.Since(start))
				d.cancelJob(ctx, j, jobKey(d.settings.Seed, i))
			}()
		}
		go func() {
			defer group.Done()
			results[i] = d.Submit(ctx, j, jobKey(d.settings.Seed, i))
			results[i].EndedAt = d.settings.Clock.Since(start)
		}()
	}
	group.Wait()
	return results
}

// jobKey returns the idempotency key of a job, a UUID that depends only on the
// seed and the index.
func jobKey(seed uint64, index int) string {
	r := rand.New(rand.NewPCG(seed, uint64(index)))
	var id uuid.UUID
	for i := range id {
		id[i] = byte(r.Uint32())
	}
	id[6] = id[6]&0x0f | 0x40
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// Submit sends one job repeatedly until it gets an answer that a retry would not
// change, or JobTimeout expires.
func (d *Driver) Submit(ctx context.Context, j Job, key string) Result {
	r := Result{Job: j, Key: key, Outcome: "none"}
	body := requestBody(j, key)
	start := d.settings.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, d.settings.JobTimeout)
	defer cancel()
	for ctx.Err() == nil {
		r.Attempts++
		doc, delay, err := d.sendAttempt(ctx, j, key, body, r.Attempts)
		if err != nil {
			d.sleep(ctx, reconnectDelay)
			continue
		}
		r.Outcome, r.Reason = doc.Outcome, doc.Reason
		r.ResultsValid = doc.Outcome != "complete" || resultsValid(doc, j, key)
		if delay == 0 {
			break
		}
		d.sleep(ctx, delay)
	}
	r.ResponseTime = d.settings.Clock.Since(start)
	return r
}

// cancelJob cancels a job through the next entry, as a load balancer may route
// the request to an entry that did not accept the job.
func (d *Driver) cancelJob(ctx context.Context, j Job, key string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+d.chooseEntry(j.Entry+1)+"/v1/jobs/"+key+"?wait=0s", nil)
	if err != nil {
		return
	}
	request.Header.Set(gateway.HeaderTeam, j.Team)
	response, err := d.client.Do(request)
	if err != nil {
		// The result of the job shows whether it was cancelled.
		return
	}
	response.Body.Close()
}

func (d *Driver) sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.settings.Clock.After(delay):
	}
}

func requestBody(j Job, key string) []byte {
	tasks := make([]map[string]any, j.Tasks)
	for i := range tasks {
		tasks[i] = map[string]any{"payload": sample.Payload{WorkMS: j.WorkMS, Fail: j.Fail, Note: taskNote(key, i)}}
	}
	body, err := json.Marshal(map[string]any{"kind": j.Kind, "tasks": tasks})
	if err != nil {
		panic(fmt.Sprintf("job body: %v", err))
	}
	return body
}

func taskNote(key string, index int) string { return key + "." + strconv.Itoa(index) }

// sendAttempt sends a job once and returns the delay before the next attempt, zero
// if the answer is final.
func (d *Driver) sendAttempt(ctx context.Context, j Job, key string, body []byte, attempt int) (gateway.Document, time.Duration, error) {
	d.attempts.Add(1)
	var doc gateway.Document
	wait := d.settings.RequestWait
	if d.settings.ResubmitInterval > 0 {
		wait = min(wait, d.settings.ResubmitInterval)
	}
	target := d.chooseEntry(j.Entry + attempt - 1)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/jobs?wait="+wait.String(), bytes.NewReader(body))
	if err != nil {
		return doc, 0, err
	}
	request.Header.Set(gateway.HeaderKey, key)
	request.Header.Set(gateway.HeaderTeam, j.Team)
	response, err := d.client.Do(request)
	if err != nil {
		return doc, 0, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&doc); err != nil {
		return doc, 0, err
	}
	return doc, retryDelay(doc, response), nil
}

func retryDelay(doc gateway.Document, response *http.Response) time.Duration {
	if doc.Outcome == "pending" {
		return time.Millisecond
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || doc.Outcome == "complete" || doc.Outcome == "failed" {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// chooseEntry returns the address of the first entry that is not down, from the
// given index on. If all are down it returns the given one.
func (d *Driver) chooseEntry(first int) string {
	n := len(d.settings.EntryAddresses)
	for i := range n {
		entry := (first + i) % n
		if down, _ := d.down.Load(entry); down != true {
			return d.settings.EntryAddresses[entry]
		}
	}
	return d.settings.EntryAddresses[first%n]
}

// resultsValid reports whether a complete answer has the result of every task and
// each one belongs to this job.
func resultsValid(doc gateway.Document, j Job, key string) bool {
	if len(doc.Tasks) != j.Tasks {
		return false
	}
	for i, t := range doc.Tasks {
		var result sample.Result
		if json.Unmarshal(t.Result, &result) != nil || result.Note != taskNote(key, i) {
			return false
		}
	}
	return true
}
