package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

// A task of 100 ms waits at a full endpoint, foretold to start after 50 ms. Another endpoint
// tells of room.
func TestRoomElsewhereCallsForAWaitingTask(t *testing.T) {
	const room = 8000
	for name, c := range map[string]struct {
		after time.Duration
		free  uint32
		slow  float64
		label string
		calls int
	}{
		"it ends sooner there":          {20 * time.Millisecond, room, 1, "", 1},
		"it has only just been offered": {5 * time.Millisecond, room, 1, "", 0},
		"there is too little room":      {20 * time.Millisecond, 1000, 1, "", 0},
		"the endpoint is slower":        {20 * time.Millisecond, room, 3, "", 0},
		"it needs a label":              {20 * time.Millisecond, room, 1, "gpu", 0},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s, h := newScheduler()
			tell := func(agent string, free uint32, labels ...string) {
				s.AttachAgent(agent, "z1", nil, &wire.SidecarFrame{
					Endpoint: &wire.EndpointState{Service: "checks", Accepting: true, Labels: labels, Capacity: &wire.Size{Cpu: room, Memory: 1000}},
					Room:     &wire.Room{Free: &wire.Size{Cpu: free, Memory: 1000}, Running: 4, NextEndUs: 50_000},
				})
			}
			tell("full", 0, "any", "gpu")
			work, err := workload.New("job", "", []workload.Step{{Count: 1, Size: size.Size{CPU: 2000}, Estimate: 100 * time.Millisecond, Label: c.label}})
			i.NoErr(err)
			s.Submit(Request{Work: work, Budget: 5 * time.Second, Reply: func(answer.Answer) {}, Queue: catalog.Queue{Name: "checks", Service: "checks", Stretch: 5, Latency: time.Second}})
			i.Equal(len(h.refs("full")), 1)
			h.now = h.now.Add(c.after)
			tell("free", 0, "any")
			if c.slow > 1 {
				for range 30 {
					s.Fleet().Speeds().Overdue("free", c.slow, h.now)
				}
			}
			s.HandleFrame("full", &wire.SidecarFrame{})
			tell("free", c.free, "any")
			i.Equal(len(h.withdraws), c.calls)
			// One call for one task.
			tell("free", c.free, "any")
			i.Equal(len(h.withdraws), c.calls)
		})
	}
}

// Tasks of a job that is longer than its queue's others run for long at each endpoint: they
// are left alone. One that goes on long after the others is stopped.
func TestTasksThatRunAlikeAreLeftAlone(t *testing.T) {
	const expected = 100 * time.Millisecond
	for name, c := range map[string]struct {
		ends    bool
		after   time.Duration
		cancels int
	}{
		"both go on":              {false, 11 * expected, 0},
		"both go on for too long": {false, 13 * expected, 2},
		"the other has ended":     {true, 5 * expected, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, h := newScheduler("a", "b")
			work, err := workload.New("job", "", []workload.Step{{Count: 2, Size: size.Size{CPU: 5000}, Estimate: expected}})
			is.New(t).NoErr(err)
			s.Submit(Request{Work: work, Budget: 20 * time.Second, Reply: func(answer.Answer) {}, Queue: catalog.Queue{Service: "checks", Stretch: 10, Latency: time.Second}})
			for _, agent := range []string{"a", "b"} {
				s.HandleFrame(agent, event(h.refs(agent)[0], wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
			}
			if c.ends {
				s.HandleFrame("a", event(h.refs("a")[0], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
			}
			h.now = h.now.Add(c.after)
			s.Tick()
			is.New(t).Equal(len(h.cancels), c.cancels)
		})
	}
}

// A lone task runs ten times as long as its queue's others at every endpoint. Each stop doubles
// the time that it is left alone, so that it ends.
func TestLoneLongTaskEnds(t *testing.T) {
	const expected, runs = 100 * time.Millisecond, time.Second
	i := is.New(t)
	s, h := newScheduler("a", "b")
	work, err := workload.New("job", "", []workload.Step{{Count: 1, Size: size.Size{CPU: 2000}, Estimate: expected}})
	i.NoErr(err)
	answers := 0
	s.Submit(Request{Work: work, Budget: time.Minute, Reply: func(answer.Answer) { answers++ }, Queue: catalog.Queue{Name: "checks", Service: "checks", Stretch: 50, Latency: time.Second}})
	for stops := 0; answers == 0; stops++ {
		i.True(stops <= 3)
		at := "a"
		if len(h.offers["b"]) > 0 {
			at = "b"
		}
		ref, began := h.refs(at)[0], h.now
		s.HandleFrame(at, event(ref, wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
		for len(h.cancels) == stops && h.now.Sub(began) < runs {
			h.now = h.now.Add(TickInterval)
			s.HandleFrame("a", &wire.SidecarFrame{})
			s.HandleFrame("b", &wire.SidecarFrame{})
			s.Tick()
		}
		h.offers = map[string][]*wire.Offer{}
		kind := wire.TaskEventKind_TASK_EVENT_KIND_DONE
		if len(h.cancels) > stops {
			kind = wire.TaskEventKind_TASK_EVENT_KIND_LOST
		}
		s.HandleFrame(at, event(ref, kind))
	}
}

// An endpoint says that it leaves in a second. What ends before that goes on, what cannot is
// moved while there is time for it.
func TestLongTasksLeaveWithTheirEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		estimate time.Duration
		after    time.Duration
		budget   time.Duration
		moved    int
	}{
		"it needs far longer":         {4 * time.Second, 100 * time.Millisecond, 30 * time.Second, 1},
		"it may just end":             {1400 * time.Millisecond, 100 * time.Millisecond, 30 * time.Second, 0},
		"it has nearly ended":         {4 * time.Second, 3500 * time.Millisecond, 30 * time.Second, 0},
		"another run would be no use": {4 * time.Second, 2400 * time.Millisecond, 6 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s, h := newScheduler("a")
			work, err := workload.New("job", "", []workload.Step{{Count: 1, Size: size.Size{CPU: 2000}, Estimate: c.estimate}})
			i.NoErr(err)
			s.Submit(Request{Work: work, Budget: c.budget, Reply: func(answer.Answer) {}, Queue: catalog.Queue{Name: "checks", Service: "checks", Stretch: 2, Latency: time.Second}})
			ref := h.refs("a")[0]
			s.HandleFrame("a", event(ref, wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
			h.now = h.now.Add(c.after)
			s.HandleFrame("a", &wire.SidecarFrame{Endpoint: &wire.EndpointState{Service: "checks", Reason: "the endpoint drains", StaysMs: 1000}})
			i.Equal(len(h.cancels), c.moved)
		})
	}
}
