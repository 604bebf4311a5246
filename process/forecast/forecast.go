// Package forecast predicts the run time of the tasks of a queue. Three values are known
// when a job is submitted: the mean run time of the queue's jobs, the caller's estimate, and
// the caller's budget, which is how long it waits for the answer. Each predicts the run time
// with some error, so the forecast is the geometric mean of the predictions, weighted by the
// inverse of their variances. The estimate dominates in a queue of short and long jobs, the mean
// in a queue of similar jobs with inaccurate estimates, and the budget where callers wait longer
// for longer jobs. It does no I/O.
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
	// minLinePoints is the number of jobs with a budget before budgets are used.
	minLinePoints = 10
	// outlierDeviations is the number of standard deviations below the expected run time at
	// which a prediction by the budget is ignored: the caller has spent a part of its time
	// elsewhere.
	outlierDeviations = 3
)

// predictor holds the errors of one way to predict run times: the bias and variance of the
// logarithm of the run time divided by the predicted one.
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
	budget   predictor
	line     line
}

// Forecast holds the predictors of each queue. It is not safe for concurrent use.
type Forecast struct {
	queues map[string]*queue
}

// New returns a forecast without observed runs.
func New() *Forecast { return &Forecast{queues: map[string]*queue{}} }

// Predict returns the expected run time on the median endpoint. An estimate or a budget of 0
// means unknown.
func (f *Forecast) Predict(name string, estimate, budget time.Duration) time.Duration {
	q, known := f.queues[name]
	switch {
	case !known && estimate <= 0:
		return defaultRunTime
	case !known:
		return estimate
	}
	logarithm, variance := q.predictWithoutBudget(estimate)
	predicted, ok := q.predictByBudget(budget)
	if !ok || q.budgetSpentElsewhere(predicted, logarithm, variance) {
		return seconds(math.Exp(logarithm))
	}
	logarithm, _ = combine(logarithm, variance, predicted, q.budget.variance)
	return seconds(math.Exp(logarithm))
}

// predictWithoutBudget returns the logarithm of the run time predicted by the queue's mean
// and the caller's estimate, and its variance.
func (q *queue) predictWithoutBudget(estimate time.Duration) (logarithm, variance float64) {
	if estimate <= 0 || !q.estimate.known {
		return q.run.bias, q.run.variance
	}
	return combine(q.run.bias, q.run.variance, math.Log(estimate.Seconds())+q.estimate.bias, q.estimate.variance)
}

// predictByBudget returns the logarithm of the run time predicted by the caller's budget, or
// false if there is no prediction.
func (q *queue) predictByBudget(budget time.Duration) (logarithm float64, ok bool) {
	if budget <= 0 || !q.budget.known {
		return 0, false
	}
	return logSeconds(q.line.predict(budget.Seconds())) + q.budget.bias, true
}

// budgetSpentElsewhere reports whether a caller's budget is far too short for its job: it has
// spent a part of its time elsewhere before it submitted the job here. A budget above the usual
// is no outlier but means a long job. Predicted is the logarithm of the run time predicted by
// the budget; logarithm and variance are those of the run time to compare it with.
func (q *queue) budgetSpentElsewhere(predicted, logarithm, variance float64) bool {
	return logarithm-predicted > outlierDeviations*math.Sqrt(variance+q.budget.variance)
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
func (f *Forecast) Observe(name string, estimate, budget, ran time.Duration) {
	q, known := f.queues[name]
	if !known {
		first := predictor{variance: initialVariance}
		q = &queue{run: first, estimate: first, budget: first}
		f.queues[name] = q
	}
	q.count = min(q.count+1, window)
	logarithm := logSeconds(ran.Seconds())
	if budget > 0 {
		q.observeBudget(budget, ran, logarithm)
	}
	q.run.update(logarithm, q.count)
	if estimate > 0 {
		q.estimate.update(logarithm-math.Log(estimate.Seconds()), q.count)
	}
}

func (q *queue) observeBudget(budget, ran time.Duration, logarithm float64) {
	predicted := logSeconds(q.line.predict(budget.Seconds()))
	settled := q.line.points >= window
	if settled && q.budgetSpentElsewhere(predicted+q.budget.bias, logarithm, q.budget.variance) {
		// A caller that has spent time elsewhere would distort the line for all others.
		if q.line.skip() {
			q.line, q.budget = line{}, predictor{variance: initialVariance}
		}
		return
	}
	if q.line.points >= minLinePoints {
		q.budget.update(logarithm-predicted, q.line.points)
	}
	q.line.add(budget.Seconds(), ran.Seconds())
}

// update moves the bias and variance towards a new value. In the variance every value has a
// weight of 1/window, so that the first few do not determine it.
func (p *predictor) update(value, count float64) {
	deviation := value - p.bias
	p.bias += deviation / count
	if count > 1 {
		p.variance += (deviation*(value-p.bias) - p.variance) / window
	}
	p.known = true
}
