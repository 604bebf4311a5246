package intake

import "time"

const (
	// growth is how many bytes of memory a byte of a body takes while the body is received: a
	// buffer that grows is copied into a larger one.
	growth = 2
	// servedShare times the bytes of requests that are being received is what those that are being
	// served may keep.
	servedShare = 2
)

// Limits bound what an intake holds.
type Limits struct {
	connections  int
	bytes        int64
	stall, whole time.Duration
}

// NewLimits returns limits of a number of connections and of the bytes of their requests. A
// request may make no progress for the time stall, and take the time whole; a stall of 0 leaves
// both open.
func NewLimits(connections int, bytes int64, stall, whole time.Duration) Limits {
	return Limits{connections: connections, bytes: bytes, stall: stall, whole: whole}
}

// Connections returns the number of connections.
func (l Limits) Connections() int { return l.connections }

// served returns how many bytes the requests that are being served may keep.
func (l Limits) served() int64 { return servedShare * l.bytes }
