package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/corianderhook/corianderhook/process/queue"
)

// noon is when the tests choose. What waits since longAgo is a backlog.
var (
	noon    = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	longAgo = noon.Add(-time.Minute)
)

type weights map[string]float64

func (w weights) KindWeight(kind string) float64 { return max(w[kind], 1) }
func (w weights) TeamWeight(team string) float64 { return max(w[team], 1) }

func take(q *queue.Queue, count int) map[string]int {
	got := map[string]int{}
	for range count {
		c, ok := q.Next(noon)
		if !ok {
			break
		}
		got[c.Kind]++
		got[c.Kind+"/"+c.Team]++
		got[c.Source]++
	}
	return got
}

func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	q := queue.New(weights{"urgent": 3})
	q.SetWaiting("e1", "urgent", "a", 1000, longAgo)
	q.SetWaiting("e1", "bulk", "a", 1000, longAgo)
	q.SetWaiting("e2", "bulk", "b", 1000, longAgo)
	got := take(q, 400)
	is.Equal(got["urgent"], 300)
	is.Equal(got["bulk/a"], 50)
	is.Equal(got["bulk/b"], 50)
}

func TestUnusedShareIsRedistributed(t *testing.T) {
	is := is.New(t)
	q := queue.New(weights{"urgent": 3})
	q.SetWaiting("e1", "bulk", "a", 10, longAgo)
	is.Equal(take(q, 10)["bulk"], 10)
	is.Equal(q.Waiting(), 0)
	_, ok := q.Next(noon)
	is.True(!ok)
}

func TestIdleKindAccruesNoCredit(t *testing.T) {
	is := is.New(t)
	q := queue.New(weights{})
	q.SetWaiting("e1", "bulk", "a", 10_000, longAgo)
	take(q, 1000)
	q.SetWaiting("e1", "late", "a", 1000, longAgo)
	got := take(q, 100)
	is.True(got["late"] >= 49 && got["late"] <= 51)
}

func TestLongTasksAreChargedTheirServiceTime(t *testing.T) {
	is := is.New(t)
	q := queue.New(weights{})
	q.ObserveServiceTime("long", "a", 1)
	q.ObserveServiceTime("short", "a", 0.1)
	q.SetWaiting("e1", "long", "a", 1000, longAgo)
	q.SetWaiting("e1", "short", "a", 1000, longAgo)
	got := take(q, 110)
	is.True(got["short"] >= 99 && got["short"] <= 101)
}

func TestSourcesAreServedRoundRobin(t *testing.T) {
	is := is.New(t)
	q := queue.New(weights{})
	q.SetWaiting("e1", "k", "a", 100, longAgo)
	q.SetWaiting("e2", "k", "a", 100, longAgo.Add(time.Second))
	is.Equal(take(q, 100)["e1"], 50)
}

func TestDroppedSourceIsNotChosen(t *testing.T) {
	is := is.New(t)
	q := queue.New(weights{})
	q.SetWaiting("e1", "k", "a", 100, longAgo)
	q.SetWaiting("e2", "k", "a", 50, longAgo.Add(time.Second))
	q.DropSource("e1")
	is.Equal(take(q, 100)["e2"], 50)
}

func TestShortQueueIsServedInOrderOfArrival(t *testing.T) {
	is := is.New(t)
	q := queue.New(weights{})
	q.SetWaiting("e1", "k", "a", 4, noon.Add(-60*time.Millisecond))
	q.SetWaiting("e1", "k", "b", 4, noon.Add(-50*time.Millisecond))
	is.Equal(take(q, 4)["k/a"], 4)
	is.Equal(take(q, 4)["k/b"], 4)
}

// TestCalmLeavesNoLongDebt lets a team run ahead of its share while all is calm,
// for as long as it likes, and then compares it in a backlog.
func TestOrderOfArrivalLeavesBoundedDebt(t *testing.T) {
	is := is.New(t)
	q := queue.New(weights{})
	for range 1000 {
		q.SetWaiting("e1", "k", "a", 2, noon.Add(-60*time.Millisecond))
		q.SetWaiting("e1", "k", "b", 1, noon.Add(-50*time.Millisecond))
		is.Equal(take(q, 1)["k/a"], 1)
	}
	q.SetWaiting("e1", "k", "a", 1000, longAgo)
	q.SetWaiting("e1", "k", "b", 1000, longAgo)
	is.True(take(q, 100)["k/a"] >= 45)
}

func TestHigherWeightKindGoesFirst(t *testing.T) {
	is := is.New(t)
	q := queue.New(weights{"urgent": 8, "plain": 4})
	q.SetWaiting("e1", "bulk", "a", 1000, longAgo)
	take(q, 100)
	q.SetWaiting("e1", "plain", "a", 1, noon)
	q.SetWaiting("e1", "urgent", "a", 1, noon)
	is.Equal(take(q, 1)["urgent"], 1)
	is.Equal(take(q, 1)["plain"], 1)
}

func TestTeamIsChargedForItsOwnTasks(t *testing.T) {
	is := is.New(t)
	q := queue.New(weights{})
	for range 100 {
		q.ObserveServiceTime("k", "long", 1)
		q.ObserveServiceTime("k", "short", 0.1)
	}
	q.SetWaiting("e1", "k", "long", 1000, longAgo)
	q.SetWaiting("e1", "k", "short", 1000, longAgo)
	got := take(q, 110)
	is.True(got["k/short"] >= 99 && got["k/short"] <= 101)
}

// TestNothingIsLostOrMadeUp compares the queue with a plain count.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New(weights{"k1": 5, "t2": 2})
		counts := map[queue.Choice]int{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			c := queue.Choice{
				Source: fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "source")),
				Kind:   fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "kind")),
				Team:   fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "team")),
			}
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				n := rapid.IntRange(0, 5).Draw(t, "count")
				q.SetWaiting(c.Source, c.Kind, c.Team, n, longAgo)
				counts[c] = n
			case 1:
				q.DropSource(c.Source)
				for other := range counts {
					if other.Source == c.Source {
						counts[other] = 0
					}
				}
			default:
				if got, ok := q.Next(noon); ok {
					counts[got]--
				}
			}
			total := 0
			for c, n := range counts {
				if n < 0 {
					t.Fatalf("%v was chosen more often than it waited", c)
				}
				total += n
			}
			if q.Waiting() != total {
				t.Fatalf("queue has %d tasks, %d wait", q.Waiting(), total)
			}
		}
	})
}

// BenchmarkNext measures one choice among flows with 10,000 waiting tasks.
func BenchmarkNext(b *testing.B) {
	for _, teams := range []int{10, 640} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q := queue.New(weights{"k0": 8})
			for i := range teams {
				q.SetWaiting("e", fmt.Sprint("k", i%4), fmt.Sprint("t", i), max(1, 10_000/teams), longAgo)
			}
			b.ReportAllocs()
			for b.Loop() {
				c, _ := q.Next(noon)
				q.SetWaiting(c.Source, c.Kind, c.Team, max(1, 10_000/teams), longAgo)
			}
		})
	}
}
