package commands

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/lab/bench"
	"github.com/corianderhook/corianderhook/lab/report"
)

// BenchCommand runs benchmark scenarios.
type BenchCommand struct {
	Scenario string `arg:"" help:"Name of a scenario, or all, scale, config or list."`
	Seed     uint64 `default:"1" help:"Seed of the arrivals: the same seed gives the same jobs at the same times."`
	Policy   string `enum:"fair,fifo" default:"fair" help:"Scheduling policy: fair is that of the product, fifo is the baseline."`
	Report   string `placeholder:"DIR" help:"Folder for the results as JSON and the plots as PNG and SVG."`
	Commit   string `help:"Commit to name in the report if the binary has none recorded, as with go run."`
	Check    bool   `help:"Compare the figures with the targets; exit code 1 if one is missed."`
}

// maxSlowJobs limits the list of the slowest jobs.
const maxSlowJobs = 3

// Run runs one scenario or all. The last line that a scenario prints holds its figures.
func (c *BenchCommand) Run(s *Streams) error {
	if c.Scenario == "scale" {
		logErrorsOnly()
		return c.runScale(s)
	}
	if c.Scenario == "config" {
		logErrorsOnly()
		return c.runPropagation(s)
	}
	if c.Scenario == "list" {
		for _, scenario := range bench.Scenarios() {
			fmt.Fprintf(s.Out, "%-12s %s\n", scenario.Name, scenario.Help)
		}
		return nil
	}
	scenarios, err := c.selectScenarios()
	if err != nil {
		return err
	}
	logErrorsOnly()
	var misses []string
	for _, scenario := range scenarios {
		missed, err := c.runScenario(s, scenario)
		if err != nil {
			return errors.Wrapf(err, "bench %s", scenario.Name)
		}
		misses = append(misses, missed...)
	}
	if !c.Check {
		return nil
	}
	if len(misses) > 0 {
		return errors.Errorf("%d targets are missed:\n%s", len(misses), strings.Join(misses, "\n"))
	}
	fmt.Fprintln(s.Out, "every target is met")
	return nil
}

// runScale measures the control traffic of idle systems with different numbers of agents.
func (c *BenchCommand) runScale(s *Streams) error {
	for _, agents := range bench.ScaleSizes() {
		line, err := bench.MeasureScale(context.Background(), agents, bench.Settings{Clock: realClock(), System: newActorSystem(), Seed: c.Seed})
		if err != nil {
			return errors.Wrapf(err, "bench scale with %d agents", agents)
		}
		fmt.Fprintln(s.Out, line)
	}
	return nil
}

// runPublish measures how long a configuration change takes to come into force while the
// log is healthy, slow or down.
func (c *BenchCommand) runPropagation(s *Streams) error {
	for _, logState := range []string{"healthy", "slow", "down"} {
		line, err := bench.MeasurePropagation(context.Background(), logState, bench.Settings{Clock: realClock(), System: newActorSystem(), Seed: c.Seed})
		if err != nil {
			return errors.Wrapf(err, "bench config with the log %s", logState)
		}
		fmt.Fprintln(s.Out, line)
	}
	return nil
}

func (c *BenchCommand) selectScenarios() ([]bench.Scenario, error) {
	var names []string
	for _, scenario := range bench.Scenarios() {
		if scenario.Name == c.Scenario {
			return []bench.Scenario{scenario}, nil
		}
		names = append(names, scenario.Name)
	}
	if c.Scenario == "all" {
		return bench.Scenarios(), nil
	}
	return nil, usageError{errors.Errorf("scenario %q does not exist; there are %s", c.Scenario, strings.Join(names, ", "))}
}

// runScenario runs a scenario, after its baseline if it has one, prints the results and
// returns the missed targets.
func (c *BenchCommand) runScenario(s *Streams, scenario bench.Scenario) ([]string, error) {
	settings := bench.Settings{Clock: realClock(), System: newActorSystem(), Seed: c.Seed, FIFO: c.Policy == "fifo"}
	var baseline bench.Measurement
	var err error
	if scenario.Baseline {
		baselineSettings := settings
		baselineSettings.FIFO = true
		baselineSettings.System = newActorSystem()
		if baseline, err = bench.RunScenario(context.Background(), scenario, baselineSettings); err != nil {
			return nil, err
		}
		fmt.Fprintln(s.Out, "baseline, first come first served:")
		printTable(s, baseline.Results)
	}
	measurement, err := bench.RunScenario(context.Background(), scenario, settings)
	if err != nil {
		return nil, err
	}
	printTable(s, measurement.Results)
	for _, cause := range slices.Sorted(maps.Keys(measurement.Wasted)) {
		fmt.Fprintf(s.Out, "wasted messages per task, %s: %.3f\n", cause, measurement.Wasted[cause])
	}
	for _, r := range measurement.Slowest(maxSlowJobs) {
		fmt.Fprintf(s.Out, "slow job: key=%s sent_at=%s took=%s tasks=%d outcome=%s reason=%s attempts=%d\n",
			r.Key, r.Job.At.Round(time.Millisecond), r.ResponseTime.Round(time.Millisecond), r.Job.Tasks, r.Outcome, r.Reason, r.Attempts)
	}
	line := scenario.Report(measurement, baseline)
	fmt.Fprintln(s.Out, line)
	misses, err := bench.MissedTargets(scenario, line)
	if err != nil || c.Report == "" {
		return misses, err
	}
	return misses, c.writeReport(scenario, line, misses, measurement, baseline)
}

// writeReport writes the results and plots of a run to the report folder.
func (c *BenchCommand) writeReport(scenario bench.Scenario, line string, misses []string, measurement, baseline bench.Measurement) error {
	figures, err := bench.ParseFigures(line)
	if err != nil {
		return err
	}
	r := &report.Report{
		Scenario: scenario.Name,
		Help:     scenario.Help,
		Seed:     c.Seed,
		Policy:   c.Policy,
		Commit:   cmp.Or(c.Commit, report.Commit()),
		Written:  realClock().Now().UTC(),
		Size:     report.Size{Entries: scenario.Entries, Agents: scenario.Agents, Slots: scenario.Slots},
		Line:     line,
		Figures:  figures,
		Misses:   misses,
		Wasted:   measurement.Wasted,
	}
	r.AddRun(c.Policy, measurement)
	if scenario.Baseline {
		r.AddRun("baseline", baseline)
	}
	return r.Write(c.Report)
}
