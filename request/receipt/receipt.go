// Package receipt records what an entry knew about the owner of a job when the
// request arrived.
package receipt

// Receipt identifies the owner of a job and dates the arrival of a request on the
// owner's clock.
type Receipt struct {
	// Owner is the instance that owned the job's slot.
	Owner string
	// OwnerClock is the last known time on the owner's clock, in nanoseconds.
	OwnerClock uint64
}
