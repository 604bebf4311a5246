package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/sharing/interference"
	"github.com/corianderhook/corianderhook/version/config"
	"github.com/corianderhook/corianderhook/wire"
)

// A dispatcher acts on estimates only if it is told to.
func TestEstimatesAreActedOnIfSwitchedOn(t *testing.T) {
	for _, on := range []bool{false, true} {
		t.Run(fmt.Sprint(on), func(t *testing.T) {
			i := is.New(t)
			clock := clockwork.NewFakeClock()
			d := New(Dependencies{Name: "d", Clock: clock, System: actor.NewActorSystem(), Metrics: metrics.New(), Sharing: config.Sharing{Neighbors: on}})
			a := newSchedulerActor(d)
			i.Equal(a.neighbors != nil, on)
			slowing := &wire.Slowing{Queue: interference.Hash("short"), Neighbor: interference.Hash("long"), LogPermille: 700, ErrorPermille: 50, Pairs: 40}
			for _, agent := range []string{"a1", "a2"} {
				a.scheduler.AttachAgent(agent, "zone", nil, &wire.SidecarFrame{Room: &wire.Room{}, Slowings: &wire.Slowings{List: []*wire.Slowing{slowing}}})
			}
			clock.Advance(2 * time.Second)
			a.scheduler.Tick()
			if on {
				i.Equal(a.neighbors.KeptCount(), 1)
			}
		})
	}
}
