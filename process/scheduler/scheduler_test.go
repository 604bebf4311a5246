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

// host keeps what the scheduler sends.
type host struct {
	now       time.Time
	offers    map[string][]*wire.Offer
	cancels   []uint64
	withdraws []uint64
	away      map[string]bool
	number    uint64
}

func (h *host) Now() time.Time { return h.now }

func (h *host) Send(agent string, o *wire.Offer) (uint64, bool) {
	if h.away[agent] {
		return 0, false
	}
	h.number++
	h.offers[agent] = append(h.offers[agent], o)
	return h.number, true
}

func (h *host) Cancel(_ string, ref uint64) { h.cancels = append(h.cancels, ref) }

func (h *host) Withdraw(_ string, ref uint64) { h.withdraws = append(h.withdraws, ref) }

func (h *host) LogDecision(string, string, ...any) {}

// refs are the references of the tasks that an agent was last offered.
func (h *host) refs(agent string) []uint64 {
	var refs []uint64
	if list := h.offers[agent]; len(list) > 0 {
		for _, t := range list[len(list)-1].GetTasks() {
			refs = append(refs, t.GetRef())
		}
	}
	return refs
}

func newScheduler(agents ...string) (*Scheduler, *host) {
	h := &host{now: time.Unix(1_700_000_000, 0), offers: map[string][]*wire.Offer{}, away: map[string]bool{}}
	s := New(h, fleet.New("z1"), func() uint64 { return 100 })
	for _, a := range agents {
		join(s, a)
	}
	return s, h
}

func join(s *Scheduler, agent string) {
	s.AttachAgent(agent, "z1", nil, &wire.SidecarFrame{
		Endpoint: &wire.EndpointState{Service: "checks", Accepting: true, Capacity: &wire.Size{Cpu: 8000, Memory: 1000}},
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
		Queue: catalog.Queue{Name: "checks", Service: "checks", Attempts: 2, Stretch: 1.6, Latency: 60 * time.Millisecond},
	})
	return answers
}

func event(ref uint64, kind wire.TaskEventKind) *wire.SidecarFrame {
	return &wire.SidecarFrame{Events: []*wire.TaskEvent{{Ref: ref, Kind: kind, RanMs: 100}}}
}

func TestJobIsAnsweredWhenEveryTaskHasEnded(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 2, time.Second)
	refs := h.refs("a")
	i.Equal(len(refs), 2)
	s.HandleFrame("a", event(refs[0], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	i.Equal(len(*answers), 0)
	s.HandleFrame("a", event(refs[1], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	i.Equal((*answers)[0].Outcome(), outcome.Complete)
	i.Equal(s.JobCount(), 0)
}

// An agent that stood still may have started a task and not told of it: the job
// cannot be refused as not run any more.
func TestTaskThatIsNotHeldMayHaveRun(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 1, time.Second)
	s.DetachAgent("a")
	s.AttachAgent("a", "z1", nil, &wire.SidecarFrame{Endpoint: &wire.EndpointState{Service: "checks", Reason: "the endpoint drains"}})
	h.now = h.now.Add(2 * time.Second)
	s.Tick()
	i.Equal((*answers)[0].Outcome(), outcome.Unknown)
}

// A task that came back without a start order leaves the job refusable.
func TestReturnedTaskHasNotRun(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 1, time.Second)
	ref := h.refs("a")[0]
	s.DetachAgent("a")
	s.HandleFrame("a", event(ref, wire.TaskEventKind_TASK_EVENT_KIND_RETURNED))
	h.now = h.now.Add(2 * time.Second)
	s.Tick()
	i.Equal((*answers)[0].Outcome(), outcome.NotRun)
	i.True((*answers)[0].RetryAfter() >= time.Second)
}

// What an agent says as it attaches comes before what it no longer holds.
func TestEndsThatCameWithTheHelloCount(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 1, time.Second)
	ref := h.refs("a")[0]
	s.DetachAgent("a")
	s.AttachAgent("a", "z1", nil, event(ref, wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	i.Equal((*answers)[0].Outcome(), outcome.Complete)
	i.Equal(len(h.offers["a"]), 1)
}

// A task whose loss comes with the hello is placed once, on the new session.
func TestLossThatCameWithTheHelloPlacesOnce(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	submit(t, s, "job", 1, 5*time.Second)
	ref := h.refs("a")[0]
	s.DetachAgent("a")
	f := event(ref, wire.TaskEventKind_TASK_EVENT_KIND_LOST)
	f.Endpoint = &wire.EndpointState{Service: "checks", Accepting: true, Capacity: &wire.Size{Cpu: 8000, Memory: 1000}}
	f.Room = &wire.Room{Free: &wire.Size{Cpu: 8000, Memory: 1000}}
	s.AttachAgent("a", "z1", nil, f)
	i.Equal(len(h.offers["a"]), 2)
	i.Equal(h.cancels, nil)
}

// A session that is gone as a task is sent leaves the task to be placed later.
func TestTaskThatCannotBeSentIsPlacedLater(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	h.away["a"] = true
	answers := submit(t, s, "job", 1, time.Second)
	i.Equal(len(h.offers["a"]), 0)
	h.away["a"] = false
	h.now = h.now.Add(20 * time.Millisecond)
	s.Tick()
	i.Equal(len(h.refs("a")), 1)
	i.Equal(len(*answers), 0)
}

// A dispatcher that has just started waits for its sessions while the job can be on
// time; then it refuses truthfully. Later a service without endpoints is refused at once.
func TestJobsWaitForSessionsThatAreOpening(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler()
	first := submit(t, s, "first", 1, time.Second)
	second := submit(t, s, "second", 1, time.Second)
	s.CallerLeft("second")
	i.Equal(len(*first), 0)
	i.Equal((*second)[0].Outcome(), outcome.NotRun)
	h.now = h.now.Add(60 * time.Millisecond)
	join(s, "a")
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

func TestTaskThatFailsTooOftenFailsTheJob(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 1, time.Second)
	for range 2 {
		i.Equal(len(*answers), 0)
		s.HandleFrame("a", event(h.refs("a")[0], wire.TaskEventKind_TASK_EVENT_KIND_FAILED))
	}
	i.Equal((*answers)[0].Outcome(), outcome.Failed)
	runs := []uint64{}
	for _, o := range h.offers["a"] {
		runs = append(runs, o.GetTasks()[0].GetRun())
	}
	i.Equal(runs, []uint64{101, 102})
}

func TestCopiesOfARequestAreOneJob(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	first := submit(t, s, "job", 1, time.Second)
	second := submit(t, s, "job", 1, time.Second)
	i.Equal(len(h.offers["a"]), 1)
	s.CallerLeft("job")
	i.Equal(s.JobCount(), 1)
	s.HandleFrame("a", event(h.refs("a")[0], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	i.Equal((*first)[0].Outcome(), outcome.Complete)
	i.Equal((*second)[0].Outcome(), outcome.Complete)
	third := submit(t, s, "job", 1, time.Second)
	i.Equal((*third)[0].Outcome(), outcome.Complete)
	i.Equal(len(h.offers["a"]), 1)
}

func TestLeavingCallerStopsTheJob(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	submit(t, s, "job", 2, time.Second)
	s.CallerLeft("job")
	i.Equal(h.cancels, h.refs("a"))
	i.Equal(s.JobCount(), 0)
}

func TestSuspensionEndsEveryJobTruthfully(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 1, time.Minute)
	s.AbortAll("this process stood still")
	i.Equal((*answers)[0].Outcome(), outcome.Unknown)
	i.Equal(len(h.cancels), 1)
}

// A caller's estimate that is far too low ends nothing once tasks have shown better.
func TestObjectiveGrowsWithWhatTasksTake(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	answers := submit(t, s, "job", 2, 5*time.Second)
	refs := h.refs("a")
	h.now = h.now.Add(600 * time.Millisecond)
	s.HandleFrame("a", &wire.SidecarFrame{Events: []*wire.TaskEvent{{Ref: refs[0], Kind: wire.TaskEventKind_TASK_EVENT_KIND_DONE, RanMs: 600}}})
	h.now = h.now.Add(300 * time.Millisecond)
	s.HandleFrame("a", event(refs[1], wire.TaskEventKind_TASK_EVENT_KIND_RETURNED))
	i.Equal(len(*answers), 0)
	i.Equal(len(h.offers["a"]), 2)
}

// With room for every task at once a job is taken although its endpoints are slow.
func TestNothingIsRefusedWhileThereIsRoom(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	for range 10 {
		s.Fleet().Speeds().Overdue("a", 8, h.now)
	}
	join(s, "b")
	s.DetachAgent("b")
	answers := submit(t, s, "job", 2, 3*time.Second)
	i.Equal(len(*answers), 0)
	i.Equal(len(h.refs("a")), 2)
}

func TestStepsWaitForEachOther(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	work, err := workload.New("job", "", []workload.Step{
		{Count: 1, Size: size.Size{CPU: 100}, Estimate: 50 * time.Millisecond},
		{Count: 2, Size: size.Size{CPU: 100}, Estimate: 50 * time.Millisecond, After: []int{0}},
	})
	i.NoErr(err)
	s.Submit(Request{Work: work, Budget: time.Second, Reply: func(answer.Answer) {}, Queue: catalog.Queue{Service: "checks", Stretch: 1.6}})
	i.Equal(len(h.refs("a")), 1)
	s.HandleFrame("a", event(h.refs("a")[0], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	i.Equal(len(h.refs("a")), 2)
}

// A task that runs far longer than its kind is stopped and tried elsewhere, once it
// is known to be gone.
func TestOverdueTaskMovesOnceItIsGone(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a", "b")
	work, err := workload.New("job", "", []workload.Step{{Count: 1, Size: size.Size{CPU: 100}, Estimate: 100 * time.Millisecond}})
	i.NoErr(err)
	s.Submit(Request{Work: work, Budget: 5 * time.Second, Reply: func(answer.Answer) {}, Queue: catalog.Queue{Service: "checks", Stretch: 5, Latency: time.Second}})
	at, other := "a", "b"
	if len(h.offers["a"]) == 0 {
		at, other = "b", "a"
	}
	ref := h.refs(at)[0]
	s.HandleFrame(at, event(ref, wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
	h.now = h.now.Add(300 * time.Millisecond)
	s.HandleFrame(at, &wire.SidecarFrame{})
	s.HandleFrame(other, &wire.SidecarFrame{})
	h.now = h.now.Add(150 * time.Millisecond)
	s.Tick()
	i.Equal(h.cancels, []uint64{ref})
	i.Equal(len(h.offers[other]), 0)
	s.HandleFrame(at, event(ref, wire.TaskEventKind_TASK_EVENT_KIND_LOST))
	i.Equal(len(h.offers[other]), 1)
}

// A planned stop gives up what outlasts it while there is time for the answer.
func TestPlannedStopEndsWhatOutlastsIt(t *testing.T) {
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

// An answer that is due between two ticks still reaches a caller that waits.
func TestAnswerComesBeforeTheCallerGivesUp(t *testing.T) {
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
		i.True(h.now.Sub(began) <= budget-wayBack)
	}
}

// A queue's short jobs say nothing of one that its caller calls long: it is not stopped
// as overdue while it does what was foretold.
func TestLongTaskOfAShortQueueIsLeftAlone(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a", "b")
	queue := catalog.Queue{Name: "mixed", Service: "checks", Attempts: 2, Stretch: 1.6, Latency: 300 * time.Millisecond}
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
					Room:   &wire.Room{Free: &wire.Size{Cpu: 8000, Memory: 1000}}, Seen: h.number,
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
			s.HandleFrame(agent, event(ref, wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
		}
	}
	i.Equal(s.JobCount(), 1)
	h.now = h.now.Add(2300 * time.Millisecond)
	s.Tick()
	i.Equal(len(h.cancels), 0)
}
