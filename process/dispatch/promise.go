package dispatch

import (
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

// promise tells agents with room about tasks that nobody was told of yet. What
// finds no room is made known to some more, so that their next free slot pulls it.
func (d *Dispatch) promise(f *flow) {
	need := f.count - f.promised
	if need <= 0 {
		return
	}
	for _, a := range d.byRoom() {
		room := a.room()
		if need <= 0 || room <= 0 {
			break
		}
		n := min(room, need)
		a.promised[f.name] += n
		a.total += n
		f.promised += n
		need -= n
		d.tell(a, f, a.believed[f.name]+n, true)
	}
	if need > 0 {
		d.tellSome(f, need)
	}
}

// tellSome makes waiting tasks known to agents without room. The next free slot
// of any of them pulls: two agents, or one per task where there are more.
func (d *Dispatch) tellSome(f *flow, count int) {
	told := 0
	for _, a := range d.list {
		if a.usable() && a.believed[f.name] > 0 {
			told++
		}
	}
	wanted := max(leastTold, count)
	if told >= wanted {
		return
	}
	for _, a := range d.byRoom() {
		if told >= wanted {
			return
		}
		if a.believed[f.name] == 0 {
			d.tell(a, f, count, false)
			told++
		}
	}
}

// tellFree makes waiting tasks known to the agents that have a slot free now.
// An agent that has heard of them and still does not pull hears again.
func (d *Dispatch) tellFree(f *flow, now time.Time) {
	again := now.Sub(f.again) > retell
	if again {
		f.again = now
	}
	for _, a := range d.list {
		if a.usable() && a.free > 0 && (a.believed[f.name] == 0 || again) {
			d.tell(a, f, f.count, true)
		}
	}
}

// recall tells agents that what they were told of is gone, so that they do not
// pull for nothing.
func (d *Dispatch) recall(f *flow) {
	if f.count > f.promised {
		return
	}
	for _, a := range d.list {
		if a.believed[f.name] > 0 && a.promised[f.name] == 0 {
			d.tell(a, f, 0, false)
			d.wasted.Recalled++
		}
	}
}

// Busy takes it that an agent has no slot free for what it was promised: the
// tasks are offered to others. The agent may still pull them.
func (d *Dispatch) Busy(name string) {
	if a, known := d.agents[name]; known && a.free == 0 {
		d.release(a)
	}
}

// release offers to others what an agent was promised and has not pulled.
func (d *Dispatch) release(a *agent) {
	for _, f := range d.order {
		n := a.promised[f.name]
		if n == 0 {
			continue
		}
		d.wasted.Busy += 2
		a.promised[f.name] = 0
		a.total -= n
		f.promised -= n
		d.promise(f)
	}
}

func (d *Dispatch) tell(a *agent, f *flow, count int, now bool) {
	a.believed[f.name] = count
	d.host.Send(a.name, &wire.EntryFrame{Body: &wire.EntryFrame_Reserve{Reserve: &wire.Reserve{
		Kind:     f.name.Kind,
		Team:     f.name.Team,
		Count:    uint32(count),
		Now:      now,
		OldestUs: f.oldest(d.host.Now()),
	}}})
}

// spread makes waiting tasks known to agents that have not heard of them.
func (d *Dispatch) spread(f *flow) {
	if f.count > 0 {
		d.promise(f)
	}
}

// keep counts a promise as kept by the pull.
func (d *Dispatch) keep(a *agent, f *flow, count int) {
	n := min(a.promised[f.name], count)
	a.promised[f.name] -= n
	a.total -= n
	f.promised -= n
}
