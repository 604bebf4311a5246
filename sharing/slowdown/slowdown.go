// Package slowdown tells at a sidecar that its endpoint has turned slow while the runs that show
// it are still under way. The runs that have ended tell it late: at an endpoint that is five times
// slower, few end in the time in which others wait behind them. It does no I/O.
package slowdown

import (
	"slices"
	"time"
)

const (
	// minRatio is the run time, relative to the expected one, from which a run counts as slow.
	// Run times of single tasks differ by some 40 %.
	minRatio = 2.0
	// newestRuns is the least number of runs that are considered: the overdue ones that are under
	// way, and the ones that ended last, as many as are under way. Of newestRuns, minSlowRuns have
	// to be slow. One job in thirty takes several times as long as expected; its tasks are
	// over-represented among those under way.
	newestRuns  = 8
	minSlowRuns = 6
	// maxEnded is the number of ended runs that are kept.
	maxEnded = 256
	// minJobs is the number of jobs whose runs are slow, since a job may itself be long.
	minJobs = 3
	// maxEndDelay is how long after the end of a run the sidecar may learn of it.
	maxEndDelay = 80 * time.Millisecond
	// maxRunAge is how long an ended run is considered. After it, an endpoint that got no more
	// tasks is tried again.
	maxRunAge = 3 * time.Second
	// minExpected bounds the expected run time from below.
	minExpected = time.Millisecond
)

// Run is a run of a task that is under way or has ended. Ran is the time since its start order,
// until its end was known or until now.
type Run struct {
	Job           string
	Ran, Expected time.Duration
}

// ratio returns the least run time of the run, relative to the expected one.
func (r Run) ratio() float64 {
	return float64(max(0, r.Ran-maxEndDelay)) / float64(max(r.Expected, minExpected))
}

type ended struct {
	Run
	at time.Time
}

// Tracker holds the last runs of one endpoint. It is not safe for concurrent use.
type Tracker struct {
	ended []ended
	// countsFrom is the time from which runs have to begin to count.
	countsFrom time.Time
}

// New returns a tracker without runs.
func New() *Tracker { return &Tracker{} }

// Ended records a run that has succeeded.
func (t *Tracker) Ended(r Run, now time.Time) {
	if now.Add(-r.Ran).Before(t.countsFrom) {
		return
	}
	if len(t.ended) == maxEnded {
		t.ended = slices.Delete(t.ended, 0, maxEnded/2)
	}
	t.ended = append(t.ended, ended{Run: r, at: now})
}

// StoodStill makes the runs that have begun until now count no more: the sidecar stood still, so
// that their ends were noticed late.
func (t *Tracker) StoodStill(now time.Time) {
	t.Reset()
	t.countsFrom = now
}

// Reset forgets all runs, those of an earlier incarnation of the endpoint.
func (t *Tracker) Reset() { t.ended = t.ended[:0] }

// Slowness returns by how much longer than expected the newest runs take, or 0 if the endpoint
// has not evidently turned slow. A run under way counts by the time that it has taken so far, once
// that makes it slow: until then it says nothing.
func (t *Tracker) Slowness(underWay []Run, now time.Time) float64 {
	var ratios []float64
	jobs := map[string]bool{}
	add := func(r Run) {
		ratio := r.ratio()
		ratios = append(ratios, ratio)
		if ratio >= minRatio {
			jobs[r.Job] = true
		}
	}
	for _, r := range underWay {
		if r.ratio() >= minRatio && !now.Add(-r.Ran).Before(t.countsFrom) {
			add(r)
		}
	}
	window := max(newestRuns, len(underWay))
	for i := len(t.ended) - 1; i >= 0 && len(ratios) < window && now.Sub(t.ended[i].at) <= maxRunAge; i-- {
		add(t.ended[i].Run)
	}
	slices.Sort(ratios)
	firstSlow, _ := slices.BinarySearch(ratios, minRatio)
	slow := len(ratios) - firstSlow
	if len(jobs) < minJobs || slow < minSlowRuns || slow*newestRuns < len(ratios)*minSlowRuns {
		return 0
	}
	return ratios[len(ratios)/2]
}
