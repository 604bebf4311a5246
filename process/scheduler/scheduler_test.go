package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/fleet"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

// fakeHost records what the scheduler sends.
type fakeHost struct {
	now          time.Time
	offers       map[string][]*wire.Offer
	cancels      []uint64
	withdraws    []uint64
	disconnected map[string]bool
	frameNumber  uint64
	// clockReads counts the calls of Now.
	clockReads int
}

func (h *fakeHost) Now() time.Time {
	h.clockReads++
	return h.now
}

func (h *fakeHost) Send(agent string, o *wire.Offer) (uint64, bool) {
	if h.disconnected[agent] {
		return 0, false
	}
	h.frameNumber++
	h.offers[agent] = append(h.offers[agent], o)
	return h.frameNumber, true
}

func (h *fakeHost) Cancel(_ string, ref uint64) { h.cancels = append(h.cancels, ref) }

func (h *fakeHost) Withdraw(_ string, ref uint64) { h.withdraws = append(h.withdraws, ref) }

func (h *fakeHost) LogDecision(string, string, ...any) {}

// refs returns the references of the tasks in the last offer to an agent.
func (h *fakeHost) refs(agent string) []uint64 {
	var refs []uint64
	if list := h.offers[agent]; len(list) > 0 {
		for _, t := range list[len(list)-1].GetTasks() {
			refs = append(refs, t.GetRef())
		}
	}
	return refs
}

func newScheduler(agents ...string) (*Scheduler, *fakeHost) {
	h := &fakeHost{now: time.Unix(1_700_000_000, 0), offers: map[string][]*wire.Offer{}, disconnected: map[string]bool{}}
	s := New(h, fleet.New("z1"), func() uint64 { return 100 })
	for _, a := range agents {
		attachAgent(s, a)
	}
	return s, h
}

func attachAgent(s *Scheduler, agent string) { attachAgentInZone(s, agent, "z1") }

// attachAgentInZone attaches an agent whose endpoint has the given labels.
func attachAgentInZone(s *Scheduler, agent, zone string, labels ...string) {
	s.AttachAgent(agent, zone, nil, &wire.SidecarFrame{
		Endpoint: &wire.EndpointState{Service: "checks", Accepting: true, Labels: labels, Capacity: &wire.Size{Cpu: 8000, Memory: 1000}},
		Room:     &wire.Room{Free: &wire.Size{Cpu: 8000, Memory: 1000}},
	})
}

func submit(t *testing.T, s *Scheduler, id string, tasks int, budget time.Duration) *[]answer.Answer {
	t.Helper()
	work, err := workload.New(id, "", []workload.Step{{Count: tasks, Size: size.Size{CPU: 2000, Memory: 10}, Estimate: 100 * time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	answers := &[]answer.Answer{}
	s.Submit(Request{
		Work: work, Budget: budget, Reply: func(a answer.Answer) { *answers = append(*answers, a) },
		Queue: catalog.Queue{Name: "checks", Service: "checks", MaxAttempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond},
	})
	return answers
}

func eventFrame(ref uint64, kind wire.TaskEventKind) *wire.SidecarFrame {
	return &wire.SidecarFrame{Events: []*wire.TaskEvent{{Ref: ref, Kind: kind, RanMs: 100}}}
}

func TestJobCompletesAfterItsLastTask(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 2, time.Second)
	refs := h.refs("a")
	i.Equal(len(refs), 2)
	s.HandleFrame("a", eventFrame(refs[0], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	i.Equal(len(*answers), 0)
	s.HandleFrame("a", eventFrame(refs[1], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	i.Equal((*answers)[0].Outcome(), outcome.Complete)
	i.Equal(s.JobCount(), 0)
}

// An agent that was suspended may have started a task without reporting it: the job
// must not be answered as not run.
func TestTaskUnknownToItsAgentMayHaveRun(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 1, time.Second)
	s.DetachAgent("a")
	s.AttachAgent("a", "z1", nil, &wire.SidecarFrame{Endpoint: &wire.EndpointState{Service: "checks", Reason: "the endpoint drains"}})
	h.now = h.now.Add(2 * time.Second)
	s.Tick()
	i.Equal((*answers)[0].Outcome(), outcome.Unknown)
}

// A returned task has had no start order, so that the job can still be answered as not run.
func TestReturnedTaskHasNotRun(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 1, time.Second)
	ref := h.refs("a")[0]
	s.DetachAgent("a")
	s.HandleFrame("a", eventFrame(ref, wire.TaskEventKind_TASK_EVENT_KIND_RETURNED))
	h.now = h.now.Add(2 * time.Second)
	s.Tick()
	i.Equal((*answers)[0].Outcome(), outcome.NotRun)
	i.True((*answers)[0].RetryAfter() >= time.Second)
}

// An agent no longer holds a task whose end it reports in its first frame. The task counts
// as done and is not placed again.
func TestEventsInHelloApplyBeforeHeldTasks(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 1, time.Second)
	ref := h.refs("a")[0]
	s.DetachAgent("a")
	s.AttachAgent("a", "z1", nil, eventFrame(ref, wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	i.Equal((*answers)[0].Outcome(), outcome.Complete)
	i.Equal(len(h.offers["a"]), 1)
}

// A task that is reported lost in the first frame is placed on the new session. The list of
// held tasks, which is older, must not have it placed a second time.
func TestTaskLostInHelloIsPlacedOnce(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	submit(t, s, "job", 1, 5*time.Second)
	ref := h.refs("a")[0]
	s.DetachAgent("a")
	f := eventFrame(ref, wire.TaskEventKind_TASK_EVENT_KIND_LOST)
	f.Endpoint = &wire.EndpointState{Service: "checks", Accepting: true, Capacity: &wire.Size{Cpu: 8000, Memory: 1000}}
	f.Room = &wire.Room{Free: &wire.Size{Cpu: 8000, Memory: 1000}}
	s.AttachAgent("a", "z1", nil, f)
	i.Equal(len(h.offers["a"]), 2)
	i.Equal(h.cancels, nil)
}

// A task for an agent whose session has just ended is placed at a later tick.
func TestUnsentTaskIsPlacedOnNextTick(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	h.disconnected["a"] = true
	answers := submit(t, s, "job", 1, time.Second)
	i.Equal(len(h.offers["a"]), 0)
	h.disconnected["a"] = false
	h.now = h.now.Add(20 * time.Millisecond)
	s.Tick()
	i.Equal(len(h.refs("a")), 1)
	i.Equal(len(*answers), 0)
}

// A dispatcher that has just started parks jobs until its sessions open, or until they
// would be late; then it answers not run. Later a service without endpoints is refused at
// once.
func TestJobsWaitForSessionsToOpen(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler()
	first := submit(t, s, "first", 1, time.Second)
	second := submit(t, s, "second", 1, time.Second)
	s.CallerLeft("second")
	i.Equal(len(*first), 0)
	i.Equal((*second)[0].Outcome(), outcome.NotRun)
	h.now = h.now.Add(60 * time.Millisecond)
	attachAgent(s, "a")
	s.Tick()
	i.Equal(len(h.refs("a")), 1)
	s.DetachAgent("a")
	third := submit(t, s, "third", 1, time.Second)
	i.Equal(len(*third), 0)
	h.now = h.now.Add(150 * time.Millisecond)
	s.Tick()
	i.Equal((*third)[0].Outcome(), outcome.NotRun)
	h.now = h.now.Add(3 * time.Second)
	i.Equal((*submit(t, s, "fourth", 1, time.Second))[0].Reason(), "no-endpoint")
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 1, time.Second)
	for range 2 {
		i.Equal(len(*answers), 0)
		s.HandleFrame("a", eventFrame(h.refs("a")[0], wire.TaskEventKind_TASK_EVENT_KIND_FAILED))
	}
	i.Equal((*answers)[0].Outcome(), outcome.Failed)
	runs := []uint64{}
	for _, o := range h.offers["a"] {
		runs = append(runs, o.GetTasks()[0].GetRun())
	}
	i.Equal(runs, []uint64{101, 102})
}

func TestDuplicateRequestsShareOneJob(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	first := submit(t, s, "job", 1, time.Second)
	second := submit(t, s, "job", 1, time.Second)
	i.Equal(len(h.offers["a"]), 1)
	s.CallerLeft("job")
	i.Equal(s.JobCount(), 1)
	s.HandleFrame("a", eventFrame(h.refs("a")[0], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	i.Equal((*first)[0].Outcome(), outcome.Complete)
	i.Equal((*second)[0].Outcome(), outcome.Complete)
	third := submit(t, s, "job", 1, time.Second)
	i.Equal((*third)[0].Outcome(), outcome.Complete)
	i.Equal(len(h.offers["a"]), 1)
}

func TestJobIsCanceledWhenItsCallerLeaves(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	submit(t, s, "job", 2, time.Second)
	s.CallerLeft("job")
	i.Equal(h.cancels, h.refs("a"))
	i.Equal(s.JobCount(), 0)
}

func TestSuspensionEndsJobsAsUnknown(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 1, time.Minute)
	s.AbortAll("this process stood still")
	i.Equal((*answers)[0].Outcome(), outcome.Unknown)
	i.Equal(len(h.cancels), 1)
}

// A job whose caller's estimate is far too low is not aborted as late after its first task
// has shown the real run time.
func TestObjectiveGrowsWithObservedRunTime(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 2, 5*time.Second)
	refs := h.refs("a")
	h.now = h.now.Add(600 * time.Millisecond)
	s.HandleFrame("a", &wire.SidecarFrame{Events: []*wire.TaskEvent{{Ref: refs[0], Kind: wire.TaskEventKind_TASK_EVENT_KIND_DONE, RanMs: 600}}})
	h.now = h.now.Add(300 * time.Millisecond)
	s.HandleFrame("a", eventFrame(refs[1], wire.TaskEventKind_TASK_EVENT_KIND_RETURNED))
	i.Equal(len(*answers), 0)
	i.Equal(len(h.offers["a"]), 2)
}

// A job whose tasks all start at once is accepted even if its endpoint is slow.
func TestJobIsAcceptedWhileSlowEndpointHasFreeCapacity(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	for range 10 {
		s.Fleet().Speeds().ObserveOverdue("a", 8, h.now)
	}
	attachAgent(s, "b")
	s.DetachAgent("b")
	answers := submit(t, s, "job", 2, 3*time.Second)
	i.Equal(len(*answers), 0)
	i.Equal(len(h.refs("a")), 2)
}

func TestStepWaitsForItsDependencies(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	work, err := workload.New("job", "", []workload.Step{
		{Count: 1, Size: size.Size{CPU: 100}, Estimate: 50 * time.Millisecond},
		{Count: 2, Size: size.Size{CPU: 100}, Estimate: 50 * time.Millisecond, DependsOn: []int{0}},
	})
	i.NoErr(err)
	s.Submit(Request{Work: work, Budget: time.Second, Reply: func(answer.Answer) {}, Queue: catalog.Queue{Service: "checks", Stretch: 1.6}})
	i.Equal(len(h.refs("a")), 1)
	s.HandleFrame("a", eventFrame(h.refs("a")[0], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	i.Equal(len(h.refs("a")), 2)
}

// An overdue task is stopped, and placed elsewhere only when the agent has confirmed its end:
// two runs of a task must not overlap.
func TestOverdueTaskMovesAfterItHasStopped(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a", "b")
	work, err := workload.New("job", "", []workload.Step{{Count: 1, Size: size.Size{CPU: 100}, Estimate: 100 * time.Millisecond}})
	i.NoErr(err)
	s.Submit(Request{Work: work, Budget: 5 * time.Second, Reply: func(answer.Answer) {}, Queue: catalog.Queue{Service: "checks", Stretch: 5, TargetLatency: time.Second}})
	at, other := "a", "b"
	if len(h.offers["a"]) == 0 {
		at, other = "b", "a"
	}
	ref := h.refs(at)[0]
	s.HandleFrame(at, eventFrame(ref, wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
	h.now = h.now.Add(300 * time.Millisecond)
	s.HandleFrame(at, &wire.SidecarFrame{})
	s.HandleFrame(other, &wire.SidecarFrame{})
	h.now = h.now.Add(150 * time.Millisecond)
	s.Tick()
	i.Equal(h.cancels, []uint64{ref})
	i.Equal(len(h.offers[other]), 0)
	s.HandleFrame(at, eventFrame(ref, wire.TaskEventKind_TASK_EVENT_KIND_LOST))
	i.Equal(len(h.offers[other]), 1)
}

// Jobs that would outlast a planned stop of the process are aborted in time for the answer.
func TestPlannedStopAbortsRemainingJobs(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 1, time.Minute)
	s.CapDeadlines(h.now.Add(time.Second))
	h.now = h.now.Add(990 * time.Millisecond)
	s.Tick()
	i.Equal(len(*answers), 0)
	h.now = h.now.Add(20 * time.Millisecond)
	s.Tick()
	i.Equal((*answers)[0].Outcome(), outcome.Unknown)
	i.Equal(h.cancels, h.refs("a"))
}

// A deadline between two ticks is noticed at the later one. The answer still has to reach the
// caller within its budget.
func TestAnswerArrivesWithinCallerBudget(t *testing.T) {
	for offset := time.Duration(0); offset < TickInterval; offset += time.Millisecond {
		i := is.New(t)
		s, h := newScheduler("a")
		budget := time.Second + offset
		answers := submit(t, s, "job", 1, budget)
		began := h.now
		for len(*answers) == 0 {
			h.now = h.now.Add(TickInterval)
			s.Tick()
		}
		i.True(h.now.Sub(began) <= budget-maxAnswerLatency)
	}
}

// In a queue of short jobs, a task that its caller estimates as long is not stopped as
// overdue while it runs within that estimate.
func TestLongEstimateIsHonouredInQueueOfShortJobs(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a", "b")
	queue := catalog.Queue{Name: "mixed", Service: "checks", MaxAttempts: 2, Stretch: 1.6, TargetLatency: 300 * time.Millisecond}
	send := func(id string, estimate time.Duration) {
		work, err := workload.New(id, "", []workload.Step{{Count: 1, Size: size.Size{CPU: 2000, Memory: 10}, Estimate: estimate}})
		i.NoErr(err)
		s.Submit(Request{Work: work, Budget: 10 * time.Second, Reply: func(answer.Answer) {}, Queue: queue})
	}
	finish := func(ran time.Duration) {
		for _, agent := range []string{"a", "b"} {
			for _, ref := range h.refs(agent) {
				s.HandleFrame(agent, &wire.SidecarFrame{
					Events: []*wire.TaskEvent{{Ref: ref, Kind: wire.TaskEventKind_TASK_EVENT_KIND_DONE, RanMs: uint32(ran.Milliseconds())}},
					Room:   &wire.Room{Free: &wire.Size{Cpu: 8000, Memory: 1000}}, Seen: h.frameNumber,
				})
			}
		}
	}
	for n := range 20 {
		send(fmt.Sprint("short", n), 100*time.Millisecond)
		finish(100 * time.Millisecond)
	}
	h.offers = map[string][]*wire.Offer{}
	send("long", 2800*time.Millisecond)
	for _, agent := range []string{"a", "b"} {
		for _, ref := range h.refs(agent) {
			s.HandleFrame(agent, eventFrame(ref, wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
		}
	}
	i.Equal(s.JobCount(), 1)
	h.now = h.now.Add(2300 * time.Millisecond)
	s.Tick()
	i.Equal(len(h.cancels), 0)
}
