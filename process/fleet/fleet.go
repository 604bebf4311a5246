// Package fleet is what a dispatcher believes of the endpoints: who is there, how
// much room each has, and how fast each is. Beliefs are dated; what the dispatcher
// has sent since a report was made is counted on top of it. It does no I/O.
package fleet

import (
	"slices"
	"sort"
	"time"

	"github.com/corianderhook/corianderhook/process/backlog"
	"github.com/corianderhook/corianderhook/process/health"
	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/process/residual"
	"github.com/corianderhook/corianderhook/process/speed"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// suspectAfter is the silence after which an agent gets no new tasks: two heartbeats
	// of 150 ms are missing.
	suspectAfter = 330 * time.Millisecond
	// forgetAfter is the silence after which an agent is gone for good.
	forgetAfter = time.Minute
	// recently is how long ago an endpoint was heard that may come back: sessions are
	// opened anew within a second.
	recently = 2 * time.Second
	// maxFailureRate is the share of failed runs above which an agent's word is no worse.
	maxFailureRate = 0.95
)

type sentTask struct {
	frame    uint64
	slack    time.Duration
	size     size.Size
	expected time.Duration
}

type agent struct {
	name           string
	zone           string
	service        string
	labels         []string
	capacity       size.Size
	accepting      bool
	reason         string
	lastHeard      time.Time
	free           size.Size
	queuedWork     [backlog.Bands]float64
	running        int
	completions    residual.CompletionRate
	unacknowledged []sentTask
	// failureRate and slowness are what the agent has seen of its endpoint over all
	// dispatchers; 0 is nothing to remark.
	failureRate float64
	slowness    float64
}

// Fleet is the belief of one dispatcher. It is not safe for concurrent use.
type Fleet struct {
	zone     string
	agents   map[string]*agent
	order    []*agent
	health   *health.Health
	speeds   *speed.Speeds
	rotation int
}

// New returns the fleet as seen from an availability zone.
func New(zone string) *Fleet {
	return &Fleet{zone: zone, agents: map[string]*agent{}, health: health.New(), speeds: speed.New()}
}

// Attach notes that an agent has opened a session.
func (f *Fleet) Attach(name, zone string, now time.Time) {
	a, known := f.agents[name]
	if !known {
		a = &agent{name: name}
		f.agents[name] = a
		f.order = append(f.order, a)
		sort.Slice(f.order, func(i, j int) bool { return f.order[i].name < f.order[j].name })
	}
	a.zone = zone
	a.lastHeard = now
	a.unacknowledged = nil
}

// Detach notes that an agent has no session. What is known of its speed is kept.
func (f *Fleet) Detach(name string) {
	if a, known := f.agents[name]; known {
		a.accepting = false
		a.reason = "no session"
	}
}

// Expire drops agents that have not been heard for long.
func (f *Fleet) Expire(now time.Time) {
	f.order = slices.DeleteFunc(f.order, func(a *agent) bool {
		gone := now.Sub(a.lastHeard) > forgetAfter
		if gone {
			delete(f.agents, a.name)
			f.speeds.Forget(a.name)
			f.health.Forget(a.name)
		}
		return gone
	})
}

// UpdateEndpoint takes what an agent says of the endpoint beside it.
func (f *Fleet) UpdateEndpoint(name string, s *wire.EndpointState) {
	a, known := f.agents[name]
	if !known {
		return
	}
	a.service = s.GetService()
	a.labels = s.GetLabels()
	a.accepting = s.GetAccepting()
	a.reason = s.GetReason()
	a.capacity = size.FromWire(s.GetCapacity())
	kind := ""
	if len(a.labels) > 0 {
		kind = a.labels[0]
	}
	f.speeds.SetKind(name, kind)
}

// RecordContact notes a sign of life.
func (f *Fleet) RecordContact(name string, now time.Time) {
	if a, known := f.agents[name]; known {
		a.lastHeard = now
	}
}

// UpdateRoom takes an agent's report, made after it had seen the frame of the given number.
func (f *Fleet) UpdateRoom(name string, room *wire.Room, seen uint64) {
	a, known := f.agents[name]
	if !known {
		return
	}
	a.free = size.FromWire(room.GetFree())
	a.queuedWork = [backlog.Bands]float64{}
	for i, work := range room.GetQueued() {
		a.queuedWork[min(i, backlog.Bands-1)] += float64(work)
	}
	a.running = int(room.GetRunning())
	a.completions = residual.FromNext(time.Duration(room.GetNextEndUs()) * time.Microsecond)
	a.failureRate = min(float64(room.GetFailingPercent())/100, maxFailureRate)
	a.slowness = float64(room.GetSlownessPercent()) / 100
	a.unacknowledged = slices.DeleteFunc(a.unacknowledged, func(s sentTask) bool { return s.frame <= seen })
}

// RecordSent notes a task that goes out with the frame of the given number.
func (f *Fleet) RecordSent(name string, frame uint64, slack time.Duration, s size.Size, expected time.Duration) {
	if a, known := f.agents[name]; known {
		a.unacknowledged = append(a.unacknowledged, sentTask{frame: frame, slack: slack, size: s, expected: expected})
	}
}

// Slowness returns how long an agent's endpoint takes, set against an ordinary one: by
// what this dispatcher has learned, or the agent says where that is more.
func (f *Fleet) Slowness(name string, now time.Time) float64 {
	if a, known := f.agents[name]; known {
		return f.slowness(a, now)
	}
	return f.speeds.Slowness(name, now)
}

func (f *Fleet) slowness(a *agent, now time.Time) float64 {
	return max(a.slowness, f.speeds.Slowness(a.name, now))
}

// Speeds returns how fast the endpoints are.
func (f *Fleet) Speeds() *speed.Speeds { return f.speeds }

// Health returns the evidence against agents.
func (f *Fleet) Health() *health.Health { return f.health }

// Silence returns how old the last word of an agent is.
func (f *Fleet) Silence(name string, now time.Time) time.Duration {
	if a, known := f.agents[name]; known {
		return now.Sub(a.lastHeard)
	}
	return 0
}

// LongestSilence returns the age of the oldest last word of the agents that take tasks.
func (f *Fleet) LongestSilence(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, a := range f.order {
		if a.accepting {
			oldest = max(oldest, now.Sub(a.lastHeard))
		}
	}
	return oldest
}

// SeenRecently reports whether an endpoint of a service was usable a moment ago, so that it
// may be again in a moment.
func (f *Fleet) SeenRecently(service string, now time.Time) bool {
	for _, a := range f.order {
		if a.service == service && now.Sub(a.lastHeard) < recently {
			return true
		}
	}
	return false
}

// CountUsable returns how many endpoints of a service are heard and accept tasks.
func (f *Fleet) CountUsable(service string, now time.Time) int {
	count := 0
	for _, a := range f.order {
		if a.service == service && a.usable(now) {
			count++
		}
	}
	return count
}

func (a *agent) usable(now time.Time) bool {
	return a.accepting && now.Sub(a.lastHeard) <= suspectAfter
}

// Candidate returns what is believed of one agent; false where it takes no tasks.
func (f *Fleet) Candidate(name string, now time.Time) (placement.Candidate, bool) {
	a, known := f.agents[name]
	if !known || !a.usable(now) || f.health.Ejected(name) {
		return placement.Candidate{}, false
	}
	return a.candidate(f.zone, f.slowness(a, now)), true
}

// Service returns the service that an agent's endpoint belongs to.
func (f *Fleet) Service(name string) string {
	if a, known := f.agents[name]; known {
		return a.service
	}
	return ""
}

// Candidates appends the agents that may run tasks of a service to the list.
func (f *Fleet) Candidates(service string, now time.Time, list []placement.Candidate) []placement.Candidate {
	f.rotation++
	for i := range f.order {
		// Each call begins with another agent, so that equals share the work.
		a := f.order[(i+f.rotation)%len(f.order)]
		if a.service != service || !a.usable(now) {
			continue
		}
		ejected := f.health.Ejected(a.name)
		if ejected && !f.health.Due(a.name, now) {
			continue
		}
		c := a.candidate(f.zone, f.slowness(a, now))
		if !ejected {
			// A probe has to be given its task.
			c.FailureRate = max(a.failureRate, f.health.Failing(a.name, now))
		}
		list = append(list, c)
	}
	return list
}

func (a *agent) candidate(zone string, slowness float64) placement.Candidate {
	c := placement.Candidate{
		Name: a.name, Labels: a.labels, Capacity: a.capacity, Free: a.free, Running: a.running,
		Completions: a.completions, Slowness: slowness, OtherZone: a.zone != zone, QueuedWork: a.queuedWork,
	}
	for _, s := range a.unacknowledged {
		c.Add(s.size, s.slack, s.expected)
	}
	return c
}
