// Package admission decides at the owner of a job whether the job may wait. It
// looks at the team's quota and at the delay that the team's queue of the kind has
// now. What other teams have waiting does not count against it.
package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/version/config"
)

const (
	// burst is the time for which a team may save up its rate.
	burst = 2 * time.Second
	// rateWindow is the time over which the rate of starts per flow is measured.
	rateWindow = 500 * time.Millisecond
	// minRetry and maxRetry bound the Retry-After of refusals.
	minRetry = time.Second
	maxRetry = 10 * time.Second
	// weightTTL is how long the weights of the waiting teams are taken as current.
	weightTTL = 100 * time.Millisecond
	// defaultServiceTime is the service time in seconds of a flow that was never measured.
	defaultServiceTime = 0.1
	// serviceTimeWeight is the weight of a new measurement in the mean service time.
	serviceTimeWeight = 0.02
	// minDelayedQueue is how many tasks of a flow may always wait, so that the rate of
	// starts can be measured at all.
	minDelayedQueue = 16
)

type bucket struct {
	tokens     float64
	refilledAt time.Time
	inUse      int
}

// meterOf is a kind and a team.
type flow struct{ kind, team string }

// currentMeter measures a flow.
type meter struct {
	started     int
	rate        float64
	windowStart time.Time
	// serviceTime is the mean service time in seconds; zero where none was measured.
	serviceTime float64
}

// contention is the weight of all teams that wait for slots of a kind.
type contention struct {
	weight     float64
	measuredAt time.Time
}

// Controller follows quotas and rates of one entry. It is not safe for
// concurrent use.
type Controller struct {
	random      *rand.Rand
	buckets     map[string]*bucket
	meters      map[flow]*meter
	contentions map[string]*contention
	entryShare  float64
}

// New returns an admission with nothing in use. The seed spreads Retry-After.
func New(seed uint64) *Controller {
	return &Controller{
		random:      rand.New(rand.NewPCG(seed, 1)),
		buckets:     map[string]*bucket{},
		meters:      map[flow]*meter{},
		contentions: map[string]*contention{},
		entryShare:  1,
	}
}

// SetEntries tells how many entries share the quotas.
func (m *Controller) SetEntries(count int) { m.entryShare = 1 / float64(max(1, count)) }

// Request is a job that asks to be admitted.
type Request struct {
	Team      string
	TeamQuota config.Team
	Kind      string
	KindRule  config.Kind
	Tasks     int
	// Waiting is the number of the team's tasks of the kind that wait at this entry.
	Waiting int
	// Weight is the team's share within the kind, and Others the shares of all teams
	// that have tasks of the kind waiting, this one included or not.
	Weight             float64
	TotalWaitingWeight func() float64
	// Slots is the number of slots at all agents, and KindShare the share of them
	// that the kind gets even when every kind is flooded.
	Slots     int
	KindShare float64
}

// Admit decides whether the job may wait. An admitted job counts against the
// quota until Release.
func (m *Controller) Admit(r Request, now time.Time) (answer.Answer, bool) {
	b := m.bucket(r.Team, r.TeamQuota, now)
	if limit := r.TeamQuota.Concurrent; limit > 0 && float64(b.inUse+r.Tasks) > max(1, float64(limit)*m.entryShare) {
		return m.refuse("quota-concurrent", fmt.Sprintf("team %q has %d tasks under way at this entry", r.Team, b.inUse), minRetry), false
	}
	if rate := r.TeamQuota.Rate * m.entryShare; rate > 0 && b.tokens < float64(r.Tasks) && b.tokens < rate*burst.Seconds() {
		wait := time.Duration((float64(r.Tasks) - b.tokens) / rate * float64(time.Second))
		return m.refuse("quota-rate", fmt.Sprintf("team %q is over its rate of %g tasks a second", r.Team, r.TeamQuota.Rate), wait), false
	}
	if delay, overloaded := m.overloaded(r, now); overloaded {
		return m.refuse("overload", fmt.Sprintf("kind %q of team %q would wait for %s", r.Kind, r.Team, delay.Round(time.Millisecond)), delay), false
	}
	b.tokens -= float64(r.Tasks)
	b.inUse += r.Tasks
	return answer.Answer{}, true
}

func (m *Controller) bucket(team string, q config.Team, now time.Time) *bucket {
	e, known := m.buckets[team]
	full := q.Rate * m.entryShare * burst.Seconds()
	if !known {
		e = &bucket{tokens: full, refilledAt: now}
		m.buckets[team] = e
	}
	e.tokens = min(full, e.tokens+q.Rate*m.entryShare*now.Sub(e.refilledAt).Seconds())
	e.refilledAt = now
	return e
}

// estimateDelay estimates the wait of the job's tasks from the rate at which the team's
// tasks of the kind start here now, or from its share where that is higher: a
// rate that was measured while nothing could start says little.
func (m *Controller) overloaded(r Request, now time.Time) (time.Duration, bool) {
	if r.KindRule.MaxDelay <= 0 || r.Waiting < minDelayedQueue {
		return 0, false
	}
	k := m.currentMeter(flow{kind: r.Kind, team: r.Team}, now)
	rate := max(k.rate, m.guaranteedRate(r, k, now))
	if rate <= 0 {
		return r.KindRule.MaxDelay, true
	}
	delay := time.Duration(float64(r.Waiting) / rate * float64(time.Second))
	return delay, delay > r.KindRule.MaxDelay
}

// guaranteedRate is the rate of starts that the team's share of the kind's share of
// the slots gives this entry by the measured service times, whatever other kinds
// and teams do.
func (m *Controller) guaranteedRate(r Request, k *meter, now time.Time) float64 {
	mean := k.serviceTime
	if mean <= 0 {
		mean = defaultServiceTime
	}
	team := r.Weight / max(r.Weight, m.waitingWeight(r, now))
	return float64(r.Slots) * r.KindShare * team * m.entryShare / mean
}

// waitingWeight returns the weight of the teams that wait for the kind. It is worked
// out anew at most ten times a second, since it takes a look at each team.
func (m *Controller) waitingWeight(r Request, now time.Time) float64 {
	c, known := m.contentions[r.Kind]
	if !known {
		c = &contention{}
		m.contentions[r.Kind] = c
	}
	if now.Sub(c.measuredAt) >= weightTTL {
		c.weight, c.measuredAt = r.TotalWaitingWeight(), now
	}
	return c.weight
}

// ObserveServiceTime takes the service time of a team's task of a kind in seconds.
func (m *Controller) ObserveServiceTime(kind, team string, seconds float64) {
	k := m.meterOf(flow{kind: kind, team: team})
	if k.serviceTime == 0 {
		k.serviceTime = seconds
	}
	k.serviceTime += serviceTimeWeight * (seconds - k.serviceTime)
}

func (m *Controller) meterOf(name flow) *meter {
	k, known := m.meters[name]
	if !known {
		k = &meter{}
		m.meters[name] = k
	}
	return k
}

func (m *Controller) currentMeter(name flow, now time.Time) *meter {
	k := m.meterOf(name)
	if age := now.Sub(k.windowStart); age >= rateWindow {
		k.rate = float64(k.started) / age.Seconds()
		k.started = 0
		k.windowStart = now
	}
	return k
}

func (m *Controller) refuse(reason, detail string, wait time.Duration) answer.Answer {
	wait = min(max(wait, minRetry), maxRetry)
	jitter := time.Duration(m.random.Int64N(int64(wait)))
	return answer.New(outcome.NotRun, reason, detail).WithRetryAfter(wait + jitter)
}

// Release gives back the quota of a job that has ended.
func (m *Controller) Release(team string, tasks int) {
	if b, known := m.buckets[team]; known {
		b.inUse = max(0, b.inUse-tasks)
	}
}

// CountStarted counts a team's tasks of a kind that were handed out.
func (m *Controller) CountStarted(kind, team string, count int, now time.Time) {
	m.currentMeter(flow{kind: kind, team: team}, now).started += count
}

// InUse returns the number of tasks of the team that wait or run at this entry.
func (m *Controller) InUse(team string) int {
	if b, known := m.buckets[team]; known {
		return b.inUse
	}
	return 0
}
