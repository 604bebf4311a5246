package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/health"
)

var start = time.Unix(1000, 0)

func observe(h *health.Health, agent string, jobs int, failed bool, seconds float64) health.Verdict {
	last := health.Keep
	for i := range jobs {
		v := h.Observe(health.Observation{
			Agent: agent, Kind: "k", Job: fmt.Sprintf("%s-%d", agent, i), Failed: failed, Cost: seconds,
		}, start)
		if v != health.Keep {
			last = v
		}
	}
	return last
}

func TestAgentThatFailsEverythingIsEjected(t *testing.T) {
	is := is.New(t)
	h := health.New()
	is.Equal(observe(h, "good", 20, false, 0.05), health.Keep)
	is.Equal(observe(h, "bad", 4, true, 0), health.Eject)
	is.True(h.Ejected("bad"))
}

func TestJobThatFailsEverywhereEjectsNobody(t *testing.T) {
	is := is.New(t)
	h := health.New()
	for range 20 {
		for _, agent := range []string{"a", "b", "c", "d"} {
			is.Equal(observe(h, agent, 1, true, 0), health.Keep)
		}
	}
}

func TestOneFailingJobEjectsNobody(t *testing.T) {
	is := is.New(t)
	h := health.New()
	observe(h, "good", 20, false, 0.05)
	for range 20 {
		v := h.Observe(health.Observation{Agent: "a", Kind: "k", Job: "same", Failed: true}, start)
		is.Equal(v, health.Keep)
	}
}

func TestEjectionIsBounded(t *testing.T) {
	is := is.New(t)
	h := health.New()
	for i := range 6 {
		observe(h, fmt.Sprintf("good-%d", i), 20, false, 0.05)
	}
	ejected := 0
	for i := range 4 {
		if observe(h, fmt.Sprintf("slow-%d", i), 4, false, 5) == health.Eject {
			ejected++
		}
	}
	is.Equal(ejected, 3) // at most a third of ten agents
}

func TestProbeReadmitsOrDoublesDelay(t *testing.T) {
	is := is.New(t)
	h := health.New()
	observe(h, "good", 20, false, 0.05)
	observe(h, "bad", 4, true, 0)
	is.True(!h.StartProbe("bad", start.Add(3*time.Second)))
	is.True(h.StartProbe("bad", start.Add(4*time.Second)))
	now := start.Add(5 * time.Second)
	failed := health.Observation{Agent: "bad", Kind: "k", Job: "p", Failed: true}
	is.Equal(h.Observe(failed, now), health.Eject)
	is.True(!h.StartProbe("bad", now.Add(7*time.Second))) // the delay has doubled
	is.True(h.StartProbe("bad", now.Add(8*time.Second)))
	good := health.Observation{Agent: "bad", Kind: "k", Job: "p", Cost: 0.05}
	is.Equal(h.Observe(good, now.Add(9*time.Second)), health.Readmit)
	is.True(!h.Ejected("bad"))
}

func TestOverdueTasksEjectAgent(t *testing.T) {
	is := is.New(t)
	h := health.New()
	observe(h, "good", 20, false, 0.05)
	observe(h, "slow", 1, false, 0.05)
	is.True(!h.Overdue("k", 190*time.Millisecond))
	is.True(h.Overdue("k", 210*time.Millisecond))
	is.Equal(h.ObserveOverdue("slow", 1, start), health.Keep)
	is.Equal(h.ObserveOverdue("slow", 2, start), health.Eject)
}

// Ejected slow agents must not use up the bound for an agent that fails everything.
func TestFailingAgentIsEjectedBesideSlowOnes(t *testing.T) {
	is := is.New(t)
	h := health.New()
	for i := range 6 {
		observe(h, fmt.Sprintf("good-%d", i), 20, false, 0.05)
	}
	for i := range 3 {
		is.Equal(observe(h, fmt.Sprintf("slow-%d", i), 4, false, 5), health.Eject)
	}
	is.Equal(observe(h, "bad", 4, true, 0), health.Eject)
}

func TestFailureRate(t *testing.T) {
	is := is.New(t)
	h := health.New()
	is.Equal(h.FailureRate("a", start), 0.0)
	observe(h, "a", 3, false, 0.05)
	is.Equal(h.FailureRate("a", start), 0.0)
	observe(h, "a", 1, true, 0)
	is.Equal(h.FailureRate("a", start), 2.0/6)
	is.Equal(h.FailureRate("a", start.Add(4*time.Second)), 0.0)
}
