// Package admission decides at the owner of a job whether the job is admitted to the
// queue. It checks the team's quota and the current delay of the team's queue of the kind.
// Waiting tasks of other teams do not count against the team.
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
	// burst is the time for which a team may accumulate its unused rate.
	burst = 2 * time.Second
	// rateWindow is the time over which the start rate of a flow is measured.
	rateWindow = 500 * time.Millisecond
	// minRetry and maxRetry bound the Retry-After of refusals before the jitter, which adds
	// up to as much again.
	minRetry = time.Second
	maxRetry = 10 * time.Second
	// weightTTL is how long the total weight of the waiting teams is cached.
	weightTTL = 100 * time.Millisecond
	// defaultServiceTime is the service time in seconds assumed for a flow that has not been
	// measured.
	defaultServiceTime = 0.1
	// serviceTimeWeight is the weight of a new measurement in the mean service time.
	serviceTimeWeight = 0.02
	// delayCheckThreshold is the number of waiting tasks of a flow below which its delay is not
	// checked: without some waiting tasks, the start rate cannot be measured.
	delayCheckThreshold = 16
)

// bucket tracks a team's quotas: the tokens of its rate and its tasks that wait or run.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	inUse      int
}

// flow identifies the tasks of one kind from one team.
type flow struct{ kind, team string }

// meter measures the start rate and service time of a flow.
type meter struct {
	started     int
	rate        float64
	windowStart time.Time
	// serviceTime is the mean service time in seconds; 0 if none has been measured.
	serviceTime float64
}

// cachedWeight is the cached total weight of the teams that wait for a kind.
type cachedWeight struct {
	weight     float64
	computedAt time.Time
}

// Controller tracks the quotas and start rates at one entry. It is not safe for concurrent
// use.
type Controller struct {
	random         *rand.Rand
	buckets        map[string]*bucket
	meters         map[flow]*meter
	waitingWeights map[string]*cachedWeight
	entryShare     float64
}

// New returns a controller with no quota in use. The seed is for the jitter of Retry-After.
func New(seed uint64) *Controller {
	return &Controller{
		random:         rand.New(rand.NewPCG(seed, 1)),
		buckets:        map[string]*bucket{},
		meters:         map[flow]*meter{},
		waitingWeights: map[string]*cachedWeight{},
		entryShare:     1,
	}
}

// SetEntries sets the number of entries that share the quotas.
func (c *Controller) SetEntries(count int) { c.entryShare = 1 / float64(max(1, count)) }

// Request describes a job to be admitted.
type Request struct {
	Team      string
	TeamQuota config.Team
	Kind      string
	KindRule  config.Kind
	Tasks     int
	// Waiting is the number of the team's tasks of the kind that wait at this entry.
	Waiting int
	// Weight is the team's weight within the kind. TotalWaitingWeight returns the sum of the
	// weights of all teams with waiting tasks of the kind; it may or may not include this
	// team.
	Weight             float64
	TotalWaitingWeight func() float64
	// Slots is the number of task slots of all agents, and KindShare the share of them that is
	// guaranteed to the kind when all kinds are overloaded.
	Slots     int
	KindShare float64
}

// Admit decides whether the job is admitted. An admitted job counts against the quota
// until Release.
func (c *Controller) Admit(r Request, now time.Time) (answer.Answer, bool) {
	b := c.bucket(r.Team, r.TeamQuota, now)
	if limit := r.TeamQuota.Concurrent; limit > 0 && float64(b.inUse+r.Tasks) > max(1, float64(limit)*c.entryShare) {
		return c.refuse("quota-concurrent", fmt.Sprintf("team %q has %d tasks under way at this entry", r.Team, b.inUse), minRetry), false
	}
	if rate := r.TeamQuota.Rate * c.entryShare; rate > 0 && b.tokens < float64(r.Tasks) && b.tokens < rate*burst.Seconds() {
		wait := time.Duration((float64(r.Tasks) - b.tokens) / rate * float64(time.Second))
		return c.refuse("quota-rate", fmt.Sprintf("team %q is over its rate of %g tasks a second", r.Team, r.TeamQuota.Rate), wait), false
	}
	if delay, overloaded := c.overloaded(r, now); overloaded {
		return c.refuse("overload", fmt.Sprintf("kind %q of team %q would wait for %s", r.Kind, r.Team, delay.Round(time.Millisecond)), delay), false
	}
	b.tokens -= float64(r.Tasks)
	b.inUse += r.Tasks
	return answer.Answer{}, true
}

func (c *Controller) bucket(team string, q config.Team, now time.Time) *bucket {
	b, known := c.buckets[team]
	full := q.Rate * c.entryShare * burst.Seconds()
	if !known {
		b = &bucket{tokens: full, refilledAt: now}
		c.buckets[team] = b
	}
	b.tokens = min(full, b.tokens+q.Rate*c.entryShare*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	return b
}

// overloaded estimates the wait of the job's tasks and reports whether it exceeds the
// kind's maximum. It uses the current start rate of the flow at this entry or its
// guaranteed rate, whichever is higher: the start rate is misleading if it was measured
// while nothing could start.
func (c *Controller) overloaded(r Request, now time.Time) (time.Duration, bool) {
	if r.KindRule.MaxDelay <= 0 || r.Waiting < delayCheckThreshold {
		return 0, false
	}
	m := c.currentMeter(flow{kind: r.Kind, team: r.Team}, now)
	rate := max(m.rate, c.guaranteedRate(r, m, now))
	if rate <= 0 {
		return r.KindRule.MaxDelay, true
	}
	delay := time.Duration(float64(r.Waiting) / rate * float64(time.Second))
	return delay, delay > r.KindRule.MaxDelay
}

// guaranteedRate returns the start rate that the flow gets at this entry whatever other
// kinds and teams do: the team's share of the kind's share of the slots over the measured
// service time.
func (c *Controller) guaranteedRate(r Request, m *meter, now time.Time) float64 {
	mean := m.serviceTime
	if mean <= 0 {
		mean = defaultServiceTime
	}
	team := r.Weight / max(r.Weight, c.waitingWeight(r, now))
	return float64(r.Slots) * r.KindShare * team * c.entryShare / mean
}

// waitingWeight returns the total weight of the teams that wait for the kind. It is
// recomputed at most ten times a second, since that visits each team.
func (c *Controller) waitingWeight(r Request, now time.Time) float64 {
	w, known := c.waitingWeights[r.Kind]
	if !known {
		w = &cachedWeight{}
		c.waitingWeights[r.Kind] = w
	}
	if now.Sub(w.computedAt) >= weightTTL {
		w.weight, w.computedAt = r.TotalWaitingWeight(), now
	}
	return w.weight
}

// ObserveServiceTime records the service time, in seconds, of a team's task of a kind.
func (c *Controller) ObserveServiceTime(kind, team string, seconds float64) {
	m := c.meterOf(flow{kind: kind, team: team})
	if m.serviceTime == 0 {
		m.serviceTime = seconds
	}
	m.serviceTime += serviceTimeWeight * (seconds - m.serviceTime)
}

func (c *Controller) meterOf(name flow) *meter {
	m, known := c.meters[name]
	if !known {
		m = &meter{}
		c.meters[name] = m
	}
	return m
}

func (c *Controller) currentMeter(name flow, now time.Time) *meter {
	m := c.meterOf(name)
	if age := now.Sub(m.windowStart); age >= rateWindow {
		m.rate = float64(m.started) / age.Seconds()
		m.started = 0
		m.windowStart = now
	}
	return m
}

func (c *Controller) refuse(reason, detail string, wait time.Duration) answer.Answer {
	wait = min(max(wait, minRetry), maxRetry)
	jitter := time.Duration(c.random.Int64N(int64(wait)))
	return answer.New(outcome.NotRun, reason, detail).WithRetryAfter(wait + jitter)
}

// Release returns the concurrency quota of a job that has ended.
func (c *Controller) Release(team string, tasks int) {
	if b, known := c.buckets[team]; known {
		b.inUse = max(0, b.inUse-tasks)
	}
}

// CountStarted counts tasks of a team and kind that have been dispatched.
func (c *Controller) CountStarted(kind, team string, count int, now time.Time) {
	c.currentMeter(flow{kind: kind, team: team}, now).started += count
}

// InUse returns the number of tasks of the team that wait or run at this entry.
func (c *Controller) InUse(team string) int {
	if b, known := c.buckets[team]; known {
		return b.inUse
	}
	return 0
}
