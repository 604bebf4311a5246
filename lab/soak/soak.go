// Package soak runs the real programs as separate processes on loopback, disrupts them
// from outside, and checks the system's guarantees by what callers and endpoints see.
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
	// undisturbedTime is how long a process must have been undisturbed for guarantees with a
	// time limit to hold for it, according to the platform's documentation.
	undisturbedTime = 3 * time.Second
	// maxRecoveryTime limits the time from the end of all disruptions until jobs are
	// completed again, according to the platform's documentation.
	maxRecoveryTime = 12 * time.Second
	// quietTime is how long load runs without disruptions at the end.
	quietTime = 3 * time.Second
	// minQuietCompletedShare of the jobs sent in that time must be completed at the first
	// attempt.
	minQuietCompletedShare = 0.95
	// stopTimeout limits a planned stop, according to the platform's documentation.
	stopTimeout = 6 * time.Second
	// lastRunsTimeout is how long after the last answer tasks may still run.
	lastRunsTimeout = 3 * time.Second
	// pollInterval is the time between two checks of a condition that is waited for.
	pollInterval = 100 * time.Millisecond
)

// Settings configure a run.
type Settings struct {
	// Binary is the program under test.
	Binary string
	// PreviousBinary is the program that runs at first, if it is set: all processes are
	// upgraded in turn during the disruptions.
	PreviousBinary string
	// Dir is where settings files and the processes' output are written.
	Dir  string
	Seed uint64
	// Network is the second byte of the loopback addresses. Concurrent runs need
	// different ones.
	Network     int
	Dispatchers int
	Sidecars    int
	// DisruptionTime is the period in which disruptions are scheduled. A series that starts
	// in it, and the disruptions themselves, may end later.
	DisruptionTime time.Duration
	// JobsPerSecond is the job rate of all callers together.
	JobsPerSecond float64
	// PlannedOnly limits the run to planned stops and changes. Then no request may go
	// without an answer.
	PlannedOnly bool
	// SubmissionsOnly limits the run to disruptions while jobs are submitted.
	SubmissionsOnly bool
	Clock           clockwork.Clock
}

// Report is the result of a run.
type Report struct {
	Seed      uint64
	Jobs      int
	Completed int
	Refused   int
	// Failed counts jobs answered with status 200 but not as completed, Unknown those without
	// an answer that tells the outcome.
	Failed  int
	Unknown int
	// Starts is the number of task starts at the endpoints.
	Starts int
	// RecoveryTime is the time from the end of the disruptions until jobs were completed
	// again.
	RecoveryTime time.Duration
	Disruptions  []string
	// Violations describes the violated guarantees.
	Violations []string
}

// String returns the summary line. Scripts read it, so its keys stay as they are.
func (r Report) String() string {
	return fmt.Sprintf("seed=%d jobs=%d completed=%d refused=%d failed=%d unknown=%d starts=%d strikes=%d recovered_s=%.1f broken=%d",
		r.Seed, r.Jobs, r.Completed, r.Refused, r.Failed, r.Unknown, r.Starts, len(r.Disruptions), r.RecoveryTime.Seconds(), len(r.Violations))
}

// Run executes one run. An error means that the run could not be carried out.
func Run(ctx context.Context, s Settings) (Report, error) {
	c := newCluster(s)
	defer c.close()
	if err := c.start(ctx); err != nil {
		return Report{}, err
	}
	report := Report{Seed: s.Seed}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { c.checkConfig(loadCtx) })
	l := newLoadGenerator(c)
	background.Go(func() { l.run(loadCtx) })
	var upgrade sync.WaitGroup
	upgrade.Go(func() { c.upgrade(ctx) })
	report.Disruptions = c.runDisruptions(ctx, rand.New(rand.NewPCG(s.Seed, 2)))
	upgrade.Wait()
	report.RecoveryTime = l.awaitRecovery(ctx)
	if report.RecoveryTime > maxRecoveryTime {
		c.recordViolation("jobs are not completed again %s after the end of all disruptions", maxRecoveryTime)
	}
	l.observeQuietPeriod(ctx)
	stopLoad()
	background.Wait()
	l.await()
	l.checkResults(&report)
	c.shutDown(ctx)
	report.Starts = c.record.Starts()
	for _, text := range c.violations() {
		report.Violations = append(report.Violations, text+l.describeAttempts(text))
	}
	return report, nil
}

// shutDown waits for the last tasks and stops every program as planned.
func (c *cluster) shutDown(ctx context.Context) {
	deadline := c.clock.Now().Add(lastRunsTimeout)
	for c.record.Running() > 0 && c.clock.Now().Before(deadline) {
		c.pause(ctx, pollInterval)
	}
	if n := c.record.Running(); n > 0 {
		c.recordViolation("%d tasks still run %s after the last answer", n, lastRunsTimeout)
	}
	var group sync.WaitGroup
	for _, p := range c.programs() {
		group.Go(func() {
			if !p.Stop(stopTimeout) {
				c.recordViolation("%s does not stop within %s", p.Name(), stopTimeout)
			}
		})
	}
	group.Wait()
}

func (c *cluster) pause(ctx context.Context, d time.Duration) { pause.For(ctx, c.clock, d) }

// recordViolation records a violated guarantee, with the time since the start.
func (c *cluster) recordViolation(format string, details ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordedViolations = append(c.recordedViolations, fmt.Sprintf("%.1f s: ", c.clock.Since(c.startedAt).Seconds())+fmt.Sprintf(format, details...))
}

// violations returns the violations seen at callers, endpoints and processes.
func (c *cluster) violations() []string {
	c.mu.Lock()
	list := append([]string(nil), c.recordedViolations...)
	c.mu.Unlock()
	list = append(list, c.record.Violations()...)
	for _, p := range c.programs() {
		list = append(list, p.UnexpectedExits()...)
	}
	return append(list, c.crashedLogs()...)
}

// crashMarkers returns what a crashing Go program or the race detector prints.
func crashMarkers() []string { return []string{"panic:", "fatal error:", "DATA RACE"} }

func hasCrashMarker(text string) bool {
	for _, marker := range crashMarkers() {
		if strings.Contains(text, marker) {
			return true
		}
	}
	return false
}
