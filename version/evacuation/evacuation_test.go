package evacuation_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/version/evacuation"
)

func ExampleState() {
	s := evacuation.New(7, []string{"cascadia-c"})
	s, _ = s.With("cascadia-a", true)
	s, _ = s.With("cascadia-c", false)
	s = s.At(9)
	fmt.Println(s.Version(), s.Zones(), s.Includes("cascadia-a"), s.Includes("cascadia-c"))
	// Output: 9 [cascadia-a] true false
}

// A malformed or excess name must change nothing that is in force.
func TestInvalidNamesChangeNothing(t *testing.T) {
	is := is.New(t)
	s := evacuation.New(1, []string{"cascadia-a"})
	for _, name := range []string{"", "a b", "a/b", "\x00", "zoné", strings.Repeat("z", 65)} {
		changed, valid := s.With(name, true)
		is.True(!valid)
		is.True(changed.SameZones(s))
	}
	for i := range 1000 {
		s, _ = s.With(fmt.Sprintf("zone-%d", i), true)
	}
	is.Equal(len(s.Zones()), 128)
	is.True(s.Includes("cascadia-a"))
	s, valid := s.With("cascadia-a", false)
	is.True(valid)
	is.True(!s.Includes("cascadia-a"))
}

// A state that is shared between goroutines must not change with its successors.
func TestStatesAreIndependent(t *testing.T) {
	is := is.New(t)
	first := evacuation.New(1, []string{"a", "c"})
	second, _ := first.With("b", true)
	third, _ := second.With("a", false)
	is.Equal(first.Zones(), []string{"a", "c"})
	is.Equal(second.Zones(), []string{"a", "b", "c"})
	is.Equal(third.Zones(), []string{"b", "c"})
}
