package commands

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/lab/load"
	"github.com/corianderhook/corianderhook/lab/local"
	"github.com/corianderhook/corianderhook/version/config"
)

// DemoCommand runs a complete system on loopback.
type DemoCommand struct {
	Serve bool   `help:"Keep the system running instead of sending it jobs."`
	Seed  uint64 `default:"1" help:"Seed of the arrivals."`
}

const (
	demoEntries = 3
	demoAgents  = 4
	demoSlots   = 8
	demoZones   = 3
	// demoTimeout is how long a caller waits for a job, resubmissions included.
	demoJobTimeout = 20 * time.Second
)

// workloads returns settings with the teams and kinds of the two users.
func workloads() []config.File {
	return []config.File{{Name: "50-workloads.ini", Text: `
[team cedar-bowl]
weight = 1
[team remaches]
weight = 1
[kind seat-check]
weight = 8
deadline = 20s
max_delay = 5s
[kind hold]
weight = 8
deadline = 20s
max_delay = 5s
[kind materials]
weight = 2
deadline = 30s
[kind gauge-check]
weight = 8
deadline = 20s
max_delay = 5s
[kind die-wear]
weight = 2
deadline = 60s
[kind lot-release]
weight = 4
deadline = 20s
`}}
}

// Run starts the system, then serves it until a signal or sends it jobs.
func (c *DemoCommand) Run(s *Streams) error {
	logErrorsOnly()
	fmt.Fprintf(s.Out, "starting %d entries in %d availability zones, %d agents with sample endpoints, and a stand-in log\n",
		demoEntries, demoZones, demoAgents)
	l, err := local.Start(context.Background(), local.Settings{
		Entries:     demoEntries,
		Agents:      demoAgents,
		Slots:       demoSlots,
		Zones:       demoZones,
		ExtraConfig: workloads(),
		Clock:       realClock(),
		System:      newActorSystem(),
		Seed:        c.Seed,
	})
	if err != nil {
		return err
	}
	defer l.Stop()
	if c.Serve {
		return c.serve(s, l)
	}
	return c.sendJobs(s, l)
}

func (c *DemoCommand) serve(s *Streams, l *local.Local) error {
	for _, n := range l.Entries() {
		fmt.Fprintf(s.Out, "entry %s in %s: callers %s admin %s\n", n.Name, n.Zone, n.CallerAddress, n.AdminAddress)
	}
	for _, n := range l.Agents() {
		fmt.Fprintf(s.Out, "agent %s in %s: admin %s\n", n.Name, n.Zone, n.AdminAddress)
	}
	fmt.Fprintf(s.Out, "try: curl -s -H 'Corianderhook-Team: cedar-bowl' -H 'Idempotency-Key: first' "+
		"-d '{\"kind\":\"seat-check\",\"tasks\":[{\"payload\":{\"work_ms\":50}}]}' http://%s/v1/jobs\n", l.Entries()[0].CallerAddress)
	stopRequested, _, stop := shutdownContexts()
	defer stop()
	<-stopRequested.Done()
	return nil
}

func (c *DemoCommand) sendJobs(s *Streams, l *local.Local) error {
	plan := demoPlan()
	driver := load.New(load.Settings{
		EntryAddresses: callerAddresses(l),
		Clock:          realClock(),
		Seed:           c.Seed,
		JobTimeout:     demoJobTimeout,
		RequestWait:    demoJobTimeout,
	})
	fmt.Fprintf(s.Out, "sending %d jobs\n", len(plan))
	done := make(chan struct{})
	go printProgress(s, l, done)
	results := driver.Run(context.Background(), plan)
	close(done)
	printTable(s, results)
	summary := load.CheckResults(results, l.Starts(), demoJobTimeout)
	if err := c.runPlatform(s); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "demo: jobs=%d complete=%d failed=%d not_run=%d unknown=%d tasks=%d started_twice=%d lost=%d\n",
		summary.Jobs, summary.Outcomes["complete"], summary.Outcomes["failed"], summary.Outcomes["not_run"], summary.Outcomes["unknown"],
		summary.Tasks, summary.StartedTwice, summary.Lost+summary.Partial+summary.FalseNotRun)
	if summary.StartedTwice > 0 || summary.Lost+summary.Partial+summary.FalseNotRun > 0 {
		return errors.New("tasks were lost or started twice")
	}
	return nil
}

// callerAddresses returns the callers' address of each entry.
func callerAddresses(l *local.Local) []string {
	var list []string
	for _, n := range l.Entries() {
		list = append(list, n.CallerAddress)
	}
	return list
}

// demoPlan returns a few seconds of jobs as the two users send them.
func demoPlan() []load.Job {
	var plan []load.Job
	add := func(at time.Duration, team, kind string, tasks int, workMS float64) {
		plan = append(plan, load.Job{At: at, Team: team, Kind: kind, Tasks: tasks, WorkMS: workMS, Entry: len(plan) % demoEntries})
	}
	for i := range 40 {
		at := time.Duration(i) * 100 * time.Millisecond
		add(at, "cedar-bowl", "seat-check", 1, 60)
		add(at, "remaches", "gauge-check", 2, 50)
		if i%5 == 0 {
			add(at, "cedar-bowl", "hold", 1, 80)
			add(at, "remaches", "lot-release", 3, 70)
		}
	}
	add(200*time.Millisecond, "cedar-bowl", "materials", 300, 50)
	add(300*time.Millisecond, "remaches", "die-wear", 200, 120)
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

// printProgress prints the number of started tasks every second until done is closed.
func printProgress(s *Streams, l *local.Local, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
			fmt.Fprintf(s.Out, "tasks started: %d\n", l.Starts().Total())
		}
	}
}

// printTable prints one row per kind of job.
func printTable(s *Streams, results []load.Result) {
	type kindStats struct {
		jobs, tasks   int
		outcomes      map[string]int
		responseTimes []time.Duration
	}
	rows := map[string]*kindStats{}
	for _, r := range results {
		stats := rows[r.Job.Kind]
		if stats == nil {
			stats = &kindStats{outcomes: map[string]int{}}
			rows[r.Job.Kind] = stats
		}
		stats.jobs++
		stats.tasks += r.Job.Tasks
		stats.outcomes[r.Outcome]++
		stats.responseTimes = append(stats.responseTimes, r.ResponseTime)
	}
	kinds := make([]string, 0, len(rows))
	for k := range rows {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KIND\tJOBS\tTASKS\tOUTCOMES\tP50\tP99")
	for _, k := range kinds {
		stats := rows[k]
		sort.Slice(stats.responseTimes, func(i, j int) bool { return stats.responseTimes[i] < stats.responseTimes[j] })
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\n", k, stats.jobs, stats.tasks, formatOutcomes(stats.outcomes),
			quantile(stats.responseTimes, 0.5).Round(time.Millisecond), quantile(stats.responseTimes, 0.99).Round(time.Millisecond))
	}
	// Write errors are ignored, as for the other output of these commands.
	_ = table.Flush()
}

// formatOutcomes returns the counts as name=count, sorted by name.
func formatOutcomes(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for o, n := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", o, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// quantile returns the q-quantile of sorted times, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
