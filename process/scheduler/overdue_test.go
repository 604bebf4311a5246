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

// A task of 100 ms waits at a full endpoint and is expected to start after 50 ms. Another
// endpoint reports free capacity.
func TestQueuedTaskIsWithdrawnForFreeCapacity(t *testing.T) {
	const capacity = 8000
	for name, c := range map[string]struct {
		after time.Duration
		free  uint32
		slow  float64
		label string
		want  int
	}{
		"it ends sooner there":          {20 * time.Millisecond, capacity, 1, "", 1},
		"it has only just been offered": {5 * time.Millisecond, capacity, 1, "", 0},
		"there is too little capacity":  {20 * time.Millisecond, 1000, 1, "", 0},
		"the endpoint is slower":        {20 * time.Millisecond, capacity, 3, "", 0},
		"it needs a label":              {20 * time.Millisecond, capacity, 1, "gpu", 0},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s, h := newScheduler()
			report := func(agent string, free uint32, labels ...string) {
				s.AttachAgent(agent, "z1", nil, &wire.SidecarFrame{
					Endpoint: &wire.EndpointState{Service: "checks", Accepting: true, Labels: labels, Capacity: &wire.Size{Cpu: capacity, Memory: 1000}},
					Room:     &wire.Room{Free: &wire.Size{Cpu: free, Memory: 1000}, Running: 4, NextEndUs: 50_000},
				})
			}
			report("full", 0, "any", "gpu")
			work, err := workload.New("job", "", []workload.Step{{Count: 1, Size: size.Size{CPU: 2000}, Estimate: 100 * time.Millisecond, RequiredLabel: c.label}})
			i.NoErr(err)
			s.Submit(Request{Work: work, Budget: 5 * time.Second, Reply: func(answer.Answer) {}, Queue: catalog.Queue{Name: "checks", Service: "checks", Stretch: 5, TargetLatency: time.Second}})
			i.Equal(len(h.refs("full")), 1)
			h.now = h.now.Add(c.after)
			report("free", 0, "any")
			if c.slow > 1 {
				for range 30 {
					s.Fleet().Speeds().ObserveOverdue("free", c.slow, h.now)
				}
			}
			s.HandleFrame("full", &wire.SidecarFrame{})
			report("free", c.free, "any")
			i.Equal(len(h.withdraws), c.want)
			// A task that is being withdrawn is not withdrawn again.
			report("free", c.free, "any")
			i.Equal(len(h.withdraws), c.want)
		})
	}
}

// Tasks of a job that is longer than its queue's others run past the limit at every endpoint
// and must not be stopped. A task that runs on long after the others have ended is stopped.
func TestOverdueLimitIsHigherWhileTwoTasksRunLong(t *testing.T) {
	const expected = 100 * time.Millisecond
	for name, c := range map[string]struct {
		otherEnds bool
		after     time.Duration
		cancels   int
	}{
		"both run on":              {false, 11 * expected, 0},
		"both run on for too long": {false, 13 * expected, 2},
		"the other has ended":      {true, 5 * expected, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, h := newScheduler("a", "b")
			work, err := workload.New("job", "", []workload.Step{{Count: 2, Size: size.Size{CPU: 5000}, Estimate: expected}})
			is.New(t).NoErr(err)
			s.Submit(Request{Work: work, Budget: 20 * time.Second, Reply: func(answer.Answer) {}, Queue: catalog.Queue{Service: "checks", Stretch: 10, TargetLatency: time.Second}})
			for _, agent := range []string{"a", "b"} {
				s.HandleFrame(agent, eventFrame(h.refs(agent)[0], wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
			}
			if c.otherEnds {
				s.HandleFrame("a", eventFrame(h.refs("a")[0], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
			}
			h.now = h.now.Add(c.after)
			s.Tick()
			is.New(t).Equal(len(h.cancels), c.cancels)
		})
	}
}

// A single task runs ten times as long as expected at every endpoint. Each stop doubles its
// limit, so that it ends at last.
func TestOverdueLimitDoublesUntilLongTaskEnds(t *testing.T) {
	const expected, runs = 100 * time.Millisecond, time.Second
	i := is.New(t)
	s, h := newScheduler("a", "b")
	work, err := workload.New("job", "", []workload.Step{{Count: 1, Size: size.Size{CPU: 2000}, Estimate: expected}})
	i.NoErr(err)
	answers := 0
	s.Submit(Request{Work: work, Budget: time.Minute, Reply: func(answer.Answer) { answers++ }, Queue: catalog.Queue{Name: "checks", Service: "checks", Stretch: 50, TargetLatency: time.Second}})
	for stops := 0; answers == 0; stops++ {
		i.True(stops <= 3)
		at := "a"
		if len(h.offers["b"]) > 0 {
			at = "b"
		}
		ref, began := h.refs(at)[0], h.now
		s.HandleFrame(at, eventFrame(ref, wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
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
		s.HandleFrame(at, eventFrame(ref, kind))
	}
}

// An endpoint reports that it leaves in one second. A task that can end before keeps running;
// one that cannot is moved if a new run is still useful.
func TestTasksThatOutlastTheirEndpointAreMoved(t *testing.T) {
	for name, c := range map[string]struct {
		estimate time.Duration
		after    time.Duration
		budget   time.Duration
		moved    int
	}{
		"it needs much longer":         {4 * time.Second, 100 * time.Millisecond, 30 * time.Second, 1},
		"it may end in time":           {1400 * time.Millisecond, 100 * time.Millisecond, 30 * time.Second, 0},
		"it has nearly ended":          {4 * time.Second, 3500 * time.Millisecond, 30 * time.Second, 0},
		"another run would be useless": {4 * time.Second, 2400 * time.Millisecond, 6 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s, h := newScheduler("a")
			work, err := workload.New("job", "", []workload.Step{{Count: 1, Size: size.Size{CPU: 2000}, Estimate: c.estimate}})
			i.NoErr(err)
			s.Submit(Request{Work: work, Budget: c.budget, Reply: func(answer.Answer) {}, Queue: catalog.Queue{Name: "checks", Service: "checks", Stretch: 2, TargetLatency: time.Second}})
			ref := h.refs("a")[0]
			s.HandleFrame("a", eventFrame(ref, wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
			h.now = h.now.Add(c.after)
			s.HandleFrame("a", &wire.SidecarFrame{Endpoint: &wire.EndpointState{Service: "checks", Reason: "the endpoint drains", StaysMs: 1000}})
			i.Equal(len(h.cancels), c.moved)
		})
	}
}
