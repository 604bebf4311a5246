package endpointhealth

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

func TestFailuresOfOneJobDoNotCount(t *testing.T) {
	i := is.New(t)
	e := New()
	for range MaxRuns {
		e.Failed("job", start)
	}
	i.Equal(e.FailureRate(start), 0.0)
}

func TestFailuresOfSeveralJobsCount(t *testing.T) {
	i := is.New(t)
	e := New()
	for n := range 3 {
		e.Failed(fmt.Sprint("job", n), start)
	}
	i.Equal(e.FailureRate(start), 0.8)
	for n := range 10 {
		e.Succeeded(fmt.Sprint("other", n), time.Second, time.Second, start)
	}
	i.Equal(e.FailureRate(start), 4.0/15)
	// Old runs do not count, nor do those of an earlier incarnation.
	i.Equal(e.FailureRate(start.Add(MaxRunAge+1)), 0.0)
	e.Reset()
	i.Equal(e.FailureRate(start), 0.0)
}

func TestSlownessNeedsSeveralRuns(t *testing.T) {
	i := is.New(t)
	e := New()
	for range minRuns - 1 {
		e.Succeeded("job", maxEndDelay+500*time.Millisecond, 100*time.Millisecond, start)
	}
	i.Equal(e.Slowness(start), 0.0)
	e.Succeeded("job", 100*time.Millisecond, 100*time.Millisecond, start)
	i.Equal(e.Slowness(start), 5.0)
	i.Equal(e.Slowness(start.Add(MaxRunAge+1)), 0.0)
}

// Varying run times and wrong estimates alone do not make an endpoint slow.
func TestOrdinaryEndpointIsNotCalledSlow(t *testing.T) {
	i := is.New(t)
	e := New()
	for _, ratio := range []float64{0.6, 0.8, 1, 1.2, 1.4, 7, 0.9, 1.9, 1.1} {
		e.Succeeded("job", time.Duration(ratio*float64(time.Second)), time.Second, start)
	}
	i.Equal(e.Slowness(start), 0.0)
}

// Ends that become known late, because reports were lost, do not make an endpoint with
// short tasks slow.
func TestDelayedEndsAreNotSlowness(t *testing.T) {
	i := is.New(t)
	e := New()
	for range MaxRuns {
		e.Succeeded("job", 130*time.Millisecond, 50*time.Millisecond, start)
	}
	i.Equal(e.Slowness(start), 0.0)
}

// Once there are MaxRuns runs, each new one evicts the oldest.
func TestOldRunsAreEvicted(t *testing.T) {
	i := is.New(t)
	e := New()
	for range MaxRuns {
		e.Succeeded("job", 5*time.Second, time.Second, start)
	}
	for range MaxRuns {
		e.Succeeded("job", time.Second, time.Second, start)
	}
	i.Equal(len(e.runs), MaxRuns)
	i.Equal(e.Slowness(start), 0.0)
}

// Guards against too little served: every message to a sidecar had these computed, with a list, a
// map and a sort each.
func TestRatesOfASoundEndpointCostNoAllocations(t *testing.T) {
	i := is.New(t)
	e := New()
	now := time.Unix(1_700_000_000, 0)
	for n := range MaxRuns {
		e.Succeeded(fmt.Sprint("job-", n), 100*time.Millisecond, 100*time.Millisecond, now)
	}
	i.Equal(testing.AllocsPerRun(50, func() {
		i.Equal(e.FailureRate(now)+e.Slowness(now), 0.0)
	}), 0.0)
}
