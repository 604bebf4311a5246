// Package separation keeps queues apart at a dispatcher whose tasks slow each other down. It
// merges the estimates of the sidecars, decides which pairs to keep apart, and tells placement
// what it costs to put a task beside those that run at an endpoint. It does no I/O.
//
// The cost only orders endpoints at which the task starts at once and ends on time: no task is
// refused for it, and none waits.
package separation

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/sharing/interference"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// maxAge is how long an estimate counts. Its weight falls by half each halfLife.
	maxAge   = 60 * time.Second
	halfLife = 15 * time.Second
	// mergeInterval is the time between two decisions on which queues are kept apart.
	mergeInterval = time.Second
	// minError bounds the standard error of a sidecar's estimate: endpoints differ.
	minError = 0.05
	// minPairs and minEndpoints are what a pair of queues has to be known from: one endpoint
	// may have a cause of its own.
	minPairs, minEndpoints = 40, 2
	// certainErrors is how many standard errors above the least interference confirm a pair that
	// is kept apart, and below it end the separation.
	certainErrors = 1
	// holdTime is how long a pair is kept apart without being confirmed: its queues run beside
	// each other less, so that less is known.
	holdTime = time.Minute
	// MaxKept is how many pairs are kept apart at a time.
	MaxKept = 32
	// probeEvery is how many plans there are to each that ignores the separation. Without these,
	// nothing would tell that interference has ended.
	probeEvery = 20
	// maxNames is how many names of queues are known for logs.
	maxNames = 4096
)

// pair is a queue and one beside which it is slowed.
type pair struct{ queue, neighbor uint32 }

// sent is a task that was sent to an agent in the frame of the given number.
type sent struct {
	frame uint64
	queue uint32
}

// load is how many tasks of a queue run at an endpoint.
type load struct {
	queue uint32
	tasks int
}

// agent is what is known of an agent's endpoint.
type agent struct {
	loads []load
	// unacknowledged holds the tasks sent in frames that the agent had not yet seen.
	unacknowledged []sent
	slowings       []*wire.Slowing
	reportedAt     time.Time
}

// Kept is a pair of queues that is kept apart.
type Kept struct {
	// Queue is slowed beside Neighbor; a name is empty if no job of the queue has come here.
	Queue, Neighbor string
	// Factor is how many times as long its tasks run.
	Factor float64
	// Deviations is how many standard errors that is above the least interference.
	Deviations float64
	Pairs      int
	Endpoints  int
	// confirmedAt is when the estimates last showed it.
	confirmedAt time.Time
}

// Change is a pair that begins or ceases to be kept apart.
type Change struct {
	Kept
	Apart bool
	// Reason is why it ceases.
	Reason string
}

// View is a dispatcher's view of which queues run where and which slow each other. It is not
// safe for concurrent use.
type View struct {
	agents   map[string]*agent
	names    map[uint32]string
	kept     map[pair]Kept
	involved map[uint32]bool
	mergedAt time.Time
	plans    int
	// scratch is reused by beside.
	scratch []load
}

// New returns a view without agents.
func New() *View {
	return &View{agents: map[string]*agent{}, names: map[uint32]string{}, kept: map[pair]Kept{}, involved: map[uint32]bool{}}
}

// Attach records that an agent has opened a session: it has no frame of it yet.
func (v *View) Attach(name string) {
	if a, known := v.agents[name]; known {
		a.unacknowledged = nil
	}
}

// Update applies an agent's report, made after it had seen the frame of the given number.
func (v *View) Update(name string, room *wire.Room, slowings *wire.Slowings, seen uint64, now time.Time) {
	a, known := v.agents[name]
	if !known {
		a = &agent{}
		v.agents[name] = a
	}
	if slowings != nil {
		a.slowings = slowings.GetList()[:min(len(slowings.GetList()), interference.MaxEstimates)]
		a.reportedAt = now
	}
	if room == nil {
		return
	}
	a.loads = a.loads[:0]
	for i, queue := range room.GetQueues()[:min(len(room.GetQueues()), len(room.GetQueueTasks()))] {
		a.loads = append(a.loads, load{queue: queue, tasks: int(room.GetQueueTasks()[i])})
	}
	a.unacknowledged = slices.DeleteFunc(a.unacknowledged, func(s sent) bool { return s.frame <= seen })
}

// RecordSent records that a task is sent with the frame of the given number.
func (v *View) RecordSent(name string, frame uint64, queue string) {
	if a, known := v.agents[name]; known {
		a.unacknowledged = append(a.unacknowledged, sent{frame: frame, queue: interference.Hash(queue)})
	}
}

// Apply sets for each candidate what it costs to put tasks of the queue there.
func (v *View) Apply(queue string, candidates []placement.Candidate) {
	hash := interference.Hash(queue)
	if v.names[hash] == "" && len(v.names) < maxNames {
		v.names[hash] = queue
	}
	if !v.involved[hash] {
		return
	}
	if v.plans++; v.plans%probeEvery == 0 {
		return
	}
	for i := range candidates {
		if a, known := v.agents[candidates[i].Name]; known {
			candidates[i].Beside = v.beside(a, hash)
		}
	}
}

// beside returns the cost of tasks of a queue at an agent's endpoint. A neighbor counts by its
// presence: further tasks of a queue that runs there already slow nobody more.
func (v *View) beside(a *agent, queue uint32) placement.Beside {
	v.scratch = append(v.scratch[:0], a.loads...)
	for _, s := range a.unacknowledged {
		v.scratch = add(v.scratch, s.queue)
	}
	var b placement.Beside
	same := 0
	for _, l := range v.scratch {
		if l.queue == queue {
			same = l.tasks
		}
		b.Own = max(b.Own, v.kept[pair{queue, l.queue}].excess())
	}
	for _, l := range v.scratch {
		if l.queue != queue && same == 0 {
			b.Others += float64(l.tasks) * v.kept[pair{l.queue, queue}].lost()
		}
	}
	self := v.kept[pair{queue, queue}]
	switch same {
	case 0:
		b.OthersNext = self.lost()
	case 1:
		b.Others += self.lost()
	}
	b.OwnNext = max(b.Own, self.excess())
	return b
}

// add counts a further task of a queue.
func add(loads []load, queue uint32) []load {
	for i := range loads {
		if loads[i].queue == queue {
			loads[i].tasks++
			return loads
		}
	}
	return append(loads, load{queue: queue, tasks: 1})
}

// excess returns by how much of its run time a task takes longer.
func (k Kept) excess() float64 { return max(0, k.Factor-1) }

// lost returns which share of the time beside it a task loses.
func (k Kept) lost() float64 {
	if k.Factor <= 1 {
		return 0
	}
	return 1 - 1/k.Factor
}

// KeptCount returns the number of pairs that are kept apart.
func (v *View) KeptCount() int { return len(v.kept) }

// evidence is what the sidecars know of a pair.
type evidence struct {
	weight, weighted float64
	pairs, endpoints int
}

// Tick merges the estimates if that is due, and returns what has changed. Known tells whether
// an agent is still one of the fleet.
func (v *View) Tick(now time.Time, known func(agent string) bool) []Change {
	if now.Sub(v.mergedAt) < mergeInterval {
		return nil
	}
	v.mergedAt = now
	all := map[pair]evidence{}
	for _, name := range slices.Sorted(maps.Keys(v.agents)) {
		a := v.agents[name]
		if !known(name) {
			delete(v.agents, name)
			continue
		}
		age := now.Sub(a.reportedAt)
		if age > maxAge {
			a.slowings = nil
		}
		for _, s := range a.slowings {
			all[pair{s.GetQueue(), s.GetNeighbor()}] = all[pair{s.GetQueue(), s.GetNeighbor()}].with(s, age)
		}
	}
	return v.decide(all, now)
}

// with adds a sidecar's estimate of the given age.
func (e evidence) with(s *wire.Slowing, age time.Duration) evidence {
	deviation := max(float64(s.GetErrorPermille())/interference.Permille, minError)
	weight := math.Exp2(-age.Seconds()/halfLife.Seconds()) / (deviation * deviation)
	e.weight += weight
	e.weighted += weight * float64(s.GetLogPermille()) / interference.Permille
	e.pairs += int(s.GetPairs())
	e.endpoints++
	return e
}

// deviations returns the mean logarithm of the factor, and how many standard errors it is above
// the least interference.
func (e evidence) deviations() (mean, above float64) {
	if e.weight == 0 {
		return 0, math.Inf(-1)
	}
	mean = e.weighted / e.weight
	return mean, (mean - interference.MinLog) * math.Sqrt(e.weight)
}

// decide chooses the pairs that are kept apart: those that are slowed beyond doubt, and those
// kept apart before unless the estimates show that the run times are alike, or show nothing for
// holdTime.
func (v *View) decide(all map[pair]evidence, now time.Time) []Change {
	next := map[pair]Kept{}
	for p, e := range all {
		mean, above := e.deviations()
		_, was := v.kept[p]
		isNew := above > interference.Confidence && e.pairs >= minPairs && e.endpoints >= minEndpoints
		if isNew || was && above > certainErrors {
			next[p] = Kept{
				Queue: v.names[p.queue], Neighbor: v.names[p.neighbor], Factor: math.Exp(mean), Deviations: above,
				Pairs: e.pairs, Endpoints: e.endpoints, confirmedAt: now,
			}
		}
	}
	alike := map[pair]bool{}
	for p, k := range v.kept {
		if e, measured := all[p]; measured {
			_, above := e.deviations()
			alike[p] = above < -certainErrors
		}
		if _, confirmed := next[p]; !confirmed && !alike[p] && now.Sub(k.confirmedAt) < holdTime {
			next[p] = k
		}
	}
	dropLeast(next)
	var changes []Change
	for p, k := range next {
		if _, was := v.kept[p]; !was {
			changes = append(changes, Change{Kept: k, Apart: true})
		}
	}
	for p, k := range v.kept {
		if _, is := next[p]; !is {
			reason := "the sidecars have seen too few of their runs lately"
			if alike[p] {
				reason = "the run times are alike"
			}
			changes = append(changes, Change{Kept: k, Reason: reason})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Neighbor, b.Neighbor))
	})
	v.kept = next
	clear(v.involved)
	for p := range next {
		v.involved[p.queue], v.involved[p.neighbor] = true, true
	}
	return changes
}

// dropLeast leaves the MaxKept pairs that slow each other the most.
func dropLeast(kept map[pair]Kept) {
	if len(kept) <= MaxKept {
		return
	}
	list := make([]pair, 0, len(kept))
	for p := range kept {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b pair) int {
		return cmp.Or(cmp.Compare(kept[b].Factor, kept[a].Factor), cmp.Compare(a.queue, b.queue), cmp.Compare(a.neighbor, b.neighbor))
	})
	for _, p := range list[MaxKept:] {
		delete(kept, p)
	}
}
