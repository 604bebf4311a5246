package stopper_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/corianderhook/corianderhook/common/stopper"
)

func TestStopAndWaitCancelsTheContextAndWaits(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	s := stopper.New()
	ctx, cancel := s.Context(context.Background())
	defer cancel()
	over := false
	go func() {
		<-ctx.Done()
		over = true
		s.MarkStopped()
	}()
	s.StopAndWait()
	is.True(over)
	s.StopAndWait() // again
}

func TestParentCancelsTheContext(t *testing.T) {
	defer goleak.VerifyNone(t)
	parent, end := context.WithCancel(context.Background())
	ctx, cancel := stopper.New().Context(parent)
	defer cancel()
	end()
	<-ctx.Done()
}

func TestStopCanBeRequestedTwice(t *testing.T) {
	s := stopper.New()
	s.RequestStop()
	s.RequestStop()
	<-s.StopRequested()
}
