// Package configcopy decides when a dispatcher writes a copy of what operators have published to a
// topic of this project, and when a dispatcher without a configuration reads one. The store may be
// down in part: a dispatcher that starts while the operators' topic does not answer, and no other
// dispatcher runs, has a configuration from a copy. It does no I/O.
package configcopy

import (
	"time"

	"github.com/corianderhook/corianderhook/version/evacuation"
)

const (
	// writeSpread is the time over which dispatchers spread their writing of a change, so that
	// most of them find it written. It grows by uploadSpread times the time that the write takes on
	// the link of the dispatcher: those with wide links go first.
	writeSpread  = time.Second
	uploadSpread = 16
	// minBackoff is the time after a failed call. It doubles up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// headStart is the time that the operators' topic has for its first answer before a copy is
	// read, and the time between two reads of a copy.
	headStart = 100 * time.Millisecond
)

// State is what a copy says, or what is in force here.
type State struct {
	// Config is the version of the configuration; 0 means none.
	Config     uint64
	Evacuation evacuation.State
}

// Merge returns the newer parts of a copy and of the state in force. Write reports whether the copy
// lacks a part of them, withConfig whether it lacks the configuration. The evacuated zones count by
// their content: their version changes with each record of the operators' log.
func Merge(kept, own State) (next State, write, withConfig bool) {
	next = kept
	if withConfig = own.Config > kept.Config; withConfig {
		next.Config = own.Config
	}
	zones := own.Evacuation.Version() > kept.Evacuation.Version() && !own.Evacuation.SameZones(kept.Evacuation)
	if zones || withConfig && own.Evacuation.Version() >= kept.Evacuation.Version() {
		next.Evacuation = own.Evacuation
	}
	return next, withConfig || zones, withConfig
}

// Writer decides when one dispatcher looks at a copy to bring it up to date. It is not safe for
// concurrent use.
type Writer struct {
	// share is this dispatcher's place in writeSpread, from 0 to 1.
	share float64
	// kept is what the copy is known to hold.
	kept    State
	dueAt   time.Time
	backoff time.Duration
}

// NewWriter returns the writer of a dispatcher with the given place among the others, from 0 to 1.
func NewWriter(share float64) *Writer { return &Writer{share: share, backoff: minBackoff} }

// Due reports whether the copy is to be read, and written if it lacks a part of the state in force.
// Upload is how long the write takes.
func (w *Writer) Due(own State, upload time.Duration, now time.Time) bool {
	if _, write, _ := Merge(w.kept, own); !write || own.Config == 0 {
		w.dueAt = time.Time{}
		return false
	}
	if w.dueAt.IsZero() {
		w.dueAt = now.Add(upload + time.Duration(w.share*float64(writeSpread+uploadSpread*upload)))
	}
	return !now.Before(w.dueAt)
}

// Holds records what the copy holds now.
func (w *Writer) Holds(kept State) { w.kept, w.dueAt, w.backoff = kept, time.Time{}, minBackoff }

// Failed records that the copy could not be read or written.
func (w *Writer) Failed(now time.Time) {
	w.dueAt = now.Add(w.backoff)
	w.backoff = min(2*w.backoff, maxBackoff)
}

// NextRead returns the time until a dispatcher without a configuration looks at a copy, or looks
// again. LastActivity is when something last arrived from the operators' topic, or when the
// dispatcher started; read is true if the copy is to be read now.
func NextRead(lastActivity, now time.Time) (wait time.Duration, read bool) {
	if silence := now.Sub(lastActivity); silence < headStart {
		return headStart - silence, false
	}
	return headStart, true
}
