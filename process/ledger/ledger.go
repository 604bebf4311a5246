// Package ledger counts what the tasks on an endpoint take up, so that no start
// brings the endpoint over its capacity. It does no I/O.
package ledger

import "github.com/corianderhook/corianderhook/request/size"

// Ledger is the account of one endpoint. It is not safe for concurrent use.
type Ledger struct {
	capacity size.Size
	used     size.Size
	held     map[string]size.Size
}

// New returns the account of an endpoint that runs nothing.
func New() *Ledger { return &Ledger{held: map[string]size.Size{}} }

// Resize sets the capacity. What is held stays, also above the new capacity.
func (l *Ledger) Resize(capacity size.Size) { l.capacity = capacity }

// Take holds room under a name; it reports false, and holds nothing, where there
// is too little or the name holds room already.
func (l *Ledger) Reserve(name string, s size.Size) bool {
	if _, known := l.held[name]; known || !s.Fits(l.Free()) {
		return false
	}
	l.held[name] = s
	l.used = l.used.Plus(s)
	return true
}

// Release gives the room of a name back.
func (l *Ledger) Release(name string) {
	l.used = l.used.Minus(l.held[name])
	delete(l.held, name)
}

// Clear gives all room back: the endpoint has begun a new life.
func (l *Ledger) Clear() {
	l.used = size.Size{}
	clear(l.held)
}

// Free returns what is left.
func (l *Ledger) Free() size.Size { return l.capacity.Minus(l.used) }
