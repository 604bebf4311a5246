package dispatcher

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

const (
	// crashShareTime is how long a crash is passed on to other dispatchers: several rounds.
	crashShareTime = 5 * time.Second
	// maxSharedCrashes limits the crashes in one message; the newest are sent.
	maxSharedCrashes = 32
)

// announceCrashes has the crashes in a frame passed on to the dispatchers without a session
// with its sidecar.
func (a *schedulerActor) announceCrashes(f *wire.SidecarFrame) {
	if len(f.GetCrashes()) > 0 {
		a.dispatcher.peers.requestRound()
	}
}

// sharedCrashes returns the crashes to send to another dispatcher.
func (d *Dispatcher) sharedCrashes() []*wire.Crash {
	now := d.deps.Clock.Now()
	var list []*wire.Crash
	for _, r := range slices.Backward(d.crashes.Recent(crashShareTime, now)) {
		if len(list) < maxSharedCrashes {
			list = append(list, r.Wire(now))
		}
	}
	return list
}

// handleCrashes applies the crashes and quarantines in a message from another dispatcher.
func (p *peers) handleCrashes(k *wire.Knowledge) {
	if len(k.GetCrashes())+len(k.GetQuarantines()) > 0 {
		p.dispatcher.deps.System.Root.Send(p.dispatcher.scheduler, crashesLearned{crashes: k.GetCrashes(), quarantines: k.GetQuarantines()})
	}
}
