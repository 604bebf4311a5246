// Package health tells failing and straggling workers from failing jobs by
// evidence: a worker is at fault if it fails the tasks of several jobs, or takes
// far longer, while the others do not. It does no I/O.
package health

import (
	"time"
)

//go:generate stringer -type=Verdict -linecomment

// Verdict is what follows from an observation.
type Verdict uint8

const (
	// Keep changes nothing.
	Keep Verdict = iota // keep
	// Eject gives the agent no more tasks until it is due for a probe.
	Eject // eject
	// Probe gives an ejected agent one task.
	Probe // probe
	// Readmit gives the agent tasks as before.
	Readmit // readmit
)

const (
	// window is how many of an agent's last tasks count.
	window = 16
	// leastOutcomes and leastJobs are the evidence that an ejection needs.
	leastOutcomes = 4
	leastJobs     = 3
	// failedShare ejects an agent while the others stay under otherShare.
	failedShare = 0.75
	otherShare  = 0.4
	// slowFactor ejects an agent that takes so many times as long as the others,
	// over at least leastSlow tasks in a row.
	slowFactor = 4
	leastSlow  = 2
	// ejectedMost is the share of the agents that may be ejected at once, failingMost
	// where the next one fails what it is given: a slow one still does some good.
	ejectedMost = 1.0 / 3
	failingMost = 1.0 / 2
	// failingAge is how long a task counts towards the share of failed ones.
	failingAge = 3 * time.Second
	// firstRest and longestRest bound the time until an ejected agent is probed;
	// each failed probe doubles it.
	firstRest   = 4 * time.Second
	longestRest = 2 * time.Minute
	// meanShare is the weight of a new service time in the mean of the others.
	meanShare = 0.05
)

// Observation is how one task ended at an agent.
type Observation struct {
	Agent   string
	Kind    string
	Job     string
	Index   uint32
	Failed  bool
	Seconds float64
}

type outcome struct {
	job    string
	failed bool
	at     time.Time
}

type record struct {
	last []outcome
	// failedAt is when a task failed last.
	failedAt time.Time
	slow     int
	ejected  bool
	due      time.Time
	rest     time.Duration
	probed   bool
}

// Health follows all agents of one entry. It is not safe for concurrent use.
type Health struct {
	agents map[string]*record
	means  map[string]float64
}

// New returns the health of agents that have not run anything.
func New() *Health {
	return &Health{agents: map[string]*record{}, means: map[string]float64{}}
}

func (h *Health) record(agent string) *record {
	r, known := h.agents[agent]
	if !known {
		r = &record{rest: firstRest}
		h.agents[agent] = r
	}
	return r
}

// Ejected reports whether an agent is ejected.
func (h *Health) Ejected(agent string) bool { return h.record(agent).ejected }

// Failing returns the share of an agent's last tasks that failed, as if there had been
// one more of each. An agent that is avoided is tried again after a while.
func (h *Health) FailureRate(agent string, now time.Time) float64 {
	r := h.record(agent)
	if now.Sub(r.failedAt) > failingAge {
		return 0
	}
	failed, all := 0, 0
	for _, o := range r.last {
		if now.Sub(o.at) > failingAge {
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

// Due reports whether an ejected agent may be probed now.
func (h *Health) StartProbe(agent string, now time.Time) bool {
	r := h.record(agent)
	if !r.ejected || now.Before(r.due) {
		return false
	}
	r.due = now.Add(r.rest)
	r.probed = true
	return true
}

// Observe takes how a task ended and returns what follows for its agent.
func (h *Health) Observe(o Observation, now time.Time) Verdict {
	r := h.record(o.Agent)
	r.last = append(r.last, outcome{job: o.Job, failed: o.Failed, at: now})
	if o.Failed {
		r.failedAt = now
	}
	if len(r.last) > window {
		r.last = r.last[1:]
	}
	slow := h.measure(r, o)
	if r.ejected {
		return h.judgeProbe(r, o.Failed || slow, now)
	}
	failing := h.failing(o.Agent, r)
	if !failing && r.slow < leastSlow {
		return Keep
	}
	most := ejectedMost
	if failing {
		most = failingMost
	}
	if !h.mayEject(most) {
		return Keep
	}
	h.eject(r, now)
	return Eject
}

// Overdue reports whether a task of the kind has run for far longer than the
// others took.
func (h *Health) Overdue(kind string, ran time.Duration) bool {
	mean, known := h.means[kind]
	return known && ran.Seconds() > slowFactor*mean
}

// ObserveOverdue takes how many tasks of an agent are overdue now.
func (h *Health) ObserveOverdue(agent string, count int, now time.Time) Verdict {
	r := h.record(agent)
	if r.ejected || count < leastSlow || !h.mayEject(ejectedMost) {
		return Keep
	}
	h.eject(r, now)
	return Eject
}

// measure compares a service time with the mean of its kind. The times of slow
// agents do not count towards the mean.
func (h *Health) measure(r *record, o Observation) bool {
	if o.Failed || o.Seconds <= 0 {
		return false
	}
	mean, known := h.means[o.Kind]
	if !known {
		h.means[o.Kind] = o.Seconds
		return false
	}
	if o.Seconds > slowFactor*mean {
		r.slow++
		// A kind whose times grow everywhere moves the mean, if slowly.
		h.means[o.Kind] = mean + meanShare*meanShare*(o.Seconds-mean)
		return true
	}
	r.slow = 0
	h.means[o.Kind] = mean + meanShare*(o.Seconds-mean)
	return false
}

func (h *Health) judgeProbe(r *record, bad bool, now time.Time) Verdict {
	if !r.probed {
		return Keep
	}
	r.probed = false
	if bad {
		r.rest = min(2*r.rest, longestRest)
		r.due = now.Add(r.rest)
		return Eject
	}
	r.ejected = false
	r.rest = firstRest
	r.last = nil
	r.slow = 0
	return Readmit
}

func (h *Health) eject(r *record, now time.Time) {
	r.ejected = true
	r.probed = false
	r.due = now.Add(r.rest)
	r.slow = 0
}

// failing reports whether an agent fails tasks of several jobs while the other
// agents do not: a job that fails everywhere is itself at fault.
func (h *Health) failing(agent string, r *record) bool {
	failed, jobs := r.failures()
	if len(r.last) < leastOutcomes || jobs < leastJobs || float64(failed) < failedShare*float64(len(r.last)) {
		return false
	}
	otherFailed, others := 0, 0
	for name, other := range h.agents {
		if name == agent || other.ejected {
			continue
		}
		n, _ := other.failures()
		otherFailed += n
		others += len(other.last)
	}
	return others > 0 && float64(otherFailed) < otherShare*float64(others)
}

func (r *record) failures() (failed, jobs int) {
	seen := map[string]bool{}
	for _, o := range r.last {
		if !o.failed {
			continue
		}
		failed++
		seen[o.job] = true
	}
	return failed, len(seen)
}

// mayEject bounds the share of agents that are ejected.
func (h *Health) mayEject(most float64) bool {
	ejected := 0
	for _, r := range h.agents {
		if r.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= max(1, most*float64(len(h.agents))) && len(h.agents) > 1
}

// Forget drops an agent that has ended.
func (h *Health) Forget(agent string) { delete(h.agents, agent) }
