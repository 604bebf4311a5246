// Package evidence tells at a sidecar how the last runs at its endpoint have gone, over
// all dispatchers. It answers an endpoint of hundreds that turns slow or fails what it
// starts: each dispatcher sees so few of its runs that it would take seconds to learn.
// It does no I/O.
package evidence

import (
	"slices"
	"time"
)

// Window is how many of the last runs count.
const MaxRuns = 24

// Lasting is how long a run counts: an endpoint that gets no more tasks is tried again
// after it.
const MaxRunAge = 3 * time.Second

const (
	// leastJobs is how many jobs must have failed tasks: one job may itself be at fault.
	leastJobs = 3
	// leastRuns is how many runs it takes to call an endpoint slow, leastSlow from what
	// factor on: run times of single tasks differ by some 40 %.
	leastRuns = 5
	leastSlow = 2.0
	// lateEnd is how much later than it came an end may be known: two answers that list
	// it are lost, of which one comes each 40 ms while tasks run.
	lateEnd = 80 * time.Millisecond
)

type run struct {
	at     time.Time
	job    string
	failed bool
	// ratio is the run time set against the expected one.
	ratio float64
}

// Evidence holds the last runs of one endpoint. It is not safe for concurrent use.
type Evidence struct{ runs []run }

// New returns evidence of nothing.
func New() *Evidence { return &Evidence{} }

// Forget drops what is known: the endpoint has begun a new life.
func (e *Evidence) Reset() { e.runs = nil }

// Well notes a run that did its work, and after which time its end was known.
func (e *Evidence) Succeeded(job string, ran, expected time.Duration, now time.Time) {
	e.add(run{at: now, job: job, ratio: float64(max(0, ran-lateEnd)) / float64(max(expected, time.Millisecond))})
}

// Failed notes a run that failed.
func (e *Evidence) Failed(job string, now time.Time) { e.add(run{at: now, job: job, failed: true}) }

func (e *Evidence) add(r run) {
	if len(e.runs) == MaxRuns {
		e.runs = slices.Delete(e.runs, 0, 1)
	}
	e.runs = append(e.runs, r)
}

// Failing returns the share of the runs that failed, as if there had been one more of
// each; 0 where it is not the endpoint's fault for all that is known.
func (e *Evidence) FailureRate(now time.Time) float64 {
	jobs := map[string]bool{}
	failed, all := 0, 0
	for _, r := range e.runs {
		if now.Sub(r.at) > MaxRunAge {
			continue
		}
		all++
		if r.failed {
			failed++
			jobs[r.job] = true
		}
	}
	if len(jobs) < leastJobs {
		return 0
	}
	return float64(failed+1) / float64(all+2)
}

// Slowness returns how many times as long as expected runs take, where that is
// clearly more; else 0.
func (e *Evidence) Slowness(now time.Time) float64 {
	var ratios []float64
	for _, r := range e.runs {
		if !r.failed && now.Sub(r.at) <= MaxRunAge {
			ratios = append(ratios, r.ratio)
		}
	}
	if len(ratios) < leastRuns {
		return 0
	}
	slices.Sort(ratios)
	if middle := ratios[len(ratios)/2]; middle >= leastSlow {
		return middle
	}
	return 0
}
