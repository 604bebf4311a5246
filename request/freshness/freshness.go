// Package freshness decides whether a request may still be started: its caller may have given
// up, and have sent the job again elsewhere, before this process read it. The age of a request is
// not the time since it was read: it may have waited in the kernel, in a process that stood still,
// or on a network that held it back. The package does no I/O.
package freshness

import "time"

const (
	// unprovenWait is the longest time for which a request waited in this machine that does not
	// matter: it is small beside the time after which callers send a request again.
	unprovenWait = 200 * time.Millisecond
	// BurstTime is how long after an abandoned request others are likely: the network, or a stall,
	// has then held back several.
	BurstTime = time.Second
)

// Evidence is what is known of the age of a request when it has been read.
type Evidence struct {
	// SinceTurn is the time since the connection was accepted or, if it has carried an answer
	// before, since that was written: the caller has not sent the request before.
	SinceTurn time.Duration
	// FirstOnConnection is set for the first request on a connection.
	FirstOnConnection bool
	// Queued is how long the connection had waited to be accepted or, for a later request, how
	// long the request had waited to be read, according to the kernel.
	Queued time.Duration
	// Received is the time since the end of the request arrived, according to the kernel.
	Received time.Duration
	// Stall is the length of a stall of this process in which the request may have arrived.
	Stall time.Duration
	// HandshakeRepeated is set if the kernel had to repeat its answer to the opening of the
	// connection: the request may have been on its way for as long.
	HandshakeRepeated bool
	// SinceAbandoned is the time since another request turned out to be abandoned, or negative if
	// none has.
	SinceAbandoned time.Duration
}

// Age returns the longest time for which the request may have been on its way, as far as this
// machine can tell: the network may have held back the first request on a connection for up to
// the time after which the kernel repeats its part of the handshake.
func (e Evidence) Age() time.Duration {
	if e.FirstOnConnection {
		return e.SinceTurn + max(e.Queued, e.Stall)
	}
	return e.SinceTurn
}

// Suspicion is how likely a request is older than it looks.
type Suspicion uint8

//go:generate stringer -type=Suspicion -linecomment

const (
	// None means that the request was sent a short time ago.
	None Suspicion = iota // none
	// Idle means that the connection was idle for so long that nothing proves the age.
	Idle // idle
	// Likely means that something has held back this request or others.
	Likely // likely
)

// Suspect decides whether a request may be older than maxAge, up to which callers have not sent
// it again.
func Suspect(e Evidence, maxAge time.Duration) Suspicion {
	held := e.Stall > unprovenWait || e.Queued > unprovenWait || e.HandshakeRepeated
	burst := e.SinceAbandoned >= 0 && e.SinceAbandoned < BurstTime
	switch {
	case e.FirstOnConnection && held:
		return Likely
	case e.Age() <= maxAge:
		return None
	case held, burst:
		return Likely
	default:
		return Idle
	}
}

// Arrival returns when the request reached this machine, as far as that is known at a time after it
// was read.
func (e Evidence) Arrival(now time.Time) time.Time { return now.Add(-max(e.Queued, e.Stall)) }

// Findings is what has been found out about a request since it was read.
type Findings struct {
	// Closed is set if the connection has ended, OutOfTime if the caller's time was over when the
	// request was read.
	Closed, OutOfTime bool
	// Unacknowledged is set if the caller's machine has not acknowledged what was sent to it since
	// the request was read.
	Unacknowledged bool
	// HeldElsewhere is set if another dispatcher holds the job, InquiryFailed if one has not said
	// whether it does.
	HeldElsewhere, InquiryFailed bool
}

// Verdict is what becomes of a request.
type Verdict uint8

//go:generate stringer -type=Verdict -linecomment

const (
	// Admitted means that the request may be started.
	Admitted Verdict = iota // admitted
	// Abandoned means that the caller has left.
	Abandoned // abandoned
	// Unproven means that the caller may have left, and that nobody can tell.
	Unproven // unproven
)

// Conclude decides what becomes of a request. An inquiry that fails counts only if something has
// held back requests: a dispatcher that is gone must not keep idle connections from being served.
func Conclude(s Suspicion, f Findings) Verdict {
	switch {
	case f.Closed, f.OutOfTime, f.HeldElsewhere:
		return Abandoned
	case s != None && f.Unacknowledged, s == Likely && f.InquiryFailed:
		return Unproven
	default:
		return Admitted
	}
}
