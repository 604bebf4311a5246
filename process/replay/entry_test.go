package replay

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/fleet"
	"github.com/corianderhook/corianderhook/process/scheduler"
	"github.com/corianderhook/corianderhook/wire"
)

// entry is a dispatcher's scheduler with a simulated host.
type entry struct {
	world *world
	// incarnation grows by 100 with each restart; its last two digits identify the entry.
	incarnation  uint64
	scheduler    *scheduler.Scheduler
	frameNumbers map[string]uint64
	// onConnectionLost holds by job ID the function to call if the caller's connection breaks.
	onConnectionLost map[string]func()
	// decisions counts the logged decisions by event.
	decisions map[string]int
	// crashed entries neither receive nor send messages.
	crashed bool
	// outbox holds the messages of an entry that sends nothing, inbox those for a paused one.
	silent, paused bool
	outbox, inbox  []func()
}

func newEntry(w *world, incarnation uint64) *entry {
	e := &entry{world: w, incarnation: incarnation, frameNumbers: map[string]uint64{}, onConnectionLost: map[string]func(){}, decisions: map[string]int{}}
	e.scheduler = scheduler.New(e, fleet.New("zone"), func() uint64 { return uint64(w.now.UnixMilli()) }, w.schedulerOptions()...)
	return e
}

// connected reports whether a sidecar has a session with an entry: each has some, chosen by a hash
// of both names.
func (w *world) connected(e *entry, agent string) bool {
	if w.sessions == 0 {
		return true
	}
	rank := func(o *entry) uint64 {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, agent, " ", o.incarnation%100)
		return h.Sum64()
	}
	before := 0
	for _, o := range w.entries {
		if rank(o) < rank(e) {
			before++
		}
	}
	return before < w.sessions
}

func (e *entry) Now() time.Time { return e.world.now }

func (e *entry) Send(agent string, o *wire.Offer) (uint64, bool) {
	e.frameNumbers[agent]++
	number := e.frameNumbers[agent]
	s := e.world.sidecar(agent)
	if s.suspended {
		return number, true
	}
	o.DecidedUs = uint64(e.Now().UnixMicro())
	e.deliver(func() { s.offer(e, number, o) })
	return number, true
}

func (e *entry) Cancel(agent string, ref uint64) {
	s := e.world.sidecar(agent)
	e.deliver(func() {
		if !s.suspended {
			s.runner.Cancel(e.incarnation, ref)
			s.flush()
		}
	})
}

func (e *entry) Withdraw(agent string, ref uint64) {
	s := e.world.sidecar(agent)
	e.deliver(func() {
		if !s.suspended {
			s.runner.Withdraw(e.incarnation, ref)
			s.flush()
		}
	})
}

func (e *entry) LogDecision(event, _ string, _ ...any) { e.decisions[event]++ }

func (w *world) sidecar(name string) *sidecar {
	for _, s := range w.sidecars {
		if s.name == name {
			return s
		}
	}
	w.t.Fatalf("agent %q does not exist", name)
	return nil
}

// crash stops an entry for d; its callers lose their connections at once.
func (e *entry) crash(d time.Duration) {
	if e.crashed {
		return
	}
	e.crashed = true
	broken := e.onConnectionLost
	e.onConnectionLost = map[string]func(){}
	for _, id := range slices.Sorted(maps.Keys(broken)) {
		broken[id]()
	}
	e.world.after(d, func() { e.restart() })
}

// restart replaces a crashed entry with one without state.
func (e *entry) restart() {
	w := e.world
	next := newEntry(w, uint64(len(w.entries)+1))
	w.entries[slices.Index(w.entries, e)] = next
	next.incarnation = e.incarnation + 100
	// Dispatchers exchange their quarantines.
	for _, other := range w.entries {
		if !other.crashed {
			next.scheduler.AdoptQuarantines(other.scheduler.Quarantines())
		}
	}
	for _, s := range w.sidecars {
		if s.suspended || !w.connected(next, s.name) {
			continue
		}
		s.runner.Heard(next.incarnation, fmt.Sprint(e.incarnation%100), w.now)
		next.scheduler.AttachAgent(s.name, "zone", nil, s.firstFrame())
	}
}
