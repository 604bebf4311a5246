package startup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/sharing/startup"
)

func ExampleTimeline() {
	start := time.Unix(1_800_000_000, 0)
	t := startup.New(start)
	after, first := t.Reach(startup.Configured, start.Add(42*time.Millisecond))
	fmt.Println(startup.Configured, after, first)
	_, first = t.Reach(startup.Configured, start.Add(time.Second))
	fmt.Println(first)
	// Output:
	// configured 42ms true
	// false
}

// Sessions that come and go are logged once for each power of two.
func TestSessionsAreLoggedOnce(t *testing.T) {
	i := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	timeline := startup.New(start)
	var logged []int
	for _, count := range []int{1, 2, 3, 4, 3, 4, 5, 6, 7, 8, 7, 8, 1, 2} {
		if _, first := timeline.Sessions(count, start); first {
			logged = append(logged, count)
		}
	}
	i.Equal(logged, []int{1, 2, 4, 8})
}
