// Package peerstate describes what an entry knows of another from its heartbeats.
package peerstate

import "time"

// SuspicionTimeout is how long an entry may be silent before its ownership slots are
// claimed.
const SuspicionTimeout = 1500 * time.Millisecond

// State is the state of another entry according to its heartbeats.
type State struct {
	// LastHeard and FirstHeard are when the last and the first heartbeat of this instance
	// of the entry arrived.
	LastHeard  time.Time
	FirstHeard time.Time
	// HeardEntries are the instances from which the entry received a heartbeat recently.
	HeardEntries []string
	Draining     bool
}
