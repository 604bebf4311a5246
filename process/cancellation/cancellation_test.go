package cancellation

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/wire"
)

// jobs returns the jobs of messages.
func jobs(list []*wire.Cancellation) []string {
	var names []string
	for _, m := range list {
		names = append(names, m.GetJob())
	}
	return names
}

func TestCancellationsAreRememberedWithTheirAge(t *testing.T) {
	i := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	here, there := New(), New()
	i.True(here.Add("a", false, now))
	i.True(!here.Add("a", false, now.Add(time.Second)))
	now = now.Add(2 * time.Second)
	i.True(here.Add("b", false, now))
	// The other process has a clock of its own.
	other := time.Unix(5, 0)
	added := there.AddAll(here.Recent(now), other)
	i.Equal(jobs(added), []string{"a", "b"})
	i.Equal(len(there.AddAll(here.Recent(now), other)), 0)
	m := there.Find("a", other.Add(retention-2*time.Second))
	i.True(m != nil && !m.GetFound())
	i.True(there.Find("a", other.Add(retention-time.Second)) == nil)

	// Passed on in turn, it ends at the same time everywhere: a younger copy would be taken for a
	// new cancellation by a process that has forgotten it.
	third := New()
	third.AddAll(added, other)
	i.True(third.Find("a", other.Add(retention-2*time.Second)) != nil)
	i.True(third.Find("a", other.Add(retention-time.Second)) == nil)

	// The answer that the job was found spreads in turn.
	there.Add("b", true, other)
	i.Equal(len(here.AddAll(there.Recent(other), now)), 0)
	i.True(here.Find("b", now).GetFound())
}

func TestOldestCancellationsAreDropped(t *testing.T) {
	i := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	l := New()
	for n := range maxRecords + 1 {
		l.Add(fmt.Sprint(n), false, now.Add(time.Duration(n)*time.Millisecond))
	}
	now = now.Add(maxRecords * time.Millisecond)
	i.Equal(len(l.Recent(now)), maxRecords)
	i.True(l.Find("0", now) == nil)
	i.Equal(len(l.Recent(now.Add(2*retention))), 0)
	l.Add("last", false, now.Add(2*retention))
	i.Equal(len(l.records), 1)
}
