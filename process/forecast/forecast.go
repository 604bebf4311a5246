// Package forecast learns how long the tasks of a queue run. Callers' estimates
// are off by tens of percent and biased; the mean of a queue knows nothing of the
// single job. Both errors are factors, so the forecast is their geometric mean.
// It does no I/O.
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
)

type queue struct {
	count float64
	// run is the mean logarithm of the run time in seconds, bias that of run time
	// over estimate.
	run   float64
	bias  float64
	known bool
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
	return seconds(math.Exp((q.run + math.Log(estimate.Seconds()) + q.bias) / 2))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Observe takes how long a job's tasks run at an endpoint of ordinary speed.
func (f *Forecast) Observe(name string, estimate, ran time.Duration) {
	q, known := f.queues[name]
	if !known {
		q = &queue{}
		f.queues[name] = q
	}
	q.count = min(q.count+1, early)
	logarithm := math.Log(max(ran, leastRun).Seconds())
	q.run += (logarithm - q.run) / q.count
	if estimate > 0 {
		q.bias += (logarithm - math.Log(estimate.Seconds()) - q.bias) / q.count
		q.known = true
	}
}
