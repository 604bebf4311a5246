package replay

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/corianderhook/corianderhook/process/crash"
	"github.com/corianderhook/corianderhook/process/lease"
	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/sharing/interference"
	"github.com/corianderhook/corianderhook/wire"
)

// sidecar is a sidecar's runner with a simulated host and endpoint.
type sidecar struct {
	world  *world
	name   string
	runner *runner.Runner
	// pending holds the events to be sent, seen the number of the last frame received, and
	// sentAt and reportedFreeCPU the time and free CPU of the last frame sent. All are by the
	// incarnation of the entry.
	pending         map[uint64][]*wire.TaskEvent
	seen            map[uint64]uint64
	sentAt          map[uint64]time.Time
	reportedFreeCPU map[uint64]int
	capacity        size.Size
	usedCPU         int
	// runFactor multiplies run times; it is 1 for an endpoint of ordinary speed.
	runFactor float64
	// suspended sidecars lose every message.
	suspended bool
	// hangs is set if the endpoint never ends the runs it starts, fails if each fails after
	// failureDelay.
	hangs bool
	fails bool
	// runs and ended hold the keys of the runs at the endpoint, see runKey.
	runs map[string]bool
	// unansweredShare is the share of start orders that get no answer; the endpoint carries
	// them out after startDelay.
	unansweredShare float64
	startDelay      time.Duration
	ended           map[string]bool
	// born is the start of the endpoint's incarnation, down is set while it has crashed.
	born time.Time
	down bool
	// crashes holds the crashes of the endpoint for new sessions.
	crashes *crash.Log
	// unreadEnds holds the runs that ended while the sidecar was suspended.
	unreadEnds []runner.End
	// works holds the runs whose speed depends on what runs beside them, by runKey.
	works map[string]*work
	// neighbors estimates what slows what; nil if nobody wants to know.
	neighbors    *interference.Estimator
	sentSlowings map[uint64]uint64
}

func newSidecar(w *world, name string, runFactor float64) *sidecar {
	s := &sidecar{
		world: w, name: name, runFactor: runFactor, capacity: size.Size{CPU: 32000, Memory: 131072},
		pending: map[uint64][]*wire.TaskEvent{}, seen: map[uint64]uint64{}, sentAt: map[uint64]time.Time{},
		reportedFreeCPU: map[uint64]int{}, runs: map[string]bool{}, ended: map[string]bool{}, born: w.now, crashes: crash.NewLog(),
	}
	s.runner = runner.New(s, s.runnerOptions()...)
	s.runner.Accept(s.capacity)
	for _, e := range w.entries {
		if !w.connected(e, name) {
			continue
		}
		e.scheduler.AttachAgent(name, "zone", nil, &wire.SidecarFrame{Endpoint: s.endpointState(), Room: s.runner.Room()})
		s.runner.Heard(e.incarnation, fmt.Sprint(e.incarnation%100), w.now)
	}
	return s
}

func (s *sidecar) Now() time.Time { return s.world.now }

func (s *sidecar) StampTime(us uint64) time.Time { return time.UnixMicro(int64(us)) }

func (s *sidecar) Send(dispatcher uint64, events ...*wire.TaskEvent) {
	s.pending[dispatcher] = append(s.pending[dispatcher], events...)
}

func (s *sidecar) LogDecision(string, runner.Order, ...any) {}

func (s *sidecar) offer(e *entry, number uint64, o *wire.Offer) {
	if s.suspended || e.crashed {
		return
	}
	s.seen[e.incarnation] = number
	s.runner.Heard(e.incarnation, fmt.Sprint(e.incarnation%100), s.world.now)
	s.runner.Offer(e.incarnation, o)
	s.flush()
}

// flush sends the pending events to each entry for which there are any except starts; starts
// alone wait for the next tick.
func (s *sidecar) flush() {
	for _, e := range s.world.entries {
		for _, one := range s.pending[e.incarnation] {
			if one.GetKind() != wire.TaskEventKind_TASK_EVENT_KIND_STARTED {
				s.send(e)
				break
			}
		}
	}
}

func (s *sidecar) send(e *entry) {
	f := &wire.SidecarFrame{Room: s.runner.Room(), Seen: s.seen[e.incarnation], Events: s.pending[e.incarnation], Slowings: s.newSlowings(e)}
	s.pending[e.incarnation] = nil
	s.sentAt[e.incarnation] = s.world.now
	s.reportedFreeCPU[e.incarnation] = int(f.GetRoom().GetFree().GetCpu())
	s.world.after(messageLatency, func() {
		if e.crashed {
			return
		}
		sentAt := s.world.now.Add(-messageLatency)
		e.take(func() {
			e.scheduler.HandleFrame(s.name, f)
			e.deliver(func() {
				if !s.suspended && !e.crashed {
					s.runner.Heard(e.incarnation, fmt.Sprint(e.incarnation%100), sentAt)
				}
			})
		})
	})
}

func (s *sidecar) tick() {
	if s.suspended {
		return
	}
	s.runner.Tick()
	s.evaluateNeighbors()
	free := int(s.runner.Room().GetFree().GetCpu())
	for _, e := range s.world.entries {
		if !s.world.connected(e, s.name) {
			continue
		}
		change := free - s.reportedFreeCPU[e.incarnation]
		due := s.world.now.Sub(s.sentAt[e.incarnation]) >= heartbeatInterval
		if due || len(s.pending[e.incarnation]) > 0 || change > 1000 || change < -1000 {
			s.send(e)
		}
	}
}

func runName(o runner.Order) runner.RunName {
	return runner.RunName{Job: o.Job, Step: o.Step, Index: o.Index, Run: o.Run}
}

func taskName(n runner.RunName) string { return fmt.Sprintf("%s.%d.%d", n.Job, n.Step, n.Index) }

func runKey(n runner.RunName) string { return fmt.Sprintf("%s.%d", taskName(n), n.Run) }

// Start orders a run at the endpoint.
func (s *sidecar) Start(name string, o runner.Order) {
	w := s.world
	if s.unansweredShare > 0 && w.random.Float64() < s.unansweredShare {
		w.after(s.startDelay, func() { s.beginRun(o) })
		w.after(60*time.Millisecond, func() {
			if !s.suspended {
				s.runner.Started(name, runner.Doubtful, "no answer")
				s.flush()
			}
		})
		return
	}
	w.after(orderLatency, func() {
		if s.down {
			s.runner.Started(name, runner.Doubtful, "connection refused")
			return
		}
		taken := s.beginRun(o)
		w.after(orderLatency, func() {
			result := runner.Running
			if !taken {
				result = runner.Refused
			}
			if !s.suspended {
				s.runner.Started(name, result, "")
				s.flush()
			}
		})
	})
}

// beginRun starts a run as an endpoint does and reports whether it is running. It ignores a run
// that is already running and refuses one that has ended. It checks that the endpoint stays
// within its capacity and that no task runs twice at a time.
func (s *sidecar) beginRun(o runner.Order) bool {
	n := runName(o)
	if s.runs[runKey(n)] {
		return true
	}
	if s.ended[runKey(n)] {
		return false
	}
	j := s.world.jobs[o.Job]
	s.runs[runKey(n)] = true
	s.usedCPU += j.cpu
	s.world.running[taskName(n)]++
	if s.usedCPU > s.capacity.CPU {
		s.world.t.Errorf("%s: endpoint of %s runs %d of %d millicores", s.world.now, s.name, s.usedCPU, s.capacity.CPU)
	}
	if s.world.running[taskName(n)] > 1 {
		s.world.t.Errorf("%s: task %s runs twice at a time", s.world.now, taskName(n))
	}
	s.world.countStart(n)
	switch {
	case j.deadly && n.Index == 0:
		s.world.after(j.kind.deadlyDelay, func() {
			if s.runs[runKey(n)] {
				s.crashEndpoint()
			}
		})
	case s.fails:
		s.world.after(failureDelay, func() { s.endRun(n, runner.EndFailed) })
	case !s.hangs:
		s.beginWork(n, time.Duration(float64(j.run)*s.runFactor*runTimeRatio(j, n)))
	}
	return true
}

// runTimeRatio returns the ratio of a task's run time to that of its job. It is derived from the
// task's name, so that it is the same for every run of the task.
func runTimeRatio(j job, n runner.RunName) float64 {
	if j.kind.runVariation == 0 {
		return 1
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(taskName(n)))
	return max(0.5, 1+j.kind.runVariation*rand.New(rand.NewPCG(h.Sum64(), 1)).NormFloat64())
}

// endRun ends a run at the endpoint and reports it to the sidecar.
func (s *sidecar) endRun(n runner.RunName, how runner.EndKind) {
	if !s.runs[runKey(n)] {
		return
	}
	delete(s.runs, runKey(n))
	s.ended[runKey(n)] = true
	s.usedCPU -= s.world.jobs[n.Job].cpu
	s.world.running[taskName(n)]--
	s.endWork(n)
	end := runner.End{RunName: n, Kind: how}
	if s.suspended {
		s.unreadEnds = append(s.unreadEnds, end)
		return
	}
	s.world.after(orderLatency, func() {
		s.runner.HandleReport(runner.Report{RequestedAt: s.world.now, Ended: []runner.End{end}})
		s.flush()
	})
}

// suspend stops the sidecar for d. Its sessions break, and its lease at the endpoint expires
// unless it resumes before, which ends its runs.
func (s *sidecar) suspend(d time.Duration) {
	if s.suspended {
		return
	}
	w := s.world
	s.suspended = true
	for _, e := range w.entries {
		e.scheduler.DetachAgent(s.name)
	}
	w.after(lease.Duration*102/100, func() {
		if s.suspended {
			for _, n := range s.runningRuns() {
				s.endRun(n, runner.EndStopped)
			}
		}
	})
	w.after(d, s.resume)
}

// resume reports the runs that ended meanwhile and opens new sessions.
func (s *sidecar) resume() {
	s.suspended = false
	s.runner.HandleReport(runner.Report{RequestedAt: s.world.now, Ended: s.unreadEnds})
	s.unreadEnds = nil
	s.runner.Tick()
	for _, e := range s.world.entries {
		if e.crashed || !s.world.connected(e, s.name) {
			continue
		}
		s.runner.Heard(e.incarnation, fmt.Sprint(e.incarnation%100), s.world.now)
		first := s.firstFrame()
		first.Events = s.pending[e.incarnation]
		delete(s.pending, e.incarnation)
		e.scheduler.AttachAgent(s.name, "zone", s.runner.HeldBy(e.incarnation), first)
		s.send(e)
	}
}

// firstFrame returns the first frame of a new session.
func (s *sidecar) firstFrame() *wire.SidecarFrame {
	f := &wire.SidecarFrame{Endpoint: s.endpointState(), Room: s.runner.Room()}
	for _, r := range s.crashes.Recent(crash.Retention, s.world.now) {
		f.Crashes = append(f.Crashes, r.Wire(s.world.now))
	}
	return f
}

func (s *sidecar) endpointState() *wire.EndpointState {
	return &wire.EndpointState{
		Service: "service", Accepting: !s.down, BornMs: s.born.UnixMilli(), Capacity: &wire.Size{Cpu: uint32(s.capacity.CPU), Memory: uint32(s.capacity.Memory)},
	}
}

// Stop orders the end of a run at the endpoint.
func (s *sidecar) Stop(name string, o runner.Order) {
	n := runName(o)
	s.world.after(orderLatency, func() {
		if s.down {
			s.world.after(20*time.Millisecond, func() { s.runner.Stopped(name, false) })
			return
		}
		s.ended[runKey(n)] = true
		s.world.after(lease.StopDuration/2, func() {
			if s.runs[runKey(n)] {
				s.endRun(n, runner.EndStopped)
			}
		})
		s.world.after(orderLatency, func() {
			s.runner.Stopped(name, true)
			requestedAt := s.world.now.Add(time.Microsecond)
			s.world.after(lease.StopDuration, func() {
				s.reportAllRuns(requestedAt)
			})
		})
	})
}

// reportAllRuns passes a complete list of the endpoint's runs to the runner.
func (s *sidecar) reportAllRuns(requestedAt time.Time) {
	s.runner.HandleReport(runner.Report{RequestedAt: requestedAt, Running: s.runningRuns(), Complete: true})
	s.flush()
}

// runningRuns parses the names of the runs at the endpoint from their keys.
func (s *sidecar) runningRuns() []runner.RunName {
	var runningRuns []runner.RunName
	for key := range s.runs {
		var n runner.RunName
		if _, err := fmt.Sscanf(key[16:], ".%d.%d.%d", &n.Step, &n.Index, &n.Run); err != nil {
			s.world.t.Fatal(err)
		}
		n.Job = key[:16]
		runningRuns = append(runningRuns, n)
	}
	return runningRuns
}

// resize changes the endpoint's CPU capacity.
func (s *sidecar) resize(cpu int) {
	s.capacity.CPU = cpu
	s.runner.Accept(s.capacity)
	for _, e := range s.world.entries {
		e.scheduler.HandleFrame(s.name, &wire.SidecarFrame{Endpoint: s.endpointState(), Room: s.runner.Room()})
	}
}
