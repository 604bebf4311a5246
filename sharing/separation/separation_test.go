package separation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/sharing/interference"
	"github.com/corianderhook/corianderhook/wire"
)

var start = time.Unix(1_700_000_000, 0)

func everyone(string) bool { return true }

// slowing returns an estimate with a standard error of 0.1 from 20 pairs.
func slowing(queue, neighbor string, factor float64) *wire.Slowings {
	return &wire.Slowings{List: []*wire.Slowing{{
		Queue: interference.Hash(queue), Neighbor: interference.Hash(neighbor), LogPermille: int32(1000 * math.Log(factor)), ErrorPermille: 100, Pairs: 20,
	}}}
}

func room(queues ...string) *wire.Room {
	r := &wire.Room{}
	for _, queue := range queues {
		r.Queues, r.QueueTasks = append(r.Queues, interference.Hash(queue)), append(r.QueueTasks, 2)
	}
	return r
}

// learned returns a view in which some agents have reported an estimate, and its decision.
func learned(agents int, s *wire.Slowings) (*View, []Change) {
	v := New()
	v.Apply("short", nil)
	v.Apply("long", nil)
	for n := range agents {
		v.Update(fmt.Sprint("agent-", n), room(), s, 0, start)
	}
	return v, v.Tick(start, everyone)
}

func TestPairIsKeptApartAfterSeveralEndpoints(t *testing.T) {
	i := is.New(t)
	v, changes := learned(6, slowing("short", "long", 1.8))
	i.Equal(len(changes), 1)
	i.Equal(changes[0].Queue+" beside "+changes[0].Neighbor, "short beside long")
	i.True(changes[0].Apart && changes[0].Pairs == 120 && changes[0].Endpoints == 6)
	i.Equal(v.KeptCount(), 1)
	// One endpoint may have a cause of its own, and few runs tell little.
	one := slowing("short", "long", 1.8)
	one.List[0].ErrorPermille, one.List[0].Pairs = 1, 1000
	for _, s := range []*wire.Slowings{one, slowing("short", "long", 1.2)} {
		v, _ = learned(1, s)
		i.Equal(v.KeptCount(), 0)
	}
	v, _ = learned(30, slowing("short", "long", 1.1))
	i.Equal(v.KeptCount(), 0)
}

func TestPairIsReleased(t *testing.T) {
	i := is.New(t)
	v, _ := learned(6, slowing("short", "long", 1.8))
	// The interference has ended.
	for n := range 6 {
		v.Update(fmt.Sprint("agent-", n), room(), slowing("short", "long", 1), 0, start.Add(5*time.Second))
	}
	changes := v.Tick(start.Add(5*time.Second), everyone)
	i.Equal(len(changes), 1)
	i.Equal(changes[0].Reason, "the run times are alike")
	// Nothing is known any more, as the queues do not meet.
	v, _ = learned(6, slowing("short", "long", 1.8))
	for n := range 6 {
		v.Update(fmt.Sprint("agent-", n), room(), &wire.Slowings{}, 0, start.Add(5*time.Second))
	}
	i.Equal(len(v.Tick(start.Add(5*time.Second), everyone)), 0)
	changes = v.Tick(start.Add(holdTime+time.Second), everyone)
	i.Equal(len(changes), 1)
	i.True(changes[0].Reason != "the run times are alike")
	// The agents have gone.
	v, _ = learned(6, slowing("short", "long", 1.8))
	v.Tick(start.Add(time.Second), func(string) bool { return false })
	i.Equal(len(v.agents), 0)
}

// candidates returns two endpoints with room for three tasks; the second is slower.
func candidates() []placement.Candidate {
	free := size.Size{CPU: 3000, Memory: 1000}
	return []placement.Candidate{
		{Name: "agent-0", Capacity: free, Free: free, Slowness: 1}, {Name: "agent-1", Capacity: free, Free: free, Slowness: 1.1},
	}
}

func choose(t *testing.T, list []placement.Candidate, slack time.Duration) string {
	t.Helper()
	choices, found := placement.Choose([]placement.Request{{Size: size.Size{CPU: 1000, Memory: 10}, Slack: slack, Expected: 100 * time.Millisecond}}, list)
	if !found {
		t.Fatal("the task is refused")
	}
	return choices[0].Agent
}

// A task goes where it neither is slowed nor slows others, but does not wait or come late for it.
func TestTasksAreSeparatedWhereThereIsRoom(t *testing.T) {
	i := is.New(t)
	v, _ := learned(2, slowing("short", "long", 3))
	v.Update("agent-0", room("long"), nil, 0, start)
	list := candidates()
	v.Apply("short", list)
	i.Equal(choose(t, list, time.Second), "agent-1")
	// Tasks that were sent there and are not reported yet count as well.
	v.Update("agent-0", room(), nil, 1, start)
	v.RecordSent("agent-0", 2, "long")
	list = candidates()
	v.Apply("short", list)
	i.Equal(choose(t, list, time.Second), "agent-1")
	// The other endpoint has no room, or would end the task too late.
	list = candidates()
	v.Apply("short", list)
	list[1].Free = size.Size{}
	i.Equal(choose(t, list, time.Second), "agent-0")
	list = candidates()
	v.Apply("short", list)
	i.Equal(choose(t, list, 5*time.Millisecond), "agent-0")
	// The slowing queue keeps away from those that it slows.
	v.Update("agent-0", room("short"), nil, 2, start)
	list = candidates()
	v.Apply("long", list)
	i.Equal(choose(t, list, time.Second), "agent-1")
	list = candidates()
	v.Apply("other", list)
	i.Equal(choose(t, list, time.Second), "agent-0")
}

// Harm to others does not make a task late that would be on time beside them.
func TestTaskIsNotMadeLateForOthers(t *testing.T) {
	i := is.New(t)
	for slack, agent := range map[time.Duration]string{20 * time.Millisecond: "agent-0", time.Second: "agent-1"} {
		list := candidates()
		list[0].Beside = placement.Beside{Others: 20}
		list[1].Beside = placement.Beside{Own: 0.8}
		i.Equal(choose(t, list, slack), agent)
	}
}

func TestSomePlansProbe(t *testing.T) {
	i := is.New(t)
	v, _ := learned(2, slowing("short", "long", 3))
	v.Update("agent-0", room("long"), nil, 0, start)
	together := 0
	for range 10 * probeEvery {
		list := candidates()
		v.Apply("short", list)
		if choose(t, list, time.Second) == "agent-0" {
			together++
		}
	}
	i.Equal(together, 10)
}

// However many queues are told of, few are kept apart, and a queue that is not costs nothing.
func TestManyPairsAreBounded(t *testing.T) {
	i := is.New(t)
	v := New()
	for n := range 640 {
		s := slowing(fmt.Sprint("team-", n), fmt.Sprint("team-", n/2), 2)
		for range 10 {
			s.List = append(s.List, s.GetList()[0])
		}
		v.Update(fmt.Sprint("agent-", n), room("team"), s, 0, start)
		v.Update(fmt.Sprint("agent-", n+1000), room("team"), s, 0, start)
	}
	v.Tick(start, everyone)
	i.Equal(v.KeptCount(), MaxKept)
	list := candidates()
	i.Equal(testing.AllocsPerRun(10, func() { v.Apply("other", list) }), 0.0)
}

func BenchmarkApply(b *testing.B) {
	v, _ := learned(300, slowing("short", "long", 2))
	list := make([]placement.Candidate, 300)
	for n := range list {
		list[n].Name = fmt.Sprint("agent-", n)
		v.Update(list[n].Name, room("long", "other", "third", "short"), nil, 0, start)
	}
	for _, queue := range []string{"short", "other"} {
		b.Run(queue, func(b *testing.B) {
			for b.Loop() {
				v.Apply(queue, list)
			}
		})
	}
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			v.mergedAt = time.Time{}
			v.Tick(start, everyone)
		}
	})
}
