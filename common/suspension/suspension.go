// Package suspension detects how long the machine was suspended, which the monotonic clock
// of the process does not count.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Threshold is the length of a suspension after which other processes may have given up on this
// one.
const Threshold = 100 * time.Millisecond

// Detector compares the boot clock, which counts suspensions, with the monotonic clock, which
// does not.
type Detector struct {
	lastLead      time.Duration
	bootClockLead func() time.Duration
}

// New returns a detector of suspensions from now on.
func New() *Detector {
	d := &Detector{bootClockLead: bootClockLead}
	d.lastLead = d.bootClockLead()
	return d
}

// SuspendedSinceLastCall returns how long the machine was suspended since the last call, or
// since New.
func (d *Detector) SuspendedSinceLastCall() time.Duration {
	lead := d.bootClockLead()
	suspended := lead - d.lastLead
	d.lastLead = lead
	return max(0, suspended)
}

// bootClockLead returns how far the boot clock is ahead of the monotonic clock.
func bootClockLead() time.Duration {
	var boot, monotonic unix.Timespec
	// The calls fail only for clocks that do not exist.
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
