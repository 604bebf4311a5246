// Package ledger accounts for the resources that tasks reserve on an endpoint, so that
// no task is started beyond the endpoint's capacity. It does no I/O.
package ledger

import "github.com/corianderhook/corianderhook/request/size"

// Ledger holds the reservations of one endpoint. It is not safe for concurrent use.
type Ledger struct {
	capacity size.Size
	used     size.Size
	reserved map[string]size.Size
}

// New returns a ledger without capacity or reservations.
func New() *Ledger { return &Ledger{reserved: map[string]size.Size{}} }

// Resize sets the capacity. Reservations are kept, even if they exceed the new capacity.
func (l *Ledger) Resize(capacity size.Size) { l.capacity = capacity }

// Reserve reserves resources under a name. It returns false, and reserves nothing, if the
// free capacity is too small or the name has a reservation already.
func (l *Ledger) Reserve(name string, s size.Size) bool {
	if _, known := l.reserved[name]; known || !s.Fits(l.Free()) {
		return false
	}
	l.reserved[name] = s
	l.used = l.used.Plus(s)
	return true
}

// Release frees the reservation of a name, if there is one.
func (l *Ledger) Release(name string) {
	l.used = l.used.Minus(l.reserved[name])
	delete(l.reserved, name)
}

// Clear frees all reservations: the endpoint has restarted with a new incarnation.
func (l *Ledger) Clear() {
	l.used = size.Size{}
	clear(l.reserved)
}

// Capacity returns the whole capacity.
func (l *Ledger) Capacity() size.Size { return l.capacity }

// Free returns the capacity that is not reserved. It is negative after the capacity was
// reduced below the reservations.
func (l *Ledger) Free() size.Size { return l.capacity.Minus(l.used) }
