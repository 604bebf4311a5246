// Package placement chooses endpoints for the tasks of a job and predicts when the last
// of them ends. Among endpoints with free capacity it prefers the fastest, since a job is as
// late as its slowest task. If there are none, it spreads the tasks over the shortest queues, so
// that a job of many tasks waits for one running task to end at each of many endpoints instead
// of for many at one. It does no I/O.
package placement

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/backlog"
	"github.com/corianderhook/corianderhook/process/completion"
	"github.com/corianderhook/corianderhook/request/size"
)

const (
	// waitWeight is the weight of an expected wait relative to an expected run time: waits
	// are less certain.
	waitWeight = 2
	// crossZoneCost is the extra round-trip time to an endpoint in another availability zone.
	crossZoneCost = 2 * time.Millisecond
	// lastCapacityCost is added if no second task of the same size would fit the endpoint:
	// another dispatcher may have used its capacity since the report. In process/replay, 5 to
	// 10 ms do about equally well.
	lastCapacityCost = 8 * time.Millisecond
	// defaultRunTime is the assumed run time of the running tasks if their completion rate is
	// not known.
	defaultRunTime = 100 * time.Millisecond
)

// Candidate is a dispatcher's current view of an endpoint.
type Candidate struct {
	Name     string
	Labels   []string
	Capacity size.Size
	Free     size.Size
	// QueuedWork is the queued work per band of slack, in millicore-milliseconds.
	QueuedWork [backlog.Bands]float64
	Running    int
	// Completions is the rate at which running tasks end.
	Completions completion.Rate
	// Slowness is the run time relative to the median endpoint.
	Slowness  float64
	OtherZone bool
	// StepTasks is the number of tasks of the job's step that the endpoint already has.
	StepTasks int
	// FailureRate is the share of the endpoint's recent tasks that failed.
	FailureRate float64
	// Beside is what it costs to put a task beside those that run at the endpoint.
	Beside Beside
}

// Add accounts for a task that has been sent to the candidate.
func (c *Candidate) Add(s size.Size, slack time.Duration, expected time.Duration) {
	if c.StartsAtOnce(s, slack) {
		c.Free = c.Free.Minus(s)
		c.Completions.Add(expected, 0)
		c.Running++
		return
	}
	c.QueuedWork[backlog.Band(slack)] += float64(s.CPU) * float64(expected.Milliseconds())
}

// workAhead returns the queued work that goes before a task with the given slack, in
// millicore-milliseconds.
func (c *Candidate) workAhead(slack time.Duration) float64 {
	work := 0.0
	for _, w := range c.QueuedWork[:backlog.Band(slack)+1] {
		work += w
	}
	return work
}

// StartsAtOnce reports whether a task of the given size and slack would start without
// waiting.
func (c *Candidate) StartsAtOnce(s size.Size, slack time.Duration) bool {
	return c.workAhead(slack) == 0 && s.Fits(c.Free)
}

// Wait returns the expected time until a task of the given size and slack starts.
func (c *Candidate) Wait(s size.Size, slack time.Duration) time.Duration {
	workAhead := c.workAhead(slack)
	if workAhead == 0 && s.Fits(c.Free) {
		return 0
	}
	first := c.Completions.UntilNext()
	if first == 0 {
		first = defaultRunTime / time.Duration(c.Running+1)
	}
	queue := time.Duration(c.Slowness * workAhead / float64(max(1, c.Capacity.CPU)) * float64(time.Millisecond))
	return first + queue
}

// Request is one task that needs an endpoint.
type Request struct {
	Number int
	Size   size.Size
	// Slack is the time left until the latest start at which the job is on time.
	Slack time.Duration
	// Expected is the expected run time on the median endpoint.
	Expected time.Duration
	// RequiredLabel is a label that the endpoint must have; empty means none.
	RequiredLabel string
	// DataLabel marks the endpoints that are near the task's data.
	DataLabel string
	// Avoid lists the endpoints where the task has failed. They are used only if no other
	// endpoint can take it.
	Avoid []string
	// MaxPerEndpoint limits the tasks of the step on one endpoint; 0 means no limit.
	MaxPerEndpoint int
}

// Choice is the endpoint chosen for a task.
type Choice struct {
	Number int
	Agent  string
	Wait   time.Duration
	// Completion is the expected time until the task ends.
	Completion time.Duration
}

// remoteDataFactor is how much longer a task runs on an endpoint that is not near its
// data, as documented by the platform.
const remoteDataFactor = 1.5

// Choose assigns an endpoint to each request and updates the candidates. It returns false
// if a request fits nowhere.
func Choose(requests []Request, candidates []Candidate) ([]Choice, bool) {
	choices := make([]Choice, 0, len(requests))
	for _, r := range requests {
		best, found := bestCandidate(r, candidates)
		if !found {
			return choices, false
		}
		c := &candidates[best]
		wait, run := c.Wait(r.Size, r.Slack), c.RunTime(r)
		choices = append(choices, Choice{Number: r.Number, Agent: c.Name, Wait: wait, Completion: wait + run})
		c.Add(r.Size, r.Slack, r.Expected)
		c.StepTasks++
		c.Beside = c.Beside.next()
	}
	return choices, true
}

// RunTime returns the expected run time of the request on the candidate, including the
// extra network time to another zone.
func (c *Candidate) RunTime(r Request) time.Duration {
	run := time.Duration(float64(r.Expected) * c.Slowness)
	if r.DataLabel != "" && !slices.Contains(c.Labels, r.DataLabel) {
		run = time.Duration(float64(run) * remoteDataFactor)
	}
	if c.OtherZone {
		run += crossZoneCost
	}
	return run
}

// rank orders the candidates for a request. Endpoints where it has not failed go before
// those where it has, and those that start it at once and end it on time go before all others:
// a task that waits for a faster endpoint despite free capacity would count as backlog, for
// which other jobs are refused.
type rank struct {
	failed         bool
	missesDeadline bool
	// slowedTooMuch is set if the task would be late only for its neighbors.
	slowedTooMuch bool
	cost          time.Duration
}

func (a rank) betterThan(b rank) bool {
	switch {
	case a.failed != b.failed:
		return b.failed
	case a.missesDeadline != b.missesDeadline:
		return b.missesDeadline
	case a.slowedTooMuch != b.slowedTooMuch:
		return b.slowedTooMuch
	}
	return a.cost < b.cost
}

func bestCandidate(r Request, candidates []Candidate) (best int, found bool) {
	var bestRank rank
	for i := range candidates {
		c := &candidates[i]
		if !c.Eligible(r) {
			continue
		}
		ranked := rank{failed: slices.Contains(r.Avoid, c.Name), missesDeadline: !c.MeetsDeadline(r), cost: c.cost(r)}
		if !ranked.missesDeadline && c.Beside != (Beside{}) {
			ranked.cost += c.Beside.cost(c.RunTime(r))
			ranked.slowedTooMuch = c.timeToSuccess(r)+c.Beside.delay(c.RunTime(r)) > r.Slack+r.Expected
		}
		if !found || ranked.betterThan(bestRank) {
			best, bestRank, found = i, ranked, true
		}
	}
	return best, found
}

// MeetsDeadline reports whether the request starts at once on the candidate and ends on
// time.
func (c *Candidate) MeetsDeadline(r Request) bool {
	return c.StartsAtOnce(r.Size, r.Slack) && c.timeToSuccess(r) <= r.Slack+r.Expected
}

// timeToSuccess returns the expected time from the first start of the request to its
// success. At a failure rate of p this takes 1/(1-p) runs. Without this factor, an endpoint
// that fails its tasks immediately would always be free and attract all tasks.
func (c *Candidate) timeToSuccess(r Request) time.Duration {
	return time.Duration(float64(c.RunTime(r)) / (1 - c.FailureRate))
}

// cost returns the weighted time that the request is expected to take on the candidate.
func (c *Candidate) cost(r Request) time.Duration {
	cost := waitWeight*c.Wait(r.Size, r.Slack) + c.timeToSuccess(r)
	if !r.Size.Fits(c.Free.Minus(r.Size)) {
		cost += lastCapacityCost
	}
	return cost
}

// Eligible reports whether the endpoint can ever take the request: its capacity, labels and
// the limit per endpoint allow it.
func (c *Candidate) Eligible(r Request) bool {
	return r.Size.Fits(c.Capacity) &&
		(r.RequiredLabel == "" || slices.Contains(c.Labels, r.RequiredLabel)) &&
		(r.MaxPerEndpoint == 0 || c.StepTasks < r.MaxPerEndpoint)
}

// BacklogTime returns how long the endpoints together need for the queued work that can
// still be on time.
func BacklogTime(candidates []Candidate) time.Duration {
	work, rate := 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		for _, w := range c.QueuedWork[:backlog.Bands-1] {
			work += w
		}
		rate += float64(c.Capacity.CPU) / c.Slowness
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(work / rate * float64(time.Millisecond))
}

// LongestWait returns the longest wait of the choices.
func LongestWait(choices []Choice) time.Duration {
	var longest time.Duration
	for _, c := range choices {
		longest = max(longest, c.Wait)
	}
	return longest
}

// Makespan returns the time until the last of the choices ends.
func Makespan(choices []Choice) time.Duration {
	var latest time.Duration
	for _, c := range choices {
		latest = max(latest, c.Completion)
	}
	return latest
}
