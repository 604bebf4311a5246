package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/wire"
)

// A task that an endpoint cannot start at once is returned and goes to another endpoint.
// After two returns it waits in a queue, so that it does not move around for ever.
func TestReturnedTaskMovesThenQueues(t *testing.T) {
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
		i.Equal(last.GetAtOnce(), n < maxAtOnceReturns)
		if n == maxAtOnceReturns {
			break
		}
		f := eventFrame(last.GetTasks()[0].GetRef(), wire.TaskEventKind_TASK_EVENT_KIND_RETURNED)
		f.Room = &wire.Room{Free: &wire.Size{Cpu: 0, Memory: 1000}, Running: 4, NextEndUs: 40_000}
		f.Seen = h.frameNumber
		s.HandleFrame(at, f)
	}
	i.Equal(len(seen), 3)
	i.Equal(len(*answers), 0)
}

// The agent may queue a task that is expected to wait, instead of returning it.
func TestTaskExpectedToWaitIsNotOfferedAtOnce(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	s.HandleFrame("a", &wire.SidecarFrame{Room: &wire.Room{Free: &wire.Size{Cpu: 0, Memory: 1000}, Running: 4, NextEndUs: 8_000}})
	submit(t, s, "job", 1, time.Second)
	i.Equal(len(h.offers["a"]), 1)
	i.True(!h.offers["a"][0].GetAtOnce())
}
