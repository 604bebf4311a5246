// Package forecast learns how long the tasks of a queue run. Three things are known
// when a job comes: how long the queue's jobs ran, the caller's estimate, and how long
// the caller is ready to wait. Each is off by a factor of its own, so the forecast is
// their geometric mean, each weighed by how little it was off: in a queue of short and
// long jobs the estimate counts, in one of like jobs with wild estimates the mean, and
// where callers wait longer for longer jobs their patience. It does no I/O.
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
	// linePoints is how many jobs it takes to say anything of patience.
	linePoints = 10
	// outlier is by how many standard deviations a caller's patience is too short to say
	// anything of its job: a part of it was spent elsewhere.
	outlier = 3
)

// source is something that foretells run times. Bias and variance are those of the
// logarithm of run time over what was foretold.
type source struct {
	bias     float64
	variance float64
	known    bool
}

type queue struct {
	count float64
	// run is the mean logarithm of the run time in seconds.
	run      source
	estimate source
	patience source
	line     line
}

// Forecast holds what is known per queue. It is not safe for concurrent use.
type Forecast struct {
	queues map[string]*queue
}

// New returns a forecast that has seen no run.
func New() *Forecast { return &Forecast{queues: map[string]*queue{}} }

// Expect returns the run time to expect at an endpoint of ordinary speed. An estimate or
// a patience of 0 is not known.
func (f *Forecast) Predict(name string, estimate, patience time.Duration) time.Duration {
	q, known := f.queues[name]
	switch {
	case !known && estimate <= 0:
		return firstRun
	case !known:
		return estimate
	}
	logarithm, variance := q.withoutPatience(estimate)
	told, says := q.byPatience(patience)
	if !says || q.waitedElsewhere(told, logarithm, variance) {
		return seconds(math.Exp(logarithm))
	}
	logarithm, _ = combine(logarithm, variance, told, q.patience.variance)
	return seconds(math.Exp(logarithm))
}

// withoutPatience is the logarithm of the run time by the queue's mean and the caller's
// estimate, and its variance.
func (q *queue) withoutPatience(estimate time.Duration) (logarithm, variance float64) {
	if estimate <= 0 || !q.estimate.known {
		return q.run.bias, q.run.variance
	}
	return combine(q.run.bias, q.run.variance, math.Log(estimate.Seconds())+q.estimate.bias, q.estimate.variance)
}

// byPatience is the logarithm of the run time by the caller's patience; false where
// nothing can be said.
func (q *queue) byPatience(patience time.Duration) (logarithm float64, says bool) {
	if patience <= 0 || !q.patience.known {
		return 0, false
	}
	return logarithmOf(q.line.at(patience.Seconds())) + q.patience.bias, true
}

// waitedElsewhere reports whether a caller has far less patience left than its job should
// have: it has spent some before it came here. More than usual means a long job.
func (q *queue) waitedElsewhere(told, logarithm, variance float64) bool {
	return logarithm-told > outlier*math.Sqrt(variance+q.patience.variance)
}

// combine weighs two logarithms by their variances.
func combine(a, varianceA, b, varianceB float64) (logarithm, variance float64) {
	trust := (varianceA + leastVariance) / (varianceA + varianceB + 2*leastVariance)
	return (1-trust)*a + trust*b, (1 - trust) * varianceA
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func logarithmOf(s float64) float64 { return math.Log(max(s, leastRun.Seconds())) }

// Observe takes how long a job's tasks run at an endpoint of ordinary speed.
func (f *Forecast) Observe(name string, estimate, patience, ran time.Duration) {
	q, known := f.queues[name]
	if !known {
		first := source{variance: firstVariance}
		q = &queue{run: first, estimate: first, patience: first}
		f.queues[name] = q
	}
	q.count = min(q.count+1, early)
	logarithm := logarithmOf(ran.Seconds())
	if patience > 0 {
		q.learnPatience(patience, ran, logarithm)
	}
	q.run.follow(logarithm, q.count)
	if estimate > 0 {
		q.estimate.follow(logarithm-math.Log(estimate.Seconds()), q.count)
	}
}

func (q *queue) learnPatience(patience, ran time.Duration, logarithm float64) {
	told := logarithmOf(q.line.at(patience.Seconds()))
	settled := q.line.points >= early
	if settled && q.waitedElsewhere(told+q.patience.bias, logarithm, q.patience.variance) {
		// One caller who has waited elsewhere would bend the line for all.
		if q.line.miss() {
			q.line, q.patience = line{}, source{variance: firstVariance}
		}
		return
	}
	if q.line.points >= linePoints {
		q.patience.follow(logarithm-told, q.line.points)
	}
	q.line.add(patience.Seconds(), ran.Seconds())
}

// follow moves bias and variance towards a new value. The variance takes each one with
// the weight of the later ones, so that a few do not settle it.
func (s *source) follow(value, count float64) {
	off := value - s.bias
	s.bias += off / count
	if count > 1 {
		s.variance += (off*(value-s.bias) - s.variance) / early
	}
	s.known = true
}
