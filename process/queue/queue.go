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
	name string
	tag  float64
	// step is what the next task costs: the node ends it at tag plus step.
	step     float64
	index    int
	count    int
	children map[string]*node
	// cost is the mean service time of the node's tasks in seconds; zero where none
	// was measured.
	cost    float64
	active  ring
	now     float64
	sources []source
}

type source struct {
	name  string
	count int
	// since is from when on the oldest task of the source waits.
	since time.Time
}

// ring is a heap of the nodes that have tasks waiting, lowest tag first.
type ring []*node

func (r ring) Len() int { return len(r) }
func (r ring) Less(i, j int) bool {
	first, second := r[i].tag+r[i].step, r[j].tag+r[j].step
	return first < second || first == second && r[i].name < r[j].name
}

func (r ring) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index = i
	r[j].index = j
}

// Push is for container/heap.
func (r *ring) Push(x any) {
	n := x.(*node)
	n.index = len(*r)
	*r = append(*r, n)
}

// Pop is for container/heap.
func (r *ring) Pop() any {
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
	costShare = 0.1
	// calm is how long the oldest task of a kind may have waited for its teams to
	// be served in the order of arrival. Beyond it they share by weight.
	calm = 100 * time.Millisecond
	// calmDebt is how far a team can get ahead of its share while all is calm, in
	// seconds of service.
	calmDebt = 0.5
	// lookedAt bounds the teams that are compared by age.
	lookedAt = 16
	// firstCost is the service time in seconds of a kind that was never measured.
	firstCost = 0.1
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
	k.measured(seconds)
	k.child(team).measured(seconds)
}

func (n *node) measured(seconds float64) {
	if n.cost == 0 {
		n.cost = seconds
	}
	n.cost += costShare * (seconds - n.cost)
}

// Set replaces the number of tasks that wait at a source for a kind and team,
// the oldest of them since the given time.
func (q *Queue) SetWaiting(from, kind, team string, count int, since time.Time) {
	k := q.root.child(kind)
	t := k.child(team)
	old := t.setSource(from, count, since)
	q.change(k, t, count-old)
}

// Drop forgets all that waits at a source.
func (q *Queue) DropSource(from string) {
	for _, k := range q.root.children {
		for _, t := range k.children {
			q.change(k, t, -t.setSource(from, 0, time.Time{}))
		}
	}
}

func (q *Queue) change(k, t *node, difference int) {
	t.count += difference
	k.count += difference
	q.root.count += difference
	cost := costOf(k, t)
	k.place(t, cost/q.weights.TeamWeight(t.name))
	q.root.place(k, cost/q.weights.KindWeight(k.name))
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
func (n *node) place(c *node, step float64) {
	switch {
	case c.count > 0 && c.index < 0:
		c.tag = max(c.tag, n.now)
		c.step = step
		heap.Push(&n.active, c)
	case c.count == 0 && c.index >= 0:
		heap.Remove(&n.active, c.index)
	}
}

func (n *node) setSource(name string, count int, since time.Time) int {
	for i := range n.sources {
		if n.sources[i].name != name {
			continue
		}
		old := n.sources[i].count
		n.sources[i].count = count
		n.sources[i].since = since
		if count == 0 {
			n.sources = append(n.sources[:i], n.sources[i+1:]...)
		}
		return old
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
	k := q.root.active[0]
	t, inOrder := k.eldest(now)
	choice := Choice{Source: t.turn(), Kind: k.name, Team: t.name}
	cost := costOf(k, t)
	q.root.charge(k, cost/q.weights.KindWeight(k.name))
	k.charge(t, cost/q.weights.TeamWeight(t.name))
	if inOrder {
		k.limit(t, k.now+calmDebt)
	}
	q.change(k, t, -1)
	return choice, true
}

// costOf is what a task of a team costs: as measured for the team, or else for
// the kind.
func costOf(k, t *node) float64 {
	switch {
	case t.cost > 0:
		return t.cost
	case k.cost > 0:
		return k.cost
	default:
		return firstCost
	}
}

func (n *node) charge(c *node, amount float64) {
	n.now = max(n.now, n.active[0].tag)
	c.tag += amount
	c.step = amount
	heap.Fix(&n.active, c.index)
}

// limit keeps a child from owing more than others could ever claim back.
func (n *node) limit(c *node, tag float64) {
	if c.tag > tag {
		c.tag = tag
		heap.Fix(&n.active, c.index)
	}
}

// eldest returns the child whose task has waited the longest, as long as that
// is not long, and else the child that is furthest behind its share.
func (n *node) eldest(now time.Time) (chosen *node, inOrder bool) {
	var first time.Time
	for _, c := range n.active[:min(len(n.active), lookedAt)] {
		if since := c.since(); chosen == nil || since.Before(first) {
			chosen, first = c, since
		}
	}
	if now.Sub(first) < calm {
		return chosen, true
	}
	return n.active[0], false
}

// since is from when on the oldest task of the child waits.
func (n *node) since() time.Time {
	first := n.sources[0].since
	for _, s := range n.sources[1:] {
		if s.since.Before(first) {
			first = s.since
		}
	}
	return first
}

// turn takes one task from the sources in turn.
func (n *node) turn() string {
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
