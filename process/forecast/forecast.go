// Package forecast learns how long the tasks of a queue run. Callers' estimates
// are off by tens of percent and biased; the mean of a queue knows nothing of the
// single job. Both errors are factors, so the forecast is their geometric mean, each
// weighed by how little it was off: in a queue of short and long jobs the estimate
// counts, in one of like jobs with wild estimates the mean. It does no I/O.
package forecast

import (
	"math"
	"time"
)

const (
	// firstRun is the forecast where neither a run nor an estimate is known.
	firstRun = 200 * time.Millisecond
	// leastRun keeps logarithms of very short runs in bounds.
	leastRun = time.Millisecond
	// early is the number of jobs over which the mean is a plain one; later jobs
	// weigh 1/early each, so that it follows changes.
	early = 50
	// firstVariance is that of logarithms before anything is known: a factor of some
	// 40 % either way.
	firstVariance = 0.16
	// leastVariance keeps the weights defined where nothing varies.
	leastVariance = 1e-6
)

type queue struct {
	count float64
	// run is the mean logarithm of the run time in seconds, bias that of run time
	// over estimate.
	run  float64
	bias float64
	// spread and wrong are the variances of the same.
	spread float64
	wrong  float64
	known  bool
}

// Forecast holds what is known per queue. It is not safe for concurrent use.
type Forecast struct {
	queues map[string]*queue
}

// New returns a forecast that has seen no run.
func New() *Forecast { return &Forecast{queues: map[string]*queue{}} }

// Expect returns the run time to expect at an endpoint of ordinary speed.
func (f *Forecast) Expect(name string, estimate time.Duration) time.Duration {
	q, known := f.queues[name]
	switch {
	case !known && estimate <= 0:
		return firstRun
	case !known:
		return estimate
	case estimate <= 0 || !q.known:
		return seconds(math.Exp(q.run))
	}
	trust := (q.spread + leastVariance) / (q.spread + q.wrong + 2*leastVariance)
	return seconds(math.Exp((1-trust)*q.run + trust*(math.Log(estimate.Seconds())+q.bias)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Observe takes how long a job's tasks run at an endpoint of ordinary speed.
func (f *Forecast) Observe(name string, estimate, ran time.Duration) {
	q, known := f.queues[name]
	if !known {
		q = &queue{spread: firstVariance, wrong: firstVariance}
		f.queues[name] = q
	}
	q.count = min(q.count+1, early)
	logarithm := math.Log(max(ran, leastRun).Seconds())
	follow(&q.run, &q.spread, logarithm, q.count)
	if estimate > 0 {
		follow(&q.bias, &q.wrong, logarithm-math.Log(estimate.Seconds()), q.count)
		q.known = true
	}
}

// follow moves a mean and a variance towards a new value. The variance takes each one
// with the weight of the later ones, so that a few do not settle it.
func follow(mean, variance *float64, value, count float64) {
	off := value - *mean
	*mean += off / count
	if count > 1 {
		*variance += (off*(value-*mean) - *variance) / early
	}
}
