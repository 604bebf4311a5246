// Package queue decides at an agent whose waiting task gets the next free slot:
// weighted fair between kinds of work, and within a kind between teams. It is
// work-conserving: a share that nobody uses goes to the others.
package queue

import (
	"container/heap"
	"time"
)

// Choice is what the next free slot should go to.
type Choice struct {
	Source string
	Kind   string
	Team   string
}

// Weights gives the weights of kinds and teams; a weight is above zero.
type Weights interface {
	KindWeight(kind string) float64
	TeamWeight(team string) float64
}

// node is a kind, or a team within a kind. Its tag is the virtual time at which
// it has had its fair share so far.
type node struct {
	name        string
	virtualTime float64
	// step is what the next task costs: the node ends it at tag plus step.
	nextCharge float64
	index      int
	count      int
	children   map[string]*node
	// cost is the mean service time of the node's tasks in seconds; zero where none
	// was measured.
	meanCost   float64
	heap       nodeHeap
	virtualNow float64
	sources    []source
}

type source struct {
	name  string
	count int
	// since is from when on the oldest task of the source waits.
	since time.Time
}

// ring is a heap of the nodes that have tasks waiting, lowest tag first.
type nodeHeap []*node

func (r nodeHeap) Len() int { return len(r) }
func (r nodeHeap) Less(i, j int) bool {
	first, second := r[i].virtualTime+r[i].nextCharge, r[j].virtualTime+r[j].nextCharge
	return first < second || first == second && r[i].name < r[j].name
}

func (r nodeHeap) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index = i
	r[j].index = j
}

// Push is for container/heap.
func (r *nodeHeap) Push(x any) {
	n := x.(*node)
	n.index = len(*r)
	*r = append(*r, n)
}

// Pop is for container/heap.
func (r *nodeHeap) Pop() any {
	last := len(*r) - 1
	n := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	n.index = -1
	return n
}

// Queue holds how many tasks wait at which entry. It is not safe for concurrent use.
type Queue struct {
	weights Weights
	root    node
}

const (
	// costShare is the weight of a new measurement in the mean service time.
	costWeight = 0.1
	// calm is how long the oldest task of a kind may have waited for its teams to
	// be served in the order of arrival. Beyond it they share by weight.
	maxOrderedWait = 100 * time.Millisecond
	// calmDebt is how far a team can get ahead of its share while all is calm, in
	// seconds of service.
	maxOrderedDebt = 0.5
	// lookedAt bounds the teams that are compared by age.
	maxComparedTeams = 16
	// firstCost is the service time in seconds of a kind that was never measured.
	defaultCost = 0.1
)

// New returns an empty queue.
func New(weights Weights) *Queue {
	return &Queue{weights: weights, root: node{children: map[string]*node{}}}
}

// Waiting returns the number of tasks that wait for this agent among others.
func (q *Queue) Waiting() int { return q.root.count }

// Measured takes the service time of a team's task of a kind in seconds. Declared
// run times are not used, and a team pays for what its own tasks take.
func (q *Queue) ObserveServiceTime(kind, team string, seconds float64) {
	k := q.root.child(kind)
	k.observe(seconds)
	k.child(team).observe(seconds)
}

func (n *node) observe(seconds float64) {
	if n.meanCost == 0 {
		n.meanCost = seconds
	}
	n.meanCost += costWeight * (seconds - n.meanCost)
}

// Set replaces the number of tasks that wait at a source for a kind and team,
// the oldest of them since the given time.
func (q *Queue) SetWaiting(sourceName, kind, team string, count int, since time.Time) {
	k := q.root.child(kind)
	t := k.child(team)
	previous := t.setSource(sourceName, count, since)
	q.adjust(k, t, count-previous)
}

// Drop forgets all that waits at a source.
func (q *Queue) DropSource(sourceName string) {
	for _, k := range q.root.children {
		for _, t := range k.children {
			q.adjust(k, t, -t.setSource(sourceName, 0, time.Time{}))
		}
	}
}

func (q *Queue) adjust(k, t *node, delta int) {
	t.count += delta
	k.count += delta
	q.root.count += delta
	cost := costOf(k, t)
	k.updateHeap(t, cost/q.weights.TeamWeight(t.name))
	q.root.updateHeap(k, cost/q.weights.KindWeight(k.name))
}

func (n *node) child(name string) *node {
	c, known := n.children[name]
	if !known {
		c = &node{name: name, index: -1, children: map[string]*node{}}
		n.children[name] = c
	}
	return c
}

// place puts a child into the heap when tasks come to wait for it, and takes it
// out when none are left. One that was away does not save up its share.
func (n *node) updateHeap(c *node, charge float64) {
	switch {
	case c.count > 0 && c.index < 0:
		c.virtualTime = max(c.virtualTime, n.virtualNow)
		c.nextCharge = charge
		heap.Push(&n.heap, c)
	case c.count == 0 && c.index >= 0:
		heap.Remove(&n.heap, c.index)
	}
}

func (n *node) setSource(name string, count int, since time.Time) int {
	for i := range n.sources {
		if n.sources[i].name != name {
			continue
		}
		previous := n.sources[i].count
		n.sources[i].count = count
		n.sources[i].since = since
		if count == 0 {
			n.sources = append(n.sources[:i], n.sources[i+1:]...)
		}
		return previous
	}
	if count > 0 {
		n.sources = append(n.sources, source{name: name, count: count, since: since})
	}
	return 0
}

// Next chooses what the next free slot goes to, counts the task as gone and
// charges its share.
func (q *Queue) Next(now time.Time) (Choice, bool) {
	if q.root.count == 0 {
		return Choice{}, false
	}
	k := q.root.heap[0]
	t, inOrder := k.nextTeam(now)
	choice := Choice{Source: t.nextSource(), Kind: k.name, Team: t.name}
	cost := costOf(k, t)
	q.root.charge(k, cost/q.weights.KindWeight(k.name))
	k.charge(t, cost/q.weights.TeamWeight(t.name))
	if inOrder {
		k.capDebt(t, k.virtualNow+maxOrderedDebt)
	}
	q.adjust(k, t, -1)
	return choice, true
}

// costOf is what a task of a team costs: as measured for the team, or else for
// the kind.
func costOf(k, t *node) float64 {
	switch {
	case t.meanCost > 0:
		return t.meanCost
	case k.meanCost > 0:
		return k.meanCost
	default:
		return defaultCost
	}
}

func (n *node) charge(c *node, amount float64) {
	n.virtualNow = max(n.virtualNow, n.heap[0].virtualTime)
	c.virtualTime += amount
	c.nextCharge = amount
	heap.Fix(&n.heap, c.index)
}

// limit keeps a child from owing more than others could ever claim back.
func (n *node) capDebt(c *node, maxVirtualTime float64) {
	if c.virtualTime > maxVirtualTime {
		c.virtualTime = maxVirtualTime
		heap.Fix(&n.heap, c.index)
	}
}

// eldest returns the child whose task has waited the longest, as long as that
// is not long, and else the child that is furthest behind its share.
func (n *node) nextTeam(now time.Time) (chosen *node, inOrder bool) {
	var oldest time.Time
	for _, c := range n.heap[:min(len(n.heap), maxComparedTeams)] {
		if since := c.oldestSince(); chosen == nil || since.Before(oldest) {
			chosen, oldest = c, since
		}
	}
	if now.Sub(oldest) < maxOrderedWait {
		return chosen, true
	}
	return n.heap[0], false
}

// since is from when on the oldest task of the child waits.
func (n *node) oldestSince() time.Time {
	oldest := n.sources[0].since
	for _, s := range n.sources[1:] {
		if s.since.Before(oldest) {
			oldest = s.since
		}
	}
	return oldest
}

// turn takes one task from the sources in turn.
func (n *node) nextSource() string {
	s := n.sources[0]
	copy(n.sources, n.sources[1:])
	s.count--
	if s.count == 0 {
		n.sources = n.sources[:len(n.sources)-1]
		return s.name
	}
	n.sources[len(n.sources)-1] = s
	return s.name
}
