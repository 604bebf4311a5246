// Package admission decides at the owner of a job whether the job may wait. It
// looks at the team's quota and at the delay that the kind's queue has now.
package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
)

const (
	// burst is the time for which a team may save up its rate.
	burst = 2 * time.Second
	// rateWindow is the time over which the rate of starts per kind is measured.
	rateWindow = 500 * time.Millisecond
	// minRetry and maxRetry bound the Retry-After of refusals.
	minRetry = time.Second
	maxRetry = 10 * time.Second
	// firstService is the service time in seconds of a kind that was never measured.
	firstService = 0.1
	// serviceShare is the weight of a new measurement in the mean service time.
	serviceShare = 0.02
	// freeQueue is how many tasks of a kind may always wait, so that the rate of
	// starts can be measured at all.
	freeQueue = 64
)

// Team is a team's quota. Zero means no limit.
type Team struct {
	// Rate is in tasks per second over all entries.
	Rate float64
	// Concurrent is the number of tasks that wait or run over all entries.
	Concurrent int
}

// Kind is what holds for a kind of work.
type Kind struct {
	// MaxDelay is how long a task of the kind may be expected to wait.
	MaxDelay time.Duration
}

type bucket struct {
	tokens float64
	at     time.Time
	held   int
}

type meter struct {
	started int
	rate    float64
	at      time.Time
}

// Admission follows quotas and rates of one entry. It is not safe for
// concurrent use.
type Admission struct {
	random *rand.Rand
	teams  map[string]*bucket
	kinds  map[string]*meter
	share  float64
	// service is the mean service time per kind, in seconds.
	service map[string]float64
}

// New returns an admission with nothing in use. The seed spreads Retry-After.
func New(seed uint64) *Admission {
	return &Admission{
		random:  rand.New(rand.NewPCG(seed, 1)),
		teams:   map[string]*bucket{},
		kinds:   map[string]*meter{},
		share:   1,
		service: map[string]float64{},
	}
}

// SetEntries tells how many entries share the quotas.
func (m *Admission) SetEntries(count int) { m.share = 1 / float64(max(1, count)) }

// Request is a job that asks to be admitted.
type Request struct {
	Team      string
	TeamQuota Team
	Kind      string
	KindRule  Kind
	Tasks     int
	// Waiting is the number of tasks of the kind that wait at this entry.
	Waiting int
	// Slots is the number of slots at all agents, and KindShare the share of them
	// that the kind gets even when every kind is flooded.
	Slots     int
	KindShare float64
}

// Admit decides whether the job may wait. An admitted job counts against the
// quota until Release.
func (m *Admission) Admit(r Request, now time.Time) (answer.Answer, bool) {
	b := m.bucket(r.Team, r.TeamQuota, now)
	if limit := r.TeamQuota.Concurrent; limit > 0 && float64(b.held+r.Tasks) > max(1, float64(limit)*m.share) {
		return m.refuse("quota-concurrent", fmt.Sprintf("team %q has %d tasks under way at this entry", r.Team, b.held), minRetry), false
	}
	if rate := r.TeamQuota.Rate * m.share; rate > 0 && b.tokens < float64(r.Tasks) && b.tokens < rate*burst.Seconds() {
		wait := time.Duration((float64(r.Tasks) - b.tokens) / rate * float64(time.Second))
		return m.refuse("quota-rate", fmt.Sprintf("team %q is over its rate of %g tasks a second", r.Team, r.TeamQuota.Rate), wait), false
	}
	if delay, late := m.late(r, now); late {
		return m.refuse("overload", fmt.Sprintf("kind %q would wait for %s", r.Kind, delay.Round(time.Millisecond)), delay), false
	}
	b.tokens -= float64(r.Tasks)
	b.held += r.Tasks
	return answer.Answer{}, true
}

func (m *Admission) bucket(team string, q Team, now time.Time) *bucket {
	e, known := m.teams[team]
	full := q.Rate * m.share * burst.Seconds()
	if !known {
		e = &bucket{tokens: full, at: now}
		m.teams[team] = e
	}
	e.tokens = min(full, e.tokens+q.Rate*m.share*now.Sub(e.at).Seconds())
	e.at = now
	return e
}

// late estimates the wait of the job's tasks from the rate at which tasks of
// the kind start here now, or from the kind's share where that is higher: a
// rate that was measured while nothing could start says little.
func (m *Admission) late(r Request, now time.Time) (time.Duration, bool) {
	if r.KindRule.MaxDelay <= 0 || r.Waiting < freeQueue {
		return 0, false
	}
	rate := max(m.meter(r.Kind, now).rate, m.guaranteed(r))
	if rate <= 0 {
		return r.KindRule.MaxDelay, true
	}
	delay := time.Duration(float64(r.Waiting) / rate * float64(time.Second))
	return delay, delay > r.KindRule.MaxDelay
}

// guaranteed is the rate of starts that the kind's share of the slots gives this
// entry by the measured service times, whatever the other kinds do.
func (m *Admission) guaranteed(r Request) float64 {
	mean := m.service[r.Kind]
	if mean <= 0 {
		mean = firstService
	}
	return float64(r.Slots) * r.KindShare * m.share / mean
}

// Served takes the service time of a task in seconds.
func (m *Admission) Served(kind string, seconds float64) {
	old, known := m.service[kind]
	if !known {
		old = seconds
	}
	m.service[kind] = old + serviceShare*(seconds-old)
}

func (m *Admission) meter(kind string, now time.Time) *meter {
	k, known := m.kinds[kind]
	if !known {
		k = &meter{at: now}
		m.kinds[kind] = k
	}
	if age := now.Sub(k.at); age >= rateWindow {
		k.rate = float64(k.started) / age.Seconds()
		k.started = 0
		k.at = now
	}
	return k
}

func (m *Admission) refuse(reason, detail string, wait time.Duration) answer.Answer {
	wait = min(max(wait, minRetry), maxRetry)
	jitter := time.Duration(m.random.Int64N(int64(wait)))
	return answer.New(outcome.NotRun, reason, detail).WithRetryAfter(wait + jitter)
}

// Release gives back the quota of a job that has ended.
func (m *Admission) Release(team string, tasks int) {
	if b, known := m.teams[team]; known {
		b.held = max(0, b.held-tasks)
	}
}

// Started counts tasks of a kind that were handed out.
func (m *Admission) Started(kind string, count int, now time.Time) {
	m.meter(kind, now).started += count
}

// Held returns the number of tasks of the team that wait or run at this entry.
func (m *Admission) Held(team string) int {
	if b, known := m.teams[team]; known {
		return b.held
	}
	return 0
}
