package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/corianderhook/corianderhook/common/cputime"
	"github.com/corianderhook/corianderhook/lab/local"
	"github.com/corianderhook/corianderhook/version/config"
)

const (
	scaleEntries = 3
	scaleSlots   = 8
	// measureTime is how long idle control traffic is measured.
	measureTime = 8 * time.Second
)

// ScaleSizes returns the numbers of agents to pass to MeasureScale.
func ScaleSizes() []int { return []int{8, 32, 96, 192} }

// MeasureScale measures processor time, memory and bytes of the idle control traffic
// between three entries and a number of agents. All run in one process, so processor
// time and memory are divided: the entries get one half and the agents the other, as
// the cost grows with the sessions and both ends of a session do the same work.
func MeasureScale(ctx context.Context, agents int, settings Settings) (string, error) {
	l, err := local.Start(ctx, local.Settings{
		Entries:     scaleEntries,
		Agents:      agents,
		Slots:       scaleSlots,
		Zones:       zoneCount,
		ExtraConfig: []config.File{{Name: "50-bench.ini", Text: baseConfig}},
		Clock:       settings.Clock,
		System:      settings.System,
		Seed:        settings.Seed,
	})
	if err != nil {
		return "", err
	}
	defer l.Stop()
	settings.Clock.Sleep(startupTime)
	cpu, bytes := cputime.Used(), trafficBytes(l)
	settings.Clock.Sleep(measureTime)
	usedCPU := cputime.Used() - cpu
	usedBytes := trafficBytes(l) - bytes
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	seconds := measureTime.Seconds()
	sessions := float64(scaleEntries * agents)
	percent := usedCPU.Seconds() / seconds * 100
	return fmt.Sprintf("bench scale: agents=%d sessions=%.0f entry_cpu_pct=%.2f entry_mb=%.1f entry_kbps=%.2f agent_cpu_pct=%.3f agent_mb=%.2f agent_kbps=%.2f",
		agents, sessions,
		percent/2/scaleEntries, megabytes(memory.HeapInuse+memory.StackInuse)/2/scaleEntries, float64(usedBytes)/1000/seconds/scaleEntries,
		percent/2/float64(agents), megabytes(memory.HeapInuse+memory.StackInuse)/2/float64(agents), float64(usedBytes)/1000/seconds/float64(agents)), nil
}

func megabytes(bytes uint64) float64 { return float64(bytes) / 1e6 }

// trafficBytes returns the bytes sent and received on all connections to the entries'
// listeners for other processes.
func trafficBytes(l *local.Local) int64 {
	var total int64
	for _, n := range l.Entries() {
		total += n.ProcessListener.BytesTransferred()
	}
	return total
}
