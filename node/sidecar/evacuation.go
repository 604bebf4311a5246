package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/process/zonegate"
	"github.com/corianderhook/corianderhook/version/evacuation"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// evacuatedReason is the reason why an endpoint in an evacuated zone takes no tasks.
	evacuatedReason = "its availability zone is evacuated"
	// maxViewShare of the time within which an evacuation must be in force is the age of the
	// view from which the sidecar asks the store itself. The rest is for the call, and for
	// calls that fail.
	maxViewShare = 0.4
	// viewCheckInterval is the time between two checks of the view's age.
	viewCheckInterval = 250 * time.Millisecond
	// minReadBackoff is the time after a failed read of the store. It doubles up to
	// maxReadBackoff and has a jitter of ±25 %.
	minReadBackoff = 250 * time.Millisecond
	maxReadBackoff = 2 * time.Second
)

// EvacuationReader reads the evacuated zones from the platform's store.
type EvacuationReader interface {
	Read(ctx context.Context) (evacuation.State, error)
}

// evacuated reports whether the zone of the endpoint is evacuated.
func (s *Sidecar) evacuated() bool { return s.gate.Evacuated(s.deps.Zone) }

// observeEvacuation applies a set of evacuated zones that was the newest at the given time, or
// at an unknown time if that is zero.
func (s *Sidecar) observeEvacuation(state evacuation.State, confirmedAt time.Time, source string) {
	if !s.gate.Observe(state, confirmedAt) {
		return
	}
	inForce := s.gate.State()
	klog.InfoS("CH1116 evacuated zones changed", "agent", s.deps.Name, "zones", inForce.Zones(), "version", inForce.Version(), "evacuated", s.evacuated(), "source", source)
	s.deps.System.Root.Send(s.runner, evacuationChanged{})
}

// handleEvacuation applies the set in a frame from a dispatcher, which was made after the
// dispatcher had received the frame with the echoed stamp.
func (s *Sidecar) handleEvacuation(m *wire.Evacuation, echo uint64, address string) {
	if m == nil {
		return
	}
	var echoedAt time.Time
	if echo > 0 {
		echoedAt = s.stampTime(echo)
	}
	s.observeEvacuation(evacuation.New(m.GetVersion(), m.GetZones()), zonegate.ConfirmationTime(m, echoedAt), "dispatcher "+address)
}

// watchEvacuations reads the store if no dispatcher shows that the view is recent: at the
// start, and while the dispatchers that reach this sidecar are cut off from the store.
func (s *Sidecar) watchEvacuations(ctx context.Context) {
	maxAge := time.Duration(maxViewShare * float64(s.deps.EvacuationTime))
	backoff := minReadBackoff
	for ctx.Err() == nil {
		requestedAt := s.deps.Clock.Now()
		if age, confirmed := s.gate.Age(requestedAt); confirmed && age < maxAge {
			pause.For(ctx, s.deps.Clock, viewCheckInterval)
			continue
		}
		state, err := s.deps.Evacuations.Read(ctx)
		if err == nil {
			s.observeEvacuation(state, requestedAt, "store")
			backoff = minReadBackoff
			continue
		}
		klog.V(1).InfoS("CH1117 evacuated zones cannot be read", "agent", s.deps.Name, "error", err)
		pause.For(ctx, s.deps.Clock, time.Duration((0.75+rand.Float64()/2)*float64(backoff)))
		backoff = min(2*backoff, maxReadBackoff)
	}
}
