// Package forecast predicts the run time of the tasks of a queue. Three values are known
// when a job is submitted: the mean run time of the queue's jobs, the caller's estimate, and
// the caller's patience, which is how long it waits for the job. Each is off by some factor,
// so the forecast is their geometric mean, weighted by the inverse of their variances. The
// estimate dominates in a queue of short and long jobs, the mean in a queue of similar jobs
// with inaccurate estimates, and the patience where callers wait longer for longer jobs. It
// does no I/O.
package forecast

import (
	"math"
	"time"
)

const (
	// defaultRunTime is the forecast if neither a run time nor an estimate is known.
	defaultRunTime = 200 * time.Millisecond
	// minRunTime bounds the logarithm of very short run times.
	minRunTime = time.Millisecond
	// window is the number of jobs up to which the mean is the arithmetic mean. Each later
	// job has a weight of 1/window, so that the mean follows changes.
	window = 50
	// initialVariance is the variance of logarithms before any run: a factor of some 40 %
	// either way.
	initialVariance = 0.16
	// minVariance keeps the weights defined if nothing varies.
	minVariance = 1e-6
	// minLinePoints is the number of jobs before patience is used.
	minLinePoints = 10
	// outlierDeviations is the number of standard deviations below the expected run time at
	// which a prediction by patience is ignored: the caller has spent a part of its patience
	// elsewhere.
	outlierDeviations = 3
)

// predictor is the error of one way to predict run times: the bias and variance of the
// logarithm of the run time over the predicted one.
type predictor struct {
	bias     float64
	variance float64
	known    bool
}

type queue struct {
	// count is the number of observed jobs, up to window.
	count float64
	// run predicts by the mean: its bias is the mean logarithm of the run time in seconds.
	run      predictor
	estimate predictor
	patience predictor
	line     line
}

// Forecast holds the predictors of each queue. It is not safe for concurrent use.
type Forecast struct {
	queues map[string]*queue
}

// New returns a forecast without observed runs.
func New() *Forecast { return &Forecast{queues: map[string]*queue{}} }

// Predict returns the expected run time on the median endpoint. An estimate or a patience of
// 0 means unknown.
func (f *Forecast) Predict(name string, estimate, patience time.Duration) time.Duration {
	q, known := f.queues[name]
	switch {
	case !known && estimate <= 0:
		return defaultRunTime
	case !known:
		return estimate
	}
	logarithm, variance := q.predictWithoutPatience(estimate)
	predicted, ok := q.predictByPatience(patience)
	if !ok || q.patienceSpentElsewhere(predicted, logarithm, variance) {
		return seconds(math.Exp(logarithm))
	}
	logarithm, _ = combine(logarithm, variance, predicted, q.patience.variance)
	return seconds(math.Exp(logarithm))
}

// predictWithoutPatience returns the logarithm of the run time predicted by the queue's mean
// and the caller's estimate, and its variance.
func (q *queue) predictWithoutPatience(estimate time.Duration) (logarithm, variance float64) {
	if estimate <= 0 || !q.estimate.known {
		return q.run.bias, q.run.variance
	}
	return combine(q.run.bias, q.run.variance, math.Log(estimate.Seconds())+q.estimate.bias, q.estimate.variance)
}

// predictByPatience returns the logarithm of the run time predicted by the caller's
// patience, or false if there is no prediction.
func (q *queue) predictByPatience(patience time.Duration) (logarithm float64, ok bool) {
	if patience <= 0 || !q.patience.known {
		return 0, false
	}
	return logSeconds(q.line.predict(patience.Seconds())) + q.patience.bias, true
}

// patienceSpentElsewhere reports whether a caller's patience is far too short for its job:
// it has spent a part elsewhere before it submitted the job here. Patience above the usual
// is no outlier but means a long job.
func (q *queue) patienceSpentElsewhere(predicted, logarithm, variance float64) bool {
	return logarithm-predicted > outlierDeviations*math.Sqrt(variance+q.patience.variance)
}

// combine returns the mean of two logarithms, weighted by the inverse of their variances,
// and its variance.
func combine(a, varianceA, b, varianceB float64) (logarithm, variance float64) {
	weightB := (varianceA + minVariance) / (varianceA + varianceB + 2*minVariance)
	return (1-weightB)*a + weightB*b, (1 - weightB) * varianceA
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func logSeconds(s float64) float64 { return math.Log(max(s, minRunTime.Seconds())) }

// Observe records the run time of a job's tasks on the median endpoint.
func (f *Forecast) Observe(name string, estimate, patience, ran time.Duration) {
	q, known := f.queues[name]
	if !known {
		first := predictor{variance: initialVariance}
		q = &queue{run: first, estimate: first, patience: first}
		f.queues[name] = q
	}
	q.count = min(q.count+1, window)
	logarithm := logSeconds(ran.Seconds())
	if patience > 0 {
		q.learnPatience(patience, ran, logarithm)
	}
	q.run.update(logarithm, q.count)
	if estimate > 0 {
		q.estimate.update(logarithm-math.Log(estimate.Seconds()), q.count)
	}
}

func (q *queue) learnPatience(patience, ran time.Duration, logarithm float64) {
	predicted := logSeconds(q.line.predict(patience.Seconds()))
	settled := q.line.points >= window
	if settled && q.patienceSpentElsewhere(predicted+q.patience.bias, logarithm, q.patience.variance) {
		// A caller that has waited elsewhere would distort the line for all others.
		if q.line.skip() {
			q.line, q.patience = line{}, predictor{variance: initialVariance}
		}
		return
	}
	if q.line.points >= minLinePoints {
		q.patience.update(logarithm-predicted, q.line.points)
	}
	q.line.add(patience.Seconds(), ran.Seconds())
}

// update moves the bias and variance towards a new value. In the variance every value has
// the weight of a late one, so that the first few do not determine it.
func (s *predictor) update(value, count float64) {
	deviation := value - s.bias
	s.bias += deviation / count
	if count > 1 {
		s.variance += (deviation*(value-s.bias) - s.variance) / window
	}
	s.known = true
}
