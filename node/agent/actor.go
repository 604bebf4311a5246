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
	// opened, closed and received come from the sessions with entries.
	opened   struct{ link *link }
	closed   struct{ link *link }
	received struct {
		link  *link
		batch *wire.EntryBatch
	}
	// finished brings the end of a task.
	finished struct {
		task   *wire.TaskStart
		record *wire.TaskRecord
	}
	// inspect runs a function on the executor's state.
	inspect struct {
		run  func(e *executor.Executor)
		done chan<- struct{}
	}
)

// executorActor owns the state of the agent.
type executorActor struct {
	agent    *Agent
	ctx      context.Context
	executor *executor.Executor
	live     map[string]*link
	told     uint32
	toldAt   time.Time
	expireAt time.Time
}

func newExecutorActor(ctx context.Context, a *Agent) *executorActor {
	e := &executorActor{agent: a, ctx: ctx, live: map[string]*link{}}
	c := a.deps.Config
	e.executor = executor.New(e, a, c.Agent().Slots, recordTime(c))
	return e
}

// Receive handles one message at a time.
func (e *executorActor) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case tick:
		e.tick()
	case drain:
		e.executor.Drain()
		e.tellAll()
	case opened:
		e.live[m.link.entry] = m.link
		e.executor.AttachEntry(m.link.entry)
	case closed:
		if e.live[m.link.entry] == m.link {
			delete(e.live, m.link.entry)
			e.executor.DetachEntry(m.link.entry)
		}
	case received:
		e.receive(m)
	case finished:
		e.executor.Finished(m.task, m.record)
	case inspect:
		m.run(e.executor)
		close(m.done)
	}
	load := e.executor.Load()
	e.agent.load.Store(load)
	idle := e.executor.Idle() && load.GetFree() == e.told
	if e.agent.idle.Swap(idle) && !idle {
		select {
		case e.agent.wake <- struct{}{}:
		default:
		}
	}
	if (load.GetFree() == 0) != (e.told == 0) && e.Now().Sub(e.toldAt) > fullGap {
		e.report(load.GetFree())
	}
}

// report tells every entry how many slots are free.
func (e *executorActor) report(free uint32) {
	e.told = free
	e.toldAt = e.Now()
	e.tellAll()
}

func (e *executorActor) tick() {
	now := e.Now()
	e.executor.Tick(now)
	if free := e.executor.Load().GetFree(); free != e.told {
		e.report(free)
	}
	if now.After(e.expireAt) {
		e.executor.Expire(now)
		e.expireAt = now.Add(expireEvery)
	}
}

// tellAll reports the load to every entry.
func (e *executorActor) tellAll() {
	for entry := range e.live {
		e.Send(entry, &wire.AgentFrame{Load: e.executor.Load()})
	}
}

func (e *executorActor) receive(m received) {
	if e.live[m.link.entry] != m.link {
		return
	}
	for _, f := range m.batch.GetFrames() {
		e.executor.HandleFrame(m.link.entry, f)
	}
}

// Now returns the wall time.
func (e *executorActor) Now() time.Time { return e.agent.deps.Clock.Now() }

// Send queues a frame for an entry.
func (e *executorActor) Send(entry string, f *wire.AgentFrame) {
	if l, known := e.live[entry]; known {
		l.out.Put(f)
	}
}

// Run starts a task at the endpoint.
func (e *executorActor) Run(t *wire.TaskStart) { go e.agent.run(e.ctx, t) }
