package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/crash"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/wire"
)

func attachBorn(s *Scheduler, agent string, born int64) {
	s.AttachAgent(agent, "z1", nil, &wire.SidecarFrame{
		Endpoint: &wire.EndpointState{Service: "checks", Accepting: true, BornMs: born, Capacity: &wire.Size{Cpu: 8000, Memory: 1000}},
		Room:     &wire.Room{Free: &wire.Size{Cpu: 8000, Memory: 1000}},
	})
}

// The sidecar that knew what ran has died with the endpoint; only the dispatcher can tell. If
// the endpoint is still the same, there was no crash.
func TestCrashThatOnlyADispatcherKnowsIsCounted(t *testing.T) {
	for _, c := range []struct{ born, crashes int64 }{{2, 1}, {1, 0}} {
		i := is.New(t)
		s, h := newScheduler()
		attachBorn(s, "a", 1)
		submit(t, s, "job", 1, time.Second)
		s.HandleFrame("a", eventFrame(h.refs("a")[0], wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
		attachBorn(s, "a", 0) // the new sidecar has not reached the endpoint yet
		s.HandleFrame("a", &wire.SidecarFrame{Endpoint: &wire.EndpointState{Service: "checks", BornMs: c.born}})
		i.Equal(s.crashes.Crashes(crash.Task{Job: "job"}), int(c.crashes))
	}
}

// The dispatcher that knew the job is gone; its caller sends it to another one, which has the
// crashes from the sidecars.
func TestGivenUpJobFailsAtOnceElsewhere(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler("a")
	for born := range int64(2) {
		s.HandleCrashes([]*wire.Crash{{Agent: "b", BornMs: born, Service: "checks", Runs: []*wire.CrashedRun{{Job: "job", Queue: "checks", RanMs: 10}}}})
	}
	answers := submit(t, s, "job", 3, time.Second)
	i.Equal((*answers)[0].Outcome(), outcome.Failed)
	i.Equal(len(h.offers), 0)
}

// Sidecars of an earlier build do not report crashes. The losses of a task there count, but not
// those at an endpoint that is up: it has refused the start.
func TestLossesAtOldSidecarsEndATask(t *testing.T) {
	for _, c := range []struct{ crashes, refusals, starts int }{{20, 0, 4}, {0, 20, 20}, {2, 18, 20}} {
		i := is.New(t)
		s, h := newScheduler("a", "b")
		answers := submit(t, s, "job", 1, time.Minute)
		starts := 0
		for len(*answers) == 0 && starts < c.crashes+c.refusals {
			agent := "a"
			if len(h.refs("b")) > 0 {
				agent = "b"
			}
			ref := h.refs(agent)[0]
			delete(h.offers, agent)
			s.HandleFrame(agent, eventFrame(ref, wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
			f := eventFrame(ref, wire.TaskEventKind_TASK_EVENT_KIND_LOST)
			if starts < c.crashes {
				f.Endpoint = &wire.EndpointState{Service: "checks", Reason: "the endpoint does not answer"}
			}
			s.HandleFrame(agent, f)
			attachAgent(s, agent)
			starts++
		}
		i.Equal(starts, c.starts)
		if c.crashes > 4 {
			i.Equal((*answers)[0].Outcome(), outcome.Failed)
		}
	}
}

func TestQuarantinedQueueUsesItsEndpointsOnly(t *testing.T) {
	i := is.New(t)
	var agents []string
	for n := range 7 {
		agents = append(agents, fmt.Sprint("agent-", n))
	}
	s, h := newScheduler(agents...)
	s.AdoptQuarantines([]*wire.Quarantine{{Service: "checks", Queue: "checks", Share: 0.3}})
	cell := s.quarantineOf("checks").Cell("checks", agents, 0)
	i.Equal(len(cell), 2)
	for n := range 4 {
		submit(t, s, fmt.Sprint("job", n), 2, time.Second)
	}
	i.True(len(h.offers) > 0)
	for agent := range h.offers {
		i.True(slices.Contains(cell, agent))
	}
	for _, agent := range cell {
		s.HandleFrame(agent, &wire.SidecarFrame{Endpoint: &wire.EndpointState{Service: "checks", Reason: "down", Capacity: &wire.Size{Cpu: 8000, Memory: 1000}}})
	}
	answers := submit(t, s, "late", 1, time.Second)
	i.Equal((*answers)[0].Outcome(), outcome.NotRun) // at once
	i.Equal((*answers)[0].Reason(), quarantinedReason)
	i.True((*answers)[0].RetryAfter() > 0)
}
