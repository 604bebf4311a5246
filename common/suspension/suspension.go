// Package suspension tells how long the machine stood still while the steady
// clock of the process did not count.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Detector compares the clock that counts suspensions with the one that does not.
type Detector struct {
	last time.Duration
	lead func() time.Duration
}

// New returns a detector that reports suspensions from now on.
func New() *Detector {
	d := &Detector{lead: lead}
	d.last = d.lead()
	return d
}

// Since returns for how long the machine was suspended since the last call.
func (d *Detector) SuspendedSinceLastCall() time.Duration {
	now := d.lead()
	stood := now - d.last
	d.last = now
	return max(0, stood)
}

// lead is how far the boot clock is ahead of the steady clock.
func lead() time.Duration {
	var boot, steady unix.Timespec
	// The calls fail only for clocks that do not exist.
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
