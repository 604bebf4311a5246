// Package backlog orders the tasks that wait at an endpoint for room. It answers
// the load in which several dispatchers send more than the endpoint can start at
// once: the most urgent goes first, and among equals the one whose job is oldest,
// so that jobs that are under way end before others begin. It does no I/O.
package backlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/request/size"
)

// Urgencies is the number of levels that are told apart; beyond it all are alike.
const Urgencies = 8

// Item is a task that waits.
type Item struct {
	Name    string
	Urgency int
	// Since is when the job came to its dispatcher.
	Since time.Time
	// Until is the time after which a start is of no use.
	Until    time.Time
	Size     size.Size
	Expected time.Duration
}

// Backlog is what waits at one endpoint. It is not safe for concurrent use.
type Backlog struct {
	items  []Item
	queued [Urgencies]uint64
}

// New returns an empty backlog.
func New() *Backlog { return &Backlog{} }

func before(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), a.Since.Compare(b.Since), cmp.Compare(a.Name, b.Name))
}

// Add puts a task in its place.
func (b *Backlog) Add(i Item) {
	at, _ := slices.BinarySearchFunc(b.items, i, before)
	b.items = slices.Insert(b.items, at, i)
	b.queued[level(i)] += i.work()
}

func level(i Item) int { return min(max(i.Urgency, 0), Urgencies-1) }

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
	b.cut(at)
	return true
}

func (b *Backlog) cut(at int) {
	b.queued[level(b.items[at])] -= b.items[at].work()
	b.items = slices.Delete(b.items, at, at+1)
}

// Next takes out the first task if it has room. A task that does not fit holds up
// those behind it, so that large tasks get their turn.
func (b *Backlog) Next(free size.Size) (Item, bool) {
	if len(b.items) == 0 || !b.items[0].Size.Fits(free) {
		return Item{}, false
	}
	first := b.items[0]
	b.cut(0)
	return first, true
}

// Expired takes out every task whose time is over.
func (b *Backlog) Expired(now time.Time) []Item {
	var over []Item
	for at := 0; at < len(b.items); {
		if b.items[at].Until.After(now) {
			at++
			continue
		}
		over = append(over, b.items[at])
		b.cut(at)
	}
	return over
}

// Len returns the number of tasks that wait.
func (b *Backlog) Len() int { return len(b.items) }

// Queued returns the work that waits per urgency in millicore-milliseconds.
func (b *Backlog) Queued() []uint64 {
	last := Urgencies
	for last > 0 && b.queued[last-1] == 0 {
		last--
	}
	return slices.Clone(b.queued[:last])
}
