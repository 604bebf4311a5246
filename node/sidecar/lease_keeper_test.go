package sidecar

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/process/lease"
	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/process/runner"
)

// scriptedEndpoint answers as the test says. It is safe for concurrent use.
type scriptedEndpoint struct {
	mu     sync.Mutex
	list   func(at Target, leaseEnd time.Time) (ListResult, error)
	starts []Target
}

func (e *scriptedEndpoint) setList(list func(at Target, leaseEnd time.Time) (ListResult, error)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = list
}

func (e *scriptedEndpoint) Start(_ context.Context, at Target, _ runner.Order, _ time.Time) (runner.Result, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts = append(e.starts, at)
	return runner.Doubtful, "no answer"
}

func (e *scriptedEndpoint) Stop(context.Context, Target, runner.RunName) bool { return false }

func (e *scriptedEndpoint) List(_ context.Context, at Target, _ uint64, _ time.Duration, leaseEnd time.Time) (ListResult, error) {
	e.mu.Lock()
	list := e.list
	e.mu.Unlock()
	return list(at, leaseEnd)
}

// newKeeper returns the lease keeper of a sidecar that is not running, beside an endpoint.
func newKeeper(clock clockwork.Clock, e Endpoint) *leaseKeeper {
	return New(Dependencies{Name: "s", Sessions: 2, Endpoint: e, Clock: clock, System: actor.NewActorSystem(), Metrics: metrics.New()}).keeper
}

// Guards against a second run of a task beside a restarted sidecar: its endpoint does not answer,
// and an order of the earlier sidecar is carried out after the sessions have been opened.
func TestSilentEndpointIsNoEmptyOne(t *testing.T) {
	i := is.New(t)
	clock := clockwork.NewFakeClock()
	e := &scriptedEndpoint{}
	e.setList(func(Target, time.Time) (ListResult, error) { return ListResult{}, context.DeadlineExceeded })
	k := newKeeper(clock, e)
	go k.run(t.Context())
	isEmpty := func() bool {
		select {
		case <-k.endpointEmpty:
			return true
		default:
			return false
		}
	}
	poll := func() {
		i.NoErr(clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(listRetryInterval)
		i.NoErr(clock.BlockUntilContext(t.Context(), 1))
	}
	for range 10 * lease.LapseTime() / listRetryInterval {
		poll()
		i.True(!isEmpty())
	}
	// Nothing listens there, and every lease from before has lapsed.
	e.setList(func(Target, time.Time) (ListResult, error) {
		return ListResult{}, errors.Wrap(syscall.ECONNREFUSED, "endpoint")
	})
	poll()
	i.True(isEmpty())
}
