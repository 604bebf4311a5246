// Package size measures the resources that a task needs and that an endpoint has.
package size

import (
	"fmt"

	"github.com/corianderhook/corianderhook/wire"
)

// Size is an amount of each resource that is accounted for.
type Size struct {
	// CPU is in millicores.
	CPU int
	// Memory is in MiB.
	Memory int
	// Accelerators is the number of accelerator devices.
	Accelerators int
}

// Plus returns the sum.
func (s Size) Plus(o Size) Size {
	return Size{CPU: s.CPU + o.CPU, Memory: s.Memory + o.Memory, Accelerators: s.Accelerators + o.Accelerators}
}

// Minus returns the difference, which may be negative.
func (s Size) Minus(o Size) Size {
	return Size{CPU: s.CPU - o.CPU, Memory: s.Memory - o.Memory, Accelerators: s.Accelerators - o.Accelerators}
}

// Fits reports whether the size fits into the free resources.
func (s Size) Fits(free Size) bool {
	return s.CPU <= free.CPU && s.Memory <= free.Memory && s.Accelerators <= free.Accelerators
}

// String formats the size for logs.
func (s Size) String() string {
	return fmt.Sprintf("%dm/%dMiB/%d", s.CPU, s.Memory, s.Accelerators)
}

// FromWire converts the message that processes exchange.
func FromWire(s *wire.Size) Size {
	return Size{CPU: int(s.GetCpu()), Memory: int(s.GetMemory()), Accelerators: int(s.GetAccelerators())}
}

// Wire returns the message that processes exchange, with negative amounts as zero.
func (s Size) Wire() *wire.Size {
	return &wire.Size{Cpu: uint32(max(0, s.CPU)), Memory: uint32(max(0, s.Memory)), Accelerators: uint32(max(0, s.Accelerators))}
}
