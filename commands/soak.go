package commands

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/lab/soak"
)

// SoakCommand runs the real processes and injects faults.
type SoakCommand struct {
	Seed        uint64        `default:"1" help:"Seed of the first run; each further run uses the next number."`
	Runs        int           `default:"1" help:"Number of runs, each with its own seed."`
	Jobs        int           `default:"1" help:"Number of concurrent runs."`
	Length      time.Duration `default:"12s" help:"How long faults are injected in each run."`
	Dispatchers int           `default:"3" help:"Number of dispatcher processes."`
	Sidecars    int           `default:"6" help:"Number of sidecar processes, each with a stand-in endpoint."`
	Rate        float64       `default:"40" help:"Jobs per second."`
	Planned     bool          `xor:"kinds" help:"Only planned stops and changes, during which no request may be cut off. Every third seed does this anyway."`
	Submissions bool          `xor:"kinds" help:"Only disruptions while jobs are submitted that callers send again elsewhere."`
	Program     string        `placeholder:"FILE" help:"Program to run instead of this one."`
	Previous    string        `placeholder:"FILE" help:"Earlier build of the program that all processes run at first; they are upgraded one after the other."`
	Dir         string        `placeholder:"DIR" help:"Where the logs of runs that violated a guarantee are kept; default is the system's temporary folder."`
	Strikes     bool          `help:"Print the faults and planned changes of every run."`
}

// plannedSeedInterval is the interval of seeds with planned stops and changes only: their
// seed is a multiple of it.
const plannedSeedInterval = 3

// maxPrintedViolations limits the violations printed for a run.
const maxPrintedViolations = 12

// Each concurrent run has a loopback network of its own, 127.100 to 127.199. The process ID
// selects the first, so that soaks at the same time rarely share one.
const (
	networkCount = 100
	firstNetwork = 100
)

// Run executes the runs and fails if a guarantee was violated.
func (c *SoakCommand) Run(s *Streams) error {
	logErrorsOnly()
	if c.Runs < 1 || c.Jobs < 1 || c.Dispatchers < 1 || c.Sidecars < 1 || c.Rate <= 0 || c.Length <= 0 {
		return usageError{errors.New("--runs, --jobs, --dispatchers, --sidecars, --rate and --length must be above 0")}
	}
	binary, err := c.programPath()
	if err != nil {
		return err
	}
	if c.Previous != "" {
		if c.Previous, err = filepath.Abs(c.Previous); err != nil {
			return errors.Wrap(err, "previous program")
		}
		if _, err := os.Stat(c.Previous); err != nil {
			return usageError{errors.Wrap(err, "--previous")}
		}
	}
	interrupted, _, stop := shutdownContexts()
	defer stop()
	var mu sync.Mutex
	violatingRuns, completedRuns := 0, 0
	var group sync.WaitGroup
	pending := make(chan int, c.Runs)
	for n := range c.Runs {
		pending <- n
	}
	close(pending)
	var failure error
	for worker := range min(c.Jobs, c.Runs) {
		group.Go(func() {
			for n := range pending {
				if interrupted.Err() != nil {
					return
				}
				report, dir, err := c.runSeed(interrupted, binary, c.Seed+uint64(n), (os.Getpid()+worker)%networkCount+firstNetwork)
				mu.Lock()
				if err != nil {
					failure = errors.Wrapf(err, "seed %d, logs in %q", c.Seed+uint64(n), dir)
				} else {
					completedRuns++
					violatingRuns += min(1, len(report.Violations))
					c.printReport(s, report, dir)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	switch {
	case failure != nil:
		return failure
	case interrupted.Err() != nil:
		return errors.New("the soak was interrupted")
	}
	fmt.Fprintf(s.Out, "runs=%d broken=%d\n", completedRuns, violatingRuns)
	if violatingRuns > 0 {
		return errors.Errorf("%d of %d runs violated a guarantee", violatingRuns, completedRuns)
	}
	return nil
}

// programPath returns the path of the program to test.
func (c *SoakCommand) programPath() (string, error) {
	if c.Program != "" {
		path, err := filepath.Abs(c.Program)
		return path, errors.Wrap(err, "program")
	}
	path, err := os.Executable()
	return path, errors.Wrap(err, "program")
}

// runSeed executes one run. Its logs are removed if no guarantee was violated.
func (c *SoakCommand) runSeed(ctx context.Context, binary string, seed uint64, network int) (soak.Report, string, error) {
	dir, err := os.MkdirTemp(c.Dir, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return soak.Report{}, "", errors.Wrap(err, "logs")
	}
	report, err := soak.Run(ctx, soak.Settings{
		Binary: binary, PreviousBinary: c.Previous, Dir: dir, Seed: seed, Network: network, Dispatchers: c.Dispatchers, Sidecars: c.Sidecars,
		DisruptionTime: c.Length, JobsPerSecond: c.Rate, PlannedOnly: c.Planned || !c.Submissions && seed%plannedSeedInterval == 0,
		SubmissionsOnly: c.Submissions, Clock: realClock(),
	})
	if err == nil && len(report.Violations) == 0 {
		return report, dir, errors.Wrap(os.RemoveAll(dir), "logs")
	}
	return report, dir, err
}

// printReport prints the summary and the violations of a run. It prints the disruptions,
// that is faults and planned changes, of runs that violated a guarantee or with --strikes.
func (c *SoakCommand) printReport(s *Streams, r soak.Report, dir string) {
	fmt.Fprintln(s.Out, r)
	if len(r.Violations) > 0 || c.Strikes {
		for _, text := range r.Disruptions {
			fmt.Fprintln(s.Out, "  strike:", text)
		}
	}
	for _, text := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
		fmt.Fprintln(s.Out, "  broken:", text)
	}
	if len(r.Violations) > 0 {
		fmt.Fprintln(s.Out, "  logs:", dir)
	}
}
