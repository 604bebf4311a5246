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
	callers = 12
	// lossSlack is how long after it was sent a request may end without an answer even
	// around planned stops, by the platform's sheets.
	lossSlack = 200 * time.Millisecond
	// answerSlack is how much later than its time an answer may be seen on a busy machine.
	answerSlack = 400 * time.Millisecond
	// flowing is the share of a second's jobs that are completed when work flows.
	flowing = 0.8
	// longEach is which part of the jobs is long, leavesEach which part is broken off by
	// its caller, and sent again.
	longEach   = 8
	leavesEach = 8
	// queueEvery is the time between two looks at configuration.
	queueEvery = 200 * time.Millisecond
	queueTime  = 500 * time.Millisecond
	// inForce is the time within which configuration is in force, by the platform's sheets.
	inForce = 2 * time.Second
)

// fate is a job with all its sendings.
type fate struct {
	job      caller.Job
	attempts []caller.Attempt
	ended    time.Time
}

func (f fate) last() caller.Attempt { return f.attempts[len(f.attempts)-1] }

// load is all callers.
type load struct {
	world   *world
	callers []*caller.Caller
	// factor is by how much the load is raised, in thousandths.
	factor atomic.Int64
	mu     sync.Mutex
	fates  []fate
	// calmFrom is when nothing has been harmed for long.
	calmFrom time.Time
}

func newLoad(w *world) *load {
	l := &load{world: w}
	l.factor.Store(1000)
	for range callers {
		l.callers = append(l.callers, caller.New(w.front.Address(), w.clock))
	}
	w.raise = func(factor float64) { l.factor.Store(int64(1000 * factor)) }
	return l
}

// drawJob draws a job: many quick ones, and one in longEach whose tasks outlast the time
// after which a caller without an answer sends its job again.
func drawJob(r *rand.Rand) caller.Job {
	j := caller.Job{
		ID: fmt.Sprintf("%016x", r.Uint64()), Tasks: 1 + r.IntN(6), RunTime: between(r, 20*time.Millisecond, 200*time.Millisecond),
		CPU: 500 + r.IntN(3500), Budget: between(r, 1500*time.Millisecond, 3500*time.Millisecond),
	}
	if r.IntN(2) == 0 {
		j.Grace = 2 * answerSlack
	}
	if r.IntN(longEach) == 0 {
		j.Tasks, j.CPU = 1+r.IntN(3), 500+r.IntN(1000)
		j.RunTime = between(r, time.Second, 3*time.Second)
		j.Budget = j.RunTime + between(r, time.Second, 4*time.Second)
	}
	if r.IntN(leavesEach) == 0 {
		j.AbortAfter = between(r, 20*time.Millisecond, 400*time.Millisecond)
	}
	return j
}

// run sends jobs until the context ends, and waits for their answers.
func (l *load) run(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.world.settings.Seed, 3))
	var group sync.WaitGroup
	for ctx.Err() == nil {
		j := drawJob(random)
		c := l.callers[random.IntN(len(l.callers))]
		group.Go(func() {
			f := fate{job: j, attempts: c.Submit(context.WithoutCancel(ctx), j), ended: l.world.clock.Now()}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.fates = append(l.fates, f)
		})
		perS := l.world.settings.JobsPerSecond * float64(l.factor.Load()) / 1000
		l.world.pause(ctx, time.Duration(random.ExpFloat64()/perS*float64(time.Second)))
	}
	group.Wait()
	for _, c := range l.callers {
		c.Close()
	}
}

// recover returns how long after now work flows again.
func (l *load) recover(ctx context.Context) time.Duration {
	began := l.world.clock.Now()
	for ctx.Err() == nil {
		l.world.pause(ctx, pollEvery)
		since := l.world.clock.Since(began)
		if since > time.Second && l.share(l.world.clock.Now().Add(-time.Second)) >= flowing {
			return since - time.Second
		}
		if since > recovery+2*time.Second {
			return since
		}
	}
	return l.world.clock.Since(began)
}

// share returns how much of what ended since a time was completed.
func (l *load) share(since time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	all, completed := 0, 0
	for _, f := range l.fates {
		if f.ended.After(since) {
			all++
			if f.last().Completed() {
				completed++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return float64(completed) / float64(all)
}

// calm watches the system when nothing has been harmed for long.
func (l *load) calm(ctx context.Context) {
	l.world.pause(ctx, contact)
	l.mu.Lock()
	l.calmFrom = l.world.clock.Now()
	l.mu.Unlock()
	l.world.pause(ctx, calmTime)
}

// judge counts the answers and checks each against what the endpoints saw.
func (l *load) judge(r *Report) {
	calm, served := 0, 0
	for _, f := range l.fates {
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
		l.truth(f)
		if f.attempts[0].SentAt.After(l.calmFrom) && !f.attempts[0].Aborted {
			calm++
			if len(f.attempts) == 1 && last.Completed() {
				served++
			}
		}
	}
	if calm == 0 || float64(served) < calmShare*float64(calm) {
		l.world.breaks("in calm %d of %d jobs are completed at the first try", served, calm)
	}
}

// truth checks one job.
func (l *load) truth(f fate) {
	w := l.world
	starts, done := w.record.JobCounts(f.job.ID)
	refused := 0
	for _, a := range f.attempts {
		if a.Refused() {
			refused++
			if a.RetryAfter < time.Second {
				w.breaks("job %s is refused with %d and no time to come back", f.job.ID, a.Status)
			}
		}
		if a.Completed() && done != f.job.Tasks {
			w.breaks("job %s is said to be completed, %d of %d tasks have ended well", f.job.ID, done, f.job.Tasks)
		}
		// A caller who leaves at the end of its time misses an answer whose request was
		// on its way for longer than the answer's margin; one with patience does not.
		calm := a.SentAt.After(l.calmFrom) && f.job.Grace > 0
		// A connection may end before a request was read, as a process ends.
		read := a.Elapsed > lossSlack || w.record.StartedBetween(f.job.ID, a.SentAt, a.SentAt.Add(a.Elapsed))
		if a.Status == 0 && !a.Aborted && (calm || w.settings.PlannedOnly && read) {
			w.breaks("job %s gets no answer: %s after %s", f.job.ID, a.Error, a.Elapsed)
		}
		if calm && a.Elapsed > f.job.Budget+answerSlack {
			w.breaks("job %s is answered after %s, its time is %s", f.job.ID, a.Elapsed, f.job.Budget)
		}
	}
	if refused == len(f.attempts) && starts > 0 {
		w.breaks("job %s was refused each time and has %d starts", f.job.ID, starts)
	}
}

// probe checks all the while that configuration is in force in time, and never back.
func (w *world) probe(ctx context.Context) {
	type seen struct{ life, version int }
	last := make([]seen, len(w.dispatchers))
	for ; ctx.Err() == nil; w.pause(ctx, queueEvery) {
		w.mu.Lock()
		version, published := w.version, w.published
		w.mu.Unlock()
		var asked sync.WaitGroup
		for i, d := range w.dispatchers {
			asked.Go(func() {
				life, asked := d.program.StartCount(), w.clock.Now()
				status := d.caller.QueueStatus(ctx, queueOf(version), queueTime)
				if status == 0 || d.program.StartCount() != life || ctx.Err() != nil {
					return
				}
				known := status == 200
				if known {
					last[i] = seen{life, version}
					return
				}
				if last[i] == (seen{life, version}) {
					w.breaks("%s goes back behind version %d", d.program.Name(), version)
				}
				if asked.Sub(published) > inForce && w.unharmed(d.program.Name(), published) {
					w.breaks("%s has not put version %d into force %s after it was published (status %d)", d.program.Name(), version, asked.Sub(published), status)
				}
			})
		}
		asked.Wait()
	}
}

// unharmed reports whether a process and the store were in calm for long at a time.
func (w *world) unharmed(name string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return at.Sub(w.harmed[name]) > contact && at.Sub(w.harmed[storeName]) > contact
}
