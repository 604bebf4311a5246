// Package speed learns how fast endpoints are from jobs whose tasks ran on several
// of them: tasks of a job are alike, so that what differs is the endpoints. Run
// times themselves say little, since only the product of a task's work and an
// endpoint's slowness is seen. The median endpoint counts as ordinary. It does no I/O.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// share is the weight of one task in an endpoint's slowness. The tasks of a job
	// differ by some 15 %, so that ten tasks are enough for 5 %.
	share = 0.15
	// kindShare is its weight in the slowness of the endpoint's kind.
	kindShare = 0.01
	// fade is how long a belief lasts that nothing confirms: an endpoint that is
	// believed slow gets no tasks that could show otherwise.
	fade = 3 * time.Second
	// medianLife is how long a median counts: a few tasks end meanwhile.
	medianLife = 50 * time.Millisecond
	// most bounds the slowness and its inverse.
	most = 20.0
	// leastRun keeps the logarithm of very short runs in bounds.
	leastRun = time.Millisecond
)

// Run is one task of a job that ended well.
type Run struct {
	Agent    string
	Duration time.Duration
}

type endpoint struct {
	kind string
	// slowness is a natural logarithm, as of the last task.
	slowness float64
	at       time.Time
}

// Speeds holds what is known of each endpoint. It is not safe for concurrent use.
type Speeds struct {
	endpoints map[string]*endpoint
	kinds     map[string]float64
	scratch   []float64
	median    float64
	medianAt  time.Time
}

// New returns speeds of no endpoint.
func New() *Speeds { return &Speeds{endpoints: map[string]*endpoint{}, kinds: map[string]float64{}} }

// Set notes the kind of an agent's endpoint; a new kind means a new endpoint.
func (s *Speeds) SetKind(agent, kind string) {
	if e, known := s.endpoints[agent]; known && e.kind == kind {
		return
	}
	s.endpoints[agent] = &endpoint{kind: kind}
}

// Forget drops an agent.
func (s *Speeds) Forget(agent string) { delete(s.endpoints, agent) }

// believed is the logarithm of the slowness, which fades towards that of the kind.
func (s *Speeds) believed(e *endpoint, now time.Time) float64 {
	kind := s.kinds[e.kind]
	return kind + (e.slowness-kind)*math.Exp(-now.Sub(e.at).Seconds()/fade.Seconds())
}

// ordinary is the median of what is believed, as of a moment ago: each placement asks
// for the slowness of every endpoint.
func (s *Speeds) ordinary(now time.Time) float64 {
	if age := now.Sub(s.medianAt); age >= 0 && age < medianLife && !s.medianAt.IsZero() {
		return s.median
	}
	s.medianAt = now
	s.median = s.medianNow(now)
	return s.median
}

func (s *Speeds) medianNow(now time.Time) float64 {
	s.scratch = s.scratch[:0]
	for _, e := range s.endpoints {
		s.scratch = append(s.scratch, s.believed(e, now))
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

// Slowness returns how long an agent's endpoint takes, set against the median one.
func (s *Speeds) Slowness(agent string, now time.Time) float64 {
	e, known := s.endpoints[agent]
	if !known {
		return 1
	}
	return min(max(math.Exp(s.believed(e, now)-s.ordinary(now)), 1/most), most)
}

// Job takes the tasks of a job that ended well and returns how long one of them
// takes on an ordinary endpoint.
func (s *Speeds) ObserveJob(runs []Run, now time.Time) time.Duration {
	bases := make([]float64, 0, len(runs))
	for _, r := range runs {
		bases = append(bases, math.Log(max(r.Duration, leastRun).Seconds())-s.of(r.Agent, now))
	}
	base := median(slices.Clone(bases))
	for i, r := range runs {
		if e, known := s.endpoints[r.Agent]; known && len(runs) > 1 {
			s.learn(e, bases[i]-base, now)
		}
	}
	return time.Duration(math.Exp(base+s.ordinary(now)) * float64(time.Second))
}

func (s *Speeds) of(agent string, now time.Time) float64 {
	if e, known := s.endpoints[agent]; known {
		return s.believed(e, now)
	}
	return s.ordinary(now)
}

func (s *Speeds) learn(e *endpoint, off float64, now time.Time) {
	limit := math.Log(most)
	e.slowness = min(max(s.believed(e, now)+share*off, -limit), limit)
	e.at = now
	s.kinds[e.kind] = min(max(s.kinds[e.kind]+kindShare*(e.slowness-s.kinds[e.kind]), -limit), limit)
}

// Overdue notes that a task has not ended after so many times the expected time.
func (s *Speeds) ObserveOverdue(agent string, times float64, now time.Time) {
	if e, known := s.endpoints[agent]; known && times > 1 {
		s.learn(e, math.Log(times), now)
	}
}
