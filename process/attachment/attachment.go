// Package attachment decides which of a sidecar's sessions is the current one.
package attachment

import (
	"slices"
	"time"
)

const (
	// retention is how long the sessions of a sidecar that has none any more are remembered.
	retention = time.Minute
	// maxEarlier is the number of earlier incarnations that are remembered by sidecar.
	maxEarlier = 4
)

// Hello identifies the first frame of a session.
type Hello struct {
	// Incarnation identifies the process of the sidecar.
	Incarnation uint64
	// Stamp is when the frame was sent, by the monotonic clock of that process.
	Stamp uint64
}

type sidecar struct {
	last Hello
	// earlier holds the incarnations before the last one, the newest last.
	earlier []uint64
	// detachedAt is when the last session ended, zero while there is one.
	detachedAt time.Time
}

// Log holds the newest hello of each sidecar. It is not safe for concurrent use.
type Log struct {
	sidecars map[string]*sidecar
	prunedAt time.Time
}

// New returns an empty log.
func New() *Log { return &Log{sidecars: map[string]*sidecar{}} }

// Accept records a hello that arrives now and reports whether it is newer than those before. One
// that was delayed on its way must not replace a later session: its list of held tasks lacks
// those that were sent since, which would be taken for ended.
func (l *Log) Accept(name string, h Hello, now time.Time) bool {
	l.prune(now)
	s, known := l.sidecars[name]
	if !known {
		l.sidecars[name] = &sidecar{last: h}
		return true
	}
	if h.Incarnation == s.last.Incarnation {
		if h.Stamp < s.last.Stamp {
			return false
		}
	} else {
		if slices.Contains(s.earlier, h.Incarnation) {
			return false
		}
		s.earlier = append(s.earlier, s.last.Incarnation)
		s.earlier = s.earlier[max(0, len(s.earlier)-maxEarlier):]
	}
	s.last, s.detachedAt = h, time.Time{}
	return true
}

// Detach records that a sidecar has no session from now on.
func (l *Log) Detach(name string, now time.Time) {
	if s, known := l.sidecars[name]; known {
		s.detachedAt = now
	}
}

// prune forgets the sidecars that have had no session for the retention.
func (l *Log) prune(now time.Time) {
	if now.Sub(l.prunedAt) < retention {
		return
	}
	l.prunedAt = now
	for name, s := range l.sidecars {
		if !s.detachedAt.IsZero() && now.Sub(s.detachedAt) > retention {
			delete(l.sidecars, name)
		}
	}
}
