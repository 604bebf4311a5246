package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/wire"
)

// queueTasks submits jobs until one is refused, and returns the number of tasks that wait.
func queueTasks(t *testing.T, s *Scheduler) int {
	t.Helper()
	for n := range 1000 {
		if answers := submit(t, s, fmt.Sprintf("job-%d", n), 2, time.Second); len(*answers) > 0 {
			break
		}
	}
	return len(s.queued)
}

// Guards against too little served: under load, most reports are those of endpoints without room for
// the tasks that wait elsewhere, and looking at each of these tasks took most of the time to decide.
func TestReportWithoutRoomCostsNothingPerWaitingTask(t *testing.T) {
	i := is.New(t)
	var agents []string
	for n := range 20 {
		agents = append(agents, fmt.Sprintf("agent-%02d", n))
	}
	s, h := newScheduler(agents...)
	i.True(queueTasks(t, s) >= 50)
	h.now = h.now.Add(50 * time.Millisecond)
	full := &wire.SidecarFrame{Room: &wire.Room{Free: &wire.Size{Cpu: 1000, Memory: 1000}, Running: 4}}
	h.clockReads = 0
	s.HandleFrame("agent-00", full)
	i.Equal(len(h.withdraws), 0)
	if h.clockReads > 5 {
		t.Errorf("%d readings of the clock for one report while %d tasks wait", h.clockReads, len(s.queued))
	}
	if n := testing.AllocsPerRun(20, func() { s.HandleFrame("agent-00", full) }); n > 5 {
		t.Errorf("%.0f allocations for one report while %d tasks wait", n, len(s.queued))
	}
}
