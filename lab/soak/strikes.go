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
	storeComponent = "store"
	// strikesEvery is the mean time between two strikes.
	meanDisruptionInterval = 900 * time.Millisecond
	// firstLine is how long a program of Go takes to its first line on a busy machine.
	startupTime = 200 * time.Millisecond
	// mostSeries is how often a strike is repeated at the most.
	maxSeries = 4
)

// strike is one fault or planned change.
type disruption struct {
	description  string
	duration time.Duration
	// begin and end may take their time.
	begin func()
	end   func()
}

// disturb plays strikes that the seed draws, overlapping, and returns what they were
// when all are over.
func (w *cluster) runDisruptions(ctx context.Context, r *rand.Rand) []string {
	var group sync.WaitGroup
	var descriptions []string
	startedAt := w.clock.Now()
	at := time.Duration(0)
	for at < w.settings.DisruptionTime && ctx.Err() == nil {
		series, gap := 1, time.Duration(0)
		if r.IntN(3) == 0 {
			series, gap = 2+r.IntN(maxSeries-1), randomDuration(r, 100*time.Millisecond, 1500*time.Millisecond)
		}
		newDisruption := w.disruptionKinds()[r.IntN(len(w.disruptionKinds()))]
		for n := range series {
			s := newDisruption(r)
			from := at + time.Duration(n)*gap
			descriptions = append(descriptions, fmt.Sprintf("%.2f s for %.2f s: %s", from.Seconds(), s.duration.Seconds(), s.description))
			group.Go(func() {
				w.pause(ctx, from-w.clock.Since(startedAt))
				s.begin()
				w.pause(ctx, s.duration)
				s.end()
			})
		}
		at += time.Duration(r.ExpFloat64() * float64(meanDisruptionInterval))
	}
	group.Wait()
	w.endDisruptions()
	return descriptions
}

// heal ends whatever overlapping strikes have left.
func (w *cluster) endDisruptions() {
	for _, p := range w.proxies {
		p.SetFault(proxy.Fault{})
	}
	w.store.Set(store.Faults{})
	for _, s := range w.sidecars {
		s.endpoint.Set(endpoint.Faults{})
	}
	for _, p := range w.programs() {
		p.Resume()
		w.restart(p)
	}
	w.setLoadFactor(1)
}

func (w *cluster) restart(p *program.Program) {
	if err := w.startProgram(p); err != nil {
		w.recordViolation("%s cannot be started: %v", p.Name(), err)
	}
}

func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

type disruptionFunc = func(r *rand.Rand) disruption

// kinds are the strikes that may come. Planned ones come everywhere.
func (w *cluster) disruptionKinds() []disruptionFunc {
	planned := []disruptionFunc{w.stop, w.hangUp, w.publishConfig, w.drainEndpoint, w.surgeLoad}
	if w.settings.PlannedOnly {
		return planned
	}
	return append(planned, w.kill, w.kill, w.killAll, w.freeze, w.freeze, w.disruptConnections, w.disruptConnections, w.disruptConnections, w.disruptConnections, w.storeFault, w.storeFault, w.endpointFault, w.endpointFault)
}

// victims draws some of the processes.
func (w *cluster) randomPrograms(r *rand.Rand) []*program.Program {
	all := w.programs()
	if r.IntN(2) == 0 {
		all = all[:len(w.dispatchers)]
	}
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+r.IntN((len(all)+2)/3)]
}

func programNames(list []*program.Program) string {
	var all []string
	for _, p := range list {
		all = append(all, p.Name())
	}
	return strings.Join(all, " ")
}

func (w *cluster) markAllDisturbed(list []*program.Program, duration time.Duration) {
	for _, p := range list {
		w.markDisturbed(p.Name(), duration)
	}
}

func (w *cluster) killDisruption(verb string, list []*program.Program, duration time.Duration) disruption {
	return disruption{
		description: verb + " " + programNames(list), duration: duration,
		begin: func() {
			w.markAllDisturbed(list, duration)
			for _, p := range list {
				p.Kill()
			}
		},
		end: func() {
			w.markAllDisturbed(list, 0)
			for _, p := range list {
				w.restart(p)
			}
		},
	}
}

func (w *cluster) kill(r *rand.Rand) disruption {
	return w.killDisruption("kill", w.randomPrograms(r), randomDuration(r, 0, 2*time.Second))
}

func (w *cluster) killAll(r *rand.Rand) disruption {
	list := w.programs()
	if r.IntN(2) == 0 {
		list = list[:len(w.dispatchers)]
	}
	return w.killDisruption("kill all:", list, randomDuration(r, 0, time.Second))
}

func (w *cluster) freeze(r *rand.Rand) disruption {
	list, duration := w.randomPrograms(r), randomDuration(r, 50*time.Millisecond, 3*time.Second)
	return disruption{
		description: "freeze " + programNames(list), duration: duration,
		begin: func() {
			w.markAllDisturbed(list, duration)
			for _, p := range list {
				p.Pause()
			}
		},
		end: func() {
			for _, p := range list {
				p.Resume()
			}
			w.markAllDisturbed(list, 0)
		},
	}
}

// stop is a planned stop with a new process after it.
func (w *cluster) stop(r *rand.Rand) disruption {
	list := w.randomPrograms(r)[:1]
	return disruption{
		description: "stop " + programNames(list),
		begin: func() {
			w.markAllDisturbed(list, stopTimeout)
			// A process that is harmed otherwise as well may need to be killed.
			list[0].Stop(stopTimeout)
			w.restart(list[0])
		},
		end: func() { w.markAllDisturbed(list, 0) },
	}
}

func (w *cluster) hangUp(r *rand.Rand) disruption {
	list := w.randomPrograms(r)
	return disruption{description: "hang-up " + programNames(list), begin: func() {
		for _, p := range list {
			// A process that has not come to its first line cannot catch a signal.
			if p.Uptime() > startupTime {
				p.HangUp()
			}
		}
	}, end: func() {}}
}

func (w *cluster) publishConfig(*rand.Rand) disruption {
	return disruption{description: "new configuration", begin: w.publish, end: func() {}}
}

// drain has an endpoint announce that it leaves, and begin a new life later.
func (w *cluster) drainEndpoint(r *rand.Rand) disruption {
	s := w.sidecars[r.IntN(len(w.sidecars))]
	return disruption{
		description: "drain the endpoint of " + s.program.Name(), duration: randomDuration(r, 2500*time.Millisecond, 4*time.Second),
		begin: s.endpoint.Drain, end: s.endpoint.Reborn,
	}
}

// surge is more load than there is room for.
func (w *cluster) surgeLoad(r *rand.Rand) disruption {
	factor := 3 + 5*r.Float64()
	return disruption{
		description: fmt.Sprintf("%.1f times the load", factor), duration: randomDuration(r, 500*time.Millisecond, 2*time.Second),
		begin: func() { w.setLoadFactor(factor) }, end: func() { w.setLoadFactor(1) },
	}
}

// cut harms connections on one kind of hop.
func (w *cluster) disruptConnections(r *rand.Rand) disruption {
	hops := []string{"to dispatchers", "dispatchers to the store", "sidecars to the store", "sidecars to endpoints", "endpoints to sidecars", "callers"}
	hop := r.IntN(len(hops))
	var list []*proxy.Proxy
	switch hop {
	case 0:
		list = proxiesOf(w.dispatchers, func(d *dispatcher) *proxy.Proxy { return d.controlProxy })
	case 1:
		list = proxiesOf(w.dispatchers, func(d *dispatcher) *proxy.Proxy { return d.storeProxy })
	case 2:
		list = proxiesOf(w.sidecars, func(s *sidecar) *proxy.Proxy { return s.storeProxy })
	case 3:
		list = proxiesOf(w.sidecars, func(s *sidecar) *proxy.Proxy { return s.orderProxy })
	case 4:
		list = proxiesOf(w.sidecars, func(s *sidecar) *proxy.Proxy { return s.announcementProxy })
	default:
		list = []*proxy.Proxy{w.balancer}
	}
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:1+r.IntN(len(list))]
	fault, name, reset := randomFault(r)
	duration := randomDuration(r, 100*time.Millisecond, 3*time.Second)
	return disruption{
		description: fmt.Sprintf("%s, %d connections' ends %s", name, len(list), hops[hop]), duration: duration,
		begin: func() {
			// Dispatchers exchange configuration over the same hops.
			w.markAllDisturbed(w.programs(), duration)
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
			w.markAllDisturbed(w.programs(), 0)
		},
	}
}

func proxiesOf[T any](nodes []T, proxyOf func(T) *proxy.Proxy) []*proxy.Proxy {
	var all []*proxy.Proxy
	for _, node := range nodes {
		all = append(all, proxyOf(node))
	}
	return all
}

func randomFault(r *rand.Rand) (f proxy.Fault, name string, reset bool) {
	switch r.IntN(6) {
	case 0:
		f.Delay = randomDuration(r, 5*time.Millisecond, 400*time.Millisecond)
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

func (w *cluster) storeFault(r *rand.Rand) disruption {
	faults := []store.Faults{{Busy: true}, {Silent: true}, {Late: randomDuration(r, 50*time.Millisecond, time.Second)}, {Lost: true}}
	names := []string{"busy", "silent", "slow", "losing answers"}
	n := r.IntN(len(faults) + 1)
	if n == len(faults) {
		return disruption{description: "the store forgets its history", begin: w.store.ForgetAll, end: func() {}}
	}
	duration := randomDuration(r, 300*time.Millisecond, 4*time.Second)
	return disruption{
		description: "store " + names[n], duration: duration,
		begin: func() {
			w.markDisturbed(storeComponent, duration)
			w.store.Set(faults[n])
		},
		end: func() {
			w.store.Set(store.Faults{})
			w.markDisturbed(storeComponent, 0)
		},
	}
}

func (w *cluster) endpointFault(r *rand.Rand) disruption {
	s := w.sidecars[r.IntN(len(w.sidecars))]
	faults := []endpoint.Faults{
		{Hang: true},
		{Fail: true},
		{Slow: 2 + 8*r.Float64()},
		{Silent: true},
		{LateEach: 1 + r.IntN(5), LateBy: randomDuration(r, 100*time.Millisecond, 6*time.Second)},
	}
	names := []string{"hangs", "fails all", "is slow", "is silent", "carries orders out late"}
	n := r.IntN(len(faults) + 1)
	if n == len(faults) {
		return disruption{description: "endpoint of " + s.program.Name() + " begins a new life", begin: s.endpoint.Reborn, end: func() {}}
	}
	return disruption{
		description: "endpoint of " + s.program.Name() + " " + names[n], duration: randomDuration(r, 300*time.Millisecond, 4*time.Second),
		begin: func() { s.endpoint.Set(faults[n]) }, end: func() { s.endpoint.Set(endpoint.Faults{}) },
	}
}
