// Package redial decides when a sidecar tries again to open a session with a dispatcher. A VM
// without power never answers, so that the attempts become longer and rarer; a dispatcher that
// has said that it has started is tried at once. It does no I/O.
package redial

import "time"

const (
	// minOpenTimeout limits the opening of a session. It doubles with each failure up to
	// maxOpenTimeout: a VM without power never answers, a slow one answers late.
	minOpenTimeout = 150 * time.Millisecond
	maxOpenTimeout = 600 * time.Millisecond
	// minBackoff is the time before a session is opened again. It doubles with each failure up
	// to maxBackoff. An address that has not answered for unreachableAfter is tried every
	// unreachableInterval. All these times have a jitter of ±25 %.
	minBackoff          = 50 * time.Millisecond
	maxBackoff          = 400 * time.Millisecond
	unreachableInterval = 2 * time.Second
	unreachableAfter    = 10 * time.Second
	// announcedSpread is the time over which the sidecars that hear of a start together spread
	// their attempts.
	announcedSpread = 25 * time.Millisecond
)

// Redial is the state of the attempts to reach one address. It is not safe for concurrent use.
type Redial struct {
	openTimeout, backoff time.Duration
	// lastAnswer is when the dispatcher last answered, or when it was first tried.
	lastAnswer time.Time
	// startedAt is when the attempt under way began.
	startedAt time.Time
	// announced is set if a start was announced since that attempt began.
	announced bool
}

// New returns the state of an address that has not been tried.
func New(now time.Time) *Redial {
	return &Redial{openTimeout: minOpenTimeout, backoff: minBackoff, lastAnswer: now}
}

// Begin notes that an attempt begins, and returns how long it may take.
func (r *Redial) Begin(now time.Time) (openTimeout time.Duration) {
	r.startedAt, r.announced = now, false
	return r.openTimeout
}

// Announced notes that the dispatcher has said that it has started, and returns how much longer the
// attempt under way may take. What it has sent was lost, unless it has begun just now.
func (r *Redial) Announced(now time.Time) time.Duration {
	r.openTimeout, r.backoff, r.lastAnswer, r.announced = minOpenTimeout, minBackoff, now, true
	if age := now.Sub(r.startedAt); age < minBackoff {
		return minOpenTimeout - age
	}
	return 0
}

// Lost notes that an open session has ended, and returns the time until the next attempt. Jitter
// is a random number from 0 to 1.
func (r *Redial) Lost(now time.Time, jitter float64) time.Duration {
	r.openTimeout, r.backoff, r.lastAnswer = minOpenTimeout, minBackoff, now
	return r.wait(now, jitter)
}

// Failed notes that an attempt has failed, and returns the time until the next one.
func (r *Redial) Failed(now time.Time, jitter float64) time.Duration {
	if r.announced {
		return r.WaitAnnounced(jitter)
	}
	r.openTimeout = min(2*r.openTimeout, maxOpenTimeout)
	return r.wait(now, jitter)
}

// WaitAnnounced returns the time until the attempt that follows an announcement.
func (r *Redial) WaitAnnounced(jitter float64) time.Duration {
	return time.Duration(jitter * float64(announcedSpread))
}

func (r *Redial) wait(now time.Time, jitter float64) time.Duration {
	wait := r.backoff
	r.backoff = min(2*r.backoff, maxBackoff)
	if now.Sub(r.lastAnswer) > unreachableAfter {
		wait = unreachableInterval
	}
	return time.Duration((0.75 + jitter/2) * float64(wait))
}
