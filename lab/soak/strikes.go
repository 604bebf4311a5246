package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/corianderhook/corianderhook/lab/program"
	"github.com/corianderhook/corianderhook/lab/proxy"
	"github.com/corianderhook/corianderhook/platform/standin/endpoint"
	"github.com/corianderhook/corianderhook/platform/standin/store"
)

const (
	// storeName is the store where harm is noted.
	storeName = "store"
	// strikesEvery is the mean time between two strikes.
	strikesEvery = 900 * time.Millisecond
	// firstLine is how long a program of Go takes to its first line on a busy machine.
	firstLine = 200 * time.Millisecond
	// mostSeries is how often a strike is repeated at the most.
	mostSeries = 4
)

// strike is one fault or planned change.
type strike struct {
	what  string
	lasts time.Duration
	// begin and end may take their time.
	begin func()
	end   func()
}

// disturb plays strikes that the seed draws, overlapping, and returns what they were
// when all are over.
func (w *world) disturb(ctx context.Context, r *rand.Rand) []string {
	var group sync.WaitGroup
	var all []string
	began := w.clock.Now()
	at := time.Duration(0)
	for at < w.settings.DisruptionTime && ctx.Err() == nil {
		series, gap := 1, time.Duration(0)
		if r.IntN(3) == 0 {
			series, gap = 2+r.IntN(mostSeries-1), between(r, 100*time.Millisecond, 1500*time.Millisecond)
		}
		draw := w.kinds()[r.IntN(len(w.kinds()))]
		for n := range series {
			s := draw(r)
			from := at + time.Duration(n)*gap
			all = append(all, fmt.Sprintf("%.2f s for %.2f s: %s", from.Seconds(), s.lasts.Seconds(), s.what))
			group.Go(func() {
				w.pause(ctx, from-w.clock.Since(began))
				s.begin()
				w.pause(ctx, s.lasts)
				s.end()
			})
		}
		at += time.Duration(r.ExpFloat64() * float64(strikesEvery))
	}
	group.Wait()
	w.heal()
	return all
}

// heal ends whatever overlapping strikes have left.
func (w *world) heal() {
	for _, p := range w.proxies {
		p.SetFault(proxy.Fault{})
	}
	w.store.SetFaults(store.Faults{})
	for _, s := range w.sidecars {
		s.endpoint.SetFaults(endpoint.Faults{})
	}
	for _, p := range w.programs() {
		p.Resume()
		w.restart(p)
	}
	w.raise(1)
}

func (w *world) restart(p *program.Program) {
	if err := w.run(p); err != nil {
		w.breaks("%s cannot be started: %v", p.Name(), err)
	}
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

type draw = func(r *rand.Rand) strike

// kinds are the strikes that may come. Planned ones come everywhere.
func (w *world) kinds() []draw {
	planned := []draw{w.stop, w.hangUp, w.change, w.drain, w.surge}
	if w.settings.PlannedOnly {
		return planned
	}
	return append(planned, w.kill, w.kill, w.killAll, w.freeze, w.freeze, w.cut, w.cut, w.cut, w.cut, w.storeFault, w.storeFault, w.endpointFault, w.endpointFault)
}

// victims draws some of the processes.
func (w *world) victims(r *rand.Rand) []*program.Program {
	all := w.programs()
	if r.IntN(2) == 0 {
		all = all[:len(w.dispatchers)]
	}
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+r.IntN((len(all)+2)/3)]
}

func names(list []*program.Program) string {
	var all []string
	for _, p := range list {
		all = append(all, p.Name())
	}
	return strings.Join(all, " ")
}

func (w *world) harmAll(list []*program.Program, lasts time.Duration) {
	for _, p := range list {
		w.harm(p.Name(), lasts)
	}
}

func (w *world) killed(what string, list []*program.Program, lasts time.Duration) strike {
	return strike{
		what: what + " " + names(list), lasts: lasts,
		begin: func() {
			w.harmAll(list, lasts)
			for _, p := range list {
				p.Kill()
			}
		},
		end: func() {
			w.harmAll(list, 0)
			for _, p := range list {
				w.restart(p)
			}
		},
	}
}

func (w *world) kill(r *rand.Rand) strike {
	return w.killed("kill", w.victims(r), between(r, 0, 2*time.Second))
}

func (w *world) killAll(r *rand.Rand) strike {
	list := w.programs()
	if r.IntN(2) == 0 {
		list = list[:len(w.dispatchers)]
	}
	return w.killed("kill all:", list, between(r, 0, time.Second))
}

func (w *world) freeze(r *rand.Rand) strike {
	list, lasts := w.victims(r), between(r, 50*time.Millisecond, 3*time.Second)
	return strike{
		what: "freeze " + names(list), lasts: lasts,
		begin: func() {
			w.harmAll(list, lasts)
			for _, p := range list {
				p.Pause()
			}
		},
		end: func() {
			for _, p := range list {
				p.Resume()
			}
			w.harmAll(list, 0)
		},
	}
}

// stop is a planned stop with a new process after it.
func (w *world) stop(r *rand.Rand) strike {
	list := w.victims(r)[:1]
	return strike{
		what: "stop " + names(list),
		begin: func() {
			w.harmAll(list, grace)
			// A process that is harmed otherwise as well may need to be killed.
			list[0].Stop(grace)
			w.restart(list[0])
		},
		end: func() { w.harmAll(list, 0) },
	}
}

func (w *world) hangUp(r *rand.Rand) strike {
	list := w.victims(r)
	return strike{what: "hang-up " + names(list), begin: func() {
		for _, p := range list {
			// A process that has not come to its first line cannot catch a signal.
			if p.Uptime() > firstLine {
				p.HangUp()
			}
		}
	}, end: func() {}}
}

func (w *world) change(*rand.Rand) strike {
	return strike{what: "new configuration", begin: w.publish, end: func() {}}
}

// drain has an endpoint announce that it leaves, and begin a new life later.
func (w *world) drain(r *rand.Rand) strike {
	s := w.sidecars[r.IntN(len(w.sidecars))]
	return strike{
		what: "drain the endpoint of " + s.program.Name(), lasts: between(r, 2500*time.Millisecond, 4*time.Second),
		begin: s.endpoint.Drain, end: s.endpoint.Restart,
	}
}

// surge is more load than there is room for.
func (w *world) surge(r *rand.Rand) strike {
	factor := 3 + 5*r.Float64()
	return strike{
		what: fmt.Sprintf("%.1f times the load", factor), lasts: between(r, 500*time.Millisecond, 2*time.Second),
		begin: func() { w.raise(factor) }, end: func() { w.raise(1) },
	}
}

// cut harms connections on one kind of hop.
func (w *world) cut(r *rand.Rand) strike {
	hops := []string{"to dispatchers", "dispatchers to the store", "sidecars to the store", "sidecars to endpoints", "endpoints to sidecars", "callers"}
	hop := r.IntN(len(hops))
	var list []*proxy.Proxy
	switch hop {
	case 0:
		list = each(w.dispatchers, func(d *dispatcher) *proxy.Proxy { return d.control })
	case 1:
		list = each(w.dispatchers, func(d *dispatcher) *proxy.Proxy { return d.store })
	case 2:
		list = each(w.sidecars, func(s *sidecar) *proxy.Proxy { return s.store })
	case 3:
		list = each(w.sidecars, func(s *sidecar) *proxy.Proxy { return s.orders })
	case 4:
		list = each(w.sidecars, func(s *sidecar) *proxy.Proxy { return s.announcements })
	default:
		list = []*proxy.Proxy{w.front}
	}
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:1+r.IntN(len(list))]
	fault, name, reset := drawFault(r)
	lasts := between(r, 100*time.Millisecond, 3*time.Second)
	return strike{
		what: fmt.Sprintf("%s, %d connections' ends %s", name, len(list), hops[hop]), lasts: lasts,
		begin: func() {
			// Dispatchers exchange configuration over the same hops.
			w.harmAll(w.programs(), lasts)
			for _, p := range list {
				p.SetFault(fault)
				if reset {
					p.ResetConnections()
				}
			}
		},
		end: func() {
			for _, p := range list {
				p.SetFault(proxy.Fault{})
			}
			w.harmAll(w.programs(), 0)
		},
	}
}

func each[T any](list []T, of func(T) *proxy.Proxy) []*proxy.Proxy {
	var all []*proxy.Proxy
	for _, one := range list {
		all = append(all, of(one))
	}
	return all
}

func drawFault(r *rand.Rand) (f proxy.Fault, name string, reset bool) {
	switch r.IntN(6) {
	case 0:
		f.Delay = between(r, 5*time.Millisecond, 400*time.Millisecond)
		return f, "delay of " + f.Delay.Truncate(time.Millisecond).String(), false
	case 1:
		return f, "reset", true
	case 2:
		return proxy.Fault{HoldUpstream: true}, "one-way cut up", false
	case 3:
		return proxy.Fault{HoldDownstream: true}, "one-way cut down", false
	case 4:
		return proxy.Fault{HoldUpstream: true, HoldDownstream: true}, "silence", false
	default:
		return proxy.Fault{Refuse: true}, "reset and refusal", true
	}
}

func (w *world) storeFault(r *rand.Rand) strike {
	faults := []store.Faults{{Busy: true}, {Silent: true}, {Delay: between(r, 50*time.Millisecond, time.Second)}, {DropWriteAnswers: true}}
	names := []string{"busy", "silent", "slow", "losing answers"}
	n := r.IntN(len(faults) + 1)
	if n == len(faults) {
		return strike{what: "the store forgets its history", begin: w.store.TrimAll, end: func() {}}
	}
	lasts := between(r, 300*time.Millisecond, 4*time.Second)
	return strike{
		what: "store " + names[n], lasts: lasts,
		begin: func() {
			w.harm(storeName, lasts)
			w.store.SetFaults(faults[n])
		},
		end: func() {
			w.store.SetFaults(store.Faults{})
			w.harm(storeName, 0)
		},
	}
}

func (w *world) endpointFault(r *rand.Rand) strike {
	s := w.sidecars[r.IntN(len(w.sidecars))]
	faults := []endpoint.Faults{
		{Hang: true},
		{Fail: true},
		{Slowdown: 2 + 8*r.Float64()},
		{Silent: true},
		{LateEvery: 1 + r.IntN(5), LateBy: between(r, 100*time.Millisecond, 6*time.Second)},
	}
	names := []string{"hangs", "fails all", "is slow", "is silent", "carries orders out late"}
	n := r.IntN(len(faults) + 1)
	if n == len(faults) {
		return strike{what: "endpoint of " + s.program.Name() + " begins a new life", begin: s.endpoint.Restart, end: func() {}}
	}
	return strike{
		what: "endpoint of " + s.program.Name() + " " + names[n], lasts: between(r, 300*time.Millisecond, 4*time.Second),
		begin: func() { s.endpoint.SetFaults(faults[n]) }, end: func() { s.endpoint.SetFaults(endpoint.Faults{}) },
	}
}
