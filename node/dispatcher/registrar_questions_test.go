package dispatcher

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// This process stood still beyond the end of the wait, and has yet to read the answer.
func TestOwnStandstillIsNotTheRegistrarsSilence(t *testing.T) {
	for name, test := range map[string]struct {
		advance  time.Duration
		answered bool
	}{
		"on time": {advance: registrarTimeout, answered: false},
		"late":    {advance: 300 * time.Millisecond, answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			clock := clockwork.NewFakeClock()
			h := &holders{dispatcher: &Dispatcher{deps: Dependencies{Clock: clock}}}
			answers, answered := make(chan registrarAnswer, 1), make(chan bool, 1)
			go func() {
				_, ok := h.awaitAnswer(t.Context(), answers)
				answered <- ok
			}()
			i.NoErr(clock.BlockUntilContext(t.Context(), 1))
			clock.Advance(test.advance)
			if test.answered {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				i.NoErr(clock.BlockUntilContext(ctx, 1))
				answers <- registrarAnswer{}
			}
			i.Equal(<-answered, test.answered)
		})
	}
}

// The queue to a registrar is full: it is passed over, and its silence refuses nothing.
func TestFullQueueOfClaimsPassesItsRegistrarOver(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 2)
	other := s.list[1].deps.Address
	l := newHolderLink(s.list[0], other)
	answers := make(chan registrarAnswer, maxQueuedClaims+1)
	for range maxQueuedClaims + 1 {
		l.claim(pendingClaim{job: canceledJob, hold: holdBudget, answers: answers})
	}
	a := <-answers
	i.True(a.failed && a.gone)
	i.True(!slices.Contains(s.list[0].holders.directory.Choose(canceledJob, time.Now()).Registrars, other))
}
