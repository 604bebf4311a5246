package cancellation

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
	i.Equal(there.AddAll(here.Recent(now), other), []string{"a", "b"})
	i.Equal(len(there.AddAll(here.Recent(now), other)), 0)
	canceled, found := there.Contains("a", other.Add(retention-2*time.Second))
	i.True(canceled && !found)
	canceled, _ = there.Contains("a", other.Add(retention-time.Second))
	i.True(!canceled)

	// The answer that the job was found spreads in turn.
	there.Add("b", true, other)
	i.Equal(len(here.AddAll(there.Recent(other), now)), 0)
	canceled, found = here.Contains("b", now)
	i.True(canceled && found)
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
	canceled, _ := l.Contains("0", now)
	i.True(!canceled)
	i.Equal(len(l.Recent(now.Add(2*retention))), 0)
	l.Add("last", false, now.Add(2*retention))
	i.Equal(len(l.records), 1)
}
