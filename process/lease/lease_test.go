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

// At the limit nothing extends the lease any more, so that it ends whatever else is sent.
func TestLimitEndsTheLease(t *testing.T) {
	i := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	l := lease.New(now)
	limit := now.Add(600 * time.Millisecond)
	l.SetLimit(limit)
	i.True(!l.Limited(now))
	i.Equal(l.Extend(now), now.Add(lease.Duration))
	i.True(l.Limited(now.Add(200 * time.Millisecond)))
	i.Equal(l.Extend(now.Add(200*time.Millisecond)), limit)
	i.True(l.Extend(limit).IsZero())
	i.True(l.Lapsed(limit.Add(lease.LapseTime() - lease.Duration + time.Millisecond)))
	l.SetLimit(time.Time{})
	i.True(!l.Limited(limit))
	i.Equal(l.Extend(limit), limit.Add(lease.Duration))
}
