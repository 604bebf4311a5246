package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/health"
	"github.com/corianderhook/corianderhook/wire"
)

type agent struct {
	name     string
	zone     string
	slots    int
	free     int
	waiting  int
	promised map[Flow]int
	// barred is true for an agent that an operator has taken out.
	barred   bool
	believed map[Flow]int
	total    int
	draining bool
	// ejected agents get nothing; probing ones get one task.
	ejected bool
	probing bool
	// running are the tasks that were handed out and have not ended.
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

// Attach adds an agent that has opened a session, or opens its session anew.
func (d *Dispatch) Attach(name, zone string, slots int) {
	d.Detach(name)
	a := &agent{
		name:     name,
		zone:     zone,
		slots:    slots,
		free:     slots,
		promised: map[Flow]int{},
		believed: map[Flow]int{},
		running:  map[taskKey]taskRun{},
	}
	a.ejected = d.health.Ejected(name)
	a.barred = d.host.EjectedByOperator(name)
	d.agents[name] = a
	d.list = append(d.list, a)
	for _, f := range d.order {
		d.spread(f)
	}
}

// Detach removes an agent whose session has ended.
func (d *Dispatch) Detach(name string) {
	a, known := d.agents[name]
	if !known {
		return
	}
	delete(d.agents, name)
	d.list = slices.DeleteFunc(d.list, func(b *agent) bool { return a == b })
	for flowName, n := range a.promised {
		if f := d.flows[flowName]; f != nil {
			f.promised -= n
		}
	}
	for _, f := range d.order {
		f.parked = slices.DeleteFunc(f.parked, func(p parked) bool { return p.agent == name })
		d.spread(f)
	}
}

// Load takes what an agent says of itself.
func (d *Dispatch) UpdateLoad(name string, l *wire.Load) {
	a, known := d.agents[name]
	if !known || l == nil {
		return
	}
	a.free = int(l.GetFree())
	a.waiting = int(l.GetWaiting())
	if l.GetDraining() && !a.draining {
		a.draining = true
		d.release(a)
	}
}

// Observe takes how a task ended at an agent.
func (d *Dispatch) Observe(o health.Observation) {
	if a, known := d.agents[o.Agent]; known {
		delete(a.running, taskKey{job: o.Job, index: o.Index})
	}
	d.apply(o.Agent, d.health.Observe(o, d.host.Now()))
}

// Returned takes it that an agent gave a task up without a start.
func (d *Dispatch) TaskReturned(name, job string, index uint32) {
	if a, known := d.agents[name]; known {
		delete(a.running, taskKey{job: job, index: index})
	}
}

// obey takes it that an operator has taken an agent out, or put it back.
func (d *Dispatch) obey(a *agent) {
	barred := d.host.EjectedByOperator(a.name)
	if barred == a.barred {
		return
	}
	a.barred = barred
	if barred {
		d.release(a)
		return
	}
	for _, f := range d.order {
		d.spread(f)
	}
}

// TickHealth looks for agents whose tasks take far too long, and for what
// operators have decided about agents.
func (d *Dispatch) TickHealth(now time.Time) {
	for _, a := range d.list {
		d.obey(a)
		overdue := 0
		for _, r := range a.running {
			if d.health.Overdue(r.kind, now.Sub(r.since)) {
				overdue++
			}
		}
		d.apply(a.name, d.health.ObserveOverdue(a.name, overdue, now))
	}
}

// apply lets the verdict on an agent take effect.
func (d *Dispatch) apply(name string, v health.Verdict) {
	a, known := d.agents[name]
	if !known || v == health.Keep || d.baseline {
		return
	}
	a.ejected = v != health.Readmit
	a.probing = v == health.Probe
	if v == health.Eject {
		d.release(a)
	}
}

// Ejected lists the attached agents that get no tasks, or only one to probe them.
func (d *Dispatch) Ejected() []string {
	var names []string
	for _, a := range d.list {
		if a.ejected || a.barred {
			names = append(names, a.name)
		}
	}
	return names
}

// Agents returns the names of the attached agents.
func (d *Dispatch) Agents() []string {
	names := make([]string, 0, len(d.list))
	for _, a := range d.list {
		names = append(names, a.name)
	}
	return names
}

// Slots returns the number of slots at the agents that take tasks.
func (d *Dispatch) Slots() int {
	total := 0
	for _, a := range d.list {
		if a.usable() {
			total += a.slots
		}
	}
	return total
}

func (a *agent) usable() bool {
	return !a.draining && !a.barred && (!a.ejected || a.probing)
}

// room is how many tasks the agent can start at once as far as is known here.
func (a *agent) room() int {
	room := a.free - a.total
	if a.probing {
		return min(room, 1-a.total)
	}
	return room
}

// Candidates returns the agents that a new job is registered with: the ones
// with the most room first, the others in an order that differs per job.
func (d *Dispatch) Candidates() []string {
	usable := d.byRoom()
	names := make([]string, 0, min(len(usable), maxCandidates))
	for _, a := range usable[:min(len(usable), maxCandidates)] {
		names = append(names, a.name)
	}
	return names
}

func (d *Dispatch) byRoom() []*agent {
	usable := make([]*agent, 0, len(d.list))
	for _, a := range d.list {
		if a.usable() {
			usable = append(usable, a)
		}
	}
	d.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(a, b *agent) int { return cmp.Compare(b.room(), a.room()) })
	return usable
}
