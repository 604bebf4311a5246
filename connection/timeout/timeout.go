// Package timeout decides how long a call waits for its answer, by how long the other
// end has taken lately. It answers an other end that is slow for a while: a fixed limit
// under its time sends every call again, each on a new connection, and makes it slower.
package timeout

import (
	"sync"
	"time"
)

const (
	// weight is the share of the newest time in the mean.
	weight = 0.25
	// margin times the mean is waited for.
	margin = 4
)

// Timeout follows the answers of one other end. It is safe for concurrent use.
type Timeout struct {
	least, most time.Duration
	mu          sync.Mutex
	mean        time.Duration
	current     time.Duration
	// answeredAt is when the last answer came.
	answeredAt time.Time
}

// New returns a limit that stays between two bounds and begins with the lower one.
func New(least, most time.Duration) *Timeout {
	return &Timeout{least: least, most: most, current: least}
}

// Current returns how long to wait for an answer now.
func (t *Timeout) Current() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Answered takes how long an answer took that has come now.
func (t *Timeout) RecordResponse(took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mean += time.Duration(weight * float64(took-t.mean))
	t.current = min(max(margin*t.mean, t.least), t.most)
	t.answeredAt = now
}

// Missed notes that a call got no answer within the limit that it began with. Where
// others were answered meanwhile its answer was lost, and the other end is no slower for
// it. Calls that began before the limit was raised do not raise it again.
func (t *Timeout) RecordTimeout(limit time.Duration, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit >= t.current && t.answeredAt.Before(began) {
		t.current = min(2*t.current, t.most)
	}
}
