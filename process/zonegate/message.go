package zonegate

import (
	"time"

	"github.com/corianderhook/corianderhook/wire"
)

// Message returns the view as a message that is sent now.
func (g *Gate) Message(now time.Time) *wire.Evacuation {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.state
	age, confirmed := g.age(now)
	return &wire.Evacuation{Version: state.Version(), Zones: state.Zones(), AgeMs: uint32(min(age.Milliseconds(), int64(maxAge/time.Millisecond))), Confirmed: confirmed}
}

// ConfirmationTime returns when the view in a message was the newest, by the receiver's clock:
// at the latest its age before the receiver asked for it, since it was made after that. It is
// the zero time if it is not known.
func ConfirmationTime(m *wire.Evacuation, requestedAt time.Time) time.Time {
	if !m.GetConfirmed() || requestedAt.IsZero() {
		return time.Time{}
	}
	return requestedAt.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
}
