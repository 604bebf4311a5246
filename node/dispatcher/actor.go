package dispatcher

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/recovery"
	"github.com/corianderhook/corianderhook/common/suspension"
	"github.com/corianderhook/corianderhook/process/attachment"
	"github.com/corianderhook/corianderhook/process/fleet"
	"github.com/corianderhook/corianderhook/process/scheduler"
	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/sharing/separation"
	"github.com/corianderhook/corianderhook/wire"
)

// maxTickGap is the time between two ticks from which the scheduler counts as having stood still.
const maxTickGap = 5 * scheduler.TickInterval

// Messages to the scheduler actor.
type (
	tick   struct{ sentAt time.Time }
	submit struct {
		request scheduler.Request
		sentAt  time.Time
	}
	callerLeft struct{ job string }
	drainUntil struct{ at time.Time }
	// evacuationChanged means that the dispatcher's gate holds another set of zones.
	evacuationChanged struct{}
	// sessionOpened, sessionClosed and frameReceived come from the sessions of sidecars.
	sessionOpened struct {
		session    *session
		firstFrame *wire.SidecarFrame
	}
	sessionClosed struct{ session *session }
	frameReceived struct {
		session *session
		frame   *wire.SidecarFrame
	}
	// crashesLearned holds crashes of endpoints and quarantines that another dispatcher has
	// reported.
	crashesLearned struct {
		crashes     []*wire.Crash
		quarantines []*wire.Quarantine
	}
	// schedulerCall runs a function on the scheduler within the actor.
	schedulerCall struct {
		run  func(s *scheduler.Scheduler)
		done chan<- struct{}
	}
)

// schedulerActor serializes access to the scheduler and carries out its decisions.
type schedulerActor struct {
	dispatcher *Dispatcher
	scheduler  *scheduler.Scheduler
	sessions   map[string]*session
	// attachments tells late first frames from new ones.
	attachments *attachment.Log
	// neighbors tells which queues are kept apart; nil if that is off.
	neighbors   *separation.View
	suspensions suspensionDetector
}

// suspensionDetector reports how long the machine was suspended since the last call.
type suspensionDetector interface {
	SuspendedSinceLastCall() time.Duration
}

func newSchedulerActor(d *Dispatcher) *schedulerActor {
	a := &schedulerActor{dispatcher: d, sessions: map[string]*session{}, attachments: attachment.New(), suspensions: suspension.New()}
	options := []scheduler.Option{scheduler.WithCrashLog(d.crashes)}
	if d.deps.Sharing.Neighbors {
		a.neighbors = separation.New()
		options = append(options, scheduler.WithNeighbors(a.neighbors))
	}
	if d.deps.Sharing.Slowness {
		options = append(options, scheduler.WithSlowdowns())
	}
	if d.deps.Sharing.Room {
		options = append(options, scheduler.WithSharedRoom())
	}
	a.scheduler = scheduler.New(a, fleet.New(d.deps.Zone), d.firstRun, options...)
	return a
}

// Receive handles one message at a time. If handling a message panics, the message is
// dropped and the scheduler keeps its jobs.
func (a *schedulerActor) Receive(c actor.Context) {
	defer recovery.Catch("scheduler", func() { a.dispatcher.metrics.CountUnexpectedError("scheduler") })
	began := a.Now()
	defer func() { a.dispatcher.usage.AddTime(usage.DecisionTime, a.Now().Sub(began)) }()
	switch m := c.Message().(type) {
	case tick:
		a.endSuspension()
		a.observeTick(m)
		a.scheduler.Tick()
		if a.neighbors != nil {
			a.dispatcher.keptApart.Store(int64(a.neighbors.KeptCount()))
		}
		a.dispatcher.longestSilence.Store(int64(a.scheduler.Fleet().LongestSilence(a.Now())))
	case submit:
		a.submit(m)
	case callerLeft:
		a.dispatcher.inquiries.End(m.job, outcome.Unknown, a.Now())
		a.scheduler.CallerLeft(m.job)
	case drainUntil:
		a.scheduler.CapDeadlines(m.at)
	case evacuationChanged:
		a.scheduler.SetEvacuated(a.dispatcher.gate.State())
	case sessionOpened:
		a.attach(m)
	case sessionClosed:
		a.detach(m.session)
	case frameReceived:
		if a.sessions[m.session.sidecar] == m.session {
			m.session.takenStamp = m.frame.GetStampUs()
			a.learnCancellations(m.frame.GetCancellations())
			a.scheduler.HandleFrame(m.session.sidecar, m.frame)
			a.announceCrashes(m.frame)
			m.session.finishFrame()
		}
	case crashesLearned:
		if a.scheduler.HandleCrashes(m.crashes) {
			a.dispatcher.peers.requestRound()
		}
		a.scheduler.AdoptQuarantines(m.quarantines)
	case schedulerCall:
		m.run(a.scheduler)
		close(m.done)
	}
	a.dispatcher.jobCount.Store(int64(a.scheduler.JobCount()))
	a.dispatcher.agentCount.Store(int64(len(a.sessions)))
	quarantines := a.scheduler.Quarantines()
	a.dispatcher.quarantines.Store(&quarantines)
}

// submit passes a request to the scheduler, unless the machine was suspended since it was read: its
// caller may have left and have sent it again.
func (a *schedulerActor) submit(m submit) {
	if a.endSuspension() {
		m.request.Reply(answer.New(outcome.NotRun, "suspended", "this entry stood still").WithRetryAfter(busyRetryAfter))
		return
	}
	now := a.Now()
	waited := now.Sub(m.sentAt)
	a.dispatcher.pressure.Observe(waited, now)
	// The caller's time has run since the request was read.
	m.request.Elapsed += waited
	a.scheduler.Submit(m.request)
}

// endSuspension ends the jobs from before a suspension of the machine that has just ended. It
// reports whether there was one.
func (a *schedulerActor) endSuspension() bool {
	s := a.suspensions.SuspendedSinceLastCall()
	if s <= suspension.Threshold {
		return false
	}
	klog.InfoS("CH1003 process was suspended", "entry", a.dispatcher.deps.Name, "for", s)
	a.scheduler.AbortAll("this entry stood still for " + s.String())
	return true
}

// observeTick records when a tick was sent and handled, and logs if the one before was handled
// long ago.
func (a *schedulerActor) observeTick(t tick) {
	now := a.Now()
	if gap := now.Sub(*a.dispatcher.tickedAt.Load()); gap > maxTickGap {
		klog.InfoS("CH1030 scheduler stood still", "entry", a.dispatcher.deps.Name, "for", gap, "waited", now.Sub(t.sentAt))
	}
	a.dispatcher.tickedAt.Store(&now)
	a.dispatcher.tickWait.Store(int64(now.Sub(t.sentAt)))
}

func (a *schedulerActor) attach(m sessionOpened) {
	name := m.session.sidecar
	hello := m.firstFrame.GetHello()
	if !a.attachments.Accept(name, attachment.Hello{Incarnation: hello.GetIncarnation(), Stamp: m.firstFrame.GetStampUs()}, a.Now()) {
		klog.InfoS("CH1013 delayed session refused", "entry", a.dispatcher.deps.Name, "agent", name, "incarnation", hello.GetIncarnation())
		m.session.close()
		return
	}
	if previous, exists := a.sessions[name]; exists {
		previous.close()
	}
	a.sessions[name] = m.session
	m.session.takenStamp = m.firstFrame.GetStampUs()
	held := hello.GetHeld()
	if hello.GetDispatcher() != a.dispatcher.incarnation {
		held = nil
	}
	klog.InfoS("CH1011 agent attached", "entry", a.dispatcher.deps.Name, "agent", name, "zone", hello.GetZone(), "incarnation", hello.GetIncarnation(), "held", len(held))
	a.learnCancellations(m.firstFrame.GetCancellations())
	a.scheduler.AttachAgent(name, hello.GetZone(), held, m.firstFrame)
	a.announceCrashes(m.firstFrame)
	m.session.finishFrame()
	a.dispatcher.reachSessions(len(a.sessions))
}

func (a *schedulerActor) detach(s *session) {
	if a.sessions[s.sidecar] != s {
		return
	}
	delete(a.sessions, s.sidecar)
	a.attachments.Detach(s.sidecar, a.Now())
	klog.InfoS("CH1012 agent detached", "entry", a.dispatcher.deps.Name, "agent", s.sidecar)
	a.scheduler.DetachAgent(s.sidecar)
}

// Now returns the time of a monotonic clock.
func (a *schedulerActor) Now() time.Time { return a.dispatcher.deps.Clock.Now() }

// Send queues an offer for an agent and returns the number of its frame; false if the
// agent has no session or the session does not accept the frame.
func (a *schedulerActor) Send(agent string, o *wire.Offer) (uint64, bool) {
	s, known := a.sessions[agent]
	if !known {
		return 0, false
	}
	s.lastFrameNumber++
	o.DecidedUs = s.takenStamp
	return s.lastFrameNumber, s.put(&wire.DispatcherFrame{Number: s.lastFrameNumber, Offers: []*wire.Offer{o}})
}

// Cancel tells an agent to stop a task.
func (a *schedulerActor) Cancel(agent string, ref uint64) {
	if s, known := a.sessions[agent]; known {
		s.put(&wire.DispatcherFrame{Cancels: []uint64{ref}})
	}
}

// Withdraw asks an agent to return a task unless it has started.
func (a *schedulerActor) Withdraw(agent string, ref uint64) {
	if s, known := a.sessions[agent]; known {
		s.put(&wire.DispatcherFrame{Withdraws: []uint64{ref}})
	}
}

// LogDecision logs a decision on a job under a numbered event.
func (a *schedulerActor) LogDecision(event, job string, details ...any) {
	a.dispatcher.usage.Add(usage.Decisions, 1)
	klog.InfoS(event, append([]any{"job", job}, details...)...)
}
