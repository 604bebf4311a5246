package sidecar

import (
	"time"

	"k8s.io/klog/v2"
)

// checkLease ends the tasks of a lease that has lapsed. The lease is read when its end is applied
// to the tasks: one that was extended for a later order has not lapsed. A takeover does not extend
// it, so that it also lapses while the endpoint is being taken over.
func (a *runnerActor) checkLease() {
	now := a.Now()
	lapsed := a.epoch != nil && a.epoch.lease.Lapsed(now)
	if lapsed && !a.leaseLapsed {
		a.sidecar.metrics.CountLapsedLease()
		klog.InfoS("CH1120 lease lapsed", "agent", a.sidecar.deps.Name, "born", a.epoch.born, "fence", a.epoch.fence,
			"margin", now.Sub(a.epoch.lease.End()), "readingAge", a.epoch.clock.ReadingAge(now))
	}
	if lapsed {
		a.runner.Lapse("its lease ran out")
	}
	a.leaseLapsed = lapsed
}

// handleResumption applies that the machine was suspended.
func (a *runnerActor) handleResumption(suspension time.Duration) {
	klog.InfoS("CH1106 process was suspended", "agent", a.sidecar.deps.Name, "for", suspension)
	a.runner.Resumed(suspension)
}

// limitLease keeps the lease from being extended beyond the time by which runs have to have
// ended. Meanwhile the endpoint takes no tasks.
func (a *runnerActor) limitLease() {
	limited := false
	if a.epoch != nil {
		a.epoch.lease.SetLimit(a.runner.LeaseLimit())
		limited = a.epoch.lease.Limited(a.Now())
	}
	if limited == a.leaseLimited {
		return
	}
	a.leaseLimited = limited
	klog.InfoS("CH1119 lease limited", "agent", a.sidecar.deps.Name, "limited", limited, "doubtful", a.runner.InDoubt())
	a.updateEndpointState()
}
