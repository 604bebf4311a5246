package sidecar

import (
	"strings"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/recovery"
	"github.com/corianderhook/corianderhook/process/registration"
	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// stopPause is the time between two stop orders for a run.
	stopPause = 20 * time.Millisecond
	// startsWithin is how long word of a start may wait for another cause to send.
	startsWithin = 10 * time.Millisecond
	// replay is how long events are kept for a dispatcher whose session breaks.
	replay = time.Second
	// roomStep is the change of free processor time, in thousandths of a core, that
	// is reported without another cause: less than the tasks of these loads take.
	roomStep = 1000
)

// Messages to the runner actor.
type (
	tick      struct{}
	drain     struct{ done chan<- struct{} }
	announced struct{ announcement registration.Announcement }
	recalled  struct{ announcement registration.Announcement }
	left      struct{ instance string }
	// opened, closed and received come from the sessions with dispatchers.
	opened struct {
		link    *link
		welcome *wire.DispatcherFrame
	}
	closed struct{ link *link }
	// leave: the session with an address is not wanted any more.
	leave    struct{ address string }
	received struct {
		link  *link
		frame *wire.DispatcherFrame
	}
	// started and stopped bring results of orders.
	started struct {
		name   string
		result runner.Result
		reason string
	}
	stopped struct {
		name         string
		acknowledged bool
	}
	// took: the endpoint runs nothing of before and takes orders of this sidecar.
	took struct {
		born   time.Time
		reason string
	}
	// listed, silent and lapsed come from the calls to the endpoint.
	listed struct{ report runner.Report }
	silent struct{ reason string }
	lapsed struct{}
)

type past struct {
	at    time.Time
	event *wire.TaskEvent
}

// runnerActor owns the runner's state.
type runnerActor struct {
	sidecar      *Sidecar
	runner       *runner.Runner
	registration *registration.Registration
	live         map[uint64]*link
	// pending are events that go out with the next frame; urgent ones call for it.
	pending map[uint64][]*wire.TaskEvent
	urgent  map[uint64]bool
	recent  map[uint64][]past
	// kept is what an earlier sidecar was told.
	kept   *registration.Announcement
	born   time.Time
	reach  string
	drains bool
	state  *wire.EndpointState
	room   *wire.Room
}

func newRunnerActor(s *Sidecar) *runnerActor {
	a := &runnerActor{
		sidecar: s, registration: registration.New(), live: map[uint64]*link{},
		pending: map[uint64][]*wire.TaskEvent{}, urgent: map[uint64]bool{}, recent: map[uint64][]past{},
		reach: "the endpoint has not answered yet", state: &wire.EndpointState{},
	}
	a.runner = runner.New(a)
	return a
}

// Receive handles one message at a time. After one that cannot be handled the endpoint is
// taken over anew: nothing runs on of which the runner may have lost track.
func (a *runnerActor) Receive(c actor.Context) {
	defer recovery.Catch("runner", func() {
		a.sidecar.metrics.CountUnexpectedError("runner")
		a.sidecar.keeper.retake()
	})
	switch m := c.Message().(type) {
	case tick:
		a.runner.Tick()
		a.sidecar.doubts.Store(int64(a.runner.InDoubt()))
		a.tick()
	case drain:
		a.drains = true
		a.open()
		close(m.done)
	case announced:
		a.announce(m.announcement)
	case recalled:
		a.kept = &m.announcement
		a.recall()
	case left:
		if a.registration.Leave(m.instance) {
			klog.InfoS("CH1112 endpoint left", "agent", a.sidecar.deps.Name, "instance", m.instance)
			a.open()
		}
	case opened:
		a.opened(m)
	case closed:
		if a.live[m.link.dispatcher] == m.link {
			delete(a.live, m.link.dispatcher)
		}
	case leave:
		a.leave(m.address)
	case received:
		a.receive(m.link, m.frame)
	case started:
		a.runner.Started(m.name, m.result, m.reason)
	case stopped:
		a.runner.Stopped(m.name, m.acknowledged)
	case took:
		a.runner.EndpointRestarted(m.reason)
		a.born = m.born
		a.reach = ""
		a.recall()
		a.open()
	case listed:
		a.listed(m.report)
	case silent:
		a.reach = m.reason
		a.open()
	case lapsed:
		a.runner.Lapse("its lease ran out")
	}
	a.room = a.runner.Room()
	a.sidecar.tasks.Store(int64(a.room.GetRunning() + a.room.GetWaiting()))
	a.flush()
}

func (a *runnerActor) listed(p runner.Report) {
	a.sidecar.listedAt.Store(a.sidecar.stamp())
	if a.reach != "" {
		a.reach = ""
		a.open()
	}
	for _, stranger := range a.runner.HandleReport(p) {
		klog.InfoS("CH1114 endpoint runs what nobody asked for", "agent", a.sidecar.deps.Name, "job", stranger.Job, "step", stranger.Step, "index", stranger.Index, "run", stranger.Run)
		go a.sidecar.keeper.stop("", stranger)
	}
}

// opened brings a new session up to date: what happened lately, and what is held.
func (a *runnerActor) opened(m opened) {
	l := m.link
	l.dispatcher = m.welcome.GetIncarnation()
	a.live[l.dispatcher] = l
	a.runner.Heard(l.dispatcher, l.address, a.sidecar.stamped(l.openedUS))
	f := &wire.SidecarFrame{
		Hello: &wire.SidecarHello{
			Name: a.sidecar.deps.Name, Zone: a.sidecar.deps.Zone, Incarnation: a.sidecar.incarnation,
			Dispatcher: l.dispatcher, Held: a.runner.HeldBy(l.dispatcher),
		},
		Endpoint: a.stateFor(l),
	}
	for _, p := range a.recent[l.dispatcher] {
		f.Events = append(f.Events, p.event)
	}
	delete(a.pending, l.dispatcher)
	a.room = a.runner.Room()
	a.put(l, f)
}

func (a *runnerActor) receive(l *link, f *wire.DispatcherFrame) {
	if a.live[l.dispatcher] != l {
		return
	}
	if f.GetEchoUs() > 0 {
		a.runner.Heard(l.dispatcher, l.address, a.sidecar.stamped(f.GetEchoUs()))
	}
	if every := f.GetRoomEveryMs(); every > 0 {
		l.roomEvery = time.Duration(every) * time.Millisecond
	}
	if f.GetNumber() > 0 {
		l.seen = f.GetNumber()
	}
	a.runner.HandleFrame(l.dispatcher, f)
}

// flush sends what cannot wait for the next tick.
func (a *runnerActor) flush() {
	for d := range a.urgent {
		a.sendPending(d)
	}
	clear(a.urgent)
}

func (a *runnerActor) sendPending(dispatcher uint64) {
	if l, known := a.live[dispatcher]; known {
		a.put(l, &wire.SidecarFrame{Events: a.pending[dispatcher]})
	}
	delete(a.pending, dispatcher)
}

// put sends a frame with the room as it is now.
func (a *runnerActor) put(l *link, f *wire.SidecarFrame) {
	f.Room = a.room
	f.Seen = l.seen
	l.told = a.room
	l.out.Put(f)
}

// tick reports room that has changed, sends heartbeats and ends silent sessions.
func (a *runnerActor) tick() {
	now := a.Now()
	a.room = a.runner.Room()
	for d, l := range a.live {
		if l.silent(a.sidecar) {
			l.cancel()
			continue
		}
		last := now.Sub(a.sidecar.stamped(l.sent.Load()))
		due := last >= heartbeat
		if due || len(a.pending[d]) > 0 && last >= startsWithin || last >= l.roomEvery && differ(l.told, a.room) {
			a.sendPending(d)
		}
	}
	a.closeEnded(now)
	for d, list := range a.recent {
		for len(list) > 0 && now.Sub(list[0].at) > replay {
			list = list[1:]
		}
		if a.recent[d] = list; len(list) == 0 {
			delete(a.recent, d)
		}
	}
}

// differ reports whether a change of room matters to those who place tasks.
func differ(told, now *wire.Room) bool {
	change := int(told.GetFree().GetCpu()) - int(now.GetFree().GetCpu())
	return change >= roomStep || change <= -roomStep || (told.GetWaiting() == 0) != (now.GetWaiting() == 0)
}

// Now returns the steady time.
func (a *runnerActor) Now() time.Time { return a.sidecar.deps.Clock.Now() }

// Start orders a run at the endpoint.
func (a *runnerActor) Start(name string, o runner.Order) {
	go func() {
		result, reason := a.sidecar.keeper.start(o)
		a.sidecar.deps.System.Root.Send(a.sidecar.runner, started{name: name, result: result, reason: reason})
	}()
}

// Stop orders the end of a run at the endpoint.
func (a *runnerActor) Stop(name string, o runner.Order) {
	go a.sidecar.keeper.stop(name, runner.RunName{Job: o.Job, Step: o.Step, Index: o.Index, Run: o.Run})
}

// Send queues events for a dispatcher; a start waits for the next frame.
func (a *runnerActor) Send(dispatcher uint64, events ...*wire.TaskEvent) {
	a.pending[dispatcher] = append(a.pending[dispatcher], events...)
	now := a.Now()
	for _, e := range events {
		a.measure(e)
		a.recent[dispatcher] = append(a.recent[dispatcher], past{at: now, event: e})
		if e.GetKind() != wire.TaskEventKind_TASK_EVENT_KIND_STARTED {
			a.urgent[dispatcher] = true
		}
	}
}

// measure counts an event of a task.
func (a *runnerActor) measure(e *wire.TaskEvent) {
	m := a.sidecar.metrics
	event := strings.ToLower(strings.TrimPrefix(e.GetKind().String(), "TASK_EVENT_KIND_"))
	m.CountTaskEvent(event)
	switch e.GetKind() {
	case wire.TaskEventKind_TASK_EVENT_KIND_STARTED:
		m.ObserveTaskWait(time.Duration(e.GetWaitedMs()) * time.Millisecond)
	case wire.TaskEventKind_TASK_EVENT_KIND_DONE:
		m.ObserveTaskRun(time.Duration(e.GetRanMs()) * time.Millisecond)
	default:
	}
}

// Decided logs a decision on a task.
func (a *runnerActor) LogDecision(event string, o runner.Order, details ...any) {
	klog.InfoS(event, append([]any{"job", o.Job, "step", o.Step, "index", o.Index, "run", o.Run}, details...)...)
}
