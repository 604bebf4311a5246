package size_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/request/size"
)

func ExampleSize_Fits() {
	task := size.Size{CPU: 3000, Memory: 64}
	fmt.Println(task.Fits(size.Size{CPU: 3000, Memory: 128}), task.Fits(size.Size{CPU: 2999, Memory: 128}))
	// Output: true false
}

func TestFitsChecksEveryResource(t *testing.T) {
	i := is.New(t)
	free := size.Size{CPU: 10, Memory: 10, Accelerators: 1}
	i.True(!size.Size{Memory: 11}.Fits(free))
	i.True(!size.Size{Accelerators: 2}.Fits(free))
	i.Equal(free.Plus(free).Minus(free), free)
}

func TestWireRoundTrip(t *testing.T) {
	i := is.New(t)
	s := size.Size{CPU: 3000, Memory: 64, Accelerators: 1}
	i.Equal(size.FromWire(s.Wire()), s)
	i.Equal(size.FromWire(size.Size{CPU: -5}.Wire()), size.Size{})
	i.Equal(size.FromWire(nil), size.Size{})
}
