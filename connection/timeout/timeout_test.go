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

// An other end that answers after 70 ms is waited for after a few calls, and one that
// is quick again is not waited for any longer.
func TestLimitFollowsTheAnswers(t *testing.T) {
	i := is.New(t)
	limit := New(least, most)
	missed := 0
	for range 20 {
		if waits := limit.Current(); waits < 70*time.Millisecond {
			limit.Missed(waits)
			missed++
			continue
		}
		limit.Answered(70 * time.Millisecond)
	}
	i.True(missed <= 4)
	for range 20 {
		limit.Answered(time.Millisecond)
	}
	i.Equal(limit.Current(), least)
}

// Many calls that fail together raise the limit once.
func TestOneFailureCountsOnce(t *testing.T) {
	i := is.New(t)
	limit := New(least, most)
	for range 64 {
		limit.Missed(least)
	}
	i.Equal(limit.Current(), 2*least)
	for range 10 {
		limit.Missed(limit.Current())
	}
	i.Equal(limit.Current(), most)
}

// Single answers that are lost do not slow the others down for long.
func TestLostAnswerIsForgotten(t *testing.T) {
	i := is.New(t)
	limit := New(least, most)
	limit.Missed(least)
	limit.Answered(time.Millisecond)
	i.Equal(limit.Current(), least)
}
