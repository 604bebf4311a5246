package timeout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	least = 20 * time.Millisecond
	most  = 160 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

// An other end that answers after 70 ms is waited for after a few calls, and one that
// is quick again is not waited for any longer.
func TestTimeoutFollowsResponseTimes(t *testing.T) {
	i := is.New(t)
	limit := New(least, most)
	missed := 0
	now := start
	for range 20 {
		began := now
		if waits := limit.Current(); waits < 70*time.Millisecond {
			now = now.Add(waits)
			limit.RecordTimeout(waits, began)
			missed++
			continue
		}
		now = now.Add(70 * time.Millisecond)
		limit.RecordResponse(70*time.Millisecond, now)
	}
	i.True(missed <= 4)
	for range 20 {
		limit.RecordResponse(time.Millisecond, now)
	}
	i.Equal(limit.Current(), least)
}

// Many calls that fail together raise the limit once.
func TestConcurrentTimeoutsRaiseTheLimitOnce(t *testing.T) {
	i := is.New(t)
	limit := New(least, most)
	for range 64 {
		limit.RecordTimeout(least, start)
	}
	i.Equal(limit.Current(), 2*least)
	for range 10 {
		limit.RecordTimeout(limit.Current(), start)
	}
	i.Equal(limit.Current(), most)
}

// Half of the answers are lost while the others come at once: the next tries must not
// wait for longer, since the room of a doubtful order is held meanwhile.
func TestLostResponsesAmongOthersDoNotRaiseTheLimit(t *testing.T) {
	i := is.New(t)
	limit := New(least, most)
	now := start
	for range 100 {
		began := now
		limit.RecordResponse(time.Millisecond, now.Add(time.Millisecond))
		now = now.Add(least)
		limit.RecordTimeout(least, began)
		i.Equal(limit.Current(), least)
	}
}
