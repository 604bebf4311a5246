// Package register is the memory of a registrar: which dispatchers may have a job, and which jobs
// have been completed or canceled recently. Each job has several registrars, so that a dispatcher that
// gets a job again learns of it whichever dispatcher got it before. The package does no I/O.
package register

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxHold limits the time for which a dispatcher may say that it has a job: the longest budget
	// of a caller, and some time for the ends of its runs.
	maxHold = 6 * time.Minute
	// completedTTL is how long a completion is remembered: copies of the request arrive some seconds
	// after the answer.
	completedTTL = 10 * time.Second
	// CanceledTTL is how long a cancellation is remembered: a caller may send a canceled job again as
	// long as it waits.
	CanceledTTL = time.Minute
	// MaxJobs limits the jobs that are remembered; the oldest are forgotten first.
	MaxJobs = 1 << 16
	// maxHolders limits the dispatchers that are remembered for one job.
	maxHolders = 4
)

// record is what is known of one job.
type record struct {
	holdings []holding
	end      State
	endUntil time.Time
	// notes counts the notes on this job.
	notes int
}

// holding is a dispatcher that has a job, all runs of which will have ended at a time.
type holding struct {
	address string
	until   time.Time
}

// note tells until when a job has to be remembered, as far as it was known at one time.
type note struct {
	job   string
	until time.Time
}

// Register holds what a registrar knows. It is safe for concurrent use.
type Register struct {
	startedAt time.Time
	mu        sync.Mutex
	jobs      map[string]*record
	// notes are in the order in which they were made.
	notes []note
}

// New returns the register of a dispatcher that starts now.
func New(now time.Time) *Register {
	return &Register{startedAt: now, jobs: map[string]*record{}}
}

// Knows returns for how long this register has been kept.
func (r *Register) Knows(now time.Time) time.Duration { return now.Sub(r.startedAt) }

// Claim notes that a dispatcher takes a job whose runs will have ended within hold, unless
// the job has ended. The holders are the other dispatchers that may have the job.
func (r *Register) Claim(job, address string, hold time.Duration, now time.Time) (s State, holders []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.endOf(job, now); s != Free {
		return s, nil
	}
	if known := r.jobs[job]; known != nil {
		for _, h := range known.holdings {
			if h.address != address && now.Before(h.until) {
				holders = append(holders, h.address)
			}
		}
	}
	r.hold(job, address, hold, now)
	if len(holders) > 0 {
		slices.Sort(holders)
		return Held, holders
	}
	return Free, nil
}

// Hold notes that a dispatcher has a job whose runs will have ended within hold.
func (r *Register) Hold(job, address string, hold time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hold(job, address, hold, now)
}

// Release notes that a dispatcher has a job no longer, and that none of its tasks has run there.
func (r *Register) Release(job, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.jobs[job]; known != nil {
		known.holdings = slices.DeleteFunc(known.holdings, func(h holding) bool { return h.address == address })
	}
}

// End notes that a job has been completed or canceled.
func (r *Register) End(job string, s State, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ttl := completedTTL
	// A job that was canceled just before it was completed is not to be started either way.
	if s = max(s, r.endOf(job, now)); s == Canceled {
		ttl = CanceledTTL
	}
	known := r.record(job, now.Add(ttl), now)
	known.end, known.endUntil, known.holdings = s, now.Add(ttl), nil
}

// EndOf returns whether a job has been completed or canceled recently, else Free.
func (r *Register) EndOf(job string, now time.Time) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endOf(job, now)
}

func (r *Register) endOf(job string, now time.Time) State {
	known := r.jobs[job]
	if known == nil || !now.Before(known.endUntil) {
		return Free
	}
	return known.end
}

func (r *Register) hold(job, address string, hold time.Duration, now time.Time) {
	until := now.Add(min(max(hold, 0), maxHold))
	known := r.record(job, until, now)
	known.holdings = slices.DeleteFunc(known.holdings, func(h holding) bool { return now.After(h.until) })
	if at := slices.IndexFunc(known.holdings, func(h holding) bool { return h.address == address }); at >= 0 {
		if until.After(known.holdings[at].until) {
			known.holdings[at].until = until
		}
		return
	}
	if len(known.holdings) == maxHolders {
		// The one that ends soonest is the likeliest to have ended.
		soonest := slices.MinFunc(known.holdings, func(a, b holding) int { return a.until.Compare(b.until) })
		known.holdings = slices.DeleteFunc(known.holdings, func(h holding) bool { return h == soonest })
	}
	known.holdings = append(known.holdings, holding{address: address, until: until})
}

// record returns the record of a job that is to be remembered until a time.
func (r *Register) record(job string, until, now time.Time) *record {
	r.forget(now)
	known := r.jobs[job]
	if known == nil {
		known = &record{}
		r.jobs[job] = known
	}
	known.notes++
	r.notes = append(r.notes, note{job: job, until: until})
	return known
}

// forget drops up to two notes that have expired, so that the work of each call is bounded, and the
// oldest if there are too many.
func (r *Register) forget(now time.Time) {
	for range 2 {
		if len(r.notes) == 0 || len(r.notes) < MaxJobs && now.Before(r.notes[0].until) {
			return
		}
		job := r.notes[0].job
		r.notes = r.notes[1:]
		if known := r.jobs[job]; known.notes > 1 {
			known.notes--
		} else {
			delete(r.jobs, job)
		}
	}
}

// Jobs returns the number of jobs that are remembered.
func (r *Register) Jobs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs)
}
