package suspension

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSuspensionIsSeenOnce(t *testing.T) {
	i := is.New(t)
	ahead := time.Second
	d := &Detector{lead: func() time.Duration { return ahead }, last: ahead}
	i.Equal(d.Since(), time.Duration(0))
	ahead += 3 * time.Second
	i.Equal(d.Since(), 3*time.Second)
	i.Equal(d.Since(), time.Duration(0))
}

func TestRunningProcessIsNotSuspended(t *testing.T) {
	is.New(t).True(New().Since() < 100*time.Millisecond)
}
