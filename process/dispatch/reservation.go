package dispatch

import (
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

// reserve sends reservations for the tasks without one to agents with room. Tasks
// that find no room are announced to further agents, which pull them when a task
// slot becomes free.
func (d *Dispatch) reserve(f *flow) {
	need := f.count - f.reserved
	if need <= 0 {
		return
	}
	for _, a := range d.byRoom() {
		room := a.room()
		if need <= 0 || room <= 0 {
			break
		}
		n := min(room, need)
		a.reserved[f.name] += n
		a.reservedTotal += n
		f.reserved += n
		need -= n
		d.sendReserve(a, f, a.announced[f.name]+n, true)
	}
	if need > 0 {
		d.announce(f, need)
	}
}

// announce notifies agents, whether or not they have room, until the number of
// informed agents is that of the waiting tasks, and at least minInformed. Any of them
// pulls when a task slot becomes free.
func (d *Dispatch) announce(f *flow, count int) {
	informed := 0
	for _, a := range d.agentList {
		if a.usable() && a.announced[f.name] > 0 {
			informed++
		}
	}
	wanted := max(minInformed, count)
	if informed >= wanted {
		return
	}
	for _, a := range d.byRoom() {
		if informed >= wanted {
			return
		}
		if a.announced[f.name] == 0 {
			d.sendReserve(a, f, count, false)
			informed++
		}
	}
}

// announceToFree announces waiting tasks to the agents that report a free task slot. An
// agent that has been notified and does not pull is notified again at every
// repeatInterval.
func (d *Dispatch) announceToFree(f *flow, now time.Time) {
	repeat := now.Sub(f.repeatedAt) > repeatInterval
	if repeat {
		f.repeatedAt = now
	}
	for _, a := range d.agentList {
		if a.usable() && a.free > 0 && (a.announced[f.name] == 0 || repeat) {
			d.sendReserve(a, f, f.count, true)
		}
	}
}

// revokeAnnouncements revokes announcements once all waiting tasks are reserved, so that agents
// without a reservation do not pull in vain.
func (d *Dispatch) revokeAnnouncements(f *flow) {
	if f.count > f.reserved {
		return
	}
	for _, a := range d.agentList {
		if a.announced[f.name] > 0 && a.reserved[f.name] == 0 {
			d.sendReserve(a, f, 0, false)
			d.wasted.Recalled++
		}
	}
}

// Busy handles an agent's report that it has no free task slot for its reservations: they
// move to other agents. The agent may still pull the tasks.
func (d *Dispatch) Busy(name string) {
	if a, known := d.agents[name]; known && a.free == 0 {
		d.releaseReservations(a)
	}
}

// releaseReservations cancels the reservations that an agent has not pulled and
// reserves the tasks at other agents.
func (d *Dispatch) releaseReservations(a *agent) {
	for _, f := range d.flowOrder {
		n := a.reserved[f.name]
		if n == 0 {
			continue
		}
		d.wasted.Busy += 2
		a.reserved[f.name] = 0
		a.reservedTotal -= n
		f.reserved -= n
		d.reserve(f)
	}
}

// sendReserve tells an agent how many tasks of the flow wait. If replyIfBusy is set, the
// agent reports its load if it has no free task slot.
func (d *Dispatch) sendReserve(a *agent, f *flow, count int, replyIfBusy bool) {
	a.announced[f.name] = count
	d.host.Send(a.name, &wire.EntryFrame{Body: &wire.EntryFrame_Reserve{Reserve: &wire.Reserve{
		Kind:     f.name.Kind,
		Team:     f.name.Team,
		Count:    uint32(count),
		Now:      replyIfBusy,
		OldestUs: f.oldestWaitMicros(d.host.Now()),
	}}})
}

// reserveWaiting sends reservations for the flow's waiting tasks, if any.
func (d *Dispatch) reserveWaiting(f *flow) {
	if f.count > 0 {
		d.reserve(f)
	}
}

// consumeReservation reduces an agent's reservations by the tasks that it pulls.
func (d *Dispatch) consumeReservation(a *agent, f *flow, count int) {
	n := min(a.reserved[f.name], count)
	a.reserved[f.name] -= n
	a.reservedTotal -= n
	f.reserved -= n
}
