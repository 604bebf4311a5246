package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/connection/logclient"
	"github.com/corianderhook/corianderhook/lab/local"
	"github.com/corianderhook/corianderhook/version/publication"
)

const (
	// publishedChanges is the number of changes, one per publishInterval.
	publishedChanges = 150
	publishInterval  = 100 * time.Millisecond
	// changedFiles is the number of files that are changed in turn.
	changedFiles = 5
	// The log is down from change outageFrom until before change outageTo.
	outageFrom = 60
	outageTo   = 90
	// inForceTimeout is how long to wait for the last change to be in force.
	inForceTimeout = 20 * time.Second
)

// MeasurePropagation measures how long configuration changes take to be in force at
// every entry and agent, at ten changes per second. The log is "healthy", "slow" (each
// request is delayed by 100 ms) or "down" (for 3 s of the run).
func MeasurePropagation(ctx context.Context, logState string, settings Settings) (string, error) {
	l, err := local.Start(ctx, local.Settings{
		Entries: scaleEntries, Agents: floodAgents, Slots: floodSlots, Zones: zoneCount,
		Clock: settings.Clock, System: settings.System, Seed: settings.Seed,
	})
	if err != nil {
		return "", err
	}
	defer l.Stop()
	if logState == "slow" {
		l.Log().SetFaults(logclient.Faults{DelayMS: 100})
	}
	w := &watcher{local: l, clock: settings.Clock, fileVersions: map[string]uint64{}, lastVersions: map[string]uint64{}}
	watchCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.watch(watchCtx)
	}()
	refused := 0
	for i := range publishedChanges {
		if logState == "down" && i == outageFrom {
			l.Log().SetFaults(logclient.Faults{Down: true})
		}
		if logState == "down" && i == outageTo {
			l.Log().SetFaults(logclient.Faults{})
		}
		refused += w.publish(ctx, i)
		settings.Clock.Sleep(publishInterval)
	}
	for deadline := settings.Clock.Now().Add(inForceTimeout); !w.allInForce() && settings.Clock.Now().Before(deadline); {
		settings.Clock.Sleep(watchInterval)
	}
	stop()
	<-done
	return w.report(logState, refused), nil
}

// watchInterval is how often the versions in force are read.
const watchInterval = 20 * time.Millisecond

// watcher publishes changes and measures when each is in force at every process.
type watcher struct {
	local *local.Local
	clock clockwork.Clock
	mu    sync.Mutex
	// fileVersions holds the current version of each file. The watcher counts them itself,
	// as nothing else publishes.
	fileVersions map[string]uint64
	// accepted holds, per version, when the log acknowledged the change.
	accepted []time.Time
	// inForceAfter holds, per version, the seconds from accepted until the change was in
	// force at every process.
	inForceAfter []float64
	// lastVersions holds the last version seen at each process, by its name.
	lastVersions map[string]uint64
	// reverted counts how often a process went back to an older version.
	reverted int
}

// publish appends one change to the log and returns 1 if that failed.
func (w *watcher) publish(ctx context.Context, i int) int {
	file := fmt.Sprintf("7%d.ini", i%changedFiles)
	raw, err := json.Marshal(publication.Record{Change: &publication.Change{
		ID:     fmt.Sprint("bench-", i),
		File:   file,
		Base:   w.fileVersions[file],
		Author: "bench",
		Text:   fmt.Sprintf("[kind k%d]\nweight = %d\n", i%changedFiles, i+1),
	}})
	if err != nil {
		return 1
	}
	if _, err := logclient.New(w.local.LogAddress()).Append(ctx, publication.Stream, raw); err != nil {
		return 1
	}
	w.fileVersions[file]++
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, w.clock.Now())
	return 0
}

func (w *watcher) watch(ctx context.Context) {
	for ctx.Err() == nil {
		lowest := w.lowestVersion(ctx)
		w.mu.Lock()
		for len(w.inForceAfter) < int(lowest) && len(w.inForceAfter) < len(w.accepted) {
			w.inForceAfter = append(w.inForceAfter, w.clock.Since(w.accepted[len(w.inForceAfter)]).Seconds())
		}
		w.mu.Unlock()
		w.clock.Sleep(watchInterval)
	}
}

// lowestVersion returns the lowest version in force at any process.
func (w *watcher) lowestVersion(ctx context.Context) uint64 {
	lowest := uint64(publishedChanges)
	record := func(name string, version uint64) {
		if version < w.lastVersions[name] {
			w.reverted++
		}
		w.lastVersions[name] = version
		lowest = min(lowest, version)
	}
	for _, n := range w.local.Entries() {
		if s, err := n.Entry.Status(ctx); err == nil {
			record(n.Name, s.Config)
		}
	}
	for _, n := range w.local.Agents() {
		if s, err := n.Agent.Status(ctx); err == nil {
			record(n.Name, s.Config)
		}
	}
	return lowest
}

func (w *watcher) allInForce() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.inForceAfter) == len(w.accepted)
}

func (w *watcher) report(logState string, refused int) string {
	sort.Float64s(w.inForceAfter)
	return fmt.Sprintf("bench config: log=%s changes=%d in_force_p50_s=%.2f in_force_p99_s=%.2f reverted=%d refused=%d lost=%d",
		logState, len(w.accepted), Quantile(w.inForceAfter, 0.5), Quantile(w.inForceAfter, 0.99), w.reverted, refused, len(w.accepted)-len(w.inForceAfter))
}
