package timeout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	minTimeout = 20 * time.Millisecond
	maxTimeout = 160 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

// The timeout reaches the response time of a server that takes 70 ms after a few calls, and
// returns to the minimum once the server is fast again.
func TestTimeoutFollowsResponseTimes(t *testing.T) {
	i := is.New(t)
	limit := New(minTimeout, maxTimeout)
	timeouts := 0
	now := start
	for range 20 {
		began := now
		if wait := limit.Current(); wait < 70*time.Millisecond {
			now = now.Add(wait)
			limit.RecordTimeout(wait, began)
			timeouts++
			continue
		}
		now = now.Add(70 * time.Millisecond)
		limit.RecordResponse(70*time.Millisecond, now)
	}
	i.True(timeouts <= 4)
	for range 20 {
		limit.RecordResponse(time.Millisecond, now)
	}
	i.Equal(limit.Current(), minTimeout)
}

// Concurrent calls that time out together double the timeout once.
func TestConcurrentTimeoutsRaiseTheLimitOnce(t *testing.T) {
	i := is.New(t)
	limit := New(minTimeout, maxTimeout)
	for range 64 {
		limit.RecordTimeout(minTimeout, start)
	}
	i.Equal(limit.Current(), 2*minTimeout)
	for range 10 {
		limit.RecordTimeout(limit.Current(), start)
	}
	i.Equal(limit.Current(), maxTimeout)
}

// Half of the responses are lost and the others arrive at once. The timeout must not rise,
// since the capacity of a task whose start is uncertain stays reserved until the retry.
func TestLostResponsesAmongOthersDoNotRaiseTheLimit(t *testing.T) {
	i := is.New(t)
	limit := New(minTimeout, maxTimeout)
	now := start
	for range 100 {
		began := now
		limit.RecordResponse(time.Millisecond, now.Add(time.Millisecond))
		now = now.Add(minTimeout)
		limit.RecordTimeout(minTimeout, began)
		i.Equal(limit.Current(), minTimeout)
	}
}
