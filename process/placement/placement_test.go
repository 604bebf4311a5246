package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/process/residual"
	"github.com/corianderhook/corianderhook/request/size"
)

func candidate(name string, free int) placement.Candidate {
	return placement.Candidate{
		Name: name, Capacity: size.Size{CPU: 32000, Memory: 1000}, Free: size.Size{CPU: free, Memory: 1000},
		Running: 10, Completions: residual.FromNext(20 * time.Millisecond), Slowness: 1,
	}
}

func tasks(count int) []placement.Request {
	list := make([]placement.Request, count)
	for n := range list {
		list[n] = placement.Request{Number: n, Size: size.Size{CPU: 3000, Memory: 10}, Slack: 80 * time.Millisecond, Expected: 60 * time.Millisecond}
	}
	return list
}

func agents(choices []placement.Choice) map[string]int {
	counts := map[string]int{}
	for _, c := range choices {
		counts[c.Agent]++
	}
	return counts
}

func TestFastEndpointsWithRoomGoFirst(t *testing.T) {
	i := is.New(t)
	fast := candidate("fast", 6000)
	fast.Slowness = 0.7
	choices, fits := placement.Choose(tasks(3), []placement.Candidate{candidate("slow", 32000), fast})
	i.True(fits)
	i.Equal(agents(choices), map[string]int{"fast": 2, "slow": 1})
	i.Equal(placement.LongestWait(choices), time.Duration(0))
	i.Equal(placement.Makespan(choices), 60*time.Millisecond)
}

func TestWideJobSpreadsOverQueues(t *testing.T) {
	i := is.New(t)
	choices, fits := placement.Choose(tasks(4), []placement.Candidate{candidate("a", 0), candidate("b", 0), candidate("c", 0), candidate("d", 0)})
	i.True(fits)
	i.Equal(len(agents(choices)), 4)
	i.True(placement.LongestWait(choices) > 0)
}

func TestLabelsSpreadAndCapacityAreRespected(t *testing.T) {
	i := is.New(t)
	racked := candidate("a", 32000)
	racked.Labels = []string{"gpu"}
	all := func() []placement.Candidate { return []placement.Candidate{racked, candidate("b", 32000)} }
	list := tasks(2)
	list[0].RequiredLabel, list[1].RequiredLabel = "gpu", "gpu"
	choices, fits := placement.Choose(list, all())
	i.True(fits)
	i.Equal(agents(choices), map[string]int{"a": 2})
	list[0].RequiredLabel = "other"
	_, fits = placement.Choose(list, all())
	i.True(!fits)
	list = tasks(3)
	for n := range list {
		list[n].MaxPerEndpoint = 1
	}
	_, fits = placement.Choose(list, all())
	i.True(!fits)
	list = tasks(1)
	list[0].Size.CPU = 33000
	_, fits = placement.Choose(list, all())
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

// BenchmarkChoose places a job of the mean width on the endpoints of a grown site.
func BenchmarkChoose(b *testing.B) {
	list := tasks(8)
	fresh := make([]placement.Candidate, 66)
	for n := range fresh {
		fresh[n] = candidate(fmt.Sprint(n), 4000)
	}
	work := make([]placement.Candidate, len(fresh))
	b.ReportAllocs()
	for b.Loop() {
		copy(work, fresh)
		placement.Choose(list, work)
	}
}

// A task that has failed somewhere goes elsewhere, even to wait; only where nothing
// else can take it does it go there again.
func TestTaskAvoidsEndpointsWhereItFailed(t *testing.T) {
	i := is.New(t)
	one := tasks(1)
	one[0].Avoid = []string{"free"}
	choices, fits := placement.Choose(one, []placement.Candidate{candidate("free", 32000), candidate("full", 0)})
	i.True(fits)
	i.Equal(choices[0].Agent, "full")
	choices, fits = placement.Choose(one, []placement.Candidate{candidate("free", 32000)})
	i.True(fits)
	i.Equal(choices[0].Agent, "free")
}

// An endpoint that fails at once is always free.
func TestFailingEndpointAttractsNoTasks(t *testing.T) {
	i := is.New(t)
	failing := candidate("failing", 32000)
	failing.FailureRate = 0.8
	choices, fits := placement.Choose(tasks(3), []placement.Candidate{failing, candidate("sound", 0)})
	i.True(fits)
	i.Equal(agents(choices), map[string]int{"sound": 3})
}

// A long task and two endpoints: a fast one with a short queue, a slower one with room. The
// queue ends it sooner; it is left to those for whom the room would be too late.
func TestRoomInTimeIsPreferredToQueue(t *testing.T) {
	for name, c := range map[string]struct {
		slack   time.Duration
		failing float64
		want    string
	}{
		"the room serves it in time":           {300 * time.Millisecond, 0, "slow"},
		"the room would be too late":           {100 * time.Millisecond, 0, "fast"},
		"the endpoint with room mostly fails":  {300 * time.Millisecond, 0.8, "fast"},
		"no time is left, and the queue is it": {-50 * time.Millisecond, 0, "fast"},
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
