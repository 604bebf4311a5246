// Package soak runs the real programs as separate processes on loopback, harms them
// from outside, and checks the promises from what callers and endpoints see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/common/pause"
)

const (
	// contact is how long a process must have been unharmed for a promise with a time
	// bound to hold for it, by the platform's sheets.
	contact = 3 * time.Second
	// recovery bounds the time from the end of all faults until work flows again, by the
	// platform's sheets.
	recovery = 12 * time.Second
	// calmTime is how long the system is watched in calm at the end.
	calmTime = 3 * time.Second
	// calmShare of the jobs must be completed in calm.
	calmShare = 0.95
	// grace is how long a planned stop may take, by the platform's sheets.
	grace = 6 * time.Second
	// emptyTime is how long after the last answer something may still run.
	emptyTime = 3 * time.Second
	// pollEvery is the time between two looks at the promises.
	pollEvery = 100 * time.Millisecond
)

// Settings are what a run consists of.
type Settings struct {
	// Binary is the program under test.
	Binary string
	// Dir takes settings files and the processes' output.
	Dir  string
	Seed uint64
	// Net is the second number of the loopback addresses: one for each run at a time.
	Network     int
	Dispatchers int
	Sidecars    int
	// Length is for how long faults come.
	DisruptionTime time.Duration
	// JobsPerS is the load of all callers together.
	JobsPerSecond float64
	// Planned has only planned stops and changes come; then no request may be cut.
	PlannedOnly bool
	Clock       clockwork.Clock
}

// Report is what a run has shown.
type Report struct {
	Seed      uint64
	Jobs      int
	Completed int
	Refused   int
	Failed    int
	Unknown   int
	Starts    int
	// Recovered is the time from the end of the faults until work flowed again.
	RecoveryTime time.Duration
	Disruptions  []string
	// Broken lists promises that were not kept.
	Violations []string
}

// String is one line.
func (r Report) String() string {
	return fmt.Sprintf("seed=%d jobs=%d completed=%d refused=%d failed=%d unknown=%d starts=%d strikes=%d recovered_s=%.1f broken=%d",
		r.Seed, r.Jobs, r.Completed, r.Refused, r.Failed, r.Unknown, r.Starts, len(r.Disruptions), r.RecoveryTime.Seconds(), len(r.Violations))
}

// Run plays one run. An error means that it could not be played.
func Run(ctx context.Context, s Settings) (Report, error) {
	w := newWorld(s)
	defer w.close()
	if err := w.start(ctx); err != nil {
		return Report{}, err
	}
	report := Report{Seed: s.Seed}
	watching, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { w.probe(watching) })
	l := newLoad(w)
	watchers.Go(func() { l.run(watching) })
	report.Disruptions = w.disturb(ctx, rand.New(rand.NewPCG(s.Seed, 2)))
	report.RecoveryTime = l.recover(ctx)
	if report.RecoveryTime > recovery {
		w.breaks("work does not flow %s after the end of all faults", recovery)
	}
	l.calm(ctx)
	stopWatching()
	watchers.Wait()
	l.judge(&report)
	w.wind(ctx)
	report.Starts = w.record.Starts()
	report.Violations = w.broken()
	return report, nil
}

// wind stops everything as planned.
func (w *world) wind(ctx context.Context) {
	until := w.clock.Now().Add(emptyTime)
	for w.record.Running() > 0 && w.clock.Now().Before(until) {
		w.pause(ctx, pollEvery)
	}
	if n := w.record.Running(); n > 0 {
		w.breaks("%d tasks run on %s after the last answer", n, emptyTime)
	}
	var group sync.WaitGroup
	for _, p := range w.programs() {
		group.Go(func() {
			if !p.Stop(grace) {
				w.breaks("%s does not stop within %s", p.Name(), grace)
			}
		})
	}
	group.Wait()
}

func (w *world) pause(ctx context.Context, d time.Duration) { pause.For(ctx, w.clock, d) }

// breaks notes a promise that was not kept.
func (w *world) breaks(format string, details ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf("%.1f s: ", w.clock.Since(w.began).Seconds())+fmt.Sprintf(format, details...))
}

// broken lists what was not kept, by callers, endpoints and processes.
func (w *world) broken() []string {
	w.mu.Lock()
	all := append([]string(nil), w.faults...)
	w.mu.Unlock()
	all = append(all, w.record.Violations()...)
	for _, p := range w.programs() {
		all = append(all, p.UnexpectedExits()...)
	}
	return append(all, w.crashes()...)
}

// crashMarks are what a Go program prints as it crashes, or the race detector.
func crashMarks() []string { return []string{"panic:", "fatal error:", "DATA RACE"} }

func crashed(text string) bool {
	for _, word := range crashMarks() {
		if strings.Contains(text, word) {
			return true
		}
	}
	return false
}
