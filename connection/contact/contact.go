// Package contact is what a process knows of another one by the connection to it.
package contact

import "time"

// Suspicion is how long an entry may be unheard before its slots are claimed.
const SuspicionTimeout = 1500 * time.Millisecond

// Contact is what is known of another entry.
type Contact struct {
	// LastHeard and FirstHeard are when a heartbeat of this run came in last and first.
	LastHeard  time.Time
	FirstHeard time.Time
	// Hears are the entries that the peer heard lately.
	HeardEntries []string
	Draining     bool
}
