package backlog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/backlog"
	"github.com/corianderhook/corianderhook/request/size"
)

func now() time.Time { return time.Unix(1_700_000_000, 0) }

func item(name string, urgency int, slack time.Duration, cpu int) backlog.Item {
	return backlog.Item{
		Name: name, Urgency: urgency, LatestStart: now().Add(slack), Expiry: now().Add(slack + time.Second),
		Size: size.Size{CPU: cpu}, Expected: 100 * time.Millisecond,
	}
}

func drain(b *backlog.Backlog) []string {
	var names []string
	for {
		i, found := b.Pop(size.Size{CPU: 1000}, now())
		if !found {
			return names
		}
		names = append(names, i.Name)
	}
}

func TestLeastSlackGoesFirstAndLateTasksLast(t *testing.T) {
	i := is.New(t)
	b := backlog.New()
	b.Add(item("late", 0, -time.Millisecond, 1))
	b.Add(item("long", 2, 600*time.Millisecond, 1))
	b.Add(item("short", 0, 80*time.Millisecond, 1))
	b.Add(item("same, urgent", 0, 600*time.Millisecond, 1))
	i.Equal(drain(b), []string{"short", "same, urgent", "long", "late"})
}

func TestLargeTaskIsNotOvertaken(t *testing.T) {
	i := is.New(t)
	b := backlog.New()
	b.Add(item("large", 0, 10*time.Millisecond, 2000))
	b.Add(item("small", 0, 20*time.Millisecond, 1))
	_, found := b.Pop(size.Size{CPU: 1000}, now())
	i.True(!found)
	i.Equal(b.Len(), 2)
	i.True(b.Remove("large"))
	i.True(!b.Remove("large"))
	i.Equal(drain(b), []string{"small"})
}

func TestPopExpiredRemovesOnlyExpiredTasks(t *testing.T) {
	i := is.New(t)
	b := backlog.New()
	b.Add(item("over", 0, -2*time.Second, 1))
	b.Add(item("late", 0, -500*time.Millisecond, 1))
	over := b.PopExpired(now())
	i.Equal(len(over), 1)
	i.Equal(over[0].Name, "over")
	i.Equal(b.Len(), 1)
}

func TestQueuedWorkPerBand(t *testing.T) {
	i := is.New(t)
	b := backlog.New()
	i.Equal(b.QueuedWork(now()), nil)
	b.Add(item("a", 0, 60*time.Millisecond, 3))
	b.Add(item("b", 0, -time.Millisecond, 1))
	queued := b.QueuedWork(now())
	i.Equal(queued[backlog.Band(60*time.Millisecond)], uint64(300))
	i.Equal(queued[backlog.Bands-1], uint64(100))
}
