// Package burden sets what a job asks of the endpoints against its queue's other jobs.
// It answers a load that lasts above what the endpoints can do: for one job of four times
// the work, two of the ordinary size are turned away who could have been served. It does
// no I/O.
package burden

import "math"

const (
	// weight is the weight of one job in the queue's mean.
	weight = 0.02
	// exponent is how strongly a job's share of the backlog falls with its work.
	exponent = 0.5
	// most bounds what a small job gains and a large one loses: the largest are served
	// too, if less often.
	most = 2.0
	// leastWork keeps logarithms in bounds, in core-milliseconds.
	leastWork = 1.0
)

// Burden holds the mean work per queue. It is not safe for concurrent use.
type Tracker struct {
	// means are of natural logarithms.
	means map[string]float64
}

// New returns a burden that has seen no job.
func New() *Tracker { return &Tracker{means: map[string]float64{}} }

// Share returns by which factor more backlog a job of the work, in core-milliseconds, may
// find than an ordinary one of its queue: 1 for the mean, more for a smaller job.
func (b *Tracker) BacklogFactor(queue string, work float64) float64 {
	own := math.Log(max(work, leastWork))
	mean, known := b.means[queue]
	if !known {
		return 1
	}
	return min(max(math.Exp(exponent*(mean-own)), 1/most), most)
}

// Observe takes the work of a job that came, taken or not.
func (b *Tracker) Observe(queue string, work float64) {
	own := math.Log(max(work, leastWork))
	mean, known := b.means[queue]
	if !known {
		mean = own
	}
	b.means[queue] = mean + weight*(own-mean)
}
