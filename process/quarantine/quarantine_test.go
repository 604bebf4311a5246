package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/crash"
)

var start = time.Unix(1_700_000_000, 0)

// crashAt returns a crash in which the youngest run is of the first queue and the others are
// older.
func crashAt(after time.Duration, queues ...string) crash.Record {
	r := crash.Record{ID: crash.ID{Agent: "a", BornMS: int64(after)}, At: start.Add(after)}
	for n, queue := range queues {
		r.Runs = append(r.Runs, crash.Run{Task: crash.Task{Job: fmt.Sprint(after, n)}, Queue: queue, Age: time.Duration(10+100*n) * time.Millisecond})
	}
	return r
}

func observe(q *Quarantine, r crash.Record) string { return q.ObserveCrash(r, r.At) }

func TestQueueIsQuarantinedAfterTwoMoments(t *testing.T) {
	i := is.New(t)
	q := New()
	i.Equal(observe(q, crashAt(0, "bad", "sound")), "")
	i.Equal(observe(q, crashAt(50*time.Millisecond, "bad", "sound")), "") // a rack may be gone
	i.Equal(observe(q, crashAt(time.Second, "bad", "sound")), "bad")
	i.True(q.Contains("bad"))
	i.True(!q.Contains("sound"))
}

// Crashes without a common queue, or far apart, are no evidence.
func TestUnrelatedCrashesQuarantineNothing(t *testing.T) {
	i := is.New(t)
	q := New()
	for n, queue := range []string{"x", "y", "z", "u", "v", "w"} {
		i.Equal(observe(q, crashAt(time.Duration(n)*time.Second, queue)), "")
	}
	for n := range 3 {
		i.Equal(observe(q, crashAt(time.Duration(n+2)*2*window, "x")), "")
	}
}

// A crash of long ago, of which a dispatcher hears late, begins no other quarantine.
func TestOldCrashIsNoRelapse(t *testing.T) {
	i := is.New(t)
	q := New()
	observe(q, crashAt(0, "bad"))
	observe(q, crashAt(time.Second, "bad"))
	i.True(q.ObserveQuiet("bad", quietTime, start.Add(7*time.Second)))
	i.Equal(q.ObserveCrash(crashAt(1500*time.Millisecond, "bad"), start.Add(8*time.Second)), "")
	i.Equal(len(q.Queues()), 0)
}

// A queue that was quarantined by chance is cleared by a crash where it had no run.
func TestCrashElsewhereClearsAQueue(t *testing.T) {
	i := is.New(t)
	q := New()
	observe(q, crashAt(0, "chance", "bad"))
	i.Equal(observe(q, crashAt(200*time.Millisecond, "chance", "bad")), "chance")
	observe(q, crashAt(400*time.Millisecond, "bad", "other")) // others may not know yet
	i.True(q.Contains("chance"))
	observe(q, crashAt(time.Second, "bad", "other"))
	i.True(!q.Contains("chance"))
}

// Once no more crashes come, completed jobs or time with an endpoint up release the queue.
// Another crash soon after that is enough for the next quarantine.
func TestQueueIsReleased(t *testing.T) {
	i := is.New(t)
	q := New()
	observe(q, crashAt(0, "bad"))
	observe(q, crashAt(time.Second, "bad"))
	for range 2 * maxReleaseJobs {
		i.True(!q.ObserveCompletion("bad", start.Add(time.Second))) // too soon
	}
	i.True(!q.ObserveQuiet("bad", minQuietTime, start.Add(4*time.Second)))
	i.True(q.ObserveCompletion("bad", start.Add(4*time.Second)))
	i.Equal(observe(q, crashAt(6*time.Second, "bad")), "bad")
	i.True(q.ObserveQuiet("bad", quietTime, start.Add(12*time.Second)))
	i.Equal(len(q.Queues()), 0)
	i.True(!q.Adopt("bad", 0.5, start.Add(13*time.Second))) // just released here
}

// Dispatchers that know of the same quarantines choose the same endpoints, some of which may be
// down; each queue has its own, as many as its share of the work, and the rest stays free.
func TestEndpointsAreSetAside(t *testing.T) {
	i := is.New(t)
	var agents, reversed []string
	for n := range 20 {
		agents = append(agents, fmt.Sprint("agent-", n))
		reversed = append([]string{agents[n]}, reversed...)
	}
	one, other := New(), New()
	for _, q := range []*Quarantine{one, other} {
		i.True(q.Adopt("bad", 0.3, start))
		i.True(q.Adopt("worse", 0.9, start))
	}
	cell := one.Cell("bad", agents, 0)
	i.Equal(len(cell), 6)
	i.Equal(cell, other.Cell("bad", reversed, 0))
	i.Equal(len(one.Cell("bad", agents, 8)), 8) // a step may need more
	aside := map[string]bool{}
	for _, a := range one.Aside(agents) {
		aside[a] = true
	}
	i.Equal(len(aside), 12)
	i.Equal(len(SuspectCell("bad", agents, 1)), minEndpoints)
	i.Equal(len(SuspectCell("bad", agents[:2], 1)), 1)
}
