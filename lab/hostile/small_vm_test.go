package hostile

import (
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderhook/corianderhook/platform/standin/caller"
)

// The smallest VMs of any deployment, and a crowd that takes most connections of the dispatcher.
const (
	smallDispatcherMiB = 144
	smallSidecarMiB    = 128
	smallDescriptors   = 3075
	largeCrowd         = 1500
)

func TestSmallestVMsOutliveALargeCrowd(t *testing.T) {
	s := startPlatformOn(t, smallDescriptors, smallDispatcherMiB, smallSidecarMiB)
	kinds := callerClients()
	small := caller.Job{Tasks: 1, RunTime: 20 * time.Millisecond, CPU: 100}.Body()
	kinds["jobs whose answers are not read"] = unreadClient(func() []byte { return wholeBody(jobTarget(), small) })
	kinds["jobs of many tasks"] = wholeJobs(caller.ManyTasks(manyTasks, 0))
	var turn atomic.Uint64
	names := slices.Sorted(maps.Keys(kinds))
	everything := func(write func([]byte) bool) { kinds[names[turn.Add(1)%uint64(len(names))]](write) }
	for kind, c := range kinds {
		t.Run(kind, func(t *testing.T) {
			attack(t, s.addresses["callers"], largeCrowd, c)
			s.checkAfterwards(t, "callers", probe{})
		})
	}
	t.Run("everything at once, again and again", func(t *testing.T) {
		attackAgain(t, s.addresses["callers"], largeCrowd, everything)
		s.checkAfterwards(t, "callers", probe{})
	})
}
