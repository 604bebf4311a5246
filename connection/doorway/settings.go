package doorway

import (
	"math"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/connection/allotment"
	"github.com/corianderhook/corianderhook/version/config"
)

// assumedDescriptors is the number of descriptors if the operating system does not tell its limit.
const assumedDescriptors = 1024

// Allot returns the allotment of a process with the given settings.
func Allot(c *config.Config) allotment.Allotment {
	descriptors := c.Intake().Descriptors
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	return allotment.New(descriptors, c.Runtime().Memory, allotment.WithTimes(c.Intake().Stall, c.Intake().Whole))
}

func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		klog.ErrorS(err, "CH1232 limit of descriptors unknown", "assumed", assumedDescriptors)
		return assumedDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
