// Package health detects failing and slow agents and tells them from failing jobs: an
// agent is at fault if it fails tasks of several jobs, or takes far longer, while the
// other agents do not. The package does no I/O.
package health

import (
	"time"
)

//go:generate stringer -type=Verdict -linecomment

// Verdict is the change of an agent's state that follows from an observation.
type Verdict uint8

const (
	// Keep changes nothing.
	Keep Verdict = iota // keep
	// Eject gives the agent no more tasks until its next probe.
	Eject // eject
	// Probe gives an ejected agent one task.
	Probe // probe
	// Readmit ends the ejection.
	Readmit // readmit
)

const (
	// maxResults is how many of an agent's last tasks are considered.
	maxResults = 16
	// An ejection for failures needs minOutcomes tasks and failures of minFailedJobs
	// jobs.
	minResults    = 4
	minFailedJobs = 3
	// An agent is ejected if at least minFailedShare of its tasks fail, and fewer than
	// maxOthersFailedShare of the other agents' tasks.
	minFailedShare       = 0.75
	maxOthersFailedShare = 0.4
	// An agent is ejected if minSlowTasks in a row, or running at a time, take more than
	// slowFactor times the mean.
	slowFactor   = 4
	minSlowTasks = 2
	// maxEjectedShare bounds the share of the agents that are ejected at a time. For a
	// failing agent the bound is maxEjectedShareIfFailing, since a slow agent still does
	// useful work.
	maxEjectedShare          = 1.0 / 3
	maxEjectedShareIfFailing = 1.0 / 2
	// maxFailureAge is how long a task counts towards the failure rate.
	maxFailureAge = 3 * time.Second
	// The delay until an ejected agent is probed starts at minProbeDelay. Each failed
	// probe doubles it, up to maxProbeDelay.
	minProbeDelay = 4 * time.Second
	maxProbeDelay = 2 * time.Minute
	// meanWeight is the weight of a new cost in the mean of its kind.
	meanWeight = 0.05
)

// Observation describes how a task ended at an agent. Cost is its service time in seconds,
// or any other measure that is comparable between tasks of a kind.
type Observation struct {
	Agent  string
	Kind   string
	Job    string
	Index  uint32
	Failed bool
	Cost   float64
}

// result is how a task ended.
type result struct {
	job    string
	failed bool
	at     time.Time
}

// record is the state of one agent.
type record struct {
	results []result
	// failedAt is when a task last failed.
	failedAt time.Time
	// slowInRow is the number of slow tasks since the last one that was not slow.
	slowInRow  int
	ejected    bool
	probeAt    time.Time
	probeDelay time.Duration
	probing    bool
}

// Health holds the state of all agents that one process dispatches to. It is not safe
// for concurrent use.
type Health struct {
	agents map[string]*record
	means  map[string]float64
}

// New returns a Health without observations.
func New() *Health {
	return &Health{agents: map[string]*record{}, means: map[string]float64{}}
}

func (h *Health) record(agent string) *record {
	r, known := h.agents[agent]
	if !known {
		r = &record{probeDelay: minProbeDelay}
		h.agents[agent] = r
	}
	return r
}

// Ejected reports whether an agent is ejected.
func (h *Health) Ejected(agent string) bool { return h.record(agent).ejected }

// FailureRate returns the share of an agent's recent tasks that failed, smoothed by one
// added failure and one added success. It is zero without recent failures, so that an
// agent that is avoided for its failures is tried again.
func (h *Health) FailureRate(agent string, now time.Time) float64 {
	r := h.record(agent)
	if now.Sub(r.failedAt) > maxFailureAge {
		return 0
	}
	failed, all := 0, 0
	for _, o := range r.results {
		if now.Sub(o.at) > maxFailureAge {
			continue
		}
		all++
		if o.failed {
			failed++
		}
	}
	if failed == 0 {
		return 0
	}
	return float64(failed+1) / float64(all+2)
}

// StartProbe reports whether an ejected agent is to be probed now, and if so schedules
// the next probe.
func (h *Health) StartProbe(agent string, now time.Time) bool {
	r := h.record(agent)
	if !r.ejected || now.Before(r.probeAt) {
		return false
	}
	r.probeAt = now.Add(r.probeDelay)
	r.probing = true
	return true
}

// Observe records how a task ended and returns the verdict on its agent.
func (h *Health) Observe(o Observation, now time.Time) Verdict {
	r := h.record(o.Agent)
	r.results = append(r.results, result{job: o.Job, failed: o.Failed, at: now})
	if o.Failed {
		r.failedAt = now
	}
	if len(r.results) > maxResults {
		r.results = r.results[1:]
	}
	slow := h.measure(r, o)
	if r.ejected {
		return h.finishProbe(r, o.Failed || slow, now)
	}
	failing := h.failing(o.Agent, r)
	if !failing && r.slowInRow < minSlowTasks {
		return Keep
	}
	maxShare := maxEjectedShare
	if failing {
		maxShare = maxEjectedShareIfFailing
	}
	if !h.mayEject(maxShare) {
		return Keep
	}
	h.eject(r, now)
	return Eject
}

// Overdue reports whether a task of the kind has run for more than slowFactor times the
// mean. It requires that the costs of the observations are service times in seconds.
func (h *Health) Overdue(kind string, ran time.Duration) bool {
	mean, known := h.means[kind]
	return known && ran.Seconds() > slowFactor*mean
}

// ObserveOverdue records the number of overdue tasks at an agent and returns the verdict
// on it.
func (h *Health) ObserveOverdue(agent string, count int, now time.Time) Verdict {
	r := h.record(agent)
	if r.ejected || count < minSlowTasks || !h.mayEject(maxEjectedShare) {
		return Keep
	}
	h.eject(r, now)
	return Eject
}

// measure updates the mean cost of the kind and reports whether the task was
// slow. Slow tasks hardly count towards the mean.
func (h *Health) measure(r *record, o Observation) bool {
	if o.Failed || o.Cost <= 0 {
		return false
	}
	mean, known := h.means[o.Kind]
	if !known {
		h.means[o.Kind] = o.Cost
		return false
	}
	if o.Cost > slowFactor*mean {
		r.slowInRow++
		// The mean still follows, slowly, if the kind's tasks cost more everywhere.
		h.means[o.Kind] = mean + meanWeight*meanWeight*(o.Cost-mean)
		return true
	}
	r.slowInRow = 0
	h.means[o.Kind] = mean + meanWeight*(o.Cost-mean)
	return false
}

// finishProbe readmits an agent after a good probe, or doubles the delay until the next
// one.
func (h *Health) finishProbe(r *record, bad bool, now time.Time) Verdict {
	if !r.probing {
		return Keep
	}
	r.probing = false
	if bad {
		r.probeDelay = min(2*r.probeDelay, maxProbeDelay)
		r.probeAt = now.Add(r.probeDelay)
		return Eject
	}
	r.ejected = false
	r.probeDelay = minProbeDelay
	r.results = nil
	r.slowInRow = 0
	return Readmit
}

func (h *Health) eject(r *record, now time.Time) {
	r.ejected = true
	r.probing = false
	r.probeAt = now.Add(r.probeDelay)
	r.slowInRow = 0
}

// failing reports whether an agent fails tasks of several jobs while the other agents do
// not. A job that fails at every agent is itself at fault.
func (h *Health) failing(agent string, r *record) bool {
	failed, jobs := r.failures()
	if len(r.results) < minResults || jobs < minFailedJobs || float64(failed) < minFailedShare*float64(len(r.results)) {
		return false
	}
	otherFailed, others := 0, 0
	for name, other := range h.agents {
		if name == agent || other.ejected {
			continue
		}
		n, _ := other.failures()
		otherFailed += n
		others += len(other.results)
	}
	return others > 0 && float64(otherFailed) < maxOthersFailedShare*float64(others)
}

// failures returns the number of failed tasks and of their jobs.
func (r *record) failures() (failed, jobs int) {
	seen := map[string]bool{}
	for _, o := range r.results {
		if !o.failed {
			continue
		}
		failed++
		seen[o.job] = true
	}
	return failed, len(seen)
}

// mayEject reports whether one more ejection keeps the share of ejected agents within
// the bound. One of several agents may always be ejected.
func (h *Health) mayEject(maxShare float64) bool {
	ejected := 0
	for _, r := range h.agents {
		if r.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= max(1, maxShare*float64(len(h.agents))) && len(h.agents) > 1
}

// Forget removes the state of an agent that has ended.
func (h *Health) Forget(agent string) { delete(h.agents, agent) }
