// Package cputime reads the processor time that this process has used.
package cputime

import (
	"syscall"
	"time"
)

// Used returns the processor time since the start of the process, in user and in kernel mode.
func Used() time.Duration {
	var usage syscall.Rusage
	// The call cannot fail for the process itself.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
