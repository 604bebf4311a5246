// Package interference estimates at a sidecar which queues' tasks slow each other down at its
// endpoint. Each run that began beside a queue is paired with a run of its own queue that began
// at the same endpoint at about the same time and with about as much else running, but not
// beside that queue. The estimate is the median ratio of the run times of the pairs.
//
// Pairs are alike in whatever else makes runs long: the endpoint's speed, its load, and the size
// of the queue's tasks of late. The median ignores single runs that take many times as long.
// What counts is what ran when a run began: a long run meets more neighbors before its end than
// a short one, whether they slow it or not. The package does no I/O.
package interference

import (
	"hash/fnv"
	"math"
	"math/bits"
	"time"
)

const (
	// MaxQueues is how many queues are told apart at an endpoint. Runs of further ones count
	// as load only.
	MaxQueues = 64
	// maxRecords and maxAge bound the runs that are considered. What has ended is forgotten
	// after maxAge.
	maxRecords = 512
	maxAge     = 40 * time.Second
	// joinTime is the time after the begin of a run in which others still count as running
	// when it began: the tasks of an offer begin one after the other.
	joinTime = 5 * time.Millisecond
	// sameJobRecords is how far back a run of the same job is looked for.
	sameJobRecords = 32
	// evaluationInterval is the time between two evaluations.
	evaluationInterval = 2 * time.Second
)

// record is a run, or several of one job that ran beside the same queues: their run times
// depend on each other.
type record struct {
	at    time.Time
	job   uint64
	queue int
	// beside has a bit for each queue that another run was of, occupancy is the share of the
	// endpoint's processors that the others took.
	beside    uint64
	occupancy float64
	// logRatio is the mean logarithm of the run time divided by the expected one.
	logRatio float64
	runs     int
}

// running is a run that has begun and not ended.
type running struct {
	record
	share float64
}

// Run is a run that begins.
type Run struct {
	// Name identifies the run until its end.
	Name  string
	Job   string
	Queue string
	// Share is the share of the endpoint's processors that the run takes.
	Share float64
}

// Load is how many tasks of a queue run at the endpoint.
type Load struct {
	Queue string
	Tasks int
}

// Estimator estimates the interference at one endpoint. It is not safe for concurrent use.
type Estimator struct {
	slots   map[string]int
	names   [MaxQueues]string
	counts  [MaxQueues]int
	running map[string]*running
	// occupancy is the share of the processors that all runs take.
	occupancy float64
	// records holds the ended runs, the oldest first.
	records   []record
	estimates []Estimate
	// slowed holds the pairs of the last evaluation that count as interference.
	slowed      map[Pair]bool
	evaluatedAt time.Time
	// revision counts the evaluations.
	revision uint64
	// used and differences are reused by the evaluation.
	used        []bool
	differences []float64
}

// New returns an estimator that has seen no runs.
func New() *Estimator {
	return &Estimator{slots: map[string]int{}, running: map[string]*running{}, slowed: map[Pair]bool{}}
}

// Begin records that a run begins.
func (e *Estimator) Begin(run Run, now time.Time) {
	r := &running{record: record{at: now, job: jobHash(run.Job), queue: e.slot(run.Queue), runs: 1}, share: run.Share}
	r.occupancy = e.occupancy
	for queue, count := range e.counts {
		if count > 0 {
			r.beside |= 1 << queue
		}
	}
	for _, o := range e.running {
		if now.Sub(o.at) <= joinTime {
			o.occupancy += r.share
			if r.queue >= 0 {
				o.beside |= 1 << r.queue
			}
		}
	}
	e.running[run.Name] = r
	e.occupancy += r.share
	if r.queue >= 0 {
		e.counts[r.queue]++
	}
}

// Succeeded records the run time of a run that has succeeded, before its end.
func (e *Estimator) Succeeded(name string, ran, expected time.Duration) {
	r, known := e.running[name]
	if !known || r.queue < 0 {
		return
	}
	ended := r.record
	ended.logRatio = math.Log(float64(max(ran, time.Millisecond)) / float64(max(expected, time.Millisecond)))
	for i := len(e.records) - 1; i >= max(0, len(e.records)-sameJobRecords); i-- {
		o := &e.records[i]
		if o.job == ended.job && o.queue == ended.queue && o.beside == ended.beside {
			o.logRatio += (ended.logRatio - o.logRatio) / float64(o.runs+1)
			o.runs++
			return
		}
	}
	if len(e.records) == maxRecords {
		e.records = append(e.records[:0], e.records[1:]...)
	}
	e.records = append(e.records, ended)
}

// End records that a run has ended, in whatever way.
func (e *Estimator) End(name string) {
	r, known := e.running[name]
	if !known {
		return
	}
	delete(e.running, name)
	e.occupancy -= r.share
	if len(e.running) == 0 {
		e.occupancy = 0
	}
	if r.queue >= 0 {
		e.counts[r.queue]--
	}
}

// Reset forgets what has ended. It is called when the endpoint has a new incarnation.
func (e *Estimator) Reset() {
	e.records = e.records[:0]
	e.estimates = nil
	e.revision++
}

// Loads returns the queues that run at the endpoint, at most max of them, those with the most
// tasks first.
func (e *Estimator) Loads(most int) []Load {
	var list []Load
	for queue, count := range e.counts {
		if count > 0 {
			list = append(list, Load{Queue: e.names[queue], Tasks: count})
		}
	}
	sortLoads(list)
	return list[:min(most, len(list))]
}

// slot returns the number of a queue, or -1 if too many are known.
func (e *Estimator) slot(queue string) int {
	if n, known := e.slots[queue]; known {
		return n
	}
	if len(e.slots) == MaxQueues {
		return -1
	}
	for n := range e.names {
		if _, taken := e.slots[e.names[n]]; !taken || e.slots[e.names[n]] != n {
			e.names[n] = queue
			e.slots[queue] = n
			return n
		}
	}
	return -1
}

// expire drops the old records and the queues of which nothing is left.
func (e *Estimator) expire(now time.Time) {
	first := 0
	for first < len(e.records) && now.Sub(e.records[first].at) > maxAge {
		first++
	}
	e.records = append(e.records[:0], e.records[first:]...)
	var inUse uint64
	for i := range e.records {
		inUse |= e.records[i].beside | 1<<e.records[i].queue
	}
	for _, r := range e.running {
		inUse |= r.beside
		if r.queue >= 0 {
			inUse |= 1 << r.queue
		}
	}
	for queue, n := range e.slots {
		if inUse&(1<<n) == 0 {
			delete(e.slots, queue)
		}
	}
}

// neighbors returns the queues of a set.
func neighbors(set uint64) []int {
	list := make([]int, 0, bits.OnesCount64(set))
	for ; set != 0; set &= set - 1 {
		list = append(list, bits.TrailingZeros64(set))
	}
	return list
}

func jobHash(job string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(job))
	return h.Sum64()
}
