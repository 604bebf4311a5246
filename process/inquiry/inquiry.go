// Package inquiry decides which dispatcher may submit a job whose requests have reached several.
// A request may be old: its caller has left and has sent the job again, to another dispatcher.
// A dispatcher that reads such a request asks the others first; each answers from its log of the
// jobs that it has, and remembers whom it has let go ahead. The package does no I/O.
package inquiry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/corianderhook/corianderhook/request/outcome"
)

const (
	// clearanceTTL is how long after its inquiry a job may be submitted.
	clearanceTTL = time.Second
	// askedTTL is how long an asked dispatcher remembers who asked: clearanceTTL, and the
	// resubmission time, within which a caller that has left is noticed and its tasks are stopped.
	askedTTL = clearanceTTL + 1500*time.Millisecond
	// sendingGap is the least difference in age of two requests that were sent one after the
	// other. They are at least a resubmission time apart, and their ages are not exact.
	sendingGap = 600 * time.Millisecond
	// maxNotes limits the jobs that are remembered after they have ended or were asked for.
	maxNotes = 1 << 14
)

// Claim is a request that another dispatcher has in hand.
type Claim struct {
	Job string
	// Address and Incarnation identify the dispatcher.
	Address     string
	Incarnation uint64
	// Age is the time since the request reached the dispatcher.
	Age time.Duration
}

// asking is a request in hand whose job the others are asked for.
type asking struct {
	arrivedAt time.Time
	// yielded is set once another dispatcher has been told to go ahead.
	yielded bool
}

// record is what is known of a job. Times that have passed have no effect.
type record struct {
	// arrivals counts the requests in hand that may be submitted, refused those that will not be,
	// and submitted those that have been passed to the scheduler and not answered. A submitted
	// request counts as an arrival too.
	arrivals  int
	refused   int
	submitted int
	asking    []*asking
	// clearedAt is when the last inquiry began that may have allowed a submission.
	clearedAt time.Time
	// heldUntil is when the last runs of an ended job have ended.
	heldUntil time.Time
	// askedAt holds, by address, when a dispatcher was told to go ahead.
	askedAt map[string]time.Time
	// notes counts the notes on this job.
	notes int
}

// note tells when a job has ended or was asked for.
type note struct {
	job string
	at  time.Time
}

// Log holds the jobs that one dispatcher has in hand, has submitted, has ended recently, or was
// recently asked for. It is safe for concurrent use.
type Log struct {
	incarnation   uint64
	runsEndWithin time.Duration
	mu            sync.Mutex
	jobs          map[string]*record
	// notes are in order of time.
	notes []note
}

// New returns the log of a dispatcher without jobs. RunsEndWithin is the longest time from the end
// of a job to that of its last run.
func New(incarnation uint64, runsEndWithin time.Duration) *Log {
	return &Log{incarnation: incarnation, runsEndWithin: runsEndWithin, jobs: map[string]*record{}}
}

// Arrive notes that a request of a job has been read. Leave ends this.
func (l *Log) Arrive(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(job).arrivals++
}

// Leave notes that a request has been answered.
func (l *Log) Leave(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(job)
	if r.refused > 0 {
		r.refused--
	} else {
		r.arrivals--
	}
	l.dropIfEmpty(job)
}

// Ask notes that the others are asked for a job whose request is in hand. The returned function
// takes what they have answered together, and returns whether the job may be submitted.
func (l *Log) Ask(job string, arrivedAt, now time.Time) (decide func(answered Holding, decidedAt time.Time) Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := &asking{arrivedAt: arrivedAt}
	r := l.record(job)
	r.asking = append(r.asking, q)
	return func(answered Holding, decidedAt time.Time) Holding {
		l.mu.Lock()
		defer l.mu.Unlock()
		r.asking = slices.DeleteFunc(r.asking, func(other *asking) bool { return other == q })
		switch {
		case q.yielded:
			answered = Held
		case answered == NotHeld && decidedAt.Sub(now) > clearanceTTL:
			answered = Unknown
		}
		switch {
		case answered != Held:
			// A request that is hardly old goes on without an answer too.
			r.clearedAt = now
		case r.arrivals > 0:
			r.arrivals--
			r.refused++
		}
		l.dropIfEmpty(job)
		return answered
	}
}

// Submit notes that a job is passed to the scheduler. It returns false, and notes nothing, if an
// inquiry has allowed this too long ago. End ends it.
func (l *Log) Submit(job string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(job)
	if r.submitted == 0 && !r.clearedAt.IsZero() && now.Sub(r.clearedAt) > clearanceTTL {
		l.dropIfEmpty(job)
		return false
	}
	r.submitted++
	return true
}

// End notes that a submitted request has been answered, or that its caller has left.
func (l *Log) End(job string, result outcome.Outcome, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	r := l.record(job)
	r.submitted--
	if result == outcome.NotRun {
		l.dropIfEmpty(job)
		return
	}
	// A completed job is held no longer than others: its caller may send it again without an answer.
	if until := now.Add(l.runsEndWithin); until.After(r.heldUntil) {
		r.heldUntil = until
	}
	l.addNote(job, r, now)
	if len(l.notes) > maxNotes {
		l.dropOldestNote()
	}
}

// MayRun reports whether runs of an ended job may not have ended yet.
func (l *Log) MayRun(job string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.jobs[job]
	return known && now.Before(r.heldUntil)
}

// Answer answers the inquiry of another dispatcher. NotHeld lets it go ahead of all requests that
// are in hand here or will be in the next seconds.
func (l *Log) Answer(c Claim, now time.Time) Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	hasRoom := l.makeRoom(now)
	r := l.record(c.Job)
	defer l.dropIfEmpty(c.Job)
	// A request in hand that does not ask is submitted at once.
	if r.submitted > 0 || r.arrivals > len(r.asking) || now.Before(r.heldUntil) {
		return Held
	}
	for _, q := range r.asking {
		if !q.yielded && !c.goesBefore(now.Sub(q.arrivedAt), l.incarnation) {
			return Held
		}
	}
	if !hasRoom {
		return Unknown
	}
	for _, q := range r.asking {
		q.yielded = true
	}
	if r.askedAt == nil {
		r.askedAt = map[string]time.Time{}
	}
	r.askedAt[c.Address] = now
	l.addNote(c.Job, r, now)
	return NotHeld
}

// goesBefore reports whether the claim goes before a request of another dispatcher if only one may
// go on: the one that was evidently sent later, else that of the lower incarnation.
func (c Claim) goesBefore(age time.Duration, incarnation uint64) bool {
	if (c.Age - age).Abs() >= sendingGap {
		return c.Age < age
	}
	return c.Incarnation < incarnation
}

// Askers returns the addresses, in order, of the dispatchers that were let go ahead with a job
// within askedTTL.
func (l *Log) Askers(job string, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.jobs[job]
	if !known {
		return nil
	}
	maps.DeleteFunc(r.askedAt, func(_ string, at time.Time) bool { return now.Sub(at) > askedTTL })
	return slices.Sorted(maps.Keys(r.askedAt))
}

func (l *Log) record(job string) *record {
	r, known := l.jobs[job]
	if !known {
		r = &record{}
		l.jobs[job] = r
	}
	return r
}

func (l *Log) dropIfEmpty(job string) {
	r, known := l.jobs[job]
	if !known {
		return
	}
	if r.arrivals == 0 && r.submitted == 0 {
		r.clearedAt = time.Time{}
	}
	if r.arrivals == 0 && r.refused == 0 && r.submitted == 0 && len(r.asking) == 0 && r.notes == 0 {
		delete(l.jobs, job)
	}
}

func (l *Log) addNote(job string, r *record, now time.Time) {
	r.notes++
	l.notes = append(l.notes, note{job: job, at: now})
}

func (l *Log) dropExpired(now time.Time) {
	for len(l.notes) > 0 && now.Sub(l.notes[0].at) > max(askedTTL, l.runsEndWithin) {
		l.dropOldestNote()
	}
}

func (l *Log) dropOldestNote() {
	job := l.notes[0].job
	l.notes = l.notes[1:]
	l.jobs[job].notes--
	l.dropIfEmpty(job)
}

// makeRoom reports whether there is room for a note, if need be in place of one on a job that is
// not asked for any more.
func (l *Log) makeRoom(now time.Time) bool {
	if len(l.notes) < maxNotes {
		return true
	}
	if now.Sub(l.notes[0].at) <= max(askedTTL, l.runsEndWithin) {
		return false
	}
	l.dropOldestNote()
	return true
}
