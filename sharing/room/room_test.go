package room_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/sharing/room"
)

// Urgent work takes ten of the cores for some seconds; when it stops, what it took fades within
// seconds and holds nothing back any more.
func TestTakenRoomFadesWhenWorkStops(t *testing.T) {
	i := is.New(t)
	var taken room.Taken
	now := time.Unix(1_700_000_000, 0)
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		taken.Observe(0, 10_000, 10*time.Millisecond, now)
		taken.Observe(2, 5_000, 10*time.Millisecond, now)
	}
	rates := taken.Millicores(now)
	i.Equal(len(rates), 3)
	i.True(rates[0] > 9_500 && rates[0] < 10_500)
	i.Equal(rates[1], uint32(0))
	i.Equal(len(taken.Millicores(now.Add(10*time.Second))), 0)
}

func TestOnlyTheMostUrgentWorkHoldsRoom(t *testing.T) {
	i := is.New(t)
	for urgency, want := range map[int]int{2: 1, 90: 1} {
		mostUrgent, found := room.MostUrgent([]uint32{0, 700, 300}, urgency)
		i.True(found)
		i.Equal(mostUrgent, want)
	}
	for _, urgency := range []int{0, 1} {
		_, found := room.MostUrgent([]uint32{0, 700, 300}, urgency)
		i.True(!found)
	}
	_, found := room.MostUrgent(nil, 2)
	i.True(!found)
}

// A task of ten seconds takes its core, not those of ten tasks.
func TestLongTaskCountsAsItsCores(t *testing.T) {
	i := is.New(t)
	var taken room.Taken
	now := time.Unix(1_700_000_000, 0)
	taken.Observe(0, 1000, 10*time.Second, now)
	i.Equal(taken.Millicores(now), []uint32{1000})
}

// Urgencies beyond the last level count as it.
func TestUrgenciesBeyondTheLastLevel(t *testing.T) {
	i := is.New(t)
	var taken room.Taken
	now := time.Unix(1_700_000_000, 0)
	taken.Observe(1000, 2_000, 500*time.Millisecond, now)
	taken.Observe(-1, 2_000, 500*time.Millisecond, now)
	rates := taken.Millicores(now)
	i.Equal(len(rates), room.Levels)
	i.True(rates[0] > 0 && rates[room.Levels-1] > 0)
}

func BenchmarkTaken(b *testing.B) {
	var taken room.Taken
	now := time.Unix(1_700_000_000, 0)
	for range b.N {
		now = now.Add(time.Millisecond)
		taken.Observe(0, 10_000, time.Millisecond, now)
		taken.Observe(2, 10_000, time.Millisecond, now)
		taken.Millicores(now)
	}
}
