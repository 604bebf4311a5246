// Package endpointhealth measures at a sidecar how the recent runs at its endpoint went, over
// all dispatchers. It detects an endpoint that becomes slow or fails its runs: among
// hundreds of endpoints, a single dispatcher sees so few runs of each that it would take
// seconds to detect this. The package does no I/O.
package endpointhealth

import (
	"slices"
	"time"
)

// MaxRuns is how many of the last runs are considered.
const MaxRuns = 24

// MaxRunAge is how long a run is considered. After it, an endpoint that got no more tasks
// is tried again.
const MaxRunAge = 3 * time.Second

const (
	// minFailedJobs is how many jobs must have failed tasks, since a single job may
	// itself be at fault.
	minFailedJobs = 3
	// An endpoint counts as slow if the median of at least minRuns runs takes minSlowness
	// times the expected time. Run times of single tasks differ by some 40 %.
	minRuns     = 5
	minSlowness = 2.0
	// maxEndDelay is how long after the end of a run the sidecar may learn of it: there is
	// a report every 40 ms while tasks run, and two that list the end may be lost.
	maxEndDelay = 80 * time.Millisecond
)

// run is a run that ended.
type run struct {
	at     time.Time
	job    string
	failed bool
	// ratio is the run time divided by the expected run time.
	ratio float64
}

// Tracker holds the last runs of one endpoint. It is not safe for concurrent use.
type Tracker struct{ runs []run }

// New returns a Tracker without runs.
func New() *Tracker { return &Tracker{} }

// Reset removes all runs. It is called when the endpoint has a new incarnation.
func (e *Tracker) Reset() { e.runs = nil }

// Succeeded records a run that succeeded. The time that it ran is measured until its end
// became known, so that maxEndDelay is subtracted.
func (e *Tracker) Succeeded(job string, ran, expected time.Duration, now time.Time) {
	e.add(run{at: now, job: job, ratio: float64(max(0, ran-maxEndDelay)) / float64(max(expected, time.Millisecond))})
}

// Failed records a run that failed.
func (e *Tracker) Failed(job string, now time.Time) { e.add(run{at: now, job: job, failed: true}) }

func (e *Tracker) add(r run) {
	if len(e.runs) == MaxRuns {
		e.runs = slices.Delete(e.runs, 0, 1)
	}
	e.runs = append(e.runs, r)
}

// FailureRate returns the share of the recent runs that failed, smoothed by one added
// failure and one added success. It is 0 unless the endpoint seems to be at fault.
func (e *Tracker) FailureRate(now time.Time) float64 {
	failed, all := 0, 0
	for _, r := range e.runs {
		if now.Sub(r.at) > MaxRunAge {
			continue
		}
		all++
		if r.failed {
			failed++
		}
	}
	if failed < minFailedJobs || e.failedJobs(now) < minFailedJobs {
		return 0
	}
	return float64(failed+1) / float64(all+2)
}

// failedJobs returns the number of jobs of which a run has failed recently.
func (e *Tracker) failedJobs(now time.Time) int {
	jobs := map[string]bool{}
	for _, r := range e.runs {
		if r.failed && now.Sub(r.at) <= MaxRunAge {
			jobs[r.job] = true
		}
	}
	return len(jobs)
}

// Slowness returns the median ratio of run time to expected run time, or 0 if the
// endpoint is not slow.
func (e *Tracker) Slowness(now time.Time) float64 {
	ratios := make([]float64, 0, MaxRuns)
	slow := 0
	for _, r := range e.runs {
		if r.failed || now.Sub(r.at) > MaxRunAge {
			continue
		}
		ratios = append(ratios, r.ratio)
		if r.ratio >= minSlowness {
			slow++
		}
	}
	// The median is one of the slow runs only if these are half of all.
	if len(ratios) < minRuns || slow < len(ratios)-len(ratios)/2 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}
