// Package queue decides at an agent which waiting task gets the next free task slot. It
// is a weighted fair queue over the kinds of work and, within a kind, over the teams.
// It is work-conserving: an unused share goes to the others.
package queue

import (
	"container/heap"
	"time"
)

// Choice says from which source, kind and team the next task is to be pulled.
type Choice struct {
	Source string
	Kind   string
	Team   string
}

// Weights returns the weights of kinds and teams. A weight is above zero.
type Weights interface {
	KindWeight(kind string) float64
	TeamWeight(team string) float64
}

// node is the root, a kind, or a team within a kind.
type node struct {
	name string
	// virtualTime is the service that the node was charged so far, in seconds divided
	// by its weight. The node with the least virtual time is furthest behind its share.
	virtualTime float64
	// nextCharge is the charge for the next task. Nodes are served in the order of the
	// virtual time at which their next task would end.
	nextCharge float64
	// index is the position in the parent's backlogged heap, or -1 if the node is not in
	// it.
	index int
	// count is the number of waiting tasks.
	count    int
	children map[string]*node
	// meanCost is the mean service time of the node's tasks in seconds, or zero before
	// the first measurement.
	meanCost float64
	// backlogged holds the children with waiting tasks.
	backlogged nodeHeap
	// virtualNow is the virtual time of the service among the children.
	virtualNow float64
	// sources holds the entries at which tasks of a team wait, in the order of service.
	sources []source
}

// source is an entry at which tasks of a team wait.
type source struct {
	name  string
	count int
	// since is when the oldest task at the source began to wait.
	since time.Time
}

// nodeHeap is a heap of nodes with waiting tasks, ordered by the virtual time at which
// their next task would end.
type nodeHeap []*node

func (h nodeHeap) Len() int { return len(h) }
func (h nodeHeap) Less(i, j int) bool {
	first, second := h[i].virtualTime+h[i].nextCharge, h[j].virtualTime+h[j].nextCharge
	return first < second || first == second && h[i].name < h[j].name
}

func (h nodeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *nodeHeap) Push(x any) {
	n := x.(*node)
	n.index = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *nodeHeap) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	n.index = -1
	return n
}

// Queue holds the numbers of tasks that wait at the entries. It is not safe for
// concurrent use.
type Queue struct {
	weights Weights
	root    node
}

const (
	// costWeight is the weight of a new measurement in the mean service time.
	costWeight = 0.1
	// maxOrderedWait is how long the oldest task of a kind may have waited for its
	// teams to be served in the order of arrival. Beyond it they share by weight.
	maxOrderedWait = 100 * time.Millisecond
	// maxOrderedDebt is how far a team can get ahead of its share while teams are
	// served in the order of arrival, in seconds of service.
	maxOrderedDebt = 0.5
	// maxComparedTeams bounds the teams whose oldest tasks are compared.
	maxComparedTeams = 16
	// defaultCost is the assumed service time in seconds of a kind without a
	// measurement.
	defaultCost = 0.1
)

// New returns an empty queue.
func New(weights Weights) *Queue {
	return &Queue{weights: weights, root: node{children: map[string]*node{}}}
}

// Waiting returns the number of waiting tasks that entries have announced to this
// agent.
func (q *Queue) Waiting() int { return q.root.count }

// ObserveServiceTime records the service time of a task in seconds. Costs are measured,
// not declared, and each team is charged for its own tasks.
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

// SetWaiting replaces the number of tasks of a kind and team that wait at a source, the
// oldest of them since the given time.
func (q *Queue) SetWaiting(sourceName, kind, team string, count int, since time.Time) {
	k := q.root.child(kind)
	t := k.child(team)
	previous := t.setSource(sourceName, count, since)
	q.adjust(k, t, count-previous)
}

// DropSource removes all waiting tasks of a source.
func (q *Queue) DropSource(sourceName string) {
	for _, k := range q.root.children {
		for _, t := range k.children {
			q.adjust(k, t, -t.setSource(sourceName, 0, time.Time{}))
		}
	}
}

// adjust changes the numbers of waiting tasks of a kind and its team.
func (q *Queue) adjust(k, t *node, delta int) {
	t.count += delta
	k.count += delta
	q.root.count += delta
	cost := costOf(k, t)
	k.updateBacklogged(t, cost/q.weights.TeamWeight(t.name))
	q.root.updateBacklogged(k, cost/q.weights.KindWeight(k.name))
}

func (n *node) child(name string) *node {
	c, known := n.children[name]
	if !known {
		c = &node{name: name, index: -1, children: map[string]*node{}}
		n.children[name] = c
	}
	return c
}

// updateBacklogged adds a child to the heap when it gets waiting tasks, and removes it
// when none are left. An idle child accrues no credit.
func (n *node) updateBacklogged(c *node, nextCharge float64) {
	switch {
	case c.count > 0 && c.index < 0:
		c.virtualTime = max(c.virtualTime, n.virtualNow)
		c.nextCharge = nextCharge
		heap.Push(&n.backlogged, c)
	case c.count == 0 && c.index >= 0:
		heap.Remove(&n.backlogged, c.index)
	}
}

// setSource replaces the number of waiting tasks at a source and returns the previous
// number.
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

// Next chooses the task for the next free task slot, removes it from the count and charges
// its kind and team.
func (q *Queue) Next(now time.Time) (Choice, bool) {
	if q.root.count == 0 {
		return Choice{}, false
	}
	k := q.root.backlogged[0]
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

// costOf returns the expected service time of a team's task in seconds: the mean of the
// team, or else of the kind.
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

// charge adds the cost of a task to a child's virtual time.
func (n *node) charge(c *node, amount float64) {
	n.virtualNow = max(n.virtualNow, n.backlogged[0].virtualTime)
	c.virtualTime += amount
	c.nextCharge = amount
	heap.Fix(&n.backlogged, c.index)
}

// capDebt bounds a child's virtual time, and with it how long the others are preferred
// afterwards.
func (n *node) capDebt(c *node, maxVirtualTime float64) {
	if c.virtualTime > maxVirtualTime {
		c.virtualTime = maxVirtualTime
		heap.Fix(&n.backlogged, c.index)
	}
}

// nextTeam returns the child whose task has waited longest if that wait is below
// maxOrderedWait, and else the first child in the order of fair shares.
func (n *node) nextTeam(now time.Time) (chosen *node, inOrder bool) {
	var oldest time.Time
	for _, c := range n.backlogged[:min(len(n.backlogged), maxComparedTeams)] {
		if since := c.oldestSince(); chosen == nil || since.Before(oldest) {
			chosen, oldest = c, since
		}
	}
	if now.Sub(oldest) < maxOrderedWait {
		return chosen, true
	}
	return n.backlogged[0], false
}

// oldestSince returns when the oldest task of the node began to wait.
func (n *node) oldestSince() time.Time {
	oldest := n.sources[0].since
	for _, s := range n.sources[1:] {
		if s.since.Before(oldest) {
			oldest = s.since
		}
	}
	return oldest
}

// nextSource removes one task from the sources, round robin, and returns its source.
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
