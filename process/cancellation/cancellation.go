// Package cancellation holds the jobs that callers have canceled at a dispatcher that does not
// hold them. The dispatcher that does may not answer at that time, so that the others, and the
// sidecars, remember the job and see to it that none of its tasks starts. The package does no I/O.
package cancellation

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

const (
	// retention is how long a cancellation is remembered: longer than a caller waits for a job.
	retention = time.Minute
	// maxRecords limits the cancellations that are kept and sent; the oldest are dropped first.
	maxRecords = 1024
)

type record struct {
	at time.Time
	// found is set if a dispatcher held the job.
	found bool
}

// Log holds the recent cancellations that a process knows of. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records map[string]record
}

// New returns an empty log.
func New() *Log { return &Log{records: map[string]record{}} }

// Add records a job that is canceled now and reports whether it is new. Found says that this
// process, or one that it heard of, held the job.
func (l *Log) Add(job string, found bool, now time.Time) bool { return l.add(job, found, now, now) }

// AddAll records the cancellations in a message that was received now and returns the new ones,
// to be passed on with their age.
func (l *Log) AddAll(list []*wire.Cancellation, now time.Time) []*wire.Cancellation {
	var added []*wire.Cancellation
	for _, m := range list {
		if l.add(m.GetJob(), m.GetFound(), now.Add(-time.Duration(m.GetAgeMs())*time.Millisecond), now) {
			added = append(added, m)
		}
	}
	return added
}

func (l *Log) add(job string, found bool, at, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(at) > retention {
		return false
	}
	r, known := l.records[job]
	if !known {
		l.makeRoom(now)
		r.at = at
	}
	r.found = r.found || found
	l.records[job] = r
	return !known
}

// makeRoom drops the expired records, and the oldest if there are too many.
func (l *Log) makeRoom(now time.Time) {
	maps.DeleteFunc(l.records, func(_ string, r record) bool { return now.Sub(r.at) > retention })
	if len(l.records) >= maxRecords {
		delete(l.records, slices.MinFunc(slices.Collect(maps.Keys(l.records)), l.compareAge))
	}
}

// compareAge orders jobs by the time of their cancellation.
func (l *Log) compareAge(a, b string) int {
	return cmp.Or(l.records[a].at.Compare(l.records[b].at), cmp.Compare(a, b))
}

// Find returns the recent cancellation of a job as a message that is sent now, or nil.
func (l *Log) Find(job string, now time.Time) *wire.Cancellation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.message(job, now)
}

// message returns the message of a job that was canceled recently, else nil.
func (l *Log) message(job string, now time.Time) *wire.Cancellation {
	r, known := l.records[job]
	if !known || now.Sub(r.at) > retention {
		return nil
	}
	return &wire.Cancellation{Job: job, AgeMs: uint32(max(0, now.Sub(r.at).Milliseconds())), Found: r.found}
}

// Recent returns the recent cancellations as messages that are sent now, the oldest first.
func (l *Log) Recent(now time.Time) []*wire.Cancellation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*wire.Cancellation
	for _, job := range slices.SortedFunc(maps.Keys(l.records), l.compareAge) {
		if m := l.message(job, now); m != nil {
			list = append(list, m)
		}
	}
	return list
}
