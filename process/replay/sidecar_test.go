package replay

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/wire"
)

// sidecar is a sidecar's decisions with their host and an endpoint.
type sidecar struct {
	world    *world
	name     string
	runner   *runner.Runner
	pending  map[uint64][]*wire.TaskEvent
	seen     map[uint64]uint64
	sentAt   map[uint64]time.Time
	told     map[uint64]int
	capacity size.Size
	used     int
	// speed is how long runs take, 1 for ordinary; frozen loses every message.
	speed  float64
	frozen bool
	// hangs: what starts never ends. fails: it fails soon.
	hangs bool
	fails bool
	runs  map[string]bool
	// doubtful is the share of start orders that get no answer; late ones are carried
	// out after lateBy.
	doubtful float64
	lateBy   time.Duration
	ended    map[string]bool
	// unread are ends that the sidecar has not seen.
	unread []runner.End
}

func newSidecar(w *world, name string, speed float64) *sidecar {
	s := &sidecar{
		world: w, name: name, speed: speed, capacity: size.Size{CPU: 32000, Memory: 131072},
		pending: map[uint64][]*wire.TaskEvent{}, seen: map[uint64]uint64{}, sentAt: map[uint64]time.Time{},
		told: map[uint64]int{}, runs: map[string]bool{}, ended: map[string]bool{},
	}
	s.runner = runner.New(s)
	s.runner.Accept(s.capacity)
	for _, e := range w.entries {
		e.scheduler.AttachAgent(name, "zone", nil, &wire.SidecarFrame{Endpoint: s.endpoint(), Room: s.runner.Room()})
		s.runner.Heard(e.incarnation, fmt.Sprint(e.incarnation%100), w.now)
	}
	return s
}

func (s *sidecar) Now() time.Time { return s.world.now }

func (s *sidecar) Send(dispatcher uint64, events ...*wire.TaskEvent) {
	s.pending[dispatcher] = append(s.pending[dispatcher], events...)
}

func (s *sidecar) Decided(string, runner.Order, ...any) {}

func (s *sidecar) offer(e *entry, number uint64, o *wire.Offer) {
	if s.frozen || e.dead {
		return
	}
	s.seen[e.incarnation] = number
	s.runner.Heard(e.incarnation, fmt.Sprint(e.incarnation%100), s.world.now)
	s.runner.Offer(e.incarnation, o)
	s.flush()
}

// flush sends pending events, but for starts, which wait for a tick.
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
	f := &wire.SidecarFrame{Room: s.runner.Room(), Seen: s.seen[e.incarnation], Events: s.pending[e.incarnation]}
	s.pending[e.incarnation] = nil
	s.sentAt[e.incarnation] = s.world.now
	s.told[e.incarnation] = int(f.GetRoom().GetFree().GetCpu())
	s.world.after(hop, func() {
		if e.dead {
			return
		}
		e.scheduler.HandleFrame(s.name, f)
		s.world.after(hop, func() {
			if !s.frozen && !e.dead {
				s.runner.Heard(e.incarnation, fmt.Sprint(e.incarnation%100), s.world.now.Add(-2*hop))
			}
		})
	})
}

func (s *sidecar) tick() {
	if s.frozen {
		return
	}
	s.runner.Tick()
	free := int(s.runner.Room().GetFree().GetCpu())
	for _, e := range s.world.entries {
		change := free - s.told[e.incarnation]
		due := s.world.now.Sub(s.sentAt[e.incarnation]) >= heartbeat
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
	if s.doubtful > 0 && w.random.Float64() < s.doubtful {
		w.after(s.lateBy, func() { s.begin(o) })
		w.after(60*time.Millisecond, func() {
			if !s.frozen {
				s.runner.Started(name, runner.Doubtful, "no answer")
				s.flush()
			}
		})
		return
	}
	w.after(orderHop, func() {
		taken := s.begin(o)
		w.after(orderHop, func() {
			result := runner.Running
			if !taken {
				result = runner.Refused
			}
			if !s.frozen {
				s.runner.Started(name, result, "")
				s.flush()
			}
		})
	})
}

// begin starts a run as an endpoint does: a run that is there is left alone, one
// that has ended, or a lower one, is refused.
func (s *sidecar) begin(o runner.Order) bool {
	n := runName(o)
	if s.runs[runKey(n)] {
		return true
	}
	if s.ended[runKey(n)] {
		return false
	}
	j := s.world.works[o.Job]
	s.runs[runKey(n)] = true
	s.used += j.cpu
	s.world.running[taskName(n)]++
	if s.used > s.capacity.CPU {
		s.world.t.Errorf("%s: endpoint of %s runs %d of %d thousandths of a core", s.world.now, s.name, s.used, s.capacity.CPU)
	}
	if s.world.running[taskName(n)] > 1 {
		s.world.t.Errorf("%s: task %s runs twice at a time", s.world.now, taskName(n))
	}
	switch {
	case s.fails:
		s.world.after(failsAfter, func() { s.finish(n, runner.EndedFailed) })
	case !s.hangs:
		s.world.after(time.Duration(float64(j.run)*s.speed*uneven(j, n)), func() { s.finish(n, runner.EndedWell) })
	}
	return true
}

// uneven is how long a task runs set against its job's others, where they differ.
func uneven(j job, n runner.RunName) float64 {
	if j.kind.uneven == 0 {
		return 1
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(taskName(n)))
	return max(0.5, 1+j.kind.uneven*rand.New(rand.NewPCG(h.Sum64(), 1)).NormFloat64())
}

func (s *sidecar) finish(n runner.RunName, how runner.How) {
	if !s.runs[runKey(n)] {
		return
	}
	delete(s.runs, runKey(n))
	s.ended[runKey(n)] = true
	s.used -= s.world.works[n.Job].cpu
	s.world.running[taskName(n)]--
	end := runner.End{RunName: n, How: how}
	if s.frozen {
		s.unread = append(s.unread, end)
		return
	}
	s.world.after(orderHop, func() {
		s.runner.Report(runner.Report{Asked: s.world.now, Ended: []runner.End{end}})
		s.flush()
	})
}

// freeze has the sidecar stand still. Its lease at the endpoint runs out meanwhile,
// and its sessions break.
func (s *sidecar) freeze(d time.Duration) {
	if s.frozen {
		return
	}
	w := s.world
	s.frozen = true
	for _, e := range w.entries {
		e.scheduler.DetachAgent(s.name)
	}
	w.after(runner.Lease*102/100, func() {
		if s.frozen {
			for _, n := range s.list() {
				s.finish(n, runner.EndedOtherwise)
			}
		}
	})
	w.after(d, s.thaw)
}

// thaw reads what happened meanwhile and opens new sessions.
func (s *sidecar) thaw() {
	s.frozen = false
	s.runner.Report(runner.Report{Asked: s.world.now, Ended: s.unread})
	s.unread = nil
	s.runner.Tick()
	for _, e := range s.world.entries {
		if e.dead {
			continue
		}
		s.runner.Heard(e.incarnation, fmt.Sprint(e.incarnation%100), s.world.now)
		first := &wire.SidecarFrame{Endpoint: s.endpoint(), Room: s.runner.Room(), Events: s.pending[e.incarnation]}
		delete(s.pending, e.incarnation)
		e.scheduler.AttachAgent(s.name, "zone", s.runner.Held(e.incarnation), first)
		s.send(e)
	}
}

// die ends an entry for a time; its callers see their connections break at once.
func (e *entry) die(d time.Duration) {
	if e.dead {
		return
	}
	e.dead = true
	broken := e.callers
	e.callers = map[string]func(){}
	for _, id := range slices.Sorted(maps.Keys(broken)) {
		broken[id]()
	}
	e.world.after(d, func() { e.rise() })
}

// rise starts an entry anew that knows nothing of before.
func (e *entry) rise() {
	w := e.world
	next := newEntry(w, uint64(len(w.entries)+1))
	w.entries[slices.Index(w.entries, e)] = next
	next.incarnation = e.incarnation + 100
	for _, s := range w.sidecars {
		if s.frozen {
			continue
		}
		s.runner.Heard(next.incarnation, fmt.Sprint(e.incarnation%100), w.now)
		next.scheduler.AttachAgent(s.name, "zone", nil, &wire.SidecarFrame{Endpoint: s.endpoint(), Room: s.runner.Room()})
	}
}

func (s *sidecar) endpoint() *wire.EndpointState {
	return &wire.EndpointState{
		Service: "service", Accepting: true, Capacity: &wire.Size{Cpu: uint32(s.capacity.CPU), Memory: uint32(s.capacity.Memory)},
	}
}

// Stop orders the end of a run at the endpoint.
func (s *sidecar) Stop(name string, o runner.Order) {
	n := runName(o)
	s.world.after(orderHop, func() {
		s.ended[runKey(n)] = true
		s.world.after(runner.Reset/2, func() {
			if s.runs[runKey(n)] {
				s.finish(n, runner.EndedOtherwise)
			}
		})
		s.world.after(orderHop, func() {
			s.runner.Stopped(name, true)
			asked := s.world.now.Add(time.Microsecond)
			s.world.after(runner.Reset, func() {
				s.settle(asked)
			})
		})
	})
}

// settle has the runner see a whole list of the endpoint.
func (s *sidecar) settle(asked time.Time) {
	s.runner.Report(runner.Report{Asked: asked, Running: s.list(), Whole: true})
	s.flush()
}

func (s *sidecar) list() []runner.RunName {
	var list []runner.RunName
	for key := range s.runs {
		var n runner.RunName
		if _, err := fmt.Sscanf(key[16:], ".%d.%d.%d", &n.Step, &n.Index, &n.Run); err != nil {
			s.world.t.Fatal(err)
		}
		n.Job = key[:16]
		list = append(list, n)
	}
	return list
}

// resize changes the endpoint's capacity.
func (s *sidecar) resize(cpu int) {
	s.capacity.CPU = cpu
	s.runner.Accept(s.capacity)
	for _, e := range s.world.entries {
		e.scheduler.HandleFrame(s.name, &wire.SidecarFrame{Endpoint: s.endpoint(), Room: s.runner.Room()})
	}
}
