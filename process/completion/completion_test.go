package completion_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/completion"
)

type task struct{ expected, elapsed time.Duration }

func TestUntilNext(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		tasks []task
		want  time.Duration
	}{
		"none runs":                      {nil, 0},
		"one":                            {[]task{{100 * ms, 20 * ms}}, 80 * ms},
		"two equal tasks":                {[]task{{100 * ms, 0}, {100 * ms, 0}}, 50 * ms},
		"a short and a long task":        {[]task{{50 * ms, 0}, {1950 * ms, 0}}, 48750 * time.Microsecond},
		"due now, minimum share":         {[]task{{100 * ms, 100 * ms}}, 25 * ms},
		"overdue":                        {[]task{{100 * ms, 300 * ms}}, 200 * ms},
		"nothing expected, minimum time": {[]task{{0, 0}}, 5 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			var r completion.Rate
			for _, running := range c.tasks {
				r.Add(running.expected, running.elapsed)
			}
			got := r.UntilNext()
			is.New(t).True(got >= c.want-time.Microsecond && got <= c.want+time.Microsecond)
			restored := completion.FromNext(got)
			is.New(t).True(restored.UntilNext() >= c.want-time.Microsecond && restored.UntilNext() <= c.want+time.Microsecond)
		})
	}
}
