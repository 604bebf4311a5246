package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/lease"
)

func TestLeaseLapsesAfterItsLastExtension(t *testing.T) {
	i := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	l := lease.New(now)
	i.Equal(l.Extend(now.Add(time.Second)), now.Add(time.Second+lease.Duration))
	// An order that was decided earlier and is sent later does not shorten it.
	i.Equal(l.Extend(now.Add(500*time.Millisecond)), now.Add(500*time.Millisecond+lease.Duration))
	i.True(!l.Lapsed(now.Add(time.Second + lease.LapseTime())))
	i.True(l.Lapsed(now.Add(time.Second + lease.LapseTime() + time.Millisecond)))
}
