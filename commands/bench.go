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

// BenchCommand runs experiments.
type BenchCommand struct {
	Scenario string `arg:"" help:"Scenario, all, scale, config, or list."`
	Seed     uint64 `default:"1" help:"Seed of the arrivals: the same seed gives the same jobs at the same times."`
	Policy   string `enum:"fair,fifo" default:"fair" help:"Policy to run: fair is the product's, fifo is the baseline."`
	Report   string `placeholder:"DIR" help:"Folder for the results as JSON, and plots as PNG and SVG."`
	Commit   string `help:"Commit to name in the report where the binary does not know its own, as with go run."`
	Check    bool   `help:"Compare the figures with the stated targets; exit code 1 on a miss."`
}

// slowestShown is how many of the slowest jobs are listed.
const slowestShown = 3

// Run runs one scenario or all. The last line of each has its figures.
func (c *BenchCommand) Run(s *Streams) error {
	if c.Scenario == "scale" {
		quietLogs()
		return c.scale(s)
	}
	if c.Scenario == "config" {
		quietLogs()
		return c.publish(s)
	}
	if c.Scenario == "list" {
		for _, one := range bench.Scenarios() {
			fmt.Fprintf(s.Out, "%-12s %s\n", one.Name, one.Help)
		}
		return nil
	}
	chosen, err := c.choose()
	if err != nil {
		return err
	}
	quietLogs()
	var misses []string
	for _, one := range chosen {
		missed, err := c.run(s, one)
		if err != nil {
			return errors.Wrapf(err, "bench %s", one.Name)
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

// scale measures idle control traffic at several numbers of agents.
func (c *BenchCommand) scale(s *Streams) error {
	for _, agents := range bench.ScaleSizes() {
		line, err := bench.MeasureScale(context.Background(), agents, bench.Settings{Clock: realClock(), System: newSystem(), Seed: c.Seed})
		if err != nil {
			return errors.Wrapf(err, "bench scale with %d agents", agents)
		}
		fmt.Fprintln(s.Out, line)
	}
	return nil
}

// publish measures how long configuration changes take to be in force.
func (c *BenchCommand) publish(s *Streams) error {
	for _, weather := range []string{"healthy", "slow", "down"} {
		line, err := bench.MeasurePropagation(context.Background(), weather, bench.Settings{Clock: realClock(), System: newSystem(), Seed: c.Seed})
		if err != nil {
			return errors.Wrapf(err, "bench config with the log %s", weather)
		}
		fmt.Fprintln(s.Out, line)
	}
	return nil
}

func (c *BenchCommand) choose() ([]bench.Scenario, error) {
	var names []string
	for _, one := range bench.Scenarios() {
		if one.Name == c.Scenario {
			return []bench.Scenario{one}, nil
		}
		names = append(names, one.Name)
	}
	if c.Scenario == "all" {
		return bench.Scenarios(), nil
	}
	return nil, usageError{errors.Errorf("scenario %q does not exist; there are %s", c.Scenario, strings.Join(names, ", "))}
}

func (c *BenchCommand) run(s *Streams, one bench.Scenario) ([]string, error) {
	settings := bench.Settings{Clock: realClock(), System: newSystem(), Seed: c.Seed, FIFO: c.Policy == "fifo"}
	var baseline bench.Measurement
	var err error
	if one.Baseline {
		with := settings
		with.FIFO = true
		with.System = newSystem()
		if baseline, err = bench.RunScenario(context.Background(), one, with); err != nil {
			return nil, err
		}
		fmt.Fprintln(s.Out, "baseline, first come first served:")
		printTable(s, baseline.Results)
	}
	outcome, err := bench.RunScenario(context.Background(), one, settings)
	if err != nil {
		return nil, err
	}
	printTable(s, outcome.Results)
	for _, cause := range slices.Sorted(maps.Keys(outcome.Wasted)) {
		fmt.Fprintf(s.Out, "wasted messages per task, %s: %.3f\n", cause, outcome.Wasted[cause])
	}
	for _, r := range outcome.Slowest(slowestShown) {
		fmt.Fprintf(s.Out, "slow job: key=%s sent_at=%s took=%s tasks=%d outcome=%s reason=%s attempts=%d\n",
			r.Key, r.Job.At.Round(time.Millisecond), r.ResponseTime.Round(time.Millisecond), r.Job.Tasks, r.Outcome, r.Reason, r.Attempts)
	}
	line := one.Report(outcome, baseline)
	fmt.Fprintln(s.Out, line)
	misses, err := bench.MissedTargets(one, line)
	if err != nil || c.Report == "" {
		return misses, err
	}
	return misses, c.report(one, line, misses, outcome, baseline)
}

// report writes a run to the folder.
func (c *BenchCommand) report(one bench.Scenario, line string, misses []string, outcome, baseline bench.Measurement) error {
	figures, err := bench.ParseFigures(line)
	if err != nil {
		return err
	}
	r := &report.Report{
		Scenario: one.Name,
		Help:     one.Help,
		Seed:     c.Seed,
		Policy:   c.Policy,
		Commit:   cmp.Or(c.Commit, report.Commit()),
		Written:  realClock().Now().UTC(),
		Size:     report.Size{Entries: one.Entries, Agents: one.Agents, Slots: one.Slots},
		Line:     line,
		Figures:  figures,
		Misses:   misses,
		Wasted:   outcome.Wasted,
	}
	r.AddRun(c.Policy, outcome)
	if one.Baseline {
		r.AddRun("baseline", baseline)
	}
	return r.Write(c.Report)
}
