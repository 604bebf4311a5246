// Package backlog orders the tasks that wait at an endpoint for room. It answers
// the load in which several dispatchers send more than the endpoint can start at
// once: the task goes first that has to start soonest for its job to be on time.
// Jobs were weighed against each other when they were taken; one that is under way
// and late with its last task has wasted the others. Tasks that cannot be on time
// any more go last. It does no I/O.
package backlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/request/size"
)

// Bands is the number of bands of slack that are told apart in reports. Slack is the
// time that is left for a start that is on time.
const Bands = 8

// lastBand is for tasks that cannot be on time any more: they go last.
const lastBand = Bands - 1

// edges are the upper bounds of the bands but for the last two.
func edges() [Bands - 2]time.Duration {
	return [...]time.Duration{
		25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
		200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	}
}

// Band returns the band of a slack.
func Band(slack time.Duration) int {
	if slack < 0 {
		return lastBand
	}
	for i, e := range edges() {
		if slack < e {
			return i
		}
	}
	return Bands - 2
}

// Item is a task that waits.
type Item struct {
	Name    string
	Urgency int
	// OnTime is the latest start at which the job is on time.
	LatestStart time.Time
	// Until is the time after which a start is of no use.
	Expiry   time.Time
	Size     size.Size
	Expected time.Duration
}

// Backlog is what waits at one endpoint. It is not safe for concurrent use.
type Backlog struct{ items []Item }

// New returns an empty backlog.
func New() *Backlog { return &Backlog{} }

func before(a, b Item) int {
	return cmp.Or(a.LatestStart.Compare(b.LatestStart), cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.Name, b.Name))
}

// Add puts a task in its place.
func (b *Backlog) Add(i Item) {
	at, _ := slices.BinarySearchFunc(b.items, i, before)
	b.items = slices.Insert(b.items, at, i)
}

// work is in millicore-milliseconds.
func (i Item) work() uint64 {
	return uint64(max(0, i.Size.CPU)) * uint64(max(0, i.Expected.Milliseconds()))
}

// Remove takes a task out; it reports whether the task was there.
func (b *Backlog) Remove(name string) bool {
	at := slices.IndexFunc(b.items, func(i Item) bool { return i.Name == name })
	if at < 0 {
		return false
	}
	b.items = slices.Delete(b.items, at, at+1)
	return true
}

// Next takes out the first task if it has room. A task that does not fit holds up
// those behind it, so that large tasks get their turn.
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

// Expired takes out every task whose time is over.
func (b *Backlog) PopExpired(now time.Time) []Item {
	var over []Item
	b.items = slices.DeleteFunc(b.items, func(i Item) bool {
		gone := !i.Expiry.After(now)
		if gone {
			over = append(over, i)
		}
		return gone
	})
	return over
}

// Len returns the number of tasks that wait.
func (b *Backlog) Len() int { return len(b.items) }

// Queued returns the work that waits per band of slack in millicore-milliseconds.
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
