package excerpt_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/common/excerpt"
)

func ExampleOf() {
	fmt.Println(excerpt.Of("state \"resting\" does not exist"))
	// Output: state "resting" does not exist
}

func TestLongTextIsCut(t *testing.T) {
	i := is.New(t)
	long := excerpt.Of(strings.Repeat("x", excerpt.MaxBytes-1) + "é" + strings.Repeat("x", 1000))
	i.True(strings.HasSuffix(long, "x... (1257 bytes)"))
	i.True(len(long) < excerpt.MaxBytes+32)
}
