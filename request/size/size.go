// Package size holds what a task needs of an endpoint, and what an endpoint has.
package size

import (
	"fmt"

	"github.com/corianderhook/corianderhook/wire"
)

// Size is an amount of the resources that are counted.
type Size struct {
	// CPU is in thousandths of a core.
	CPU int
	// Memory is in MiB.
	Memory int
	// Accelerators is a number of devices.
	Accelerators int
}

// Plus returns the sum.
func (s Size) Plus(o Size) Size {
	return Size{CPU: s.CPU + o.CPU, Memory: s.Memory + o.Memory, Accelerators: s.Accelerators + o.Accelerators}
}

// Minus returns the difference; it may be below zero.
func (s Size) Minus(o Size) Size {
	return Size{CPU: s.CPU - o.CPU, Memory: s.Memory - o.Memory, Accelerators: s.Accelerators - o.Accelerators}
}

// Fits reports whether the size has room in what is free.
func (s Size) Fits(free Size) bool {
	return s.CPU <= free.CPU && s.Memory <= free.Memory && s.Accelerators <= free.Accelerators
}

// String is for logs.
func (s Size) String() string {
	return fmt.Sprintf("%dm/%dMiB/%d", s.CPU, s.Memory, s.Accelerators)
}

// FromWire reads the form that goes between processes.
func FromWire(s *wire.Size) Size {
	return Size{CPU: int(s.GetCpu()), Memory: int(s.GetMemory()), Accelerators: int(s.GetAccelerators())}
}

// Wire returns the form that goes between processes; what is below zero becomes zero.
func (s Size) Wire() *wire.Size {
	return &wire.Size{Cpu: uint32(max(0, s.CPU)), Memory: uint32(max(0, s.Memory)), Accelerators: uint32(max(0, s.Accelerators))}
}
