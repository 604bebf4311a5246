package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/health"
	"github.com/corianderhook/corianderhook/wire"
)

// agent is an agent with an open session.
type agent struct {
	name string
	zone string
	// slots and free count task slots.
	slots   int
	free    int
	waiting int
	// reserved counts the tasks that are reserved for the agent and not pulled yet.
	reserved map[Flow]int
	// An agent that an operator has ejected, or whose zone is evacuated, gets no tasks.
	excludedByOperator bool
	// announced is the number of waiting tasks that the agent was last told of.
	announced map[Flow]int
	// reservedTotal is the sum of reserved over all flows.
	reservedTotal int
	draining      bool
	// An agent that was ejected for failing or slow tasks gets no tasks, or one while
	// probing.
	ejected bool
	probing bool
	// running holds the tasks that were handed out and have not ended.
	running map[taskKey]taskRun
}

type taskKey struct {
	job   string
	index uint32
}

type taskRun struct {
	kind  string
	since time.Time
}

// Attach adds an agent that has opened a session. It replaces an earlier session of
// the agent.
func (d *Dispatch) Attach(name, zone string, slots int) {
	d.Detach(name)
	a := &agent{
		name:      name,
		zone:      zone,
		slots:     slots,
		free:      slots,
		reserved:  map[Flow]int{},
		announced: map[Flow]int{},
		running:   map[taskKey]taskRun{},
	}
	a.ejected = d.health.Ejected(name)
	a.excludedByOperator = d.host.ExcludedByOperator(name, zone)
	d.agents[name] = a
	d.agentList = append(d.agentList, a)
	for _, f := range d.flowOrder {
		d.reserveWaiting(f)
	}
}

// Detach removes an agent whose session has ended.
func (d *Dispatch) Detach(name string) {
	a, known := d.agents[name]
	if !known {
		return
	}
	delete(d.agents, name)
	d.agentList = slices.DeleteFunc(d.agentList, func(b *agent) bool { return a == b })
	for flowName, n := range a.reserved {
		if f := d.flows[flowName]; f != nil {
			f.reserved -= n
		}
	}
	for _, f := range d.flowOrder {
		f.parked = slices.DeleteFunc(f.parked, func(p parked) bool { return p.agent == name })
		d.reserveWaiting(f)
	}
}

// UpdateLoad records the load that an agent reports.
func (d *Dispatch) UpdateLoad(name string, l *wire.Load) {
	a, known := d.agents[name]
	if !known || l == nil {
		return
	}
	a.free = int(l.GetFree())
	a.waiting = int(l.GetWaiting())
	if l.GetDraining() && !a.draining {
		a.draining = true
		d.releaseReservations(a)
	}
}

// Observe records how a task ended at an agent and applies the resulting verdict.
func (d *Dispatch) Observe(o health.Observation) {
	if a, known := d.agents[o.Agent]; known {
		delete(a.running, taskKey{job: o.Job, index: o.Index})
	}
	d.applyVerdict(o.Agent, d.health.Observe(o, d.host.Now()))
}

// TaskReturned records that an agent returned a task without starting it.
func (d *Dispatch) TaskReturned(name, job string, index uint32) {
	if a, known := d.agents[name]; known {
		delete(a.running, taskKey{job: job, index: index})
	}
}

// syncOperatorExclusion follows an operator's decision to exclude or readmit an agent.
func (d *Dispatch) syncOperatorExclusion(a *agent) {
	excludedByOperator := d.host.ExcludedByOperator(a.name, a.zone)
	if excludedByOperator == a.excludedByOperator {
		return
	}
	a.excludedByOperator = excludedByOperator
	if excludedByOperator {
		d.releaseReservations(a)
		return
	}
	for _, f := range d.flowOrder {
		d.reserveWaiting(f)
	}
}

// TickHealth ejects agents whose running tasks are overdue and applies operators'
// decisions to exclude or readmit agents.
func (d *Dispatch) TickHealth(now time.Time) {
	for _, a := range d.agentList {
		d.syncOperatorExclusion(a)
		overdue := 0
		for _, r := range a.running {
			if d.health.Overdue(r.kind, now.Sub(r.since)) {
				overdue++
			}
		}
		d.applyVerdict(a.name, d.health.ObserveOverdue(a.name, overdue, now))
	}
}

// applyVerdict ejects, probes or readmits an agent.
func (d *Dispatch) applyVerdict(name string, v health.Verdict) {
	a, known := d.agents[name]
	if !known || v == health.Keep || d.baseline {
		return
	}
	a.ejected = v != health.Readmit
	a.probing = v == health.Probe
	if v == health.Eject {
		d.releaseReservations(a)
	}
}

// Ejected returns the attached agents that are ejected, for failing or slow tasks or by
// an operator. Agents that are being probed are included.
func (d *Dispatch) Ejected() []string {
	var names []string
	for _, a := range d.agentList {
		if a.ejected || a.excludedByOperator {
			names = append(names, a.name)
		}
	}
	return names
}

// RunningByZone returns the availability zones of the attached agents, each with the number
// of tasks that run there.
func (d *Dispatch) RunningByZone() map[string]int {
	running := map[string]int{}
	for _, a := range d.agentList {
		running[a.zone] += len(a.running)
	}
	return running
}

// Agents returns the names of the attached agents.
func (d *Dispatch) Agents() []string {
	names := make([]string, 0, len(d.agentList))
	for _, a := range d.agentList {
		names = append(names, a.name)
	}
	return names
}

// Slots returns the total number of task slots of the usable agents.
func (d *Dispatch) Slots() int {
	total := 0
	for _, a := range d.agentList {
		if a.usable() {
			total += a.slots
		}
	}
	return total
}

// usable reports whether the agent may get tasks.
func (a *agent) usable() bool {
	return !a.draining && !a.excludedByOperator && (!a.ejected || a.probing)
}

// room returns the reported free task slots less the reservations: the number of
// tasks that the agent can probably start at once.
func (a *agent) room() int {
	room := a.free - a.reservedTotal
	if a.probing {
		return min(room, 1-a.reservedTotal)
	}
	return room
}

// Candidates returns the agents that a new job is registered with, those with the
// most free capacity first. Agents with equal free capacity are in random order.
func (d *Dispatch) Candidates() []string {
	usable := d.byRoom()
	names := make([]string, 0, min(len(usable), maxCandidates))
	for _, a := range usable[:min(len(usable), maxCandidates)] {
		names = append(names, a.name)
	}
	return names
}

// byRoom returns the usable agents, those with the most free capacity first and ties in
// random order.
func (d *Dispatch) byRoom() []*agent {
	usable := make([]*agent, 0, len(d.agentList))
	for _, a := range d.agentList {
		if a.usable() {
			usable = append(usable, a)
		}
	}
	d.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(a, b *agent) int { return cmp.Compare(b.room(), a.room()) })
	return usable
}
