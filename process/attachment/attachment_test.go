package attachment_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/attachment"
)

func TestDelayedHellosAreNotAccepted(t *testing.T) {
	i := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	l := attachment.New()
	for _, step := range []struct {
		incarnation, stamp uint64
		accepted           bool
	}{
		{incarnation: 1, stamp: 10, accepted: true},
		{incarnation: 1, stamp: 30, accepted: true},
		{incarnation: 1, stamp: 20, accepted: false},
		{incarnation: 1, stamp: 40, accepted: true},
		// The clock of the next process starts anew.
		{incarnation: 2, stamp: 5, accepted: true},
		{incarnation: 1, stamp: 50, accepted: false},
		{incarnation: 2, stamp: 6, accepted: true},
	} {
		i.Equal(l.Accept("s", attachment.Hello{Incarnation: step.incarnation, Stamp: step.stamp}, now), step.accepted)
	}
	i.True(l.Accept("other", attachment.Hello{Incarnation: 1, Stamp: 1}, now))
}

func TestSidecarsAreForgotten(t *testing.T) {
	i := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	l := attachment.New()
	i.True(l.Accept("gone", attachment.Hello{Incarnation: 1, Stamp: 9}, now))
	i.True(l.Accept("here", attachment.Hello{Incarnation: 1, Stamp: 9}, now))
	l.Detach("gone", now)
	now = now.Add(2 * time.Minute)
	i.True(l.Accept("new", attachment.Hello{Incarnation: 1, Stamp: 9}, now))
	i.True(l.Accept("gone", attachment.Hello{Incarnation: 1, Stamp: 8}, now))
	i.True(!l.Accept("here", attachment.Hello{Incarnation: 1, Stamp: 8}, now))
}
