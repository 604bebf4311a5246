// Package load drives callers' jobs through the entries and checks each answer
// against the endpoints' own record of starts.
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

// Job is one job of a plan.
type Job struct {
	// At is when the job is sent, from the start of the run.
	At    time.Duration
	Team  string
	Kind  string
	Tasks int
	// WorkMS is how long each task takes, in milliseconds.
	WorkMS float64
	Fail   bool
	// Entry is the entry that the balancer would choose.
	Entry int
	// CancelAt is when the caller gives the job up, from the start of the run; zero
	// is never.
	CancelAt time.Duration
	// Flood marks the jobs that the others are to be kept from.
	Flood bool
}

// Result is how one job ended for its caller.
type Result struct {
	Job     Job
	Key     string
	Outcome string
	Reason  string
	// Whole is false where an answer said complete and was not.
	ResultsValid bool
	// Took is from the first sending to the final answer.
	ResponseTime time.Duration
	EndedAt      time.Duration
	Attempts     int
}

// Settings are what a Driver works with.
type Settings struct {
	// Callers are the callers' addresses of the entries.
	EntryAddresses []string
	Clock          clockwork.Clock
	Seed           uint64
	// ResubmitEvery, where set, sends an unanswered job again in that interval.
	ResubmitInterval time.Duration
	// GiveUp is how long a caller keeps at a job.
	JobTimeout time.Duration
	// Wait is how long one request waits for the answer.
	RequestWait time.Duration
}

// Driver sends jobs. It is safe for concurrent use.
type Driver struct {
	settings Settings
	client   *http.Client
	attempts atomic.Int64
	dead     sync.Map
}

const (
	// maxConnections bounds the callers' connections to one entry.
	maxConnections = 4096
	// retryPause is the pause after a connection that failed.
	retryPause = 100 * time.Millisecond
)

// New returns a driver.
func New(s Settings) *Driver {
	return &Driver{
		settings: s,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxConnections,
			MaxConnsPerHost:     maxConnections,
		}},
	}
}

// Attempts returns the number of requests that were sent.
func (d *Driver) Attempts() int64 { return d.attempts.Load() }

// SetDead takes an entry out of the balancer's choice, or puts it back.
func (d *Driver) SetDown(entry int, dead bool) { d.dead.Store(entry, dead) }

// Run sends a plan and returns a result per job, in the order of the plan.
func (d *Driver) Run(ctx context.Context, plan []Job) []Result {
	results := make([]Result, len(plan))
	began := d.settings.Clock.Now()
	var group sync.WaitGroup
	for i, j := range plan {
		wait := j.At - d.settings.Clock.Since(began)
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
				d.pause(ctx, j.CancelAt-d.settings.Clock.Since(began))
				d.cancel(ctx, j, keyOf(d.settings.Seed, i))
			}()
		}
		go func() {
			defer group.Done()
			results[i] = d.Submit(ctx, j, keyOf(d.settings.Seed, i))
			results[i].EndedAt = d.settings.Clock.Since(began)
		}()
	}
	group.Wait()
	return results
}

// keyOf makes the same keys for the same seed.
func keyOf(seed uint64, index int) string {
	r := rand.New(rand.NewPCG(seed, uint64(index)))
	var id uuid.UUID
	for i := range id {
		id[i] = byte(r.Uint32())
	}
	id[6] = id[6]&0x0f | 0x40
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// Do sends one job until it has a final answer that a retry would not change.
func (d *Driver) Submit(ctx context.Context, j Job, key string) Result {
	r := Result{Job: j, Key: key, Outcome: "none"}
	body := bodyOf(j, key)
	began := d.settings.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, d.settings.JobTimeout)
	defer cancel()
	for ctx.Err() == nil {
		r.Attempts++
		doc, retry, err := d.send(ctx, j, key, body, r.Attempts)
		if err != nil {
			d.pause(ctx, retryPause)
			continue
		}
		r.Outcome, r.Reason = doc.Outcome, doc.Reason
		r.ResultsValid = doc.Outcome != "complete" || whole(doc, j, key)
		if retry == 0 {
			break
		}
		d.pause(ctx, retry)
	}
	r.ResponseTime = d.settings.Clock.Since(began)
	return r
}

// cancel gives a job up through another entry than the one that took it, as a
// balancer would choose.
func (d *Driver) cancel(ctx context.Context, j Job, key string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+d.choose(j.Entry+1)+"/v1/jobs/"+key+"?wait=0s", nil)
	if err != nil {
		return
	}
	request.Header.Set(gateway.HeaderTeam, j.Team)
	response, err := d.client.Do(request)
	if err != nil {
		// The result of the job shows that it was not cancelled.
		return
	}
	response.Body.Close()
}

func (d *Driver) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.settings.Clock.After(wait):
	}
}

func bodyOf(j Job, key string) []byte {
	tasks := make([]map[string]any, j.Tasks)
	for i := range tasks {
		tasks[i] = map[string]any{"payload": sample.Payload{WorkMS: j.WorkMS, Fail: j.Fail, Note: noteOf(key, i)}}
	}
	body, err := json.Marshal(map[string]any{"kind": j.Kind, "tasks": tasks})
	if err != nil {
		panic(fmt.Sprintf("job body: %v", err))
	}
	return body
}

func noteOf(key string, index int) string { return key + "." + strconv.Itoa(index) }

// send sends one attempt. The pause is zero where the answer is final.
func (d *Driver) send(ctx context.Context, j Job, key string, body []byte, attempt int) (gateway.Document, time.Duration, error) {
	d.attempts.Add(1)
	var doc gateway.Document
	wait := d.settings.RequestWait
	if d.settings.ResubmitInterval > 0 {
		wait = min(wait, d.settings.ResubmitInterval)
	}
	target := d.choose(j.Entry + attempt - 1)
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
	return doc, pauseAfter(doc, response), nil
}

func pauseAfter(doc gateway.Document, response *http.Response) time.Duration {
	if doc.Outcome == "pending" {
		return time.Millisecond
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || doc.Outcome == "complete" || doc.Outcome == "failed" {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// choose returns the address of the first living entry from the given one on.
func (d *Driver) choose(first int) string {
	n := len(d.settings.EntryAddresses)
	for i := range n {
		entry := (first + i) % n
		if dead, _ := d.dead.Load(entry); dead != true {
			return d.settings.EntryAddresses[entry]
		}
	}
	return d.settings.EntryAddresses[first%n]
}

// whole reports whether a complete answer has each result of its own request.
func whole(doc gateway.Document, j Job, key string) bool {
	if len(doc.Tasks) != j.Tasks {
		return false
	}
	for i, t := range doc.Tasks {
		var result sample.Result
		if json.Unmarshal(t.Result, &result) != nil || result.Note != noteOf(key, i) {
			return false
		}
	}
	return true
}
