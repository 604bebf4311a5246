package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/fleet"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

// fullReport returns the report of a full endpoint.
func (h *fakeHost) fullReport(slowness uint32, nextEnd time.Duration) *wire.SidecarFrame {
	return &wire.SidecarFrame{
		Endpoint: &wire.EndpointState{Service: "checks", Accepting: true, Capacity: &wire.Size{Cpu: 8000, Memory: 1000}},
		Room:     &wire.Room{Free: &wire.Size{Memory: 1000}, Running: 4, NextEndUs: uint32(nextEnd.Microseconds()), SlownessPercent: slowness},
		Seen:     h.frameNumber,
	}
}

// newWaitingTask returns a scheduler with a task of 100 ms that waits at the endpoint "full". A task
// ends at the endpoint "other", which is full too, after the given time.
func newWaitingTask(t *testing.T, stretch float64, takesBack bool, otherEnd time.Duration) (*Scheduler, *fakeHost) {
	t.Helper()
	i := is.New(t)
	h := &fakeHost{now: time.Unix(1_700_000_000, 0), offers: map[string][]*wire.Offer{}, disconnected: map[string]bool{}}
	s := New(h, fleet.New("z1"), func() uint64 { return 100 })
	if takesBack {
		WithSlowdowns()(s)
	}
	s.AttachAgent("full", "z1", nil, h.fullReport(0, 50*time.Millisecond))
	work, err := workload.New("job", "", []workload.Step{{Count: 1, Size: size.Size{CPU: 2000}, Estimate: 100 * time.Millisecond}})
	i.NoErr(err)
	s.Submit(Request{Work: work, Budget: 5 * time.Second, Reply: func(answer.Answer) {}, Queue: catalog.Queue{Name: "checks", Service: "checks", MaxAttempts: 2, Stretch: stretch, TargetLatency: 100 * time.Millisecond}})
	i.Equal(len(h.refs("full")), 1)
	s.AttachAgent("other", "z1", nil, h.fullReport(0, otherEnd))
	h.now = h.now.Add(20 * time.Millisecond)
	return s, h
}

// A task waits at a full endpoint that turns slow. It is taken back if it would be late there and
// another endpoint can still end it on time.
func TestTasksThatWaitAtASlowEndpointAreTakenBack(t *testing.T) {
	for name, c := range map[string]struct {
		on       bool
		slowness uint32
		// nextEnd is the time until a task ends at the other, full endpoint.
		nextEnd time.Duration
		detach  bool
		want    int
	}{
		"it would be late there":          {on: true, slowness: 500, nextEnd: 50 * time.Millisecond, want: 1},
		"it would still be on time":       {on: true, slowness: 160, nextEnd: 50 * time.Millisecond},
		"it would be late elsewhere too":  {on: true, slowness: 500, nextEnd: 900 * time.Millisecond},
		"the other endpoint has gone":     {on: true, slowness: 500, nextEnd: 50 * time.Millisecond, detach: true},
		"what waits is not looked at":     {slowness: 500, nextEnd: 50 * time.Millisecond},
		"the endpoint has its usual pace": {on: true, nextEnd: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s, h := newWaitingTask(t, 2, c.on, c.nextEnd)
			if c.detach {
				s.DetachAgent("other")
			}
			s.HandleFrame("full", h.fullReport(c.slowness, 50*time.Millisecond))
			i.Equal(len(h.withdraws), c.want)
			// A task that is being withdrawn is not withdrawn again.
			s.HandleFrame("full", h.fullReport(2*c.slowness, 50*time.Millisecond))
			if c.want > 0 {
				i.Equal(len(h.withdraws), c.want)
			}
		})
	}
}

// The runs under way show a slowness little by little. The task is taken back once it would be late.
func TestSlownessThatGrowsIsLookedAtAgain(t *testing.T) {
	i := is.New(t)
	s, h := newWaitingTask(t, 4, true, 50*time.Millisecond)
	for slowness := uint32(210); slowness < 600; slowness += 30 {
		s.HandleFrame("full", h.fullReport(slowness, 50*time.Millisecond))
	}
	i.Equal(len(h.withdraws), 1)
}

// Two endpoints turn slow one after the other: the task keeps its turn at the second.
func TestTaskIsTakenBackOnce(t *testing.T) {
	i := is.New(t)
	s, h := newWaitingTask(t, 2, true, 50*time.Millisecond)
	s.HandleFrame("full", h.fullReport(500, 50*time.Millisecond))
	i.Equal(len(h.withdraws), 1)
	s.HandleFrame("full", eventFrame(h.withdraws[0], wire.TaskEventKind_TASK_EVENT_KIND_RETURNED))
	i.Equal(len(h.refs("other")), 1)
	h.now = h.now.Add(20 * time.Millisecond)
	s.HandleFrame("full", h.fullReport(0, 50*time.Millisecond))
	s.HandleFrame("other", h.fullReport(500, 50*time.Millisecond))
	i.Equal(len(h.withdraws), 1)
}
