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
	// publishChanges are sent publishEvery apart: ten a second.
	publishChanges = 150
	publishEvery   = 100 * time.Millisecond
	// publishFiles is how many files the changes go to in turn.
	publishFiles = 5
	// outageFrom and outageTo are the changes between which the log is down.
	outageFrom = 60
	outageTo   = 90
	// inForceTime bounds the wait for the last change.
	inForceTime = 20 * time.Second
)

// Publish measures how long changes take to be in force at every entry and
// agent: ten changes a second, with the log healthy, slow by 100 ms, or down for
// 3 s in the middle.
func MeasurePropagation(ctx context.Context, weather string, set Settings) (string, error) {
	l, err := local.Start(ctx, local.Settings{
		Entries: scaleEntries, Agents: floodAgents, Slots: floodSlots, Zones: zones,
		Clock: set.Clock, System: set.System, Seed: set.Seed,
	})
	if err != nil {
		return "", err
	}
	defer l.Stop()
	if weather == "slow" {
		l.Log().SetFaults(logclient.Faults{DelayMS: 100})
	}
	w := &watcher{local: l, clock: set.Clock, bases: map[string]uint64{}, held: map[string]uint64{}}
	watchCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.watch(watchCtx)
	}()
	lost := 0
	for i := range publishChanges {
		if weather == "down" && i == outageFrom {
			l.Log().SetFaults(logclient.Faults{Down: true})
		}
		if weather == "down" && i == outageTo {
			l.Log().SetFaults(logclient.Faults{})
		}
		lost += w.publish(ctx, i)
		set.Clock.Sleep(publishEvery)
	}
	for deadline := set.Clock.Now().Add(inForceTime); !w.settled() && set.Clock.Now().Before(deadline); {
		set.Clock.Sleep(watchEvery)
	}
	stop()
	<-done
	return w.report(weather, lost), nil
}

// watchEvery is the time between two looks at the versions in force.
const watchEvery = 20 * time.Millisecond

// watcher publishes changes and follows when each is in force everywhere.
type watcher struct {
	local *local.Local
	clock clockwork.Clock
	mu    sync.Mutex
	// bases are the versions of the files; no one else publishes.
	bases map[string]uint64
	// accepted is when the log answered, per version.
	accepted []time.Time
	inForce  []float64
	// held is the last version seen at each process.
	held     map[string]uint64
	reverted int
}

// publish sends one change; it returns 1 where the log did not take it.
func (w *watcher) publish(ctx context.Context, i int) int {
	file := fmt.Sprintf("7%d.ini", i%publishFiles)
	raw, err := json.Marshal(publication.Record{Change: &publication.Change{
		ID:     fmt.Sprint("bench-", i),
		File:   file,
		Base:   w.bases[file],
		Author: "bench",
		Text:   fmt.Sprintf("[kind k%d]\nweight = %d\n", i%publishFiles, i+1),
	}})
	if err != nil {
		return 1
	}
	if _, err := logclient.New(w.local.LogAddress()).Append(ctx, publication.Stream, raw); err != nil {
		return 1
	}
	w.bases[file]++
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, w.clock.Now())
	return 0
}

func (w *watcher) watch(ctx context.Context) {
	for ctx.Err() == nil {
		lowest := w.lowest(ctx)
		w.mu.Lock()
		for len(w.inForce) < int(lowest) && len(w.inForce) < len(w.accepted) {
			w.inForce = append(w.inForce, w.clock.Since(w.accepted[len(w.inForce)]).Seconds())
		}
		w.mu.Unlock()
		w.clock.Sleep(watchEvery)
	}
}

// lowest returns the lowest version in force at any process.
func (w *watcher) lowest(ctx context.Context) uint64 {
	lowest := uint64(publishChanges)
	note := func(name string, version uint64) {
		if version < w.held[name] {
			w.reverted++
		}
		w.held[name] = version
		lowest = min(lowest, version)
	}
	for _, n := range w.local.Entries() {
		if s, err := n.Entry.Status(ctx); err == nil {
			note(n.Name, s.Config)
		}
	}
	for _, n := range w.local.Agents() {
		if s, err := n.Agent.Status(ctx); err == nil {
			note(n.Name, s.Config)
		}
	}
	return lowest
}

func (w *watcher) settled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.inForce) == len(w.accepted)
}

func (w *watcher) report(weather string, refused int) string {
	sort.Float64s(w.inForce)
	return fmt.Sprintf("bench config: log=%s changes=%d in_force_p50_s=%.2f in_force_p99_s=%.2f reverted=%d refused=%d lost=%d",
		weather, len(w.accepted), Quantile(w.inForce, 0.5), Quantile(w.inForce, 0.99), w.reverted, refused, len(w.accepted)-len(w.inForce))
}
