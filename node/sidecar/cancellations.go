package sidecar

import (
	"slices"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/wire"
)

// canceledReason is the reason why a task of a canceled job does not run.
const canceledReason = "its job was canceled"

// learnCancellations stops the tasks of canceled jobs, also those of a dispatcher that does not
// know yet.
func (a *runnerActor) learnCancellations(list []*wire.Cancellation) {
	for _, m := range a.cancellations.AddAll(list, a.Now()) {
		klog.InfoS("CH1107 job canceled", "agent", a.sidecar.deps.Name, "job", m.GetJob())
		a.runner.CancelJob(m.GetJob(), canceledReason)
	}
}

// returnCanceled takes the offers of canceled jobs out of a frame, returns their tasks and tells
// the dispatcher why.
func (a *runnerActor) returnCanceled(s *session, f *wire.DispatcherFrame) {
	f.Offers = slices.DeleteFunc(f.GetOffers(), func(o *wire.Offer) bool {
		canceled := a.cancellations.Find(o.GetJob(), a.Now())
		if canceled == nil {
			return false
		}
		a.sendFrame(s, &wire.SidecarFrame{Cancellations: []*wire.Cancellation{canceled}})
		for _, t := range o.GetTasks() {
			a.Send(s.dispatcher, &wire.TaskEvent{Ref: t.GetRef(), Kind: wire.TaskEventKind_TASK_EVENT_KIND_RETURNED, Reason: canceledReason})
		}
		return true
	})
}
