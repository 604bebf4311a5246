package suspension

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSuspensionIsReportedOnce(t *testing.T) {
	i := is.New(t)
	clockLead := time.Second
	d := &Detector{bootClockLead: func() time.Duration { return clockLead }, lastLead: clockLead}
	i.Equal(d.SuspendedSinceLastCall(), time.Duration(0))
	clockLead += 3 * time.Second
	i.Equal(d.SuspendedSinceLastCall(), 3*time.Second)
	i.Equal(d.SuspendedSinceLastCall(), time.Duration(0))
}

func TestRunningProcessIsNotSuspended(t *testing.T) {
	is.New(t).True(New().SuspendedSinceLastCall() < 100*time.Millisecond)
}
