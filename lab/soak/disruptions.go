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
	// storeComponent is the name under which disruptions of the store are tracked.
	storeComponent = "store"
	// meanDisruptionInterval is the mean time between the starts of two disruptions.
	meanDisruptionInterval = 900 * time.Millisecond
	// startupTime is how long a Go program takes on a busy machine until its own code runs.
	startupTime = 200 * time.Millisecond
	// evacuationTime is the time within which an evacuation has to be in force.
	evacuationTime = 5 * time.Second
	// callerHop is the hop whose connections are disrupted all at once.
	callerHop = "callers to dispatchers"
	// timeFormat is the format of times in descriptions.
	timeFormat = "15:04:05.000"
	// maxSeries limits how many disruptions of one kind follow each other in a series.
	maxSeries = 4
)

// disruption is one fault or planned change.
type disruption struct {
	description string
	duration    time.Duration
	// begin and end may block.
	begin func()
	end   func()
}

// runDisruptions runs overlapping disruptions drawn from r, and returns their descriptions
// when all are over. One draw in three is a series of disruptions of one kind.
func (c *cluster) runDisruptions(ctx context.Context, r *rand.Rand) []string {
	var group sync.WaitGroup
	var descriptions []string
	startedAt := c.clock.Now()
	offset := time.Duration(0)
	for offset < c.settings.DisruptionTime && ctx.Err() == nil {
		series, gap := 1, time.Duration(0)
		if r.IntN(3) == 0 {
			series, gap = 2+r.IntN(maxSeries-1), randomDuration(r, 100*time.Millisecond, 1500*time.Millisecond)
		}
		newDisruption := c.disruptionKinds()[r.IntN(len(c.disruptionKinds()))]
		for n := range series {
			d := newDisruption(r)
			from := offset + time.Duration(n)*gap
			index := len(descriptions)
			descriptions = append(descriptions, fmt.Sprintf("%.2f s for %.2f s: %s", from.Seconds(), d.duration.Seconds(), d.description))
			group.Go(func() {
				c.pause(ctx, from-c.clock.Since(startedAt))
				d.begin()
				begunAt := c.clock.Now()
				c.pause(ctx, d.duration)
				ended := fmt.Sprintf(" (%s to %s)", begunAt.Format(timeFormat), c.clock.Now().Format(timeFormat))
				d.end()
				c.mu.Lock()
				defer c.mu.Unlock()
				descriptions[index] += ended
			})
		}
		offset += time.Duration(r.ExpFloat64() * float64(meanDisruptionInterval))
	}
	group.Wait()
	c.endDisruptions()
	return descriptions
}

// endDisruptions clears what overlapping disruptions have left behind.
func (c *cluster) endDisruptions() {
	for _, p := range c.proxies {
		p.SetFault(proxy.Fault{})
	}
	c.store.SetFaults(store.Faults{})
	for _, s := range c.sidecars {
		s.endpoint.SetFaults(endpoint.Faults{})
	}
	for _, p := range c.programs() {
		p.Resume()
		c.restart(p)
	}
	c.setLoadFactor(1)
}

type disruptionFunc = func(r *rand.Rand) disruption

// disruptionKinds returns the kinds to draw from, some of them several times to make them
// more frequent. Planned ones are part of every run.
func (c *cluster) disruptionKinds() []disruptionFunc {
	if c.settings.SubmissionsOnly {
		return []disruptionFunc{c.disruptSubmissions}
	}
	planned := []disruptionFunc{c.stop, c.hangUp, c.publishConfig, c.drainEndpoint, c.evacuateZone, c.surgeLoad}
	if c.settings.PlannedOnly {
		return planned
	}
	return append(planned, c.kill, c.kill, c.killAll, c.freeze, c.freeze, c.disruptConnections, c.disruptConnections, c.disruptConnections, c.disruptConnections, c.storeFault, c.storeFault, c.endpointFault, c.endpointFault,
		c.disruptSubmissions, c.disruptSubmissions, c.disruptSubmissions, c.disruptSubmissions)
}

func programNames(list []*program.Program) string {
	var all []string
	for _, p := range list {
		all = append(all, p.Name())
	}
	return strings.Join(all, " ")
}

func (c *cluster) markAllDisturbed(list []*program.Program, duration time.Duration) {
	for _, p := range list {
		c.markDisturbed(p.Name(), duration)
	}
}

func (c *cluster) killDisruption(verb string, list []*program.Program, duration time.Duration) disruption {
	return disruption{
		description: verb + " " + programNames(list), duration: duration,
		begin: func() {
			c.markAllDisturbed(list, duration)
			for _, p := range list {
				p.Kill()
			}
		},
		end: func() {
			c.markAllDisturbed(list, 0)
			for _, p := range list {
				c.restart(p)
			}
		},
	}
}

func (c *cluster) kill(r *rand.Rand) disruption {
	return c.killDisruption("kill", c.randomPrograms(r), randomDuration(r, 0, 2*time.Second))
}

func (c *cluster) killAll(r *rand.Rand) disruption {
	list := c.programs()
	if r.IntN(2) == 0 {
		list = list[:len(c.dispatchers)]
	}
	return c.killDisruption("kill all:", list, randomDuration(r, 0, time.Second))
}

func (c *cluster) freeze(r *rand.Rand) disruption {
	return c.freezeDisruption(c.randomPrograms(r), randomDuration(r, 50*time.Millisecond, 3*time.Second))
}

func (c *cluster) freezeDisruption(list []*program.Program, duration time.Duration) disruption {
	return disruption{
		description: "freeze " + programNames(list), duration: duration,
		begin: func() {
			c.markAllDisturbed(list, duration)
			for _, p := range list {
				p.Pause()
			}
		},
		end: func() {
			for _, p := range list {
				p.Resume()
			}
			c.markAllDisturbed(list, 0)
		},
	}
}

// stop is a planned stop followed by a restart.
func (c *cluster) stop(r *rand.Rand) disruption {
	list := c.randomPrograms(r)[:1]
	return disruption{
		description: "stop " + programNames(list),
		begin: func() {
			c.markAllDisturbed(list, stopTimeout)
			// Stop kills a process that does not end in time, which may happen if other
			// disruptions overlap.
			list[0].Stop(stopTimeout)
			c.restart(list[0])
		},
		end: func() { c.markAllDisturbed(list, 0) },
	}
}

func (c *cluster) hangUp(r *rand.Rand) disruption {
	list := c.randomPrograms(r)
	return disruption{description: "SIGHUP to " + programNames(list), begin: func() {
		for _, p := range list {
			// SIGHUP ends a process whose signal handler is not installed yet.
			if p.Uptime() > startupTime {
				p.HangUp()
			}
		}
	}, end: func() {}}
}

func (c *cluster) publishConfig(*rand.Rand) disruption {
	return disruption{description: "new configuration", begin: c.publish, end: func() {}}
}

// drainEndpoint has an endpoint announce that it is leaving, and restarts it under a new
// incarnation afterwards.
func (c *cluster) drainEndpoint(r *rand.Rand) disruption {
	s := c.sidecars[r.IntN(len(c.sidecars))]
	return disruption{
		description: "drain the endpoint of " + s.program.Name(), duration: randomDuration(r, 2500*time.Millisecond, 4*time.Second),
		begin: s.endpoint.Drain, end: s.endpoint.Restart,
	}
}

// evacuateZone has the operator evacuate a zone and lift the evacuation afterwards. No task
// may start there after evacuationTime, unless the store or the sidecar is disturbed.
func (c *cluster) evacuateZone(r *rand.Rand) disruption {
	zone := zoneOf(r.IntN(zoneCount))
	var evacuatedAt time.Time
	return disruption{
		description: "evacuate zone " + zone, duration: evacuationTime + randomDuration(r, time.Second, 3*time.Second),
		begin: func() {
			c.addEvacuation(zone, 1)
			evacuatedAt = c.clock.Now()
		},
		end: func() {
			c.checkEvacuated(zone, evacuatedAt)
			c.addEvacuation(zone, -1)
		},
	}
}

// addEvacuation changes the number of evacuations of a zone that are in force. These may
// overlap: the zone is evacuated until the last one ends.
func (c *cluster) addEvacuation(zone string, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations[zone] += change
	if c.evacuations[zone] > 0 {
		c.operator.Evacuate(zone)
	} else {
		c.operator.LiftEvacuation(zone)
	}
}

// checkEvacuated records a violation for each endpoint in a zone that has started a task
// later than evacuationTime after the evacuation.
func (c *cluster) checkEvacuated(zone string, evacuatedAt time.Time) {
	now := c.clock.Now()
	for i, s := range c.sidecars {
		late := c.record.LastStart(s.endpoint.Instance()).Sub(evacuatedAt)
		if zoneOf(i) == zone && late > evacuationTime && c.undisturbedSince(s.program.Name(), evacuatedAt) {
			c.recordViolation("%s started a task %s after its zone was evacuated, seen after %s", s.program.Name(), late, now.Sub(evacuatedAt))
		}
	}
}

// undisturbedSince reports whether neither a process nor the store has been disturbed since
// the given time.
func (c *cluster) undisturbedSince(name string, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disturbedUntil[name].Before(at) && c.disturbedUntil[storeComponent].Before(at)
}

// surgeLoad raises the load beyond capacity.
func (c *cluster) surgeLoad(r *rand.Rand) disruption {
	factor := 3 + 5*r.Float64()
	return disruption{
		description: fmt.Sprintf("%.1f times the load", factor), duration: randomDuration(r, 500*time.Millisecond, 2*time.Second),
		begin: func() { c.setLoadFactor(factor) }, end: func() { c.setLoadFactor(1) },
	}
}

// disruptConnections injects a fault into connections of one kind of hop.
func (c *cluster) disruptConnections(r *rand.Rand) disruption {
	hops := []string{"processes to dispatchers", "dispatchers to the store", "sidecars to the store", "sidecars to endpoints", "endpoints to sidecars", callerHop}
	hop := r.IntN(len(hops))
	var list []*proxy.Proxy
	switch hop {
	case 0:
		list = proxiesOf(c.dispatchers, func(d *dispatcher) *proxy.Proxy { return d.controlProxy })
	case 1:
		list = proxiesOf(c.dispatchers, func(d *dispatcher) *proxy.Proxy { return d.storeProxy })
	case 2:
		list = proxiesOf(c.sidecars, func(s *sidecar) *proxy.Proxy { return s.storeProxy })
	case 3:
		list = proxiesOf(c.sidecars, func(s *sidecar) *proxy.Proxy { return s.orderProxy })
	case 4:
		list = proxiesOf(c.sidecars, func(s *sidecar) *proxy.Proxy { return s.announcementProxy })
	default:
		list = proxiesOf(c.dispatchers, func(d *dispatcher) *proxy.Proxy { return d.callerProxy })
	}
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if hops[hop] != callerHop {
		list = list[:1+r.IntN(len(list))]
	}
	fault, name, reset := randomFault(r)
	duration := randomDuration(r, 100*time.Millisecond, 3*time.Second)
	return disruption{
		description: fmt.Sprintf("%s, at %d proxies, %s", name, len(list), hops[hop]), duration: duration,
		begin: func() {
			// Programs exchange configuration over these hops, so all may be affected.
			c.markAllDisturbed(c.programs(), duration)
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
			c.markAllDisturbed(c.programs(), 0)
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
		return proxy.Fault{HoldUpstream: true}, "one-way partition upstream", false
	case 3:
		return proxy.Fault{HoldDownstream: true}, "one-way partition downstream", false
	case 4:
		return proxy.Fault{HoldUpstream: true, HoldDownstream: true}, "partition", false
	default:
		return proxy.Fault{Refuse: true}, "reset and refusal", true
	}
}

func (c *cluster) storeFault(r *rand.Rand) disruption {
	faults := []store.Faults{{Busy: true}, {Silent: true}, {Delay: randomDuration(r, 50*time.Millisecond, time.Second)}, {DropWriteAnswers: true}}
	names := []string{"busy", "silent", "slow", "losing answers"}
	n := r.IntN(len(faults) + 1)
	if n == len(faults) {
		return disruption{description: "the store loses its history", begin: c.store.TrimAll, end: func() {}}
	}
	duration := randomDuration(r, 300*time.Millisecond, 4*time.Second)
	return disruption{
		description: "store " + names[n], duration: duration,
		begin: func() {
			c.markDisturbed(storeComponent, duration)
			c.store.SetFaults(faults[n])
		},
		end: func() {
			c.store.SetFaults(store.Faults{})
			c.markDisturbed(storeComponent, 0)
		},
	}
}

func (c *cluster) endpointFault(r *rand.Rand) disruption {
	s := c.sidecars[r.IntN(len(c.sidecars))]
	faults := []endpoint.Faults{
		{Hang: true},
		{Fail: true},
		{Slowdown: 2 + 8*r.Float64()},
		{Silent: true},
		{LateEvery: 1 + r.IntN(5), LateBy: randomDuration(r, 100*time.Millisecond, 6*time.Second)},
	}
	names := []string{"hangs", "fails all", "is slow", "is silent", "executes orders late"}
	n := r.IntN(len(faults) + 1)
	if n == len(faults) {
		return disruption{description: "endpoint of " + s.program.Name() + " restarts", begin: s.endpoint.Restart, end: func() {}}
	}
	return disruption{
		description: "endpoint of " + s.program.Name() + " " + names[n], duration: randomDuration(r, 300*time.Millisecond, 4*time.Second),
		begin: func() { s.endpoint.SetFaults(faults[n]) }, end: func() { s.endpoint.SetFaults(endpoint.Faults{}) },
	}
}
