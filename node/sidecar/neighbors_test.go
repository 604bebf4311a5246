package sidecar

import (
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/version/config"
	"github.com/corianderhook/corianderhook/wire"
)

// Each session gets each revision of the estimates once, in whichever frame goes next. A sidecar
// that nobody has asked for them sends none.
func TestEstimatesAreSentOnceASession(t *testing.T) {
	i := is.New(t)
	clock := clockwork.NewFakeClock()
	a := newRunnerActor(New(Dependencies{Name: "s", Clock: clock, System: actor.NewActorSystem(), Metrics: metrics.New(), Sharing: config.Sharing{Neighbors: true}}))
	var first, second uint64
	i.True(a.neighbors.newSince(&first) == nil)
	a.compareNeighbors()
	i.True(a.neighbors.newSince(&first) != nil)
	i.True(a.neighbors.newSince(&first) == nil)
	i.True(a.neighbors.newSince(&second) != nil)
	clock.Advance(time.Minute)
	a.compareNeighbors()
	i.True(a.neighbors.newSince(&first) != nil)

	off, sessions := newActor(clock)
	off.compareNeighbors()
	off.sendFrame(sessions[1], &wire.SidecarFrame{})
	for _, f := range sentFrames(t, sessions[1]) {
		i.True(f.GetSlowings() == nil)
	}
}

// Frames that are sent as one keep the estimates of the earlier one.
func TestMergedFramesKeepTheEstimates(t *testing.T) {
	i := is.New(t)
	all := &wire.Slowings{List: []*wire.Slowing{{Queue: 1}}}
	a, sessions := newActor(clockwork.NewFakeClock())
	out := &capturedStream{}
	i.NoErr(sessions[1].send(a.sidecar, out, []proto.Message{&wire.SidecarFrame{Slowings: all}, &wire.SidecarFrame{}}))
	i.Equal(out.frames[0].GetSlowings(), all)
}
