package residual_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/residual"
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
		"equals end in turn":             {[]task{{100 * ms, 0}, {100 * ms, 0}}, 50 * ms},
		"a long one changes little":      {[]task{{50 * ms, 0}, {1950 * ms, 0}}, 48750 * time.Microsecond},
		"due now, but forecasts err":     {[]task{{100 * ms, 100 * ms}}, 25 * ms},
		"overdue goes on":                {[]task{{100 * ms, 300 * ms}}, 200 * ms},
		"nothing ends in no time at all": {[]task{{0, 0}}, 5 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			var r residual.CompletionRate
			for _, one := range c.tasks {
				r.Add(one.expected, one.elapsed)
			}
			got := r.UntilNext()
			is.New(t).True(got >= c.want-time.Microsecond && got <= c.want+time.Microsecond)
			again := residual.FromNext(got)
			is.New(t).True(again.UntilNext() >= c.want-time.Microsecond && again.UntilNext() <= c.want+time.Microsecond)
		})
	}
}
