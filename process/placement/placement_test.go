package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/completion"
	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/request/size"
)

func candidate(name string, free int) placement.Candidate {
	return placement.Candidate{
		Name: name, Capacity: size.Size{CPU: 32000, Memory: 1000}, Free: size.Size{CPU: free, Memory: 1000},
		Running: 10, Completions: completion.FromNext(20 * time.Millisecond), Slowness: 1,
	}
}

func tasks(count int) []placement.Request {
	list := make([]placement.Request, count)
	for n := range list {
		list[n] = placement.Request{Number: n, Size: size.Size{CPU: 3000, Memory: 10}, Slack: 80 * time.Millisecond, Expected: 60 * time.Millisecond}
	}
	return list
}

func countByAgent(choices []placement.Choice) map[string]int {
	counts := map[string]int{}
	for _, c := range choices {
		counts[c.Agent]++
	}
	return counts
}

func TestFastEndpointsWithFreeCapacityGoFirst(t *testing.T) {
	i := is.New(t)
	fast := candidate("fast", 6000)
	fast.Slowness = 0.7
	choices, fits := placement.Choose(tasks(3), []placement.Candidate{candidate("slow", 32000), fast})
	i.True(fits)
	i.Equal(countByAgent(choices), map[string]int{"fast": 2, "slow": 1})
	i.Equal(placement.LongestWait(choices), time.Duration(0))
	i.Equal(placement.Makespan(choices), 60*time.Millisecond)
}

func TestWideJobSpreadsOverQueues(t *testing.T) {
	i := is.New(t)
	choices, fits := placement.Choose(tasks(4), []placement.Candidate{candidate("a", 0), candidate("b", 0), candidate("c", 0), candidate("d", 0)})
	i.True(fits)
	i.Equal(len(countByAgent(choices)), 4)
	i.True(placement.LongestWait(choices) > 0)
}

func TestLabelsSpreadAndCapacityAreRespected(t *testing.T) {
	i := is.New(t)
	labelled := candidate("a", 32000)
	labelled.Labels = []string{"gpu"}
	candidates := func() []placement.Candidate { return []placement.Candidate{labelled, candidate("b", 32000)} }
	list := tasks(2)
	list[0].RequiredLabel, list[1].RequiredLabel = "gpu", "gpu"
	choices, fits := placement.Choose(list, candidates())
	i.True(fits)
	i.Equal(countByAgent(choices), map[string]int{"a": 2})
	list[0].RequiredLabel = "other"
	_, fits = placement.Choose(list, candidates())
	i.True(!fits)
	list = tasks(3)
	for n := range list {
		list[n].MaxPerEndpoint = 1
	}
	_, fits = placement.Choose(list, candidates())
	i.True(!fits)
	list = tasks(1)
	list[0].Size.CPU = 33000
	_, fits = placement.Choose(list, candidates())
	i.True(!fits)
}

func TestWaitCountsOnlyWorkOfEarlierBands(t *testing.T) {
	i := is.New(t)
	c := candidate("a", 0)
	c.Add(size.Size{CPU: 32000}, 600*time.Millisecond, 900*time.Millisecond)
	short, long := c.Wait(size.Size{CPU: 3000}, 80*time.Millisecond), c.Wait(size.Size{CPU: 3000}, 700*time.Millisecond)
	i.True(short < 50*time.Millisecond)
	i.True(long > 800*time.Millisecond)
	i.Equal(placement.BacklogTime([]placement.Candidate{c}), 900*time.Millisecond)
}

// BenchmarkChoose places a job of mean width on the endpoints of a large site.
func BenchmarkChoose(b *testing.B) {
	list := tasks(8)
	initial := make([]placement.Candidate, 66)
	for n := range initial {
		initial[n] = candidate(fmt.Sprint(n), 4000)
	}
	work := make([]placement.Candidate, len(initial))
	b.ReportAllocs()
	for b.Loop() {
		copy(work, initial)
		placement.Choose(list, work)
	}
}

// A task avoids an endpoint where it has failed, even if it has to wait elsewhere. It
// returns there only if no other endpoint can take it.
func TestTaskAvoidsEndpointsWhereItFailed(t *testing.T) {
	i := is.New(t)
	list := tasks(1)
	list[0].Avoid = []string{"free"}
	choices, fits := placement.Choose(list, []placement.Candidate{candidate("free", 32000), candidate("full", 0)})
	i.True(fits)
	i.Equal(choices[0].Agent, "full")
	choices, fits = placement.Choose(list, []placement.Candidate{candidate("free", 32000)})
	i.True(fits)
	i.Equal(choices[0].Agent, "free")
}

// An endpoint that fails its tasks immediately is always free; it must not attract tasks
// by that.
func TestFailingEndpointAttractsNoTasks(t *testing.T) {
	i := is.New(t)
	failing := candidate("failing", 32000)
	failing.FailureRate = 0.8
	choices, fits := placement.Choose(tasks(3), []placement.Candidate{failing, candidate("sound", 0)})
	i.True(fits)
	i.Equal(countByAgent(choices), map[string]int{"sound": 3})
}

// A task can run on a slower endpoint with free capacity or wait for a faster one, where it
// would end sooner. It waits only if it would be late on the slower one.
func TestFreeCapacityInTimeIsPreferredToQueue(t *testing.T) {
	for name, c := range map[string]struct {
		slack   time.Duration
		failing float64
		want    string
	}{
		"it ends on time on the slower one":   {300 * time.Millisecond, 0, "slow"},
		"it would be late on the slower one":  {100 * time.Millisecond, 0, "fast"},
		"the slower one mostly fails":         {300 * time.Millisecond, 0.8, "fast"},
		"it would be late on either endpoint": {-50 * time.Millisecond, 0, "fast"},
	} {
		t.Run(name, func(t *testing.T) {
			fast, slow := candidate("fast", 0), candidate("slow", 32000)
			slow.Slowness, slow.FailureRate = 1.25, c.failing
			choices, fits := placement.Choose([]placement.Request{
				{Size: size.Size{CPU: 3000, Memory: 10}, Slack: c.slack, Expected: 800 * time.Millisecond},
			}, []placement.Candidate{fast, slow})
			is.New(t).True(fits)
			is.New(t).Equal(choices[0].Agent, c.want)
		})
	}
}
