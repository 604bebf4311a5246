// Package allotment divides the descriptors and the memory of a process between its listeners.
package allotment

import (
	"time"

	"github.com/corianderhook/corianderhook/connection/intake"
)

const (
	// fileDescriptors are left for files, but at most a quarter of all.
	fileDescriptors = 200
	// connectionBytes is what a connection takes without a body: its stacks, the buffers of the
	// server and what the kernel holds.
	connectionBytes = 24 << 10
	// minProbes and maxProbes bound the connections of a listener for probes and metrics.
	minProbes = 16
	maxProbes = 64
	mebibyte  = 1 << 20
)

// Allotment is what a process may use.
type Allotment struct {
	descriptors  int
	memory       int64
	stall, whole time.Duration
}

// Option changes an allotment that New returns.
type Option func(a *Allotment)

// WithTimes sets how long a request may make no progress and how long it may take to arrive.
func WithTimes(stall, whole time.Duration) Option {
	return func(a *Allotment) { a.stall, a.whole = stall, whole }
}

// New returns the allotment of a process with a number of descriptors and a memory in MiB.
func New(descriptors, memoryMiB int, options ...Option) Allotment {
	a := Allotment{descriptors: descriptors, memory: int64(memoryMiB) * mebibyte, stall: 10 * time.Second, whole: 2 * time.Minute}
	for _, o := range options {
		o(&a)
	}
	return a
}

// sockets returns the number of descriptors for sockets.
func (a Allotment) sockets() int {
	return a.descriptors - min(fileDescriptors, a.descriptors/4)
}

// Callers returns the limits of the listener for callers: two thirds of the sockets, unless half
// of the memory is less, and an eighth of the memory for their requests.
func (a Allotment) Callers() intake.Limits {
	return a.limits(min(a.sockets()*2/3, int(a.memory/2/connectionBytes)))
}

// Processes returns the limits of the listener for other processes: a quarter of the sockets.
// Its connections are open between messages, for any time.
func (a Allotment) Processes() intake.Limits {
	return intake.NewLimits(a.sockets()/4, a.memory/8, 0, 0)
}

// Probes returns the limits of a listener for probes, metrics or announcements.
func (a Allotment) Probes() intake.Limits {
	return a.limits(min(max(a.sockets()/64, minProbes), maxProbes))
}

func (a Allotment) limits(connections int) intake.Limits {
	return intake.NewLimits(connections, a.memory/8, a.stall, a.whole)
}
