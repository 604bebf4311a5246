package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/fleet"
	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/wire"
)

func now() time.Time { return time.Unix(1_700_000_000, 0) }

func newFleet(agents int) *fleet.Fleet {
	f := fleet.New("z1")
	for n := range agents {
		name := fmt.Sprintf("agent-%02d", n)
		f.Attach(name, "z1", now())
		f.UpdateEndpoint(name, &wire.EndpointState{
			Service: "checks", Accepting: true, Labels: []string{"a"}, Capacity: &wire.Size{Cpu: 32000, Memory: 1000},
		})
		f.UpdateRoom(name, &wire.Room{Free: &wire.Size{Cpu: 8000, Memory: 1000}}, 0)
	}
	return f
}

func names(list []placement.Candidate) int { return len(list) }

func TestOnlyUsableEndpointsOfTheServiceAreCandidates(t *testing.T) {
	i := is.New(t)
	f := newFleet(3)
	i.Equal(names(f.Candidates("checks", now(), nil)), 3)
	i.Equal(names(f.Candidates("other", now(), nil)), 0)
	f.UpdateEndpoint("agent-00", &wire.EndpointState{Service: "checks", Reason: "the endpoint drains"})
	f.Detach("agent-01")
	i.Equal(names(f.Candidates("checks", now(), nil)), 1)
	later := now().Add(400 * time.Millisecond)
	i.Equal(f.CountUsable("checks", later), 0)
	i.True(f.SeenRecently("checks", later))
	f.RecordContact("agent-02", later)
	i.Equal(f.CountUsable("checks", later), 1)
	i.True(!f.SeenRecently("checks", later.Add(3*time.Second)))
}

// What was sent since a report counts until a report has seen it.
func TestTasksInFlightReduceFreeCapacity(t *testing.T) {
	i := is.New(t)
	f := newFleet(1)
	task := size.Size{CPU: 3000, Memory: 10}
	free := func() int { return f.Candidates("checks", now(), nil)[0].Free.CPU }
	f.RecordSent("agent-00", 1, 80*time.Millisecond, task, 60*time.Millisecond)
	f.RecordSent("agent-00", 2, 80*time.Millisecond, task, 60*time.Millisecond)
	i.Equal(free(), 2000)
	f.RecordSent("agent-00", 3, 80*time.Millisecond, task, 60*time.Millisecond)
	i.Equal(free(), 2000)
	i.True(f.Candidates("checks", now(), nil)[0].Wait(task, 80*time.Millisecond) > 0)
	f.UpdateRoom("agent-00", &wire.Room{Free: &wire.Size{Cpu: 5000, Memory: 1000}}, 1)
	i.Equal(free(), 2000)
	f.UpdateRoom("agent-00", &wire.Room{Free: &wire.Size{Cpu: 8000, Memory: 1000}}, 3)
	i.Equal(free(), 8000)
}

func TestSilentAgentsExpire(t *testing.T) {
	i := is.New(t)
	f := newFleet(2)
	later := now().Add(2 * time.Minute)
	f.RecordContact("agent-01", later)
	f.Expire(later)
	i.Equal(names(f.Candidates("checks", later, nil)), 1)
	f.RecordContact("agent-00", later)
	i.Equal(f.CountUsable("checks", later), 1)
}

// BenchmarkCandidates shows how a look at all endpoints grows with their number.
func BenchmarkCandidates(b *testing.B) {
	for _, agents := range []int{11, 66} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			f := newFleet(agents)
			var list []placement.Candidate
			b.ReportAllocs()
			for b.Loop() {
				list = f.Candidates("checks", now(), list[:0])
			}
		})
	}
}

func TestLongestSilence(t *testing.T) {
	i := is.New(t)
	f := fleet.New("z1")
	for n, name := range []string{"a", "b", "c"} {
		f.Attach(name, "z1", now().Add(time.Duration(n)*time.Second))
		f.UpdateEndpoint(name, &wire.EndpointState{Service: "s", Accepting: name != "a"})
	}
	i.Equal(f.LongestSilence(now().Add(5*time.Second)), 4*time.Second)
	f.RecordContact("b", now().Add(5*time.Second))
	i.Equal(f.LongestSilence(now().Add(5*time.Second)), 3*time.Second)
	f.Detach("b")
	f.Detach("c")
	i.Equal(f.LongestSilence(now().Add(5*time.Second)), time.Duration(0))
}

// What an agent has seen over all dispatchers counts here at once, where it is worse
// than what this one has learned; an agent that says nothing of it is as before.
func TestReportedFailuresAndSlownessCount(t *testing.T) {
	i := is.New(t)
	f := newFleet(2)
	report := func(failing, slowness uint32) placement.Candidate {
		f.UpdateRoom("agent-00", &wire.Room{Free: &wire.Size{Cpu: 8000, Memory: 1000}, FailingPercent: failing, SlownessPercent: slowness}, 0)
		for _, c := range f.Candidates("checks", now(), nil) {
			if c.Name == "agent-00" {
				return c
			}
		}
		t.Fatal("the agent is no candidate")
		return placement.Candidate{}
	}
	i.Equal(report(80, 500).FailureRate, 0.8)
	i.Equal(report(80, 500).Slowness, 5.0)
	i.Equal(f.Slowness("agent-00", now()), 5.0)
	i.Equal(f.Slowness("agent-01", now()), 1.0)
	i.True(report(100, 0).FailureRate < 1) // a share of all would make any other choice better by infinity
	i.Equal(report(0, 0).FailureRate, 0.0)
	i.Equal(report(0, 0).Slowness, 1.0)
}
