package bench

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/corianderhook/corianderhook/lab/local"
	"github.com/corianderhook/corianderhook/version/config"
)

const (
	scaleEntries = 3
	scaleSlots   = 8
	// scaleTime is how long idle control traffic is measured.
	scaleTime = 8 * time.Second
)

// ScaleSizes returns the numbers of agents at which Scale is measured.
func ScaleSizes() []int { return []int{8, 32, 96, 192} }

// Scale measures processor time, memory and bytes of the idle control traffic
// between three entries and some agents. All run in one process, so processor
// time and memory are shared out: an entry's part is what grows per session at
// one end, and both ends of a session do the same work.
func MeasureScale(ctx context.Context, agents int, set Settings) (string, error) {
	l, err := local.Start(ctx, local.Settings{
		Entries:     scaleEntries,
		Agents:      agents,
		Slots:       scaleSlots,
		Zones:       zones,
		ExtraConfig: []config.File{{Name: "50-bench.ini", Text: kinds}},
		Clock:       set.Clock,
		System:      set.System,
		Seed:        set.Seed,
	})
	if err != nil {
		return "", err
	}
	defer l.Stop()
	set.Clock.Sleep(settleTime)
	cpu, bytes := processorTime(), carried(l)
	set.Clock.Sleep(scaleTime)
	usedCPU := processorTime() - cpu
	usedBytes := carried(l) - bytes
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	seconds := scaleTime.Seconds()
	sessions := float64(scaleEntries * agents)
	percent := usedCPU.Seconds() / seconds * 100
	return fmt.Sprintf("bench scale: agents=%d sessions=%.0f entry_cpu_pct=%.2f entry_mb=%.1f entry_kbps=%.2f agent_cpu_pct=%.3f agent_mb=%.2f agent_kbps=%.2f",
		agents, sessions,
		percent/2/scaleEntries, megabytes(memory.HeapInuse+memory.StackInuse)/2/scaleEntries, float64(usedBytes)/1000/seconds/scaleEntries,
		percent/2/float64(agents), megabytes(memory.HeapInuse+memory.StackInuse)/2/float64(agents), float64(usedBytes)/1000/seconds/float64(agents)), nil
}

func megabytes(bytes uint64) float64 { return float64(bytes) / 1e6 }

// carried returns the bytes on all connections to the entries' process listeners.
func carried(l *local.Local) int64 {
	var total int64
	for _, n := range l.Entries() {
		total += n.ProcessListener.BytesTransferred()
	}
	return total
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// The call cannot fail for the process itself.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
