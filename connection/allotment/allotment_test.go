package allotment

import (
	"testing"

	"github.com/matryer/is"
)

// The listeners of a process together leave descriptors for files, the store and outgoing
// connections, also on a VM with few.
func TestListenersLeaveDescriptors(t *testing.T) {
	i := is.New(t)
	for _, descriptors := range []int{256, 512, 1024, 3075, 4100, 20_000} {
		a := New(descriptors, 1<<20)
		listeners := a.Callers().Connections() + a.Processes().Connections() + 2*a.Probes().Connections()
		i.True(descriptors-listeners >= 64 || descriptors < 512)
		i.True(listeners < descriptors)
		i.True(a.Probes().Connections() >= minProbes)
	}
}

func TestMemoryBoundsConnections(t *testing.T) {
	i := is.New(t)
	i.Equal(New(1<<30, 144).Callers().Connections(), 144<<20/2/connectionBytes)
	// The smallest dispatcher VM takes a burst of as many callers as its descriptors allow.
	i.True(New(3075, 144).Callers().Connections() >= 1900)
}
