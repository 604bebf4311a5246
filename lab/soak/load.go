package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderhook/corianderhook/platform/standin/caller"
	"github.com/corianderhook/corianderhook/platform/standin/operator"
)

const (
	// callerCount is the number of clients, each with connections of its own.
	callerCount = 12
	// unreadRequestTime is the time after sending within which a request may end without
	// an answer even around planned stops, according to the platform's documentation: the
	// process may close the connection before it reads the request.
	unreadRequestTime = 200 * time.Millisecond
	// answerMargin is how long after the end of its budget a job may be answered on a busy
	// machine.
	answerMargin = 400 * time.Millisecond
	// recoveredShare of the jobs that end within a second must be completed for the system
	// to count as recovered.
	recoveredShare = 0.8
	// One job in longJobEvery is long; the first request of one in abortEvery is aborted by
	// its caller, and the job is sent again.
	longJobEvery = 8
	abortEvery   = 8
	// One job in shortBudgetEvery has a budget below minQuietBudget, one in newConnectionEvery
	// is sent on a connection of its own.
	shortBudgetEvery   = 4
	newConnectionEvery = 4
	// minQuietBudget is the lowest budget of the jobs that must be completed at the first
	// attempt without disruptions.
	minQuietBudget = 1500 * time.Millisecond
	// configCheckInterval is the time between two checks of the configuration in force.
	configCheckInterval = 200 * time.Millisecond
	configCheckTimeout  = 500 * time.Millisecond
	// configPropagationTime is the time within which a published configuration must be in
	// force, according to the platform's documentation.
	configPropagationTime = 2 * time.Second
)

// jobResult is a job with all its attempts.
type jobResult struct {
	job      caller.Job
	attempts []caller.Attempt
	endedAt  time.Time
}

func (r jobResult) last() caller.Attempt { return r.attempts[len(r.attempts)-1] }

// loadGenerator sends jobs from all callers and collects their results.
type loadGenerator struct {
	cluster *cluster
	callers []*caller.Caller
	// factorPermille multiplies the job rate; 1000 is the rate of the settings.
	factorPermille atomic.Int64
	group          sync.WaitGroup
	mu             sync.Mutex
	results        []jobResult
	// quietSince is the start of the period without disruptions at the end of the run, when
	// nothing has been disturbed for undisturbedTime.
	quietSince time.Time
}

func newLoadGenerator(c *cluster) *loadGenerator {
	l := &loadGenerator{cluster: c}
	l.factorPermille.Store(1000)
	for range callerCount {
		l.callers = append(l.callers, caller.New(operator.Host, c.clock, caller.WithRoute(c.route)))
	}
	c.submit = func(sender *caller.Caller, j caller.Job, delay time.Duration) {
		l.group.Go(func() {
			c.pause(c.ctx, delay)
			l.submit(sender, j)
			sender.Close()
		})
	}
	c.setLoadFactor = func(factor float64) { l.factorPermille.Store(int64(1000 * factor)) }
	return l
}

func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// randomJob draws a job. Most are short; one in longJobEvery has tasks that may outlast
// the pause after which a caller resubmits an unanswered job.
func randomJob(r *rand.Rand) caller.Job {
	j := caller.Job{
		ID: fmt.Sprintf("%016x", r.Uint64()), Tasks: 1 + r.IntN(6), RunTime: randomDuration(r, 20*time.Millisecond, 200*time.Millisecond),
		CPU: 500 + r.IntN(3500), Budget: randomDuration(r, minQuietBudget, 3500*time.Millisecond),
		NewConnection: r.IntN(newConnectionEvery) == 0,
	}
	if r.IntN(2) == 0 {
		j.Grace = 2 * answerMargin
	}
	if r.IntN(longJobEvery) == 0 {
		j.Tasks, j.CPU = 1+r.IntN(3), 500+r.IntN(1000)
		j.RunTime = randomDuration(r, time.Second, 3*time.Second)
		j.Budget = j.RunTime + randomDuration(r, time.Second, 4*time.Second)
	}
	if r.IntN(shortBudgetEvery) == 0 {
		j.Budget = randomDuration(r, minBudget, minQuietBudget)
		j.RunTime = randomDuration(r, 20*time.Millisecond, j.Budget/3)
	}
	if r.IntN(abortEvery) == 0 {
		j.AbortAfter = randomDuration(r, 20*time.Millisecond, 400*time.Millisecond)
	}
	return j
}

// run sends jobs until the context ends.
func (l *loadGenerator) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.cluster.settings.Seed, 3))
	for ctx.Err() == nil {
		j := randomJob(rng)
		c := l.callers[rng.IntN(len(l.callers))]
		l.group.Go(func() { l.submit(c, j) })
		jobsPerSecond := l.cluster.settings.JobsPerSecond * float64(l.factorPermille.Load()) / 1000
		l.cluster.pause(ctx, time.Duration(rng.ExpFloat64()/jobsPerSecond*float64(time.Second)))
	}
}

// await waits for the answers to all jobs.
func (l *loadGenerator) await() {
	l.group.Wait()
	for _, c := range l.callers {
		c.Close()
	}
}

// submit submits a job and collects its result.
func (l *loadGenerator) submit(c *caller.Caller, j caller.Job) {
	result := jobResult{job: j, attempts: c.Submit(context.Background(), j), endedAt: l.cluster.clock.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

// awaitRecovery waits for a second in which recoveredShare of the jobs that ended were
// completed, and returns the time from the call to the start of that second. It gives up
// 2 s after maxRecoveryTime.
func (l *loadGenerator) awaitRecovery(ctx context.Context) time.Duration {
	startedAt := l.cluster.clock.Now()
	for ctx.Err() == nil {
		l.cluster.pause(ctx, pollInterval)
		since := l.cluster.clock.Since(startedAt)
		if since > time.Second && l.completedShare(l.cluster.clock.Now().Add(-time.Second)) >= recoveredShare {
			return since - time.Second
		}
		if since > maxRecoveryTime+2*time.Second {
			return since
		}
	}
	return l.cluster.clock.Since(startedAt)
}

// completedShare returns the share of the jobs ended since a time that were completed.
func (l *loadGenerator) completedShare(since time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, completed := 0, 0
	for _, result := range l.results {
		if result.endedAt.After(since) {
			total++
			if result.last().Completed() {
				completed++
			}
		}
	}
	if total == 0 {
		return 0
	}
	return float64(completed) / float64(total)
}

// observeQuietPeriod waits until nothing has been disturbed for undisturbedTime, and then
// lets load run for quietTime.
func (l *loadGenerator) observeQuietPeriod(ctx context.Context) {
	l.cluster.pause(ctx, undisturbedTime)
	l.mu.Lock()
	l.quietSince = l.cluster.clock.Now()
	l.mu.Unlock()
	l.cluster.pause(ctx, quietTime)
}

// checkResults counts the answers and checks each against what the endpoints saw.
func (l *loadGenerator) checkResults(r *Report) {
	quiet, firstTry := 0, 0
	for _, result := range l.results {
		r.Jobs++
		last := result.last()
		switch {
		case last.Completed():
			r.Completed++
		case last.Refused():
			r.Refused++
		case last.Status == 200:
			r.Failed++
		default:
			r.Unknown++
		}
		l.checkResult(result)
		if result.attempts[0].SentAt.After(l.quietSince) && !result.attempts[0].Aborted && result.job.Budget >= minQuietBudget {
			quiet++
			if len(result.attempts) == 1 && last.Completed() {
				firstTry++
			}
		}
	}
	if quiet == 0 || float64(firstTry) < minQuietCompletedShare*float64(quiet) {
		l.cluster.recordViolation("without disruptions, %d of %d jobs are completed at the first attempt", firstTry, quiet)
	}
}

// checkResult checks the answers to one job.
func (l *loadGenerator) checkResult(result jobResult) {
	c := l.cluster
	starts, done := c.record.JobCounts(result.job.ID)
	refused := 0
	for _, a := range result.attempts {
		if a.Refused() {
			refused++
			if a.RetryAfter < time.Second {
				c.recordViolation("job %s is refused with status %d and a Retry-After below 1 s", result.job.ID, a.Status)
			}
		}
		if a.Completed() && done != result.job.Tasks {
			c.recordViolation("job %s is reported as completed, but %d of %d tasks have succeeded", result.job.ID, done, result.job.Tasks)
		}
		// A dispatcher answers shortly before the end of the budget, counted from when it
		// receives the request. A caller that aborts right at the end of its budget misses
		// the answer if the request was in transit for longer than that margin. One that
		// waits beyond its budget does not.
		quiet := a.SentAt.After(l.quietSince) && result.job.Grace > 0
		// When a process ends, a connection may be closed before a request on it was read.
		wasRead := a.Elapsed > unreadRequestTime || c.record.StartedBetween(result.job.ID, a.SentAt, a.SentAt.Add(a.Elapsed))
		// With a short budget, the time in transit on a busy machine may exceed that margin.
		mayMissAnswer := result.job.Budget < minQuietBudget && result.job.Grace == 0
		if a.Status == 0 && !a.Aborted && (quiet || c.settings.PlannedOnly && wasRead && !mayMissAnswer) {
			c.recordViolation("job %s gets no answer: %s after %s", result.job.ID, a.Error, a.Elapsed)
		}
		if quiet && a.Elapsed > result.job.Budget+answerMargin {
			c.recordViolation("job %s is answered after %s, its budget is %s", result.job.ID, a.Elapsed, result.job.Budget)
		}
	}
	if refused == len(result.attempts) && starts > 0 {
		c.recordViolation("job %s was refused at each attempt, but %d runs of it have started", result.job.ID, starts)
	}
}

// describeAttempts returns a line for each attempt at the jobs that a text names.
func (l *loadGenerator) describeAttempts(text string) string {
	var lines strings.Builder
	for _, result := range l.results {
		if !strings.Contains(text, result.job.ID) {
			continue
		}
		for n, a := range result.attempts {
			fmt.Fprintf(&lines, "\n    attempt %d, budget %s, %s", n+1, result.job.Budget.Truncate(time.Millisecond), a)
		}
	}
	return lines.String()
}

// checkConfig checks until the context ends that every dispatcher puts new configuration
// into force in time and never goes back to an older version.
func (c *cluster) checkConfig(ctx context.Context) {
	type observation struct{ startCount, version int }
	lastInForce := make([]observation, len(c.dispatchers))
	for ; ctx.Err() == nil; c.pause(ctx, configCheckInterval) {
		c.mu.Lock()
		version, publishedAt := c.version, c.publishedAt
		c.mu.Unlock()
		var checks sync.WaitGroup
		for i, d := range c.dispatchers {
			checks.Go(func() {
				startCount, askedAt := d.program.StartCount(), c.clock.Now()
				status := d.caller.QueueStatus(ctx, queueName(version), configCheckTimeout)
				if status == 0 || d.program.StartCount() != startCount || ctx.Err() != nil {
					return
				}
				inForce := status == 200
				if !inForce && c.currentVersion() != version {
					// A newer version, which lacks the queue, may be in force.
					return
				}
				if inForce {
					lastInForce[i] = observation{startCount, version}
					return
				}
				if lastInForce[i] == (observation{startCount, version}) {
					c.recordViolation("%s goes back to a version before %d", d.program.Name(), version)
				}
				if askedAt.Sub(publishedAt) > configPropagationTime && c.undisturbed(d.program.Name(), publishedAt) {
					c.recordViolation("%s has not put version %d into force %s after it was published (status %d)", d.program.Name(), version, askedAt.Sub(publishedAt), status)
				}
			})
		}
		checks.Wait()
	}
}

func (c *cluster) currentVersion() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// undisturbed reports whether, at a given time, a process and the store had not been
// disturbed for undisturbedTime.
func (c *cluster) undisturbed(name string, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at.Sub(c.disturbedUntil[name]) > undisturbedTime && at.Sub(c.disturbedUntil[storeComponent]) > undisturbedTime
}
