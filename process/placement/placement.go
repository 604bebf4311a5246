// Package placement chooses endpoints for the tasks of a job and foretells when
// the last of them ends. It answers two loads: with room everywhere, the fastest
// endpoints go first, since a job is as late as its slowest task; with room nowhere,
// the tasks spread over the shortest queues, so that a wide job waits for one end
// at each of many endpoints and not for many ends at one. It does no I/O.
package placement

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/backlog"
	"github.com/corianderhook/corianderhook/process/residual"
	"github.com/corianderhook/corianderhook/request/size"
)

const (
	// waitWeight makes a wait that is only foretold count for more than a run time.
	waitWeight = 2
	// farCost is the extra time to an endpoint in another availability zone, both ways.
	farCost = 2 * time.Millisecond
	// tightCost is added where a task takes the last room of an endpoint: another
	// dispatcher may have taken it since the report. By process/replay, where 5 to 10 ms
	// earn about the same.
	tightCost = 8 * time.Millisecond
	// ordinaryRun is the run time of tasks where nothing is known.
	ordinaryRun = 100 * time.Millisecond
)

// Candidate is an endpoint as the dispatcher believes it to be.
type Candidate struct {
	Name     string
	Labels   []string
	Capacity size.Size
	Free     size.Size
	// Queued is the work that waits per band of slack, in millicore-milliseconds.
	QueuedWork [backlog.Bands]float64
	Running    int
	// Ends is how soon running tasks end.
	Completions residual.CompletionRate
	Slowness    float64
	OtherZone   bool
	// Taken is how many tasks of the step it has.
	StepTasks int
	// Failing is the share of its last tasks that failed.
	FailureRate float64
}

// Add counts a task that is on its way to the candidate.
func (c *Candidate) Add(s size.Size, slack time.Duration, expected time.Duration) {
	if c.StartsAtOnce(s, slack) {
		c.Free = c.Free.Minus(s)
		c.Completions.Add(expected, 0)
		c.Running++
		return
	}
	c.QueuedWork[backlog.Band(slack)] += float64(s.CPU) * float64(expected.Milliseconds())
}

// ahead is the work that goes before a task of the slack.
func (c *Candidate) ahead(slack time.Duration) float64 {
	work := 0.0
	for _, w := range c.QueuedWork[:backlog.Band(slack)+1] {
		work += w
	}
	return work
}

// Takes reports whether a task of the size and slack would start at once.
func (c *Candidate) StartsAtOnce(s size.Size, slack time.Duration) bool {
	return c.ahead(slack) == 0 && s.Fits(c.Free)
}

// Wait returns the expected time until a task of the size and slack starts.
func (c *Candidate) Wait(s size.Size, slack time.Duration) time.Duration {
	ahead := c.ahead(slack)
	if ahead == 0 && s.Fits(c.Free) {
		return 0
	}
	first := c.Completions.UntilNext()
	if first == 0 {
		first = ordinaryRun / time.Duration(c.Running+1)
	}
	queue := time.Duration(c.Slowness * ahead / float64(max(1, c.Capacity.CPU)) * float64(time.Millisecond))
	return first + queue
}

// Request is one task that needs an endpoint.
type Request struct {
	Number int
	Size   size.Size
	// Slack is the time that is left for a start that is on time.
	Slack         time.Duration
	Expected      time.Duration
	RequiredLabel string
	DataLabel     string
	// Avoid are endpoints where the task has failed: it goes there only where no other
	// can take it.
	Avoid []string
	// Spread is the most tasks of the step on one endpoint; 0 is no limit.
	MaxPerEndpoint int
}

// Choice is where a task goes.
type Choice struct {
	Number int
	Agent  string
	Wait   time.Duration
	// Ends is the expected time until the task has ended.
	Completion time.Duration
}

// farFactor is how much longer a task takes away from its data; the platform's
// pages give it.
const farFactor = 1.5

// Choose gives each request an endpoint and updates the candidates. Where some
// request fits nowhere the result is false.
func Choose(requests []Request, candidates []Candidate) ([]Choice, bool) {
	choices := make([]Choice, 0, len(requests))
	for _, r := range requests {
		best, found := pick(r, candidates)
		if !found {
			return choices, false
		}
		c := &candidates[best]
		wait, run := c.Wait(r.Size, r.Slack), c.RunTime(r)
		choices = append(choices, Choice{Number: r.Number, Agent: c.Name, Wait: wait, Completion: wait + run})
		c.Add(r.Size, r.Slack, r.Expected)
		c.StepTasks++
	}
	return choices, true
}

// Run is how long the request runs here.
func (c *Candidate) RunTime(r Request) time.Duration {
	run := time.Duration(float64(r.Expected) * c.Slowness)
	if r.DataLabel != "" && !slices.Contains(c.Labels, r.DataLabel) {
		run = time.Duration(float64(run) * farFactor)
	}
	if c.OtherZone {
		run += farCost
	}
	return run
}

// rank orders what a request may get: an endpoint where it has not failed goes before one
// where it has, and room that serves it in time before any queue. A task that waits for a
// faster endpoint while there is room counts as backlog, for which others are refused.
type rank struct {
	failed bool
	queues bool
	cost   time.Duration
}

func (a rank) before(b rank) bool {
	switch {
	case a.failed != b.failed:
		return b.failed
	case a.queues != b.queues:
		return b.queues
	}
	return a.cost < b.cost
}

func pick(r Request, candidates []Candidate) (best int, found bool) {
	var first rank
	for i := range candidates {
		c := &candidates[i]
		if !c.Eligible(r) {
			continue
		}
		own := rank{failed: slices.Contains(r.Avoid, c.Name), queues: !c.MeetsDeadline(r), cost: c.cost(r)}
		if !found || own.before(first) {
			best, first, found = i, own, true
		}
	}
	return best, found
}

// InTime reports whether the request starts at once here and is on time.
func (c *Candidate) MeetsDeadline(r Request) bool {
	return c.StartsAtOnce(r.Size, r.Slack) && c.attempts(r) <= r.Slack+r.Expected
}

// attempts is the time until the request has ended well once it has started. Where p of the
// tasks fail, it takes 1/(1-p) runs: an endpoint that fails at once is always free, and
// would draw all work.
func (c *Candidate) attempts(r Request) time.Duration {
	return time.Duration(float64(c.RunTime(r)) / (1 - c.FailureRate))
}

// cost is what a request has to expect of an endpoint.
func (c *Candidate) cost(r Request) time.Duration {
	cost := waitWeight*c.Wait(r.Size, r.Slack) + c.attempts(r)
	if !r.Size.Fits(c.Free.Minus(r.Size)) {
		cost += tightCost
	}
	return cost
}

// Allows reports whether the endpoint may take the request at all.
func (c *Candidate) Eligible(r Request) bool {
	return r.Size.Fits(c.Capacity) &&
		(r.RequiredLabel == "" || slices.Contains(c.Labels, r.RequiredLabel)) &&
		(r.MaxPerEndpoint == 0 || c.StepTasks < r.MaxPerEndpoint)
}

// Backlog returns how long the endpoints together need for the work that waits and
// can still be on time.
func BacklogTime(candidates []Candidate) time.Duration {
	waits, rate := 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		for _, w := range c.QueuedWork[:backlog.Bands-1] {
			waits += w
		}
		rate += float64(c.Capacity.CPU) / c.Slowness
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(waits / rate * float64(time.Millisecond))
}

// Longest returns the longest wait of the choices.
func LongestWait(choices []Choice) time.Duration {
	var longest time.Duration
	for _, c := range choices {
		longest = max(longest, c.Wait)
	}
	return longest
}

// Latest returns the time until the last of the choices has ended.
func Makespan(choices []Choice) time.Duration {
	var latest time.Duration
	for _, c := range choices {
		latest = max(latest, c.Completion)
	}
	return latest
}
