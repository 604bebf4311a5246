package sidecar

import (
	"strings"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/recovery"
	"github.com/corianderhook/corianderhook/common/suspension"
	"github.com/corianderhook/corianderhook/process/cancellation"
	"github.com/corianderhook/corianderhook/process/crash"
	"github.com/corianderhook/corianderhook/process/pacing"
	"github.com/corianderhook/corianderhook/process/registration"
	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/sharing/slowdown"
	"github.com/corianderhook/corianderhook/sharing/startup"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// stopRetryInterval is the time between two stop orders for a run.
	stopRetryInterval = 20 * time.Millisecond
	// replayWindow is how long events are kept, to be sent again in a new session of the same
	// dispatcher.
	replayWindow = time.Second
)

// Messages to the runner actor.
type (
	tick                 struct{}
	drain                struct{ done chan<- struct{} }
	announcementReceived struct{ announcement registration.Announcement }
	announcementRestored struct{ announcement registration.Announcement }
	endpointLeft         struct{ instance string }
	// evacuationChanged means that the sidecar's gate holds another set of zones.
	evacuationChanged struct{}
	// sessionOpened, sessionClosed and frameReceived come from the sessions with dispatchers.
	sessionOpened struct {
		session *session
		welcome *wire.DispatcherFrame
	}
	sessionClosed struct{ session *session }
	// retireSession means that the session with an address is no longer needed.
	retireSession struct{ address string }
	frameReceived struct {
		session *session
		frame   *wire.DispatcherFrame
	}
	// startResult and stopResult carry the results of orders to the endpoint.
	startResult struct {
		name   string
		result runner.Result
		reason string
	}
	stopResult struct {
		name         string
		acknowledged bool
	}
	// endpointTakenOver means that the endpoint runs no earlier task and accepts only the
	// orders of this sidecar.
	endpointTakenOver struct {
		epoch *epoch
		// brokenAt is when a connection to the endpoint broke before, or zero.
		brokenAt time.Time
		reason   string
	}
	// listReceived and endpointUnavailable come from polling the endpoint.
	listReceived        struct{ report runner.Report }
	endpointUnavailable struct{ reason string }
	// endpointGone means that the incarnation that started at born has ended; its connections
	// broke at the given time.
	endpointGone struct{ born, at time.Time }
)

// sentEvent is an event kept for replayWindow.
type sentEvent struct {
	at    time.Time
	event *wire.TaskEvent
}

// runnerActor serializes access to the runner and carries out its decisions.
type runnerActor struct {
	sidecar      *Sidecar
	runner       *runner.Runner
	registration *registration.Registration
	sessions     map[uint64]*session
	// pendingEvents holds by dispatcher the events to send with the next frame,
	// urgentDispatchers those to which that frame must be sent at once.
	pendingEvents     map[uint64][]*wire.TaskEvent
	urgentDispatchers map[uint64]bool
	recentEvents      map[uint64][]sentEvent
	// storedAnnouncement is the announcement stored by an earlier sidecar, or nil.
	storedAnnouncement *registration.Announcement
	// epoch is the epoch in which orders are decided, nil before the first takeover.
	epoch *epoch
	// departingBorn is the start time of the last incarnation that has said that it leaves.
	departingBorn time.Time
	// crashes holds the recent crashes of the endpoint.
	crashes *crash.Log
	// cancellations holds the recently canceled jobs.
	cancellations *cancellation.Log
	// unavailableReason is the reason why the endpoint cannot be used, or empty.
	unavailableReason string
	draining          bool
	// leaseLapsed is true while the lease of the endpoint has lapsed, leaseLimited while it must
	// not be extended.
	leaseLapsed, leaseLimited bool
	// evacuated is true if endpointState says that the zone is evacuated.
	evacuated bool
	// endpointState is the current state for dispatchers, capacityReport the report, nil until a
	// frame needs it: most messages lead to none.
	endpointState  *wire.EndpointState
	capacityReport *wire.Room
	// scratch is reused by paces.
	scratch     []pacing.Session
	neighbors   neighbors
	suspensions suspensionDetector
}

// suspensionDetector reports how long the machine was suspended since the last call.
type suspensionDetector interface {
	SuspendedSinceLastCall() time.Duration
}

func newRunnerActor(s *Sidecar) *runnerActor {
	a := &runnerActor{
		sidecar: s, registration: registration.New(), sessions: map[uint64]*session{},
		pendingEvents: map[uint64][]*wire.TaskEvent{}, urgentDispatchers: map[uint64]bool{}, recentEvents: map[uint64][]sentEvent{},
		crashes: crash.NewLog(), cancellations: cancellation.New(), unavailableReason: "the endpoint has not answered yet", endpointState: &wire.EndpointState{},
		suspensions: suspension.New(),
	}
	options := a.neighbors.options(s.deps.Sharing.Neighbors)
	if s.deps.Sharing.Slowness {
		options = append(options, runner.WithSlowdowns(slowdown.New()))
	}
	if s.deps.Sharing.Room {
		options = append(options, runner.WithSharedRoom())
	}
	a.runner = runner.New(a, options...)
	return a
}

// Receive handles one message at a time. If handling a message panics, the takeover of the
// endpoint is repeated, so that no run continues of which the runner may have lost track.
func (a *runnerActor) Receive(c actor.Context) {
	defer recovery.Catch("runner", func() {
		a.sidecar.metrics.CountUnexpectedError("runner")
		a.sidecar.keeper.requestTakeover()
	})
	began := a.Now()
	defer func() { a.sidecar.usage.AddTime(usage.DecisionTime, a.Now().Sub(began)) }()
	// What the message says may be from before the suspension.
	if d := a.suspensions.SuspendedSinceLastCall(); d > suspension.Threshold {
		a.handleResumption(d)
	}
	a.handle(c.Message())
	a.limitLease()
	a.sidecar.taskCount.Store(int64(a.runner.TaskCount()))
	// A frame that was sent while the message was handled had a report of that moment.
	a.capacityReport = nil
	a.flush()
	a.capacityReport = nil
	a.sidecar.ticker.require(pacing.Next(a.Now(), a.paces(), pacing.Tasks{Held: a.runner.TaskCount(), Waiting: a.runner.Waiting()}))
}

// handle applies a message to the runner.
func (a *runnerActor) handle(message any) {
	switch m := message.(type) {
	case tick:
		a.checkLease()
		a.runner.Tick()
		if a.sidecar.stalls.Recent(a.Now()) > 0 {
			a.runner.StoodStill()
		}
		a.compareNeighbors()
		a.sidecar.runsInDoubt.Store(int64(a.runner.InDoubt()))
		a.tick()
	case drain:
		a.draining = true
		a.updateEndpointState()
		close(m.done)
	case announcementReceived:
		a.handleAnnouncement(m.announcement)
	case announcementRestored:
		a.storedAnnouncement = &m.announcement
		a.restoreAnnouncement()
	case endpointLeft:
		a.handleDeparture(m.instance)
	case evacuationChanged:
		a.applyEvacuation()
	case sessionOpened:
		a.openSession(m)
	case sessionClosed:
		if a.sessions[m.session.dispatcher] == m.session {
			delete(a.sessions, m.session.dispatcher)
		}
	case retireSession:
		a.retireSession(m.address)
	case frameReceived:
		a.handleFrame(m.session, m.frame)
	case startResult:
		a.runner.Started(m.name, m.result, m.reason)
	case stopResult:
		a.runner.Stopped(m.name, m.acknowledged)
	case endpointTakenOver:
		a.handleTakeover(m)
	case listReceived:
		a.handleList(m.report)
	case endpointUnavailable:
		a.unavailableReason = m.reason
		a.updateEndpointState()
	case endpointGone:
		a.recordCrash(m.born, m.at)
	}
}

// handleTakeover applies that the endpoint has been taken over: it runs no earlier task. If it
// is another incarnation than before, the previous one has crashed unless it had announced its
// end.
func (a *runnerActor) handleTakeover(m endpointTakenOver) {
	if a.epoch != nil && !a.epoch.born.Equal(m.epoch.born) {
		at := m.brokenAt
		if at.IsZero() {
			at = a.Now()
		}
		a.recordCrash(a.epoch.born, at)
	}
	a.epoch = m.epoch
	a.runner.EndpointRestarted(m.reason)
	a.unavailableReason = ""
	a.restoreAnnouncement()
	a.updateEndpointState()
}

// handleList applies the endpoint's report to the runner and stops the unknown runs.
func (a *runnerActor) handleList(report runner.Report) {
	a.sidecar.lastListStamp.Store(a.sidecar.stamp())
	if a.unavailableReason != "" {
		a.unavailableReason = ""
		a.updateEndpointState()
	}
	for _, run := range a.runner.HandleReport(report) {
		klog.InfoS("CH1114 endpoint reports an unknown run", "agent", a.sidecar.deps.Name, "job", run.Job, "step", run.Step, "index", run.Index, "run", run.Run)
		go a.sidecar.keeper.stopStray(run)
	}
}

// openSession sends the first frame of a new session: the tasks held for the dispatcher, the
// state of the endpoint and the recent events.
func (a *runnerActor) openSession(m sessionOpened) {
	s := m.session
	s.dispatcher = m.welcome.GetIncarnation()
	a.sidecar.handleEvacuation(m.welcome.GetEvacuation(), s.openedStamp, s.address)
	a.applyEvacuation()
	a.learnCancellations(m.welcome.GetCancellations())
	a.sessions[s.dispatcher] = s
	if openedAt := a.sidecar.stampTime(s.openedStamp); m.welcome.GetEchoesHandled() {
		a.runner.Opened(s.dispatcher, s.address, openedAt)
	} else {
		a.runner.Heard(s.dispatcher, s.address, openedAt)
	}
	f := &wire.SidecarFrame{
		StampUs: a.sidecar.stamp(),
		Hello: &wire.SidecarHello{
			Name: a.sidecar.deps.Name, Zone: a.sidecar.deps.Zone, Incarnation: a.sidecar.incarnation,
			Dispatcher: s.dispatcher, Held: a.runner.HeldBy(s.dispatcher),
		},
		Endpoint: a.stateFor(s), Crashes: a.recentCrashes(), Cancellations: a.cancellations.Recent(a.Now()),
	}
	for _, e := range a.recentEvents[s.dispatcher] {
		f.Events = append(f.Events, e.event)
	}
	delete(a.pendingEvents, s.dispatcher)
	a.capacityReport = nil
	a.sendFrame(s, f)
}

func (a *runnerActor) handleFrame(s *session, f *wire.DispatcherFrame) {
	if a.sessions[s.dispatcher] != s {
		return
	}
	a.sidecar.handleEvacuation(f.GetEvacuation(), f.GetEchoUs(), s.address)
	a.applyEvacuation()
	if interval := f.GetRoomEveryMs(); interval > 0 {
		s.reportInterval = time.Duration(interval) * time.Millisecond
	}
	if f.GetNumber() > 0 {
		s.lastFrameNumber = f.GetNumber()
	}
	a.learnCancellations(f.GetCancellations())
	if f.GetEchoUs() > 0 {
		a.runner.Heard(s.dispatcher, s.address, a.sidecar.stampTime(f.GetEchoUs()))
	}
	a.returnCanceled(s, f)
	a.runner.HandleFrame(s.dispatcher, f)
}

// flush sends the pending events that cannot wait for the next tick.
func (a *runnerActor) flush() {
	for d := range a.urgentDispatchers {
		a.sendPending(d)
	}
	clear(a.urgentDispatchers)
}

// sendPending sends a frame with the pending events of a dispatcher.
func (a *runnerActor) sendPending(dispatcher uint64) {
	if s, known := a.sessions[dispatcher]; known {
		a.sendFrame(s, &wire.SidecarFrame{Events: a.pendingEvents[dispatcher]})
	}
	delete(a.pendingEvents, dispatcher)
}

// sendFrame queues a frame, completed with the current capacity report.
func (a *runnerActor) sendFrame(s *session, f *wire.SidecarFrame) {
	if a.capacityReport == nil {
		a.capacityReport = a.runner.Room()
		a.sidecar.slownessPercent.Store(a.capacityReport.GetSlownessPercent())
	}
	f.Room = a.capacityReport
	f.Seen = s.lastFrameNumber
	f.Slowings = a.neighbors.newSince(&s.sentSlowings)
	s.sentReport = a.capacityReport
	s.out.Put(f)
}

// Now returns the time of a monotonic clock.
func (a *runnerActor) Now() time.Time { return a.sidecar.deps.Clock.Now() }

// StampTime returns the time of a stamp.
func (a *runnerActor) StampTime(us uint64) time.Time { return a.sidecar.stampTime(us) }

// Start sends a start order to the endpoint; the result arrives as a startResult.
func (a *runnerActor) Start(name string, o runner.Order) {
	a.sidecar.reachStep(startup.TaskStarted)
	e, decidedAt, endBy := a.epoch, a.Now(), a.runner.OrphanEnd(name)
	go func() {
		result, reason := a.sidecar.keeper.start(e, o, decidedAt, endBy)
		a.sidecar.deps.System.Root.Send(a.sidecar.runner, startResult{name: name, result: result, reason: reason})
	}()
}

// Stop sends a stop order to the endpoint; the result arrives as a stopResult.
func (a *runnerActor) Stop(name string, o runner.Order) {
	go a.sidecar.keeper.stop(name, runner.RunName{Job: o.Job, Step: o.Step, Index: o.Index, Run: o.Run})
}

// Send queues events for a dispatcher. They are sent at once, except that the event of a
// start waits for the next frame.
func (a *runnerActor) Send(dispatcher uint64, events ...*wire.TaskEvent) {
	a.pendingEvents[dispatcher] = append(a.pendingEvents[dispatcher], events...)
	now := a.Now()
	for _, e := range events {
		a.countEvent(e)
		a.recentEvents[dispatcher] = append(a.recentEvents[dispatcher], sentEvent{at: now, event: e})
		if e.GetKind() != wire.TaskEventKind_TASK_EVENT_KIND_STARTED {
			a.urgentDispatchers[dispatcher] = true
		}
	}
}

// countEvent updates the metrics for an event of a task.
func (a *runnerActor) countEvent(e *wire.TaskEvent) {
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

// LogDecision logs a decision on a task under a numbered event.
func (a *runnerActor) LogDecision(event string, o runner.Order, details ...any) {
	a.sidecar.usage.Add(usage.Decisions, 1)
	klog.InfoS(event, append([]any{"job", o.Job, "step", o.Step, "index", o.Index, "run", o.Run}, details...)...)
}
