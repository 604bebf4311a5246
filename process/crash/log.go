package crash

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// Retention is how long a crash is remembered: longer than a caller goes on sending one
	// job.
	Retention = 30 * time.Second
	// maxRecords limits the records that are kept; the oldest are dropped first.
	maxRecords = 256
	// maxCrashes is the number of crashes under a task after which it is not started again,
	// whatever ran beside it.
	maxCrashes = 4
	// minCrashes is the number of crashes from which on a task can be the proven cause.
	minCrashes = 2
	// harmfulShare is the assumed share of tasks that crash their endpoint. It decides how
	// likely it is that two crashes have different causes.
	harmfulShare = 0.1
	// minOdds are the odds from which on a task counts as the cause of all crashes under it.
	minOdds = 10
)

// Log holds the recent crashes that a process knows of. Logs that hold the same records give
// the same answers, in whatever order these came. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records map[ID]Record
	// byTask holds the crashes under each task.
	byTask map[Task][]ID
}

// NewLog returns a Log without records.
func NewLog() *Log { return &Log{records: map[ID]Record{}, byTask: map[Task][]ID{}} }

// Add adds a record and reports whether it says something new. A record of a crash that is
// known already adds its runs.
func (l *Log) Add(r Record, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if now.Sub(r.At) > Retention || len(r.Runs) == 0 {
		return false
	}
	known, exists := l.records[r.ID]
	if !exists {
		known = Record{ID: r.ID, Service: r.Service, At: r.At, Inferred: true}
	}
	if known.Inferred && !r.Inferred {
		// The sidecar knows the ages of all runs; the inferred ones are among them.
		known.Inferred = false
		known.Runs, r.Runs = r.Runs, known.Runs
	}
	before := len(known.Runs)
	for _, run := range r.Runs {
		if !slices.ContainsFunc(known.Runs, func(k Run) bool { return k.Task == run.Task }) {
			known.Runs = append(slices.Clip(known.Runs), run)
		}
	}
	changed := !exists || len(known.Runs) > before || known.Inferred != l.records[r.ID].Inferred
	l.records[r.ID] = known
	for _, run := range known.Runs {
		if !slices.Contains(l.byTask[run.Task], r.ID) {
			l.byTask[run.Task] = append(l.byTask[run.Task], r.ID)
		}
	}
	return changed
}

// expire drops the records that are older than Retention, and the oldest beyond maxRecords.
func (l *Log) expire(now time.Time) {
	for len(l.records) > 0 {
		oldest := slices.MinFunc(slices.Collect(maps.Values(l.records)), func(a, b Record) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Agent, b.Agent)) })
		if now.Sub(oldest.At) <= Retention && len(l.records) < maxRecords {
			return
		}
		delete(l.records, oldest.ID)
		for _, run := range oldest.Runs {
			l.byTask[run.Task] = slices.DeleteFunc(l.byTask[run.Task], func(id ID) bool { return id == oldest.ID })
			if len(l.byTask[run.Task]) == 0 {
				delete(l.byTask, run.Task)
			}
		}
	}
}

// Recent returns the records of at most the given age, in the order of their times.
func (l *Log) Recent(maxAge time.Duration, now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Record
	for _, r := range l.records {
		if now.Sub(r.At) <= maxAge {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Agent, b.Agent)) })
	return list
}

// Empty reports whether no crash is known.
func (l *Log) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records) == 0
}

// Crashes returns how many endpoints have crashed under a task.
func (l *Log) Crashes(t Task) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byTask[t])
}

// MaxBlame returns the largest blame that a task has for a crash.
func (l *Log) MaxBlame(t Task) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	largest := 0.0
	for _, blame := range l.blames(t) {
		largest = max(largest, blame)
	}
	return largest
}

// blames returns the blame of a task for each crash under it whose runs are known.
func (l *Log) blames(t Task) []float64 {
	var list []float64
	for _, id := range l.byTask[t] {
		r := l.records[id]
		if r.Inferred {
			continue
		}
		list = append(list, r.Blame(slices.IndexFunc(r.Runs, func(run Run) bool { return run.Task == t })))
	}
	return list
}

// Harmful reports whether a task must not be started again: it is the likely cause of at least
// minCrashes crashes, or maxCrashes endpoints have crashed under it.
func (l *Log) Harmful(t Task) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	blames := l.blames(t)
	return len(l.byTask[t]) >= maxCrashes || len(blames) >= minCrashes && odds(blames) >= minOdds
}

// odds returns the odds that a task with the given blames has caused all the crashes, against
// that other tasks have.
func odds(blames []float64) float64 {
	// One harmful task explains all crashes; otherwise each needs one of its own.
	product := math.Pow(harmfulShare, float64(1-len(blames)))
	for _, b := range blames {
		if b >= 1 {
			return math.Inf(1)
		}
		product *= b / (1 - b)
	}
	return product
}
