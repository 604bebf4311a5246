// Package speed estimates the slowness of endpoints from jobs whose tasks ran on several of
// them. A run time is the product of a task's work and the endpoint's slowness and does not
// tell them apart. The tasks of one job are similar, however, so that differences between
// their run times come from the endpoints. Slowness is relative to the median endpoint. It
// does no I/O.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// taskWeight is the weight of one task in an endpoint's slowness. The tasks of a job
	// differ by some 15 %, so that ten tasks give the slowness to within 5 %.
	taskWeight = 0.15
	// kindWeight is the weight of one task in the slowness of its endpoint's kind.
	kindWeight = 0.01
	// decayTime is the time constant with which an unconfirmed slowness decays towards that
	// of the kind. Otherwise an endpoint that is considered slow would get no more tasks,
	// and nothing would correct its slowness.
	decayTime = 3 * time.Second
	// medianTTL is how long the median is cached: only a few tasks end in that time.
	medianTTL = 50 * time.Millisecond
	// maxSlowness bounds the slowness and its inverse.
	maxSlowness = 20.0
	// minRunTime bounds the logarithm of very short run times.
	minRunTime = time.Millisecond
)

// Run is a successful run of a task.
type Run struct {
	Agent    string
	Duration time.Duration
}

type endpoint struct {
	// kind groups endpoints that are expected to be about equally fast.
	kind string
	// logSlowness is the natural logarithm of the slowness at updatedAt.
	logSlowness float64
	updatedAt   time.Time
}

// Speeds holds the slowness of each endpoint. It is not safe for concurrent use.
type Speeds struct {
	endpoints map[string]*endpoint
	// kinds holds the logarithm of the slowness per kind.
	kinds map[string]float64
	// scratch is reused by computeMedian.
	scratch []float64
	// median is the median logarithm of the slowness at medianAt.
	median   float64
	medianAt time.Time
}

// New returns speeds without endpoints.
func New() *Speeds { return &Speeds{endpoints: map[string]*endpoint{}, kinds: map[string]float64{}} }

// SetKind sets the kind of an agent's endpoint. A changed kind means a new endpoint, whose
// slowness starts at that of its kind.
func (s *Speeds) SetKind(agent, kind string) {
	if e, known := s.endpoints[agent]; known && e.kind == kind {
		return
	}
	s.endpoints[agent] = &endpoint{kind: kind}
}

// Forget removes an agent.
func (s *Speeds) Forget(agent string) { delete(s.endpoints, agent) }

// logSlowness returns the logarithm of the endpoint's slowness, decayed towards that of its
// kind.
func (s *Speeds) logSlowness(e *endpoint, now time.Time) float64 {
	kind := s.kinds[e.kind]
	return kind + (e.logSlowness-kind)*math.Exp(-now.Sub(e.updatedAt).Seconds()/decayTime.Seconds())
}

// cachedMedian returns the median logarithm of the slowness. It is cached, since each
// placement asks for the slowness of every endpoint.
func (s *Speeds) cachedMedian(now time.Time) float64 {
	if age := now.Sub(s.medianAt); age >= 0 && age < medianTTL && !s.medianAt.IsZero() {
		return s.median
	}
	s.medianAt = now
	s.median = s.computeMedian(now)
	return s.median
}

func (s *Speeds) computeMedian(now time.Time) float64 {
	s.scratch = s.scratch[:0]
	for _, e := range s.endpoints {
		s.scratch = append(s.scratch, s.logSlowness(e, now))
	}
	return median(s.scratch)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}

// Slowness returns the run time on an agent's endpoint relative to the median endpoint.
func (s *Speeds) Slowness(agent string, now time.Time) float64 {
	e, known := s.endpoints[agent]
	if !known {
		return 1
	}
	return min(max(math.Exp(s.logSlowness(e, now)-s.cachedMedian(now)), 1/maxSlowness), maxSlowness)
}

// ObserveJob records the successful runs of a job's similar tasks and returns the run time
// of one such task on the median endpoint.
func (s *Speeds) ObserveJob(runs []Run, now time.Time) time.Duration {
	logWorks := make([]float64, 0, len(runs))
	for _, r := range runs {
		logWorks = append(logWorks, math.Log(max(r.Duration, minRunTime).Seconds())-s.logSlownessOf(r.Agent, now))
	}
	medianLogWork := median(slices.Clone(logWorks))
	for i, r := range runs {
		if e, known := s.endpoints[r.Agent]; known && len(runs) > 1 {
			s.update(e, logWorks[i]-medianLogWork, now)
		}
	}
	return time.Duration(math.Exp(medianLogWork+s.cachedMedian(now)) * float64(time.Second))
}

func (s *Speeds) logSlownessOf(agent string, now time.Time) float64 {
	if e, known := s.endpoints[agent]; known {
		return s.logSlowness(e, now)
	}
	return s.cachedMedian(now)
}

func (s *Speeds) update(e *endpoint, deviation float64, now time.Time) {
	limit := math.Log(maxSlowness)
	e.logSlowness = min(max(s.logSlowness(e, now)+taskWeight*deviation, -limit), limit)
	e.updatedAt = now
	s.kinds[e.kind] = min(max(s.kinds[e.kind]+kindWeight*(e.logSlowness-s.kinds[e.kind]), -limit), limit)
}

// ObserveOverdue records that a task has not ended after the given multiple of its expected
// run time.
func (s *Speeds) ObserveOverdue(agent string, multiple float64, now time.Time) {
	if e, known := s.endpoints[agent]; known && multiple > 1 {
		s.update(e, math.Log(multiple), now)
	}
}
