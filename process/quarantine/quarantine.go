// Package quarantine decides which queues have tasks that crash endpoints, and to which
// endpoints their work is confined meanwhile. A queue that may use every endpoint can take
// all of them down, however rarely one of its tasks is started again. A quarantined queue
// uses a few endpoints, as many as its share of the work, and the other queues use the rest.
// It ends once enough of its jobs have gone well. The package does no I/O.
package quarantine

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/crash"
)

const (
	// window is how long a crash counts as evidence.
	window = 6 * time.Second
	// momentLength separates the moments of crashes: those within it may have one cause
	// outside, such as the loss of a rack.
	momentLength = 100 * time.Millisecond
	// A queue is quarantined if at least minMoments moments within the window have crashes,
	// and it has minBlame of their blame, or minBlameOfMany of manyMoments.
	minMoments     = 2
	minBlame       = 0.55
	manyMoments    = 4
	minBlameOfMany = 0.4
	// minSuspicion is the blame for one crash from which on a task is kept apart.
	minSuspicion = 0.25
	// relapseTime is how long after its release one crash is enough for another quarantine.
	relapseTime = 30 * time.Second
	// A queue is released after releaseFactor times the jobs that it completes between two
	// crashes, but at least minReleaseJobs and at most maxReleaseJobs, without a crash.
	releaseFactor  = 3
	minReleaseJobs = 20
	maxReleaseJobs = 200
	// Without a crash it stays for minQuietTime at least, and quietTime at most, in which one of
	// its endpoints was up.
	minQuietTime = 2500 * time.Millisecond
	quietTime    = 5 * time.Second
	// minJobsForShare is the number of jobs from which on the shares of the work are known.
	minJobsForShare = 50
	// settleTime is how long after its start a quarantine may not have reached every
	// dispatcher and sidecar.
	settleTime = 500 * time.Millisecond
	// maxShare bounds the share of a service's endpoints that are set aside.
	maxShare = 0.6
	// workHalfLife is the time after which work counts half in the shares of the queues.
	workHalfLife = 20 * time.Second
	// workStep is the time between two decays of the recorded work.
	workStep = 500 * time.Millisecond
	// minEndpoints is the number of endpoints that a quarantined queue, or a single task that
	// is kept apart, may use if the service has more than twice as many.
	minEndpoints = 2
)

// evidence is what one crash says of the queues.
type evidence struct {
	at     time.Time
	blames map[string]float64
}

// confinement is the state of a queue that is or was quarantined.
type confinement struct {
	active     bool
	releasedAt time.Time
	// confirmed is set once a crash has been blamed on the queue while it was quarantined.
	confirmed bool
	since     time.Time
	// share is the queue's share of the work when it was quarantined.
	share float64
	// completed counts the jobs completed since the last crash, allCompleted and crashes those
	// and the crashes of the whole quarantine.
	completed, allCompleted, crashes int
	// quiet is the time since the last crash in which its endpoints were up.
	quiet time.Duration
}

// Quarantine holds the evidence against the queues of one service. It is not safe for
// concurrent use.
type Quarantine struct {
	crashes []evidence
	queues  map[string]*confinement
	// work holds the recent work by queue, as of workAt.
	work   map[string]float64
	workAt time.Time
	// jobs is the number of jobs of which the work was recorded.
	jobs int
}

// New returns a Quarantine without evidence.
func New() *Quarantine {
	return &Quarantine{queues: map[string]*confinement{}, work: map[string]float64{}}
}

// ObserveWork records the work of a submitted job, in any unit.
func (q *Quarantine) ObserveWork(queue string, work float64, now time.Time) {
	if now.Sub(q.workAt) > workStep {
		decay := math.Pow(0.5, now.Sub(q.workAt).Seconds()/workHalfLife.Seconds())
		for name := range q.work {
			q.work[name] *= decay
		}
		q.workAt = now
	}
	q.work[queue] += work
	q.jobs++
}

// ObserveCrash records a crash of one of the service's endpoints, and returns the queue that
// is quarantined from now on, or an empty string.
func (q *Quarantine) ObserveCrash(r crash.Record, now time.Time) string {
	suspect, share := r.PrimeSuspect()
	if suspect == "" || now.Sub(r.At) > window {
		return ""
	}
	q.expire(now)
	blames := map[string]float64{}
	for i, run := range r.Runs {
		blames[run.Queue] += r.Blame(i)
	}
	q.crashes = append(q.crashes, evidence{at: r.At, blames: blames})
	q.clearOthers(r.At, blames)
	c, known := q.queues[suspect]
	switch {
	case known && c.active:
		c.confirmed = true
		c.noteCrash()
		return ""
	case known && share >= minBlame && now.Sub(c.releasedAt) < relapseTime || q.proven(suspect):
		if !known {
			c = &confinement{}
			q.queues[suspect] = c
		}
		*c = confinement{active: true, since: now, share: q.workShare(suspect)}
		c.noteCrash()
		return suspect
	}
	return ""
}

// clearOthers ends the quarantines of queues that had no run at an endpoint that has crashed
// since, unless another crash has been blamed on them: the evidence against them was chance.
func (q *Quarantine) clearOthers(at time.Time, blames map[string]float64) {
	maps.DeleteFunc(q.queues, func(name string, c *confinement) bool {
		_, present := blames[name]
		return c.active && !c.confirmed && !present && at.Sub(c.since) > settleTime
	})
}

// Adopt quarantines a queue that another dispatcher has quarantined with the given share of
// the work, and reports whether that is new here. A queue that was released here lately stays
// so.
func (q *Quarantine) Adopt(queue string, share float64, now time.Time) bool {
	if c, known := q.queues[queue]; known && (c.active || now.Sub(c.releasedAt) < relapseTime) {
		return false
	}
	q.queues[queue] = &confinement{active: true, since: now, share: share, crashes: 1}
	return true
}

func (c *confinement) noteCrash() {
	c.crashes++
	c.completed, c.quiet = 0, 0
}

// proven reports whether the crashes within the window are evidence enough against the queue.
func (q *Quarantine) proven(queue string) bool {
	moments, blame := 0, 0.0
	var last time.Time
	slices.SortFunc(q.crashes, func(a, b evidence) int { return a.at.Compare(b.at) })
	for _, e := range q.crashes {
		if moments == 0 || e.at.Sub(last) > momentLength {
			moments++
			last = e.at
		}
		blame += e.blames[queue]
	}
	blame /= float64(len(q.crashes))
	return moments >= minMoments && blame >= minBlame || moments >= manyMoments && blame >= minBlameOfMany
}

func (q *Quarantine) expire(now time.Time) {
	q.crashes = slices.DeleteFunc(q.crashes, func(e evidence) bool { return now.Sub(e.at) > window })
	maps.DeleteFunc(q.queues, func(_ string, c *confinement) bool { return !c.active && now.Sub(c.releasedAt) > relapseTime })
}

// ObserveCompletion records that a job of a queue has completed, and reports whether the
// queue is released by that.
func (q *Quarantine) ObserveCompletion(queue string, now time.Time) bool {
	c, known := q.queues[queue]
	if !known || !c.active {
		return false
	}
	c.completed++
	c.allCompleted++
	betweenCrashes := (c.allCompleted - c.completed) / c.crashes
	if c.quiet < minQuietTime || c.completed < min(max(releaseFactor*betweenCrashes, minReleaseJobs), maxReleaseJobs) {
		return false
	}
	c.release(now)
	return true
}

func (c *confinement) release(now time.Time) { c.active, c.releasedAt = false, now }

// ObserveQuiet records that an endpoint of a quarantined queue has been up for d, and reports
// whether the queue is released by that.
func (q *Quarantine) ObserveQuiet(queue string, d time.Duration, now time.Time) bool {
	c := q.queues[queue]
	if c.quiet += d; c.quiet < quietTime {
		return false
	}
	c.release(now)
	return true
}

// Contains reports whether a queue is quarantined.
func (q *Quarantine) Contains(queue string) bool {
	c, known := q.queues[queue]
	return known && c.active
}

// Queues returns the quarantined queues in order.
func (q *Quarantine) Queues() []string {
	var list []string
	for name, c := range q.queues {
		if c.active {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Cell returns the endpoints to which a queue is confined, of the given agents: as many as its
// share of the work, and at least the given number. Each queue has endpoints of its own, so
// that a crash tells the queues apart. Which ones follows from the names, so that dispatchers
// with the same queues in quarantine choose the same without exchanging a message.
func (q *Quarantine) Cell(queue string, agents []string, least int) []string {
	free, size := slices.Clone(agents), 0
	for _, name := range q.Queues() {
		size = q.size(name, len(agents), len(free))
		if name == queue {
			break
		}
		order(name, free)
		free = free[min(size, len(free)):]
	}
	order(queue, free)
	return free[:min(max(size, least), len(free))]
}

// Aside returns the endpoints that the queues outside of the quarantine leave alone.
func (q *Quarantine) Aside(agents []string) []string {
	var all []string
	for _, name := range q.Queues() {
		all = append(all, q.Cell(name, agents, 0)...)
	}
	return all
}

// size returns how many endpoints a queue is confined to if some have gone to other queues.
func (q *Quarantine) size(queue string, endpoints, free int) int {
	share := 0.0
	if c, known := q.queues[queue]; known {
		share = c.share
	}
	left := int(maxShare*float64(endpoints)) - (endpoints - free)
	return max(1, min(max(smallest(endpoints), int(share*float64(endpoints))), left))
}

// Share returns the share of the work that a quarantined queue had at the start.
func (q *Quarantine) Share(queue string) float64 { return q.queues[queue].share }

// workShare returns a queue's share of the recent work, or 0 if too few jobs are known.
func (q *Quarantine) workShare(queue string) float64 {
	all := 0.0
	for _, work := range q.work {
		all += work
	}
	if q.jobs < minJobsForShare || all == 0 {
		return 0
	}
	return q.work[queue] / all
}

// SuspectCell returns the endpoints for a suspected task of a queue that is not quarantined.
func SuspectCell(queue string, agents []string, least int) []string {
	list := slices.Clone(agents)
	order(queue, list)
	return list[:min(max(smallest(len(list)), least), len(list))]
}

// smallest returns the least number of endpoints that are set aside of the given number.
func smallest(endpoints int) int { return max(1, min(minEndpoints, (endpoints-1)/2)) }

// Suspicious reports whether a task with the given blame for a crash is kept apart.
func Suspicious(blame float64) bool { return blame >= minSuspicion }

// order sorts agents by the preference of a queue.
func order(queue string, agents []string) {
	slices.SortFunc(agents, func(a, b string) int { return cmp.Or(cmp.Compare(hash(queue, a), hash(queue, b)), cmp.Compare(a, b)) })
}

// hash returns an FNV-1a hash with its bits mixed, as names differ in their last letters only.
func hash(queue, agent string) uint64 {
	h := fnv.New64a()
	// Write on a hash never returns an error.
	_, _ = h.Write([]byte(queue + "/" + agent))
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
