package jobsize_test

import (
	"fmt"

	"github.com/corianderhook/corianderhook/process/jobsize"
)

// Jobs whose work differs by a factor of 16 and more are compared with the mean of their
// queue; the backlog factor is bounded at both ends.
func ExampleTracker() {
	b := jobsize.New()
	fmt.Println("before any job:", b.BacklogFactor("checks", 1000))
	for range 100 {
		b.Observe("checks", 1000)
	}
	for _, work := range []float64{0, 250, 1000, 2250, 16000} {
		fmt.Printf("%5.0f: %.2f\n", work, b.BacklogFactor("checks", work))
	}
	// Output:
	// before any job: 1
	//     0: 2.00
	//   250: 2.00
	//  1000: 1.00
	//  2250: 0.67
	// 16000: 0.50
}
