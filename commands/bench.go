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
const maxSlowJobs = 3

// Run runs one scenario or all. The last line of each has its figures.
func (c *BenchCommand) Run(s *Streams) error {
	if c.Scenario == "scale" {
		logErrorsOnly()
		return c.runScale(s)
	}
	if c.Scenario == "config" {
		logErrorsOnly()
		return c.runPublish(s)
	}
	if c.Scenario == "list" {
		for _, one := range bench.Table() {
			fmt.Fprintf(s.Out, "%-12s %s\n", one.Name, one.Help)
		}
		return nil
	}
	chosen, err := c.selectScenarios()
	if err != nil {
		return err
	}
	logErrorsOnly()
	var misses []string
	for _, one := range chosen {
		missed, err := c.runScenario(s, one)
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
func (c *BenchCommand) runScale(s *Streams) error {
	for _, agents := range bench.ScaleSizes() {
		line, err := bench.Scale(context.Background(), agents, bench.Settings{Clock: realClock(), System: newActorSystem(), Seed: c.Seed})
		if err != nil {
			return errors.Wrapf(err, "bench scale with %d agents", agents)
		}
		fmt.Fprintln(s.Out, line)
	}
	return nil
}

// publish measures how long configuration changes take to be in force.
func (c *BenchCommand) runPublish(s *Streams) error {
	for _, weather := range []string{"healthy", "slow", "down"} {
		line, err := bench.Publish(context.Background(), weather, bench.Settings{Clock: realClock(), System: newActorSystem(), Seed: c.Seed})
		if err != nil {
			return errors.Wrapf(err, "bench config with the log %s", weather)
		}
		fmt.Fprintln(s.Out, line)
	}
	return nil
}

func (c *BenchCommand) selectScenarios() ([]bench.Scenario, error) {
	var names []string
	for _, one := range bench.Table() {
		if one.Name == c.Scenario {
			return []bench.Scenario{one}, nil
		}
		names = append(names, one.Name)
	}
	if c.Scenario == "all" {
		return bench.Table(), nil
	}
	return nil, usageError{errors.Errorf("scenario %q does not exist; there are %s", c.Scenario, strings.Join(names, ", "))}
}

func (c *BenchCommand) runScenario(s *Streams, one bench.Scenario) ([]string, error) {
	settings := bench.Settings{Clock: realClock(), System: newActorSystem(), Seed: c.Seed, FIFO: c.Policy == "fifo"}
	var baseline bench.Outcome
	var err error
	if one.Baseline {
		with := settings
		with.FIFO = true
		with.System = newActorSystem()
		if baseline, err = bench.Do(context.Background(), one, with); err != nil {
			return nil, err
		}
		fmt.Fprintln(s.Out, "baseline, first come first served:")
		printTable(s, baseline.Results)
	}
	outcome, err := bench.Do(context.Background(), one, settings)
	if err != nil {
		return nil, err
	}
	printTable(s, outcome.Results)
	for _, cause := range slices.Sorted(maps.Keys(outcome.Wasted)) {
		fmt.Fprintf(s.Out, "wasted messages per task, %s: %.3f\n", cause, outcome.Wasted[cause])
	}
	for _, r := range outcome.Slowest(maxSlowJobs) {
		fmt.Fprintf(s.Out, "slow job: key=%s sent_at=%s took=%s tasks=%d outcome=%s reason=%s attempts=%d\n",
			r.Key, r.Job.At.Round(time.Millisecond), r.Took.Round(time.Millisecond), r.Job.Tasks, r.Outcome, r.Reason, r.Attempts)
	}
	line := one.Report(outcome, baseline)
	fmt.Fprintln(s.Out, line)
	misses, err := bench.Misses(one, line)
	if err != nil || c.Report == "" {
		return misses, err
	}
	return misses, c.writeReport(one, line, misses, outcome, baseline)
}

// report writes a run to the folder.
func (c *BenchCommand) writeReport(one bench.Scenario, line string, misses []string, outcome, baseline bench.Outcome) error {
	figures, err := bench.Figures(line)
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
	r.Add(c.Policy, outcome)
	if one.Baseline {
		r.Add("baseline", baseline)
	}
	return r.Write(c.Report)
}
