package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/version/evacuation"
	"github.com/corianderhook/corianderhook/wire"
)

// submitLabelled submits a job of one task that requires a label.
func submitLabelled(t *testing.T, s *Scheduler, id, label string) *[]answer.Answer {
	t.Helper()
	work, err := workload.New(id, "", []workload.Step{{Count: 1, Size: size.Size{CPU: 2000, Memory: 10}, Estimate: 100 * time.Millisecond, RequiredLabel: label}})
	if err != nil {
		t.Fatal(err)
	}
	answers := &[]answer.Answer{}
	s.Submit(Request{
		Work: work, Budget: time.Second, Reply: func(a answer.Answer) { *answers = append(*answers, a) },
		Queue: catalog.Queue{Name: "checks", Service: "checks", MaxAttempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond},
	})
	return answers
}

// A job that only endpoints in an evacuated zone could take must be refused at once and with
// the true reason. It may wait only if endpoints elsewhere are expected back.
func TestJobsForEvacuatedZones(t *testing.T) {
	for _, c := range []struct {
		name      string
		evacuated []string
		label     string
		sinceSeen time.Duration // time since the agent in z1 was heard
		offeredTo string
		reason    string
	}{
		{name: "the other zone takes it", evacuated: []string{"z2"}, offeredTo: "a"},
		{name: "label exists there only", evacuated: []string{"z2"}, label: "gpu", reason: "evacuated"},
		{name: "label exists nowhere", evacuated: []string{"z2"}, label: "other", reason: "no-endpoint"},
		{name: "all zones", evacuated: []string{"z1", "z2"}, reason: "evacuated"},
		{name: "a zone without endpoints", evacuated: []string{"z9"}, label: "gpu", offeredTo: "b"},
		{name: "the other zone is expected back", evacuated: []string{"z2"}, sinceSeen: time.Second},
		{name: "the other zone is lost", evacuated: []string{"z2"}, sinceSeen: 5 * time.Second, reason: "evacuated"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			s, h := newScheduler()
			attachAgentInZone(s, "a", "z1")
			attachAgentInZone(s, "b", "z2", "a", "gpu")
			h.now = h.now.Add(startupGrace)
			s.HandleFrame("a", &wire.SidecarFrame{})
			h.now = h.now.Add(c.sinceSeen)
			s.HandleFrame("b", &wire.SidecarFrame{})
			s.SetEvacuated(evacuation.New(1, c.evacuated))
			answers := submitLabelled(t, s, "job", c.label)
			if c.offeredTo != "" {
				i.Equal(len(h.refs(c.offeredTo)), 1)
			}
			if c.reason == "" {
				i.Equal(len(*answers), 0)
				return
			}
			i.Equal(len(*answers), 1)
			i.Equal((*answers)[0].Outcome(), outcome.NotRun)
			i.Equal((*answers)[0].Reason(), c.reason)
			if c.reason == evacuatedReason {
				i.Equal((*answers)[0].RetryAfter(), maxRetryAfter)
			}
		})
	}
}

// When a zone is evacuated, tasks that wait there are asked back and run elsewhere, running
// tasks end there, and after it is lifted the zone gets tasks again.
func TestEvacuationMovesWaitingTasksOnly(t *testing.T) {
	i := is.New(t)
	s, h := newScheduler()
	attachAgentInZone(s, "b", "z2")
	answers := submit(t, s, "job", 2, time.Second)
	refs := h.refs("b")
	i.Equal(len(refs), 2)
	s.HandleFrame("b", eventFrame(refs[0], wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
	attachAgentInZone(s, "a", "z1")
	s.SetEvacuated(evacuation.New(1, []string{"z2"}))
	i.Equal(h.withdraws, []uint64{refs[1]})
	i.Equal(len(h.cancels), 0)
	s.HandleFrame("b", eventFrame(refs[1], wire.TaskEventKind_TASK_EVENT_KIND_RETURNED))
	moved := h.refs("a")
	i.Equal(len(moved), 1)
	s.HandleFrame("a", eventFrame(moved[0], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	s.HandleFrame("b", eventFrame(refs[0], wire.TaskEventKind_TASK_EVENT_KIND_DONE))
	i.Equal((*answers)[0].Outcome(), outcome.Complete)

	i.Equal(s.Fleet().CountUsable("checks", h.now), 1)
	s.SetEvacuated(evacuation.New(2, nil))
	i.Equal(s.Fleet().CountUsable("checks", h.now), 2)
}

// A job in flight whose next start only evacuated endpoints could make ends at once: unknown
// if a task of it has started, otherwise as not run.
func TestJobInFlightEndsWhenOnlyEvacuatedZonesAreLeft(t *testing.T) {
	for name, c := range map[string]struct {
		started bool
		want    outcome.Outcome
	}{
		"started":     {started: true, want: outcome.Unknown},
		"not started": {want: outcome.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s, h := newScheduler()
			attachAgentInZone(s, "b", "z2")
			h.now = h.now.Add(startupGrace)
			s.HandleFrame("b", &wire.SidecarFrame{})
			answers := submit(t, s, "job", 2, time.Second)
			refs := h.refs("b")
			if c.started {
				s.HandleFrame("b", eventFrame(refs[0], wire.TaskEventKind_TASK_EVENT_KIND_STARTED))
			} else {
				s.HandleFrame("b", eventFrame(refs[0], wire.TaskEventKind_TASK_EVENT_KIND_RETURNED))
			}
			s.SetEvacuated(evacuation.New(1, []string{"z2"}))
			s.HandleFrame("b", eventFrame(refs[1], wire.TaskEventKind_TASK_EVENT_KIND_RETURNED))
			if !c.started {
				// The first task was placed again before the evacuation.
				s.HandleFrame("b", eventFrame(h.refs("b")[0], wire.TaskEventKind_TASK_EVENT_KIND_RETURNED))
			}
			i.Equal(len(*answers), 1)
			i.Equal((*answers)[0].Outcome(), c.want)
			i.Equal((*answers)[0].Reason(), evacuatedReason)
		})
	}
}
