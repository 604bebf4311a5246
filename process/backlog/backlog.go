// Package backlog orders the tasks that wait for free capacity at an endpoint when several
// dispatchers send more than it can start at once. The task with the least slack goes first;
// urgency only breaks ties: jobs have been prioritised at admission, and a job whose last task
// is late has wasted its other tasks. Tasks that can no longer be on time go last. It does no
// I/O.
package backlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/request/size"
)

// Bands is the number of slack bands in reports. Slack is the time left until the latest
// start at which the job is on time.
const Bands = 8

// lateBand holds the tasks that can no longer be on time.
const lateBand = Bands - 1

// bandBounds returns the upper bounds of the bands except the last two, which hold all
// larger slacks and the late tasks.
func bandBounds() [Bands - 2]time.Duration {
	return [...]time.Duration{
		25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
		200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	}
}

// Band returns the band that a slack belongs to.
func Band(slack time.Duration) int {
	if slack < 0 {
		return lateBand
	}
	for i, bound := range bandBounds() {
		if slack < bound {
			return i
		}
	}
	return Bands - 2
}

// Item is a waiting task.
type Item struct {
	Name    string
	Urgency int
	// LatestStart is the latest start at which the job is on time.
	LatestStart time.Time
	// Expiry is the time after which a start is of no use.
	Expiry time.Time
	Size   size.Size
	// Expected is the expected run time.
	Expected time.Duration
}

// Backlog is the queue of tasks at one endpoint. It is not safe for concurrent use.
type Backlog struct{ items []Item }

// New returns an empty backlog.
func New() *Backlog { return &Backlog{} }

func compareItems(a, b Item) int {
	return cmp.Or(a.LatestStart.Compare(b.LatestStart), cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.Name, b.Name))
}

// Add inserts a task in order.
func (b *Backlog) Add(i Item) {
	at, _ := slices.BinarySearchFunc(b.items, i, compareItems)
	b.items = slices.Insert(b.items, at, i)
}

// work returns the expected work of the task in millicore-milliseconds.
func (i Item) work() uint64 {
	return uint64(max(0, i.Size.CPU)) * uint64(max(0, i.Expected.Milliseconds()))
}

// Remove removes a task and reports whether it was waiting.
func (b *Backlog) Remove(name string) bool {
	at := slices.IndexFunc(b.items, func(i Item) bool { return i.Name == name })
	if at < 0 {
		return false
	}
	b.items = slices.Delete(b.items, at, at+1)
	return true
}

// Pop removes and returns the first task that can still be on time, or else the first late
// one, if it fits into the free capacity. A task that does not fit blocks those behind it, so
// that small tasks cannot starve large ones.
func (b *Backlog) Pop(free size.Size, now time.Time) (Item, bool) {
	if len(b.items) == 0 {
		return Item{}, false
	}
	at := slices.IndexFunc(b.items, func(i Item) bool { return !i.LatestStart.Before(now) })
	at = max(at, 0)
	first := b.items[at]
	if !first.Size.Fits(free) {
		return Item{}, false
	}
	b.items = slices.Delete(b.items, at, at+1)
	return first, true
}

// PopExpired removes and returns the tasks that have reached their expiry.
func (b *Backlog) PopExpired(now time.Time) []Item {
	var expired []Item
	b.items = slices.DeleteFunc(b.items, func(i Item) bool {
		due := !i.Expiry.After(now)
		if due {
			expired = append(expired, i)
		}
		return due
	})
	return expired
}

// Len returns the number of waiting tasks.
func (b *Backlog) Len() int { return len(b.items) }

// QueuedWork returns the waiting work per band of slack, in millicore-milliseconds.
func (b *Backlog) QueuedWork(now time.Time) []uint64 {
	if len(b.items) == 0 {
		return nil
	}
	queued := make([]uint64, Bands)
	for _, i := range b.items {
		queued[Band(i.LatestStart.Sub(now))] += i.work()
	}
	return queued
}
