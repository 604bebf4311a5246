package sidecar

import (
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/sharing/startup"
)

// reachStep logs a step of the start when it is reached for the first time.
func (s *Sidecar) reachStep(step startup.Step) {
	if after, first := s.startup.Reach(step, s.deps.Clock.Now()); first {
		klog.InfoS("CH1165 step of the start reached", "agent", s.deps.Name, "step", step.String(), "after", after)
	}
}
