package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/wire"
)

// A dispatcher without memory has the share of the most urgent work with the first reports. An agent
// that has become silent does not count, nor one that is too old to tell.
func TestReservedRoomComesFromFreshReports(t *testing.T) {
	i := is.New(t)
	f := newFleet(3)
	i.Equal(f.Reserved("checks", 2, now()), 0.0)
	free := &wire.Size{Cpu: 8000, Memory: 1000}
	f.UpdateRoom("agent-00", &wire.Room{Free: free, Taken: []uint32{24000, 4000}}, 0)
	i.Equal(f.Reserved("checks", 2, now()), 0.25)
	i.Equal(f.Reserved("checks", 0, now()), 0.0)
	// The most urgent work at one endpoint is not that of all.
	f.UpdateRoom("agent-01", &wire.Room{Free: free, Taken: []uint32{0, 8000}}, 0)
	i.Equal(f.Reserved("checks", 2, now()), 0.25)
	i.Equal(f.Reserved("checks", 1, now()), 0.25)
	f.UpdateRoom("agent-01", &wire.Room{Free: free}, 0)
	i.Equal(f.Reserved("other", 2, now()), 0.0)
	// A slow endpoint takes no more than its room.
	f.UpdateRoom("agent-00", &wire.Room{Free: free, Taken: []uint32{24000, 4000}, SlownessPercent: 900}, 0)
	i.True(f.Reserved("checks", 2, now()) < 0.34)
	f.UpdateRoom("agent-00", &wire.Room{Free: free, Taken: []uint32{24000, 4000}}, 0)
	later := now().Add(400 * time.Millisecond)
	f.RecordContact("agent-01", later)
	i.Equal(f.Reserved("checks", 2, later), 0.0)
}
