package sidecar

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/process/crash"
	"github.com/corianderhook/corianderhook/wire"
)

// noteDeparture records that the current incarnation has said that it leaves, so that its end
// is no crash.
func (a *runnerActor) noteDeparture() {
	if current, known := a.registration.Current(); known {
		a.departingBorn = current.Born
	}
}

// handleDeparture applies the message of an endpoint instance that it has left for good.
func (a *runnerActor) handleDeparture(instance string) {
	a.noteDeparture()
	if a.registration.Leave(instance) {
		klog.InfoS("CH1112 endpoint left", "agent", a.sidecar.deps.Name, "instance", instance)
		a.updateEndpointState()
	}
}

// recordCrash records a crash of the incarnation that started at born, noticed at the given
// time, and tells every dispatcher what ran there. A planned end is no crash.
func (a *runnerActor) recordCrash(born, at time.Time) {
	if born.Equal(a.departingBorn) {
		return
	}
	record, isNew := a.runner.EndpointCrashed(a.sidecar.deps.Name, born, at)
	if !isNew {
		return
	}
	record.Service = a.endpointState.GetService()
	a.crashes.Add(record, a.Now())
	a.sidecar.metrics.CountEndpointCrash()
	queue, share := record.PrimeSuspect()
	klog.InfoS("CH1118 endpoint crashed", "agent", a.sidecar.deps.Name, "born", born, "suspect", queue, "blame", share, "runs", describeRuns(record.Runs))
	for _, s := range a.sessions {
		a.sendFrame(s, &wire.SidecarFrame{Crashes: []*wire.Crash{record.Wire(a.Now())}})
	}
}

// describeRuns returns the runs with their queues and ages for the log.
func describeRuns(runs []crash.Run) []string {
	list := make([]string, 0, len(runs))
	for _, r := range runs {
		list = append(list, fmt.Sprintf("%s.%d.%d %s %s", r.Job, r.Step, r.Index, r.Queue, r.Age.Round(time.Millisecond)))
	}
	return list
}

// recentCrashes returns the crashes to report in a new session.
func (a *runnerActor) recentCrashes() []*wire.Crash {
	var list []*wire.Crash
	for _, r := range a.crashes.Recent(crash.Retention, a.Now()) {
		list = append(list, r.Wire(a.Now()))
	}
	return list
}
