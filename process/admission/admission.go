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
	// weightWindow is how long the weights of the waiting teams are taken as current.
	weightWindow = 100 * time.Millisecond
	// firstService is the service time in seconds of a flow that was never measured.
	firstService = 0.1
	// serviceShare is the weight of a new measurement in the mean service time.
	serviceShare = 0.02
	// freeQueue is how many tasks of a flow may always wait, so that the rate of
	// starts can be measured at all.
	freeQueue = 16
)

type bucket struct {
	tokens float64
	at     time.Time
	held   int
}

// flow is a kind and a team.
type flow struct{ kind, team string }

// meter measures a flow.
type meter struct {
	started int
	rate    float64
	at      time.Time
	// service is the mean service time in seconds; zero where none was measured.
	service float64
}

// contest is the weight of all teams that wait for slots of a kind.
type contest struct {
	weight float64
	at     time.Time
}

// Admission follows quotas and rates of one entry. It is not safe for
// concurrent use.
type Controller struct {
	random *rand.Rand
	teams  map[string]*bucket
	flows  map[flow]*meter
	kinds  map[string]*contest
	share  float64
}

// New returns an admission with nothing in use. The seed spreads Retry-After.
func New(seed uint64) *Controller {
	return &Controller{
		random: rand.New(rand.NewPCG(seed, 1)),
		teams:  map[string]*bucket{},
		flows:  map[flow]*meter{},
		kinds:  map[string]*contest{},
		share:  1,
	}
}

// SetEntries tells how many entries share the quotas.
func (m *Controller) SetEntries(count int) { m.share = 1 / float64(max(1, count)) }

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
	if limit := r.TeamQuota.Concurrent; limit > 0 && float64(b.held+r.Tasks) > max(1, float64(limit)*m.share) {
		return m.refuse("quota-concurrent", fmt.Sprintf("team %q has %d tasks under way at this entry", r.Team, b.held), minRetry), false
	}
	if rate := r.TeamQuota.Rate * m.share; rate > 0 && b.tokens < float64(r.Tasks) && b.tokens < rate*burst.Seconds() {
		wait := time.Duration((float64(r.Tasks) - b.tokens) / rate * float64(time.Second))
		return m.refuse("quota-rate", fmt.Sprintf("team %q is over its rate of %g tasks a second", r.Team, r.TeamQuota.Rate), wait), false
	}
	if delay, late := m.late(r, now); late {
		return m.refuse("overload", fmt.Sprintf("kind %q of team %q would wait for %s", r.Kind, r.Team, delay.Round(time.Millisecond)), delay), false
	}
	b.tokens -= float64(r.Tasks)
	b.held += r.Tasks
	return answer.Answer{}, true
}

func (m *Controller) bucket(team string, q config.Team, now time.Time) *bucket {
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

// late estimates the wait of the job's tasks from the rate at which the team's
// tasks of the kind start here now, or from its share where that is higher: a
// rate that was measured while nothing could start says little.
func (m *Controller) late(r Request, now time.Time) (time.Duration, bool) {
	if r.KindRule.MaxDelay <= 0 || r.Waiting < freeQueue {
		return 0, false
	}
	k := m.meter(flow{kind: r.Kind, team: r.Team}, now)
	rate := max(k.rate, m.guaranteed(r, k, now))
	if rate <= 0 {
		return r.KindRule.MaxDelay, true
	}
	delay := time.Duration(float64(r.Waiting) / rate * float64(time.Second))
	return delay, delay > r.KindRule.MaxDelay
}

// guaranteed is the rate of starts that the team's share of the kind's share of
// the slots gives this entry by the measured service times, whatever other kinds
// and teams do.
func (m *Controller) guaranteed(r Request, k *meter, now time.Time) float64 {
	mean := k.service
	if mean <= 0 {
		mean = firstService
	}
	team := r.Weight / max(r.Weight, m.contested(r, now))
	return float64(r.Slots) * r.KindShare * team * m.share / mean
}

// contested returns the weight of the teams that wait for the kind. It is worked
// out anew at most ten times a second, since it takes a look at each team.
func (m *Controller) contested(r Request, now time.Time) float64 {
	c, known := m.kinds[r.Kind]
	if !known {
		c = &contest{}
		m.kinds[r.Kind] = c
	}
	if now.Sub(c.at) >= weightWindow {
		c.weight, c.at = r.TotalWaitingWeight(), now
	}
	return c.weight
}

// Served takes the service time of a team's task of a kind in seconds.
func (m *Controller) ObserveServiceTime(kind, team string, seconds float64) {
	k := m.flow(flow{kind: kind, team: team})
	if k.service == 0 {
		k.service = seconds
	}
	k.service += serviceShare * (seconds - k.service)
}

func (m *Controller) flow(name flow) *meter {
	k, known := m.flows[name]
	if !known {
		k = &meter{}
		m.flows[name] = k
	}
	return k
}

func (m *Controller) meter(name flow, now time.Time) *meter {
	k := m.flow(name)
	if age := now.Sub(k.at); age >= rateWindow {
		k.rate = float64(k.started) / age.Seconds()
		k.started = 0
		k.at = now
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
	if b, known := m.teams[team]; known {
		b.held = max(0, b.held-tasks)
	}
}

// Started counts a team's tasks of a kind that were handed out.
func (m *Controller) CountStarted(kind, team string, count int, now time.Time) {
	m.meter(flow{kind: kind, team: team}, now).started += count
}

// Held returns the number of tasks of the team that wait or run at this entry.
func (m *Controller) InUse(team string) int {
	if b, known := m.teams[team]; known {
		return b.held
	}
	return 0
}
