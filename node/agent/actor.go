package agent

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/corianderhook/corianderhook/process/executor"
	"github.com/corianderhook/corianderhook/wire"
)

// Messages to the executor actor.
type (
	tick  struct{}
	drain struct{}
	// configChanged means that another configuration is in force.
	configChanged struct{}
	// sessionOpened, sessionClosed and batchReceived come from the sessions with entries.
	sessionOpened struct{ session *session }
	sessionClosed struct{ session *session }
	batchReceived struct {
		session *session
		batch   *wire.EntryBatch
	}
	// taskFinished reports that a task has ended, or was not started.
	taskFinished struct {
		task   *wire.TaskStart
		record *wire.TaskRecord
	}
	// inspect runs a function on the executor's state.
	inspect struct {
		run  func(e *executor.Executor)
		done chan<- struct{}
	}
)

// executorActor owns the executor. It implements executor.Host.
type executorActor struct {
	agent    *Agent
	ctx      context.Context
	executor *executor.Executor
	// sessions holds the current session with each entry, by the entry's instance.
	sessions map[string]*session
	// reportedFree is the number of free task slots last reported to all entries, at
	// reportedAt.
	reportedFree uint32
	reportedAt   time.Time
	nextExpiry   time.Time
}

func newExecutorActor(ctx context.Context, a *Agent) *executorActor {
	e := &executorActor{agent: a, ctx: ctx, sessions: map[string]*session{}}
	c := a.deps.Config
	e.executor = executor.New(e, a, c.Agent().Slots, recordRetention(c))
	e.executor.SetEvacuated(a.evacuated())
	return e
}

// Receive handles one message at a time.
func (e *executorActor) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case tick:
		e.tick()
	case drain:
		e.executor.Drain()
		e.sendLoad()
	case configChanged:
		e.executor.SetEvacuated(e.agent.evacuated())
	case sessionOpened:
		e.sessions[m.session.entry] = m.session
		e.executor.AttachEntry(m.session.entry)
	case sessionClosed:
		if e.sessions[m.session.entry] == m.session {
			delete(e.sessions, m.session.entry)
			e.executor.DetachEntry(m.session.entry)
		}
	case batchReceived:
		e.receive(m)
	case taskFinished:
		e.executor.Finished(m.task, m.record)
	case inspect:
		m.run(e.executor)
		close(m.done)
	}
	load := e.executor.Load()
	e.agent.load.Store(load)
	idle := e.executor.Idle() && load.GetFree() == e.reportedFree
	if e.agent.idle.Swap(idle) && !idle {
		select {
		case e.agent.wake <- struct{}{}:
		default:
		}
	}
	if (load.GetFree() == 0) != (e.reportedFree == 0) && e.Now().Sub(e.reportedAt) > minFullReportInterval {
		e.reportFree(load.GetFree())
	}
}

// reportFree reports the load to every entry after the number of free task slots has changed.
func (e *executorActor) reportFree(free uint32) {
	e.reportedFree = free
	e.reportedAt = e.Now()
	e.sendLoad()
}

func (e *executorActor) tick() {
	now := e.Now()
	e.executor.Tick(now)
	if free := e.executor.Load().GetFree(); free != e.reportedFree {
		e.reportFree(free)
	}
	if now.After(e.nextExpiry) {
		e.executor.Expire(now)
		e.nextExpiry = now.Add(expireInterval)
	}
}

// sendLoad reports the load to every entry.
func (e *executorActor) sendLoad() {
	for entry := range e.sessions {
		e.Send(entry, &wire.AgentFrame{Load: e.executor.Load()})
	}
}

// receive handles the frames of a batch, unless a newer session has replaced the sender.
func (e *executorActor) receive(m batchReceived) {
	if e.sessions[m.session.entry] != m.session {
		return
	}
	for _, f := range m.batch.GetFrames() {
		e.executor.HandleFrame(m.session.entry, f)
	}
}

// Now returns the wall time.
func (e *executorActor) Now() time.Time { return e.agent.deps.Clock.Now() }

// Send queues a frame for an entry, or drops it if there is no session.
func (e *executorActor) Send(entry string, f *wire.AgentFrame) {
	if s, known := e.sessions[entry]; known {
		s.out.Put(f)
	}
}

// Run starts a task at the endpoint without waiting for it.
func (e *executorActor) Run(t *wire.TaskStart) { go e.agent.runTask(e.ctx, t) }
