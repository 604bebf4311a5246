package sidecar

import (
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/sharing/interference"
	"github.com/corianderhook/corianderhook/wire"
)

// neighbors holds what the runner's estimator has found. It is empty if nobody wants to know.
type neighbors struct {
	estimator *interference.Estimator
	// slowings holds the estimates of the revision for frames.
	slowings *wire.Slowings
	revision uint64
	pairs    int64
}

// options returns the options of a runner, with a new estimator if wanted.
func (n *neighbors) options(wanted bool) []runner.Option {
	if !wanted {
		return nil
	}
	n.estimator = interference.New()
	return []runner.Option{runner.WithNeighbors(n.estimator)}
}

// newSince returns the estimates if they are newer than those sent, and updates sent.
func (n *neighbors) newSince(sent *uint64) *wire.Slowings {
	if n.estimator == nil || n.estimator.Revision() == *sent {
		return nil
	}
	if n.revision != n.estimator.Revision() {
		n.slowings, n.revision = n.estimator.Wire(), n.estimator.Revision()
	}
	*sent = n.revision
	return n.slowings
}

// compareNeighbors evaluates the recent runs and logs what has changed.
func (a *runnerActor) compareNeighbors() {
	n := &a.neighbors
	if n.estimator == nil {
		return
	}
	for _, c := range n.estimator.Evaluate(a.Now()) {
		if c.Slowed {
			n.pairs++
			klog.InfoS("CH1160 queue is slowed beside another", "agent", a.sidecar.deps.Name, "queue", c.Queue, "beside", c.Neighbor,
				"factor", c.Factor(), "pairs", c.Pairs, "deviations", c.Deviations())
			continue
		}
		n.pairs--
		klog.InfoS("CH1161 queue is not slowed beside another any more", "agent", a.sidecar.deps.Name, "queue", c.Queue, "beside", c.Neighbor, "reason", c.Reason())
	}
	a.sidecar.slowedPairs.Store(n.pairs)
}
