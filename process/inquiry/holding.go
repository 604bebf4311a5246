package inquiry

import "github.com/corianderhook/corianderhook/wire"

//go:generate stringer -type=Holding -linecomment

// Holding is whether a job is held by other dispatchers.
type Holding uint8

const (
	// Unknown means that an answer is missing. A request that something may have held back must not
	// be submitted then.
	Unknown Holding = iota // unknown
	// NotHeld means that the job may be submitted.
	NotHeld // not held
	// Held means that another dispatcher has the job, has had it recently, or goes first.
	Held // held
)

// Wire returns the holding as it is sent to another dispatcher.
func (h Holding) Wire() wire.JobHolding {
	switch h {
	case NotHeld:
		return wire.JobHolding_JOB_HOLDING_NOT_HELD
	case Held:
		return wire.JobHolding_JOB_HOLDING_HELD
	default:
		return wire.JobHolding_JOB_HOLDING_UNSPECIFIED
	}
}

// FromWire returns the holding that another dispatcher has sent.
func FromWire(h wire.JobHolding) Holding {
	switch h {
	case wire.JobHolding_JOB_HOLDING_NOT_HELD:
		return NotHeld
	case wire.JobHolding_JOB_HOLDING_HELD:
		return Held
	default:
		return Unknown
	}
}
