// Package jobsize compares the work of a job with that of the other jobs of its queue. When
// the load stays above the capacity of the endpoints, a large job displaces several small
// ones: a job of four times the ordinary work costs two ordinary jobs that could have been
// served. It does no I/O.
package jobsize

import "math"

const (
	// jobWeight is the weight of a new job in the mean of its queue.
	jobWeight = 0.02
	// exponent is how strongly the backlog allowed for a job falls with its work.
	exponent = 0.5
	// maxFactor bounds the advantage of a small job and the disadvantage of a large one,
	// so that the largest are also served, if less often.
	maxFactor = 2.0
	// minWork bounds the logarithm of small values, in core-milliseconds.
	minWork = 1.0
)

// Tracker holds the mean work of the jobs per queue. It is not safe for concurrent use.
type Tracker struct {
	// means holds by queue the mean of the natural logarithms of the jobs' work.
	means map[string]float64
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{means: map[string]float64{}} }

// BacklogFactor returns how many times the backlog allowed for an ordinary job of the queue
// is allowed for a job of the given work, in core-milliseconds: 1 at the mean, more for a
// smaller job.
func (t *Tracker) BacklogFactor(queue string, work float64) float64 {
	own := math.Log(max(work, minWork))
	mean, known := t.means[queue]
	if !known {
		return 1
	}
	return min(max(math.Exp(exponent*(mean-own)), 1/maxFactor), maxFactor)
}

// Observe records the work of a submitted job, whether or not it is admitted.
func (t *Tracker) Observe(queue string, work float64) {
	own := math.Log(max(work, minWork))
	mean, known := t.means[queue]
	if !known {
		mean = own
	}
	t.means[queue] = mean + jobWeight*(own-mean)
}
