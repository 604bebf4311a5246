package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/wire"
)

// Where an endpoint has no room after all, its task goes to another at once; after two
// such returns it waits in a queue, so that it does not go from one to the next for ever.
func TestTaskThatComesBackIsPlacedElsewhereThenWaits(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a", "b", "c")
	answers := submit(t, s, "job", 1, time.Second)
	at, seen := "", map[string]bool{}
	for n := range 3 {
		for _, agent := range []string{"a", "b", "c"} {
			if len(h.offers[agent]) > 0 && !seen[agent] {
				at = agent
			}
		}
		seen[at] = true
		last := h.offers[at][len(h.offers[at])-1]
		i.Equal(last.GetAtOnce(), n < mostBounces)
		if n == mostBounces {
			break
		}
		f := event(last.GetTasks()[0].GetRef(), wire.TaskEventKind_TASK_EVENT_KIND_RETURNED)
		f.Room = &wire.Room{Free: &wire.Size{Cpu: 0, Memory: 1000}, Running: 4, NextEndUs: 40_000}
		f.Seen = h.number
		s.HandleFrame(at, f)
	}
	i.Equal(len(seen), 3)
	i.Equal(len(*answers), 0)
}

// A task that is foretold to wait is not asked to come back.
func TestTaskThatIsForetoldToWaitStays(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	s.HandleFrame("a", &wire.SidecarFrame{Room: &wire.Room{Free: &wire.Size{Cpu: 0, Memory: 1000}, Running: 4, NextEndUs: 8_000}})
	submit(t, s, "job", 1, time.Second)
	i.Equal(len(h.offers["a"]), 1)
	i.True(!h.offers["a"][0].GetAtOnce())
}
