package suspension

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSuspensionIsReportedOnce(t *testing.T) {
	i := is.New(t)
	ahead := time.Second
	d := &Detector{lead: func() time.Duration { return ahead }, last: ahead}
	i.Equal(d.SuspendedSinceLastCall(), time.Duration(0))
	ahead += 3 * time.Second
	i.Equal(d.SuspendedSinceLastCall(), 3*time.Second)
	i.Equal(d.SuspendedSinceLastCall(), time.Duration(0))
}

func TestRunningProcessIsNotSuspended(t *testing.T) {
	is.New(t).True(New().SuspendedSinceLastCall() < 100*time.Millisecond)
}
