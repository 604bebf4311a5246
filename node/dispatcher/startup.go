package dispatcher

import (
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/sharing/startup"
)

// reachStep logs a step of the start when it is reached for the first time.
func (d *Dispatcher) reachStep(s startup.Step) {
	if after, first := d.startup.Reach(s, d.deps.Clock.Now()); first {
		klog.InfoS("CH1080 step of the start reached", "entry", d.deps.Name, "step", s.String(), "after", after, "agents", d.agentCount.Load())
	}
}

// reachSessions logs how long it has taken to get a number of sessions.
func (d *Dispatcher) reachSessions(count int) {
	if after, first := d.startup.Sessions(count, d.deps.Clock.Now()); first {
		klog.InfoS("CH1081 sessions since the start", "entry", d.deps.Name, "agents", count, "after", after)
	}
}
