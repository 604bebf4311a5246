package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxEstimates is how many estimates are told: those of which the most is known. A choice
	// by what looks slowest would make the mean over many sidecars too high.
	MaxEstimates = 12
	// pairTime and pairOccupancy are how far apart the runs of a pair may have begun and how
	// much the load beside them may differ. An endpoint keeps its speed for some seconds.
	pairTime      = 2 * time.Second
	pairOccupancy = 0.1
	// minPairs is the number of pairs from which there is an estimate.
	minPairs = 12
	// minError bounds the standard error: run times are rounded, and their ends noticed late.
	minError = 0.02
	// deviationOfMedian is the standard error of the median of n normally distributed values,
	// multiplied by the square root of n, in median absolute deviations.
	deviationOfMedian = 1.2533 * 1.4826
	// Confidence is how many standard errors an estimate has to be above MinLog.
	Confidence = 4
)

// MinLog is the logarithm of the least factor that counts as interference.
var MinLog = math.Log(1.1)

// Pair is a queue and one beside which it runs.
type Pair struct{ Queue, Neighbor string }

// Estimate is how many times as long the runs of a queue take if they begin beside another.
type Estimate struct {
	Pair
	// Log is the natural logarithm of the factor, Error its standard error.
	Log, Error float64
	// Pairs is the number of pairs of runs that it is from.
	Pairs int
}

// Factor returns how many times as long the runs take.
func (e Estimate) Factor() float64 { return math.Exp(e.Log) }

// Deviations returns how many standard errors the estimate is above the least interference.
func (e Estimate) Deviations() float64 { return (e.Log - MinLog) / max(e.Error, minError) }

// Significant reports whether the runs are slowed beyond doubt.
func (e Estimate) Significant() bool { return e.Deviations() > Confidence }

// Change is a pair that begins or ceases to count as interference.
type Change struct {
	Estimate
	Slowed bool
}

// Reason returns why the pair does not count as interference any more.
func (c Change) Reason() string {
	if c.Pairs == 0 {
		return "too few runs lately"
	}
	return "the run times are alike"
}

// Estimates returns the estimates of the last evaluation.
func (e *Estimator) Estimates() []Estimate { return e.estimates }

// Revision returns the number of the last evaluation, which grows with each.
func (e *Estimator) Revision() uint64 { return e.revision }

// Evaluate makes new estimates if the last ones are old. It returns what has changed.
func (e *Estimator) Evaluate(now time.Time) []Change {
	if now.Sub(e.evaluatedAt) < evaluationInterval {
		return nil
	}
	e.evaluatedAt = now
	e.revision++
	e.expire(now)
	byQueue := map[int][]record{}
	for _, r := range e.records {
		byQueue[r.queue] = append(byQueue[r.queue], r)
	}
	e.estimates = nil
	for _, runs := range byQueue {
		slices.SortFunc(runs, func(a, b record) int { return a.at.Compare(b.at) })
		e.estimates = append(e.estimates, e.evaluateQueue(runs)...)
	}
	slices.SortFunc(e.estimates, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(b.Pairs, a.Pairs), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Neighbor, b.Neighbor))
	})
	e.estimates = e.estimates[:min(len(e.estimates), MaxEstimates)]
	return e.changes()
}

// changes updates the pairs that count as interference.
func (e *Estimator) changes() []Change {
	var list []Change
	current := map[Pair]bool{}
	for _, estimate := range e.estimates {
		was := e.slowed[estimate.Pair]
		is := estimate.Significant() || was && estimate.Log > MinLog
		if is {
			current[estimate.Pair] = true
		}
		if is != was {
			list = append(list, Change{Estimate: estimate, Slowed: is})
		}
		delete(e.slowed, estimate.Pair)
	}
	for pair := range e.slowed {
		list = append(list, Change{Estimate: Estimate{Pair: pair}})
	}
	slices.SortFunc(list, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Neighbor, b.Neighbor))
	})
	e.slowed = current
	return list
}

// evaluateQueue compares the runs of one queue beside each other one. If one neighbor slows
// them most clearly, the pairs for the others are alike in whether it ran: queues that come
// together would otherwise share its blame.
func (e *Estimator) evaluateQueue(runs []record) []Estimate {
	var all uint64
	for _, r := range runs {
		all |= r.beside
	}
	var list []Estimate
	worst, worstExcess := -1, 0.0
	queues := neighbors(all)
	for _, n := range queues {
		estimate, known := e.compare(runs, n, 0)
		if excess := estimate.Deviations(); known && excess > max(worstExcess, Confidence) {
			worst, worstExcess = n, excess
		}
		if known {
			list = append(list, estimate)
		}
	}
	if worst < 0 {
		return list
	}
	list = list[:0]
	for _, n := range queues {
		alike := uint64(1) << worst
		if n == worst {
			alike = 0
		}
		if estimate, known := e.compare(runs, n, alike); known {
			list = append(list, estimate)
		}
	}
	return list
}

// compare estimates how the queue of the runs, which are in the order of their begins, is slowed
// beside a neighbor. Both runs of a pair are beside the same of the queues in alike.
func (e *Estimator) compare(runs []record, neighbor int, alike uint64) (Estimate, bool) {
	e.used = append(e.used[:0], make([]bool, len(runs))...)
	e.differences = e.differences[:0]
	first := 0
	for i := range runs {
		r := &runs[i]
		for r.at.Sub(runs[first].at) > pairTime {
			first++
		}
		if r.beside>>neighbor&1 == 0 {
			continue
		}
		if other := e.closest(runs, first, i, neighbor, alike); other >= 0 {
			e.used[other] = true
			e.differences = append(e.differences, r.logRatio-runs[other].logRatio)
		}
	}
	if len(e.differences) < minPairs {
		return Estimate{}, false
	}
	middle := median(e.differences)
	for i, d := range e.differences {
		e.differences[i] = math.Abs(d - middle)
	}
	pairs := len(e.differences)
	// Few pairs may be alike by chance.
	deviation := max(median(e.differences), e.usualDifference(runs))
	return Estimate{
		Pair: Pair{Queue: e.names[runs[0].queue], Neighbor: e.names[neighbor]},
		Log:  middle, Error: max(deviationOfMedian*deviation/math.Sqrt(float64(pairs)), minError), Pairs: pairs,
	}, true
}

// usualDifference returns the median difference between two successive runs.
func (e *Estimator) usualDifference(runs []record) float64 {
	e.differences = e.differences[:0]
	for i := 1; i < len(runs); i++ {
		e.differences = append(e.differences, math.Abs(runs[i].logRatio-runs[i-1].logRatio))
	}
	return median(e.differences)
}

// closest returns the unused run from first on that is most like run i and was not beside the
// neighbor, or -1.
func (e *Estimator) closest(runs []record, first, i, neighbor int, alike uint64) int {
	r := &runs[i]
	best, bestDistance := -1, math.Inf(1)
	for k := first; k < len(runs); k++ {
		o := &runs[k]
		apart := o.at.Sub(r.at)
		if apart > pairTime {
			break
		}
		load := math.Abs(o.occupancy - r.occupancy)
		if e.used[k] || o.beside>>neighbor&1 == 1 || (o.beside^r.beside)&alike != 0 || load > pairOccupancy {
			continue
		}
		if distance := load/pairOccupancy + apart.Abs().Seconds()/pairTime.Seconds(); distance < bestDistance {
			best, bestDistance = k, distance
		}
	}
	return best
}

// median sorts the values.
func median(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}

func sortLoads(list []Load) {
	slices.SortFunc(list, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Tasks, a.Tasks), cmp.Compare(a.Queue, b.Queue))
	})
}
