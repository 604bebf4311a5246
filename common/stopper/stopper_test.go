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
	stopped := false
	go func() {
		<-ctx.Done()
		stopped = true
		s.MarkStopped()
	}()
	s.StopAndWait()
	is.True(stopped)
	s.StopAndWait() // returns at once
}

func TestParentCancelsTheContext(t *testing.T) {
	defer goleak.VerifyNone(t)
	parent, cancelParent := context.WithCancel(context.Background())
	ctx, cancel := stopper.New().Context(parent)
	defer cancel()
	cancelParent()
	<-ctx.Done()
}

func TestStopCanBeRequestedTwice(t *testing.T) {
	s := stopper.New()
	s.RequestStop()
	s.RequestStop()
	<-s.StopRequested()
}
