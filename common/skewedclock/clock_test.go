package skewedclock

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

func TestElapsedTimeIsNotShifted(t *testing.T) {
	i := is.New(t)
	inner := clockwork.NewFakeClock()
	c := New(inner, -3*time.Second)
	began := c.Now()
	i.Equal(inner.Now().Sub(began), 3*time.Second)
	inner.Advance(time.Second)
	i.Equal(c.Since(began), time.Second)
	i.Equal(c.Until(began.Add(5*time.Second)), 4*time.Second)
}
