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
	// suspicion is the silence after which an agent gets no new tasks: two heartbeats
	// of 150 ms are missing.
	suspicion = 330 * time.Millisecond
	// forgetAfter is the silence after which an agent is gone for good.
	forgetAfter = time.Minute
	// moment is how long ago an endpoint was heard that may come back: sessions are
	// opened anew within a second.
	moment = 2 * time.Second
	// mostFailing is the share of failed runs above which an agent's word is no worse.
	mostFailing = 0.95
)

type sent struct {
	number   uint64
	slack    time.Duration
	size     size.Size
	expected time.Duration
}

type agent struct {
	name      string
	zone      string
	service   string
	labels    []string
	capacity  size.Size
	accepting bool
	reason    string
	heard     time.Time
	free      size.Size
	queued    [backlog.Bands]float64
	running   int
	ends      residual.CompletionRate
	unseen    []sent
	// failing and slowness are what the agent has seen of its endpoint over all
	// dispatchers; 0 is nothing to remark.
	failing  float64
	slowness float64
}

// Fleet is the belief of one dispatcher. It is not safe for concurrent use.
type Fleet struct {
	zone   string
	agents map[string]*agent
	order  []*agent
	health *health.Health
	speeds *speed.Speeds
	turn   int
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
	a.heard = now
	a.unseen = nil
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
		gone := now.Sub(a.heard) > forgetAfter
		if gone {
			delete(f.agents, a.name)
			f.speeds.Forget(a.name)
			f.health.Forget(a.name)
		}
		return gone
	})
}

// Endpoint takes what an agent says of the endpoint beside it.
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

// Heard notes a sign of life.
func (f *Fleet) RecordContact(name string, now time.Time) {
	if a, known := f.agents[name]; known {
		a.heard = now
	}
}

// Room takes an agent's report, made after it had seen the frame of the given number.
func (f *Fleet) UpdateRoom(name string, room *wire.Room, seen uint64) {
	a, known := f.agents[name]
	if !known {
		return
	}
	a.free = size.FromWire(room.GetFree())
	a.queued = [backlog.Bands]float64{}
	for i, work := range room.GetQueued() {
		a.queued[min(i, backlog.Bands-1)] += float64(work)
	}
	a.running = int(room.GetRunning())
	a.ends = residual.FromNext(time.Duration(room.GetNextEndUs()) * time.Microsecond)
	a.failing = min(float64(room.GetFailingPercent())/100, mostFailing)
	a.slowness = float64(room.GetSlownessPercent()) / 100
	a.unseen = slices.DeleteFunc(a.unseen, func(s sent) bool { return s.number <= seen })
}

// Sent notes a task that goes out with the frame of the given number.
func (f *Fleet) RecordSent(name string, number uint64, slack time.Duration, s size.Size, expected time.Duration) {
	if a, known := f.agents[name]; known {
		a.unseen = append(a.unseen, sent{number: number, slack: slack, size: s, expected: expected})
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

// Age returns how old the last word of an agent is.
func (f *Fleet) Silence(name string, now time.Time) time.Duration {
	if a, known := f.agents[name]; known {
		return now.Sub(a.heard)
	}
	return 0
}

// Oldest returns the age of the oldest last word of the agents that take tasks.
func (f *Fleet) LongestSilence(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, a := range f.order {
		if a.accepting {
			oldest = max(oldest, now.Sub(a.heard))
		}
	}
	return oldest
}

// Lately reports whether an endpoint of a service was usable a moment ago, so that it
// may be again in a moment.
func (f *Fleet) SeenRecently(service string, now time.Time) bool {
	for _, a := range f.order {
		if a.service == service && now.Sub(a.heard) < moment {
			return true
		}
	}
	return false
}

// Count returns how many endpoints of a service are heard and accept tasks.
func (f *Fleet) CountUsable(service string, now time.Time) int {
	count := 0
	for _, a := range f.order {
		if a.service == service && a.usable(now) {
			count++
		}
	}
	return count
}

func (a *agent) usable(now time.Time) bool { return a.accepting && now.Sub(a.heard) <= suspicion }

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
	f.turn++
	for i := range f.order {
		// Each call begins with another agent, so that equals share the work.
		a := f.order[(i+f.turn)%len(f.order)]
		if a.service != service || !a.usable(now) {
			continue
		}
		ejected := f.health.Ejected(a.name)
		if ejected && !f.health.StartProbe(a.name, now) {
			continue
		}
		c := a.candidate(f.zone, f.slowness(a, now))
		if !ejected {
			// A probe has to be given its task.
			c.FailureRate = max(a.failing, f.health.FailureRate(a.name, now))
		}
		list = append(list, c)
	}
	return list
}

func (a *agent) candidate(zone string, slowness float64) placement.Candidate {
	c := placement.Candidate{
		Name: a.name, Labels: a.labels, Capacity: a.capacity, Free: a.free, Running: a.running,
		Completions: a.ends, Slowness: slowness, OtherZone: a.zone != zone, QueuedWork: a.queued,
	}
	for _, s := range a.unseen {
		c.Add(s.size, s.slack, s.expected)
	}
	return c
}
