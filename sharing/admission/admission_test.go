package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/sharing/admission"
)

// ordinary returns a job that has to wait and is expected to end on time.
func ordinary() admission.Case {
	return admission.Case{
		Wait: 20 * time.Millisecond, End: 100 * time.Millisecond, Objective: 150 * time.Millisecond, Budget: time.Second,
		Limit: 200 * time.Millisecond, Most: 140 * time.Millisecond, Waiting: 60 * time.Millisecond,
	}
}

func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(c *admission.Case)
		admitted bool
	}{
		"on time":               {func(*admission.Case) {}, true},
		"late":                  {func(c *admission.Case) { c.End = 200 * time.Millisecond }, false},
		"after the budget":      {func(c *admission.Case) { c.Wait, c.End = 0, 2*time.Second }, false},
		"late without a wait":   {func(c *admission.Case) { c.Wait, c.End = 0, 200*time.Millisecond }, true},
		"more than urgent work": {func(c *admission.Case) { c.Waiting = 150 * time.Millisecond }, false},
		"most urgent at once":   {func(c *admission.Case) { c.Wait, c.Waiting = 0, 300*time.Millisecond }, true},
		"room is kept":          {func(c *admission.Case) { c.Reserved = 0.6 }, false},
		"free room is kept":     {func(c *admission.Case) { c.Wait, c.Reserved = 0, 0.6 }, false},
		"little room is kept":   {func(c *admission.Case) { c.Reserved = 0.5 }, true},
		"all room is taken":     {func(c *admission.Case) { c.Reserved = 7 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			one := ordinary()
			c.change(&one)
			v := one.Decide()
			i.Equal(v.Admitted(), c.admitted)
			i.Equal(v.After() > 0, !c.admitted)
		})
	}
}

// The caller is told what is true: the end that was foretold, or what waits.
func TestDetailTellsTheCause(t *testing.T) {
	i := is.New(t)
	c := ordinary()
	c.Reserved = 0.75
	i.Equal(c.Decide().Detail(), "overload: admitted work waits for 60 ms, a job like this may join 35 ms")
	c.Reserved, c.End = 0, 200*time.Millisecond
	i.Equal(c.Decide().Detail(), "overload: the job would end in 200 ms, after its objective of 150 ms")
}
