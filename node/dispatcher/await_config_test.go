package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/metrics"
)

// newIdle returns a dispatcher that is not run, with a clock of its own.
func newIdle() (*Dispatcher, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Dependencies{Name: "d1", Address: "127.0.0.1:1", Clock: clock, System: actor.NewActorSystem(), Decode: decode, Metrics: metrics.New()}), clock
}

// Callers who come back as soon as the process listens wait for the configuration, which is there
// within a few ms.
func TestFirstRequestsWaitForTheConfiguration(t *testing.T) {
	i := is.New(t)
	d, clock := newIdle()
	known := make(chan bool, 20)
	for range cap(known) {
		go func() { known <- d.AwaitCatalog(t.Context()) != nil }()
	}
	i.NoErr(clock.BlockUntilContext(t.Context(), cap(known)))
	i.Equal(len(known), 0)
	adopt(t, d, 3)
	for range cap(known) {
		i.True(<-known)
	}
}

// Without a configuration callers are refused while they can still try elsewhere, and those who come
// later at once.
func TestRequestsWaitForTheConfigurationOnlyAtTheStart(t *testing.T) {
	i := is.New(t)
	d, clock := newIdle()
	known := make(chan bool, 1)
	go func() { known <- d.AwaitCatalog(t.Context()) != nil }()
	i.NoErr(clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(configWait)
	i.True(!<-known)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	i.True(d.AwaitCatalog(ctx) == nil)
	i.NoErr(ctx.Err())
}
