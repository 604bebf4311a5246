package address_test

import (
	"fmt"

	"github.com/corianderhook/corianderhook/common/address"
)

func ExampleValid() {
	for _, text := range []string{"10.1.0.13:8166", "[fd00::1]:8166", "10.1.0.13", "0.0.0.0:8166", "10.1.0.13:0", "entry-1:8166", ""} {
		fmt.Println(address.Valid(text), text)
	}
	// Output:
	// true 10.1.0.13:8166
	// true [fd00::1]:8166
	// false 10.1.0.13
	// false 0.0.0.0:8166
	// false 10.1.0.13:0
	// false entry-1:8166
	// false
}
