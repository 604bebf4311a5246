package register

import "github.com/corianderhook/corianderhook/wire"

//go:generate stringer -type=State -linecomment

// State is what a registrar knows of a job.
type State uint8

const (
	// Free means that no other dispatcher is known to have the job.
	Free State = iota // free
	// Held means that other dispatchers may have the job.
	Held // held
	// Completed means that the job has been completed recently.
	Completed // completed
	// Canceled means that the job's caller has canceled it recently.
	Canceled // canceled
)

// Wire returns the state as it is sent to another dispatcher.
func (s State) Wire() wire.HolderState {
	switch s {
	case Held:
		return wire.HolderState_HOLDER_STATE_HELD
	case Completed:
		return wire.HolderState_HOLDER_STATE_COMPLETED
	case Canceled:
		return wire.HolderState_HOLDER_STATE_CANCELED
	default:
		return wire.HolderState_HOLDER_STATE_FREE
	}
}

// FromWire returns the state that another dispatcher has sent, and false if this build does not know it.
func FromWire(s wire.HolderState) (State, bool) {
	switch s {
	case wire.HolderState_HOLDER_STATE_FREE:
		return Free, true
	case wire.HolderState_HOLDER_STATE_HELD:
		return Held, true
	case wire.HolderState_HOLDER_STATE_COMPLETED:
		return Completed, true
	case wire.HolderState_HOLDER_STATE_CANCELED:
		return Canceled, true
	default:
		return Free, false
	}
}
