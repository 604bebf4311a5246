package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderhook/corianderhook/platform/standin/caller"
)

const (
	// callers is how many clients keep connections of their own.
	callerCount = 12
	// lossSlack is how long after it was sent a request may end without an answer even
	// around planned stops, by the platform's sheets.
	unreadRequestTime = 200 * time.Millisecond
	// answerSlack is how much later than its time an answer may be seen on a busy machine.
	answerMargin = 400 * time.Millisecond
	// flowing is the share of a second's jobs that are completed when work flows.
	recoveredShare = 0.8
	// longEach is which part of the jobs is long, leavesEach which part is broken off by
	// its caller, and sent again.
	longJobEvery   = 8
	abortEvery = 8
	// queueEvery is the time between two looks at configuration.
	configCheckInterval = 200 * time.Millisecond
	configCheckTimeout  = 500 * time.Millisecond
	// inForce is the time within which configuration is in force, by the platform's sheets.
	configPropagationTime = 2 * time.Second
)

// fate is a job with all its sendings.
type jobResult struct {
	job      caller.Job
	attempts []caller.Attempt
	endedAt    time.Time
}

func (f jobResult) last() caller.Attempt { return f.attempts[len(f.attempts)-1] }

// load is all callers.
type loadGenerator struct {
	cluster   *cluster
	callers []*caller.Caller
	// factor is by how much the load is raised, in thousandths.
	factorPermille atomic.Int64
	mu     sync.Mutex
	results  []jobResult
	// calmFrom is when nothing has been harmed for long.
	quietSince time.Time
}

func newLoadGenerator(w *cluster) *loadGenerator {
	l := &loadGenerator{cluster: w}
	l.factorPermille.Store(1000)
	for range callerCount {
		l.callers = append(l.callers, caller.New(w.balancer.Address(), w.clock))
	}
	w.setLoadFactor = func(factor float64) { l.factorPermille.Store(int64(1000 * factor)) }
	return l
}

// drawJob draws a job: many quick ones, and one in longEach whose tasks outlast the time
// after which a caller without an answer sends its job again.
func randomJob(r *rand.Rand) caller.Job {
	j := caller.Job{
		ID: fmt.Sprintf("%016x", r.Uint64()), Tasks: 1 + r.IntN(6), Takes: randomDuration(r, 20*time.Millisecond, 200*time.Millisecond),
		CPU: 500 + r.IntN(3500), Budget: randomDuration(r, 1500*time.Millisecond, 3500*time.Millisecond),
	}
	if r.IntN(2) == 0 {
		j.Patience = 2 * answerMargin
	}
	if r.IntN(longJobEvery) == 0 {
		j.Tasks, j.CPU = 1+r.IntN(3), 500+r.IntN(1000)
		j.Takes = randomDuration(r, time.Second, 3*time.Second)
		j.Budget = j.Takes + randomDuration(r, time.Second, 4*time.Second)
	}
	if r.IntN(abortEvery) == 0 {
		j.Leaves = randomDuration(r, 20*time.Millisecond, 400*time.Millisecond)
	}
	return j
}

// run sends jobs until the context ends, and waits for their answers.
func (l *loadGenerator) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.cluster.settings.Seed, 3))
	var group sync.WaitGroup
	for ctx.Err() == nil {
		j := randomJob(rng)
		c := l.callers[rng.IntN(len(l.callers))]
		group.Go(func() {
			f := jobResult{job: j, attempts: c.Submit(context.WithoutCancel(ctx), j), endedAt: l.cluster.clock.Now()}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.results = append(l.results, f)
		})
		jobsPerSecond := l.cluster.settings.JobsPerSecond * float64(l.factorPermille.Load()) / 1000
		l.cluster.pause(ctx, time.Duration(rng.ExpFloat64()/jobsPerSecond*float64(time.Second)))
	}
	group.Wait()
	for _, c := range l.callers {
		c.Close()
	}
}

// recover returns how long after now work flows again.
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

// share returns how much of what ended since a time was completed.
func (l *loadGenerator) completedShare(since time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, completed := 0, 0
	for _, f := range l.results {
		if f.endedAt.After(since) {
			total++
			if f.last().Completed() {
				completed++
			}
		}
	}
	if total == 0 {
		return 0
	}
	return float64(completed) / float64(total)
}

// calm watches the system when nothing has been harmed for long.
func (l *loadGenerator) observeQuietPeriod(ctx context.Context) {
	l.cluster.pause(ctx, undisturbedTime)
	l.mu.Lock()
	l.quietSince = l.cluster.clock.Now()
	l.mu.Unlock()
	l.cluster.pause(ctx, quietTime)
}

// judge counts the answers and checks each against what the endpoints saw.
func (l *loadGenerator) checkResults(r *Report) {
	quiet, firstTry := 0, 0
	for _, f := range l.results {
		r.Jobs++
		last := f.last()
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
		l.checkResult(f)
		if f.attempts[0].Sent.After(l.quietSince) && !f.attempts[0].Left {
			quiet++
			if len(f.attempts) == 1 && last.Completed() {
				firstTry++
			}
		}
	}
	if quiet == 0 || float64(firstTry) < minQuietCompletedShare*float64(quiet) {
		l.cluster.recordViolation("in calm %d of %d jobs are completed at the first try", firstTry, quiet)
	}
}

// truth checks one job.
func (l *loadGenerator) checkResult(f jobResult) {
	w := l.cluster
	starts, done := w.record.Job(f.job.ID)
	refused := 0
	for _, a := range f.attempts {
		if a.Refused() {
			refused++
			if a.Retry < time.Second {
				w.recordViolation("job %s is refused with %d and no time to come back", f.job.ID, a.Status)
			}
		}
		if a.Completed() && done != f.job.Tasks {
			w.recordViolation("job %s is said to be completed, %d of %d tasks have ended well", f.job.ID, done, f.job.Tasks)
		}
		// A caller who leaves at the end of its time misses an answer whose request was
		// on its way for longer than the answer's margin; one with patience does not.
		quiet := a.Sent.After(l.quietSince) && f.job.Patience > 0
		// A connection may end before a request was read, as a process ends.
		wasRead := a.Took > unreadRequestTime || w.record.Started(f.job.ID, a.Sent, a.Sent.Add(a.Took))
		if a.Status == 0 && !a.Left && (quiet || w.settings.PlannedOnly && wasRead) {
			w.recordViolation("job %s gets no answer: %s after %s", f.job.ID, a.Fault, a.Took)
		}
		if quiet && a.Took > f.job.Budget+answerMargin {
			w.recordViolation("job %s is answered after %s, its time is %s", f.job.ID, a.Took, f.job.Budget)
		}
	}
	if refused == len(f.attempts) && starts > 0 {
		w.recordViolation("job %s was refused each time and has %d starts", f.job.ID, starts)
	}
}

// probe checks all the while that configuration is in force in time, and never back.
func (w *cluster) checkConfig(ctx context.Context) {
	type observation struct{ life, version int }
	lastKnown := make([]observation, len(w.dispatchers))
	for ; ctx.Err() == nil; w.pause(ctx, configCheckInterval) {
		w.mu.Lock()
		version, published := w.version, w.publishedAt
		w.mu.Unlock()
		var checks sync.WaitGroup
		for i, d := range w.dispatchers {
			checks.Go(func() {
				life, checks := d.program.StartCount(), w.clock.Now()
				status := d.caller.Knows(ctx, queueName(version), configCheckTimeout)
				if status == 0 || d.program.StartCount() != life || ctx.Err() != nil {
					return
				}
				known := status == 200
				if known {
					lastKnown[i] = observation{life, version}
					return
				}
				if lastKnown[i] == (observation{life, version}) {
					w.recordViolation("%s goes back behind version %d", d.program.Name(), version)
				}
				if checks.Sub(published) > configPropagationTime && w.undisturbed(d.program.Name(), published) {
					w.recordViolation("%s has not put version %d into force %s after it was published (status %d)", d.program.Name(), version, checks.Sub(published), status)
				}
			})
		}
		checks.Wait()
	}
}

// unharmed reports whether a process and the store were in calm for long at a time.
func (w *cluster) undisturbed(name string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return at.Sub(w.disturbedUntil[name]) > undisturbedTime && at.Sub(w.disturbedUntil[storeComponent]) > undisturbedTime
}
