package runner

import (
	"time"

	"github.com/corianderhook/corianderhook/process/backlog"
	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/wire"
)

// staleReason is the reason of returning a task whose offer has been on the way for too long.
const staleReason = "the decision on its offer is too old"

// Offer adds tasks of a job and starts those that there is room for.
func (r *Runner) Offer(dispatcher uint64, o *wire.Offer) {
	now := r.host.Now()
	decidedAt := r.decisionTime(o, now)
	for _, offered := range o.GetTasks() {
		n := taskName(dispatcher, offered.GetRef())
		if _, known := r.tasks[n]; known {
			continue
		}
		t := &task{
			name: n, dispatcher: dispatcher, ref: offered.GetRef(), queue: o.GetQueue(), offeredAt: now, decidedAt: decidedAt,
			size:     size.FromWire(offered.GetSize()),
			expected: time.Duration(offered.GetExpectedMs()) * time.Millisecond,
			order: Order{
				Job: o.GetJob(), Step: int(offered.GetStep()), Index: int(offered.GetIndex()),
				Run: offered.GetRun(), Payload: o.GetPayload(),
			},
		}
		r.tasks[n] = t
		switch {
		case !r.accepting:
			r.returnTask(t, r.refusalReason)
			continue
		case now.Sub(decidedAt) > MaxStartSilence:
			r.returnTask(t, staleReason)
			continue
		}
		r.backlog.Add(backlog.Item{
			Name: n, Urgency: int(o.GetUrgency()), Size: t.size, Expected: t.expected,
			LatestStart: now.Add(time.Duration(o.GetOnTimeWithinMs()) * time.Millisecond),
			Expiry:      now.Add(time.Duration(o.GetStartWithinMs()) * time.Millisecond),
		})
	}
	r.startWaiting()
	if !o.GetAtOnce() {
		return
	}
	for _, offered := range o.GetTasks() {
		if t, known := r.tasks[taskName(dispatcher, offered.GetRef())]; known && t.phase == waiting {
			r.returnTask(t, "it could not start at once")
		}
	}
}

// decisionTime returns when the dispatcher decided on an offer, or now if it is too old to tell.
func (r *Runner) decisionTime(o *wire.Offer, now time.Time) time.Time {
	if o.GetDecidedUs() == 0 {
		return now
	}
	return r.withSuspension(r.host.StampTime(o.GetDecidedUs()))
}
