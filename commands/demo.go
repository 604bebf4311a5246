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

// DemoCommand runs a whole system on loopback.
type DemoCommand struct {
	Serve bool   `help:"Keep the system running instead of sending it jobs."`
	Seed  uint64 `default:"1" help:"Seed of the arrivals."`
}

const (
	demoEntries = 3
	demoAgents  = 4
	demoSlots   = 8
	demoZones   = 3
	// demoGiveUp is how long a caller of the demonstration keeps at a job.
	demoGiveUp = 20 * time.Second
)

// workloads are the kinds and teams of the two users.
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

// Run runs the demonstration.
func (c *DemoCommand) Run(s *Streams) error {
	quietLogs()
	fmt.Fprintf(s.Out, "starting %d entries in %d availability zones, %d agents with sample endpoints, and a stand-in log\n",
		demoEntries, demoZones, demoAgents)
	l, err := local.Start(context.Background(), local.Settings{
		Entries:     demoEntries,
		Agents:      demoAgents,
		Slots:       demoSlots,
		Zones:       demoZones,
		ExtraConfig: workloads(),
		Clock:       realClock(),
		System:      newSystem(),
		Seed:        c.Seed,
	})
	if err != nil {
		return err
	}
	defer l.Stop()
	if c.Serve {
		return c.serve(s, l)
	}
	return c.send(s, l)
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
	first, _, stop := signals()
	defer stop()
	<-first.Done()
	return nil
}

func (c *DemoCommand) send(s *Streams, l *local.Local) error {
	plan := demoPlan()
	driver := load.New(load.Settings{
		EntryAddresses: callers(l),
		Clock:          realClock(),
		Seed:           c.Seed,
		JobTimeout:     demoGiveUp,
		RequestWait:    demoGiveUp,
	})
	fmt.Fprintf(s.Out, "sending %d jobs\n", len(plan))
	done := make(chan struct{})
	go progress(s, l, done)
	results := driver.Run(context.Background(), plan)
	close(done)
	printTable(s, results)
	v := load.CheckResults(results, l.Starts(), demoGiveUp)
	if err := c.platform(s); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "demo: jobs=%d complete=%d failed=%d not_run=%d unknown=%d tasks=%d started_twice=%d lost=%d\n",
		v.Jobs, v.Outcomes["complete"], v.Outcomes["failed"], v.Outcomes["not_run"], v.Outcomes["unknown"],
		v.Tasks, v.StartedTwice, v.Lost+v.Partial+v.FalseNotRun)
	if v.StartedTwice > 0 || v.Lost+v.Partial+v.FalseNotRun > 0 {
		return errors.New("tasks were lost or started twice")
	}
	return nil
}

func callers(l *local.Local) []string {
	var list []string
	for _, n := range l.Entries() {
		list = append(list, n.CallerAddress)
	}
	return list
}

// demoPlan is a few seconds of the users' work.
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

func progress(s *Streams, l *local.Local, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
			fmt.Fprintf(s.Out, "tasks started: %d\n", l.Starts().Total())
		}
	}
}

// printTable prints one row per kind.
func printTable(s *Streams, results []load.Result) {
	type row struct {
		jobs, tasks int
		outcomes    map[string]int
		took        []time.Duration
	}
	rows := map[string]*row{}
	for _, r := range results {
		one := rows[r.Job.Kind]
		if one == nil {
			one = &row{outcomes: map[string]int{}}
			rows[r.Job.Kind] = one
		}
		one.jobs++
		one.tasks += r.Job.Tasks
		one.outcomes[r.Outcome]++
		one.took = append(one.took, r.ResponseTime)
	}
	kinds := make([]string, 0, len(rows))
	for k := range rows {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KIND\tJOBS\tTASKS\tOUTCOMES\tP50\tP99")
	for _, k := range kinds {
		one := rows[k]
		sort.Slice(one.took, func(i, j int) bool { return one.took[i] < one.took[j] })
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\n", k, one.jobs, one.tasks, outcomes(one.outcomes),
			quantile(one.took, 0.5).Round(time.Millisecond), quantile(one.took, 0.99).Round(time.Millisecond))
	}
	// The table goes to standard output; a failure shows there.
	_ = table.Flush()
}

func outcomes(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for o, n := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", o, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// quantile returns a quantile of sorted times.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
