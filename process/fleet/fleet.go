// Package fleet holds a dispatcher's view of the endpoints: which are available, how much
// free capacity each has, and how fast each is. The view comes from the agents' reports,
// each with its time. Tasks that the dispatcher has sent since an agent's last report are
// added to it. It does no I/O.
package fleet

import (
	"slices"
	"sort"
	"time"

	"github.com/corianderhook/corianderhook/process/backlog"
	"github.com/corianderhook/corianderhook/process/completion"
	"github.com/corianderhook/corianderhook/process/health"
	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/process/speed"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/version/evacuation"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// suspectAfter is the silence after which an agent gets no new tasks: two heartbeats,
	// sent every 150 ms, are missing.
	suspectAfter = 330 * time.Millisecond
	// forgetAfter is the silence after which an agent is removed.
	forgetAfter = time.Minute
	// recentWindow is the silence within which an agent is expected back: sessions are
	// reopened within a second.
	recentWindow = 2 * time.Second
	// knownWindow is the silence within which an agent counts as one of its service.
	knownWindow = 10 * time.Second
	// maxFailureRate bounds the reported share of failed runs. At a rate of 1, any other
	// endpoint would be infinitely better.
	maxFailureRate = 0.95
)

// sentTask is a task that was sent to an agent in the frame of the given number.
type sentTask struct {
	frame uint64
	// slack is how long the task may wait before its start so that the job is on time.
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
	// born is the start of the endpoint's incarnation in Unix milliseconds; 0 if the agent
	// has not told it.
	born       int64
	lastHeard  time.Time
	free       size.Size
	queuedWork [backlog.Bands]float64
	// taken is the rate at which the started work of all dispatchers takes room, by urgency.
	taken       []uint32
	running     int
	completions completion.Rate
	// unacknowledged holds the tasks sent in frames that the agent had not yet seen at its
	// last report.
	unacknowledged []sentTask
	// failureRate and slowness are those that the agent reports for its endpoint, measured
	// over the tasks of all dispatchers; 0 means nothing unusual.
	failureRate float64
	slowness    float64
}

// Fleet is one dispatcher's view of the endpoints. It is not safe for concurrent use.
type Fleet struct {
	zone   string
	agents map[string]*agent
	// sorted holds the agents by name.
	sorted []*agent
	health *health.Health
	speeds *speed.Speeds
	// evacuated holds the zones whose agents get no tasks.
	evacuated evacuation.State
	// rotation determines which agent the next call of Candidates begins with.
	rotation int
}

// New returns an empty fleet for a dispatcher in the given availability zone.
func New(zone string) *Fleet {
	return &Fleet{zone: zone, agents: map[string]*agent{}, health: health.New(), speeds: speed.New()}
}

// SetEvacuated sets the zones whose agents get no tasks.
func (f *Fleet) SetEvacuated(s evacuation.State) { f.evacuated = s }

// InEvacuatedZone reports whether an agent is in an evacuated zone.
func (f *Fleet) InEvacuatedZone(name string) bool {
	a, known := f.agents[name]
	return known && f.evacuated.Includes(a.zone)
}

// Recent returns the agents of a service that were heard recently, whether or not they get
// tasks now: those in evacuated zones and the others.
func (f *Fleet) Recent(service string, now time.Time) (evacuated, others []placement.Candidate) {
	for _, a := range f.sorted {
		if a.service != service || now.Sub(a.lastHeard) >= recentWindow {
			continue
		}
		c := a.candidate(f.zone, f.slowness(a, now))
		if f.evacuated.Includes(a.zone) {
			evacuated = append(evacuated, c)
		} else {
			others = append(others, c)
		}
	}
	return evacuated, others
}

// Attach records that an agent has opened a session.
func (f *Fleet) Attach(name, zone string, now time.Time) {
	a, known := f.agents[name]
	if !known {
		a = &agent{name: name}
		f.agents[name] = a
		f.sorted = append(f.sorted, a)
		sort.Slice(f.sorted, func(i, j int) bool { return f.sorted[i].name < f.sorted[j].name })
	}
	a.zone = zone
	a.lastHeard = now
	a.unacknowledged = nil
}

// Detach records that an agent has no session. Its slowness is kept.
func (f *Fleet) Detach(name string) {
	if a, known := f.agents[name]; known {
		a.accepting = false
		a.reason = "no session"
	}
}

// Expire removes the agents that have been silent for longer than forgetAfter.
func (f *Fleet) Expire(now time.Time) {
	f.sorted = slices.DeleteFunc(f.sorted, func(a *agent) bool {
		expired := now.Sub(a.lastHeard) > forgetAfter
		if expired {
			delete(f.agents, a.name)
			f.speeds.Forget(a.name)
			f.health.Forget(a.name)
		}
		return expired
	})
}

// UpdateEndpoint applies the state of an endpoint as reported by its agent.
func (f *Fleet) UpdateEndpoint(name string, s *wire.EndpointState) {
	a, known := f.agents[name]
	if !known {
		return
	}
	a.service = s.GetService()
	a.labels = s.GetLabels()
	a.accepting = s.GetAccepting()
	a.reason = s.GetReason()
	a.born = s.GetBornMs()
	a.capacity = size.FromWire(s.GetCapacity())
	// The first label is taken as the kind, from which the slowness of a new endpoint is
	// estimated.
	kind := ""
	if len(a.labels) > 0 {
		kind = a.labels[0]
	}
	f.speeds.SetKind(name, kind)
}

// RecordContact records that an agent has been heard.
func (f *Fleet) RecordContact(name string, now time.Time) {
	if a, known := f.agents[name]; known {
		a.lastHeard = now
	}
}

// UpdateRoom applies an agent's capacity report, made after the agent had seen the frame of
// the given number.
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
	a.taken = room.GetTaken()
	a.completions = completion.FromNext(time.Duration(room.GetNextEndUs()) * time.Microsecond)
	a.failureRate = min(float64(room.GetFailingPercent())/100, maxFailureRate)
	a.slowness = float64(room.GetSlownessPercent()) / 100
	a.unacknowledged = slices.DeleteFunc(a.unacknowledged, func(s sentTask) bool { return s.frame <= seen })
}

// RecordSent records that a task is sent with the frame of the given number.
func (f *Fleet) RecordSent(name string, frame uint64, slack time.Duration, s size.Size, expected time.Duration) {
	if a, known := f.agents[name]; known {
		a.unacknowledged = append(a.unacknowledged, sentTask{frame: frame, slack: slack, size: s, expected: expected})
	}
}

// Slowness returns the run time on an agent's endpoint relative to the median endpoint. It
// is the larger of this dispatcher's estimate and the value reported by the agent.
func (f *Fleet) Slowness(name string, now time.Time) float64 {
	if a, known := f.agents[name]; known {
		return f.slowness(a, now)
	}
	return f.speeds.Slowness(name, now)
}

func (f *Fleet) slowness(a *agent, now time.Time) float64 {
	return max(a.slowness, f.speeds.Slowness(a.name, now))
}

// Speeds returns the slowness estimates of the endpoints.
func (f *Fleet) Speeds() *speed.Speeds { return f.speeds }

// Health returns the health of the agents.
func (f *Fleet) Health() *health.Health { return f.health }

// Silence returns the time since an agent was last heard, or 0 for an unknown agent.
func (f *Fleet) Silence(name string, now time.Time) time.Duration {
	if a, known := f.agents[name]; known {
		return now.Sub(a.lastHeard)
	}
	return 0
}

// LongestSilence returns the longest silence of the agents that accept tasks.
func (f *Fleet) LongestSilence(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, a := range f.sorted {
		if a.accepting {
			longest = max(longest, now.Sub(a.lastHeard))
		}
	}
	return longest
}

// SeenRecently reports whether an agent of a service was heard within recentWindow, so that
// its endpoint may soon be usable again. Agents in evacuated zones do not count.
func (f *Fleet) SeenRecently(service string, now time.Time) bool {
	for _, a := range f.sorted {
		if a.service == service && now.Sub(a.lastHeard) < recentWindow && !f.evacuated.Includes(a.zone) {
			return true
		}
	}
	return false
}

// CountUsable returns the number of endpoints of a service that accept tasks and whose
// agents are neither suspected nor in an evacuated zone.
func (f *Fleet) CountUsable(service string, now time.Time) int {
	count := 0
	for _, a := range f.sorted {
		if a.service == service && f.usable(a, now) {
			count++
		}
	}
	return count
}

func (f *Fleet) usable(a *agent, now time.Time) bool {
	return a.accepting && now.Sub(a.lastHeard) <= suspectAfter && !f.evacuated.Includes(a.zone)
}

// Candidate returns one agent as a candidate, or false if it gets no tasks.
func (f *Fleet) Candidate(name string, now time.Time) (placement.Candidate, bool) {
	a, known := f.agents[name]
	if !known || !f.usable(a, now) || f.health.Ejected(name) {
		return placement.Candidate{}, false
	}
	return a.candidate(f.zone, f.slowness(a, now)), true
}

// Known returns the agents of a service that were heard within knownWindow, whether or not
// their endpoints are up, with their endpoints' capacity and labels.
func (f *Fleet) Known(service string, now time.Time) []placement.Candidate {
	var list []placement.Candidate
	for _, a := range f.sorted {
		if a.service == service && now.Sub(a.lastHeard) <= knownWindow && !f.evacuated.Includes(a.zone) {
			list = append(list, placement.Candidate{Name: a.name, Labels: a.labels, Capacity: a.capacity})
		}
	}
	return list
}

// Contains reports whether an agent is known.
func (f *Fleet) Contains(name string) bool {
	_, known := f.agents[name]
	return known
}

// Usable reports whether an agent's endpoint accepts tasks.
func (f *Fleet) Usable(name string, now time.Time) bool {
	a, known := f.agents[name]
	return known && f.usable(a, now)
}

// Accepting reports whether an agent's endpoint accepts tasks by the agent's last report.
func (f *Fleet) Accepting(name string) bool {
	a, known := f.agents[name]
	return known && a.accepting
}

// Born returns the start of the incarnation of an agent's endpoint in Unix milliseconds, or 0
// if it is not known.
func (f *Fleet) Born(name string) int64 {
	if a, known := f.agents[name]; known {
		return a.born
	}
	return 0
}

// Service returns the service that an agent's endpoint belongs to.
func (f *Fleet) Service(name string) string {
	if a, known := f.agents[name]; known {
		return a.service
	}
	return ""
}

// Candidates appends the agents that may get tasks of a service to the list.
func (f *Fleet) Candidates(service string, now time.Time, list []placement.Candidate) []placement.Candidate {
	f.rotation++
	for i := range f.sorted {
		// Each call begins with another agent, so that equal candidates share the load.
		a := f.sorted[(i+f.rotation)%len(f.sorted)]
		if a.service != service || !f.usable(a, now) {
			continue
		}
		ejected := f.health.Ejected(a.name)
		if ejected && !f.health.StartProbe(a.name, now) {
			continue
		}
		c := a.candidate(f.zone, f.slowness(a, now))
		if !ejected {
			// A probe keeps a failure rate of 0, so that it gets its task.
			c.FailureRate = max(a.failureRate, f.health.FailureRate(a.name, now))
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
