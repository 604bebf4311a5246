// Package size holds what a task needs of an endpoint, and what an endpoint has.
package size

import "fmt"

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
