package dispatcher

import (
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/wire"
)

// An address that is gone for good is forgotten by all, though each hears of it from
// another; one that comes back makes itself known.
func TestExpiredAddressIsNotLearnedFromPeers(t *testing.T) {
	i := is.New(t)
	clock := clockwork.NewFakeClock()
	d := New(Dependencies{Name: "d1", Address: "10.0.0.1:1", Clock: clock, System: actor.NewActorSystem(), Metrics: metrics.New()})
	others := &wire.Knowledge{Address: "10.0.0.2:1", Dispatchers: []string{"10.0.0.3:1"}}
	d.peers.hear(others)
	i.Equal(len(d.peers.addresses()), 3)
	clock.Advance(61 * time.Second)
	d.peers.missed("10.0.0.3:1")
	i.Equal(len(d.peers.addresses()), 2)
	d.peers.hear(others)
	i.Equal(len(d.peers.addresses()), 2)
	d.peers.hear(&wire.Knowledge{Address: "10.0.0.3:1"})
	i.Equal(len(d.peers.addresses()), 3)
}

// After a power loss dispatchers start in the same nanosecond. Sidecars tell their sessions
// and their tasks apart by the number of the run.
func TestIncarnationsOfSimultaneousStartsDiffer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	numbers := map[uint64]bool{}
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.1:2"} {
		d := New(Dependencies{Name: "d", Address: address, Clock: clock, System: actor.NewActorSystem(), Metrics: metrics.New()})
		numbers[d.incarnation] = true
	}
	is.New(t).Equal(len(numbers), 3)
}
