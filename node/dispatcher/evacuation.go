package dispatcher

import (
	"time"

	"github.com/corianderhook/corianderhook/process/zonegate"
	"github.com/corianderhook/corianderhook/version/evacuation"
	"github.com/corianderhook/corianderhook/wire"
)

// evacuationInterval is the time between two messages with an unchanged set of evacuated
// zones in a session, which show the sidecar how recent the set is.
const evacuationInterval = 400 * time.Millisecond

// announceEvacuation passes a changed set of evacuated zones on to sidecars and other
// dispatchers.
func (p *peers) announceEvacuation() {
	// Each session adds the set to the frame.
	p.sendToSidecars(&wire.DispatcherFrame{})
	p.requestRound()
}

// handleEvacuation applies the set of evacuated zones in a message from another dispatcher.
// RequestedAt is when this dispatcher asked for it, or the zero time if it did not ask.
func (p *peers) handleEvacuation(m *wire.Evacuation, requestedAt time.Time, address string) {
	if m == nil {
		return
	}
	p.dispatcher.ObserveEvacuation(evacuation.New(m.GetVersion(), m.GetZones()), zonegate.ConfirmationTime(m, requestedAt), "dispatcher "+address)
}

// addEvacuation adds the set of evacuated zones to a frame if it has changed since the last
// one that this session sent, or evacuationInterval has passed.
func (s *session) addEvacuation(d *Dispatcher, f *wire.DispatcherFrame) {
	state, now := d.gate.State(), d.deps.Clock.Now()
	if state.SameZones(s.sentEvacuation) && now.Sub(s.evacuationSentAt) < evacuationInterval {
		return
	}
	s.sentEvacuation, s.evacuationSentAt = state, now
	f.Evacuation = d.gate.Message(now)
}
