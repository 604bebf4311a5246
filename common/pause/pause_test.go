package pause

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

func TestPauseEndsWithDurationOrContext(t *testing.T) {
	i := is.New(t)
	clock := clockwork.NewFakeClock()
	done := make(chan bool, 1)
	go func() { done <- For(t.Context(), clock, time.Second) }()
	i.NoErr(clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	i.True(<-done)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	i.True(!For(ctx, clock, time.Second))
}
