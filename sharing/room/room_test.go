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
		taken.Observe(0, 10_000*10, now)
		taken.Observe(2, 5_000*10, now)
	}
	rates := taken.Millicores(now)
	i.Equal(len(rates), 3)
	i.True(rates[0] > 9_500 && rates[0] < 10_500)
	i.Equal(rates[1], uint32(0))
	i.Equal(len(taken.Millicores(now.Add(10*time.Second))), 0)
}

func TestOnlyTheMostUrgentWorkHoldsRoom(t *testing.T) {
	i := is.New(t)
	rates := []uint32{0, 700, 300}
	i.Equal(room.MostUrgent(rates, 0), uint32(0))
	i.Equal(room.MostUrgent(rates, 1), uint32(0))
	i.Equal(room.MostUrgent(rates, 2), uint32(700))
	i.Equal(room.MostUrgent(rates, 90), uint32(700))
	i.Equal(room.MostUrgent(nil, 2), uint32(0))
}

// Urgencies beyond the last level count as it.
func TestUrgenciesBeyondTheLastLevel(t *testing.T) {
	i := is.New(t)
	var taken room.Taken
	now := time.Unix(1_700_000_000, 0)
	taken.Observe(1000, 1e6, now)
	taken.Observe(-1, 1e6, now)
	rates := taken.Millicores(now)
	i.Equal(len(rates), room.Levels)
	i.True(rates[0] > 0 && rates[room.Levels-1] > 0)
}

func BenchmarkTaken(b *testing.B) {
	var taken room.Taken
	now := time.Unix(1_700_000_000, 0)
	for range b.N {
		now = now.Add(time.Millisecond)
		taken.Observe(0, 10_000, now)
		taken.Observe(2, 10_000, now)
		taken.Millicores(now)
	}
}
