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

// SoakCommand runs the real programs under faults.
type SoakCommand struct {
	Seed        uint64        `default:"1" help:"Seed of the first run; the others follow."`
	Runs        int           `default:"1" help:"Number of runs, each with a seed of its own."`
	Jobs        int           `default:"1" help:"Runs at a time."`
	Length      time.Duration `default:"12s" help:"Time for which faults come in each run."`
	Dispatchers int           `default:"3" help:"Dispatcher processes."`
	Sidecars    int           `default:"6" help:"Sidecar processes, each with a stand-in endpoint."`
	Rate        float64       `default:"40" help:"Jobs a second."`
	Planned     bool          `help:"Planned stops and changes only: then no request may be cut. Each third seed is so anyway."`
	Program     string        `placeholder:"FILE" help:"Program to run instead of this one."`
	Dir         string        `placeholder:"DIR" help:"Where logs of runs with a broken promise are kept; the system's temporary folder otherwise."`
	Strikes     bool          `help:"Print the faults of every run."`
}

// plannedEvery is which part of the seeds has planned stops and changes only.
const plannedEvery = 3

// mostPrinted is how many broken promises of a run are printed.
const mostPrinted = 12

// networks is how many runs may have loopback addresses of their own, from 127.100 on.
const (
	networks     = 100
	firstNetwork = 100
)

// Run plays the runs and fails where a promise was broken.
func (c *SoakCommand) Run(s *Streams) error {
	quietLogs()
	if c.Runs < 1 || c.Jobs < 1 || c.Dispatchers < 1 || c.Sidecars < 1 || c.Rate <= 0 || c.Length <= 0 {
		return usageError{errors.New("--runs, --jobs, --dispatchers, --sidecars, --rate and --length must be above 0")}
	}
	binary, err := c.binary()
	if err != nil {
		return err
	}
	first, _, stop := signals()
	defer stop()
	var mu sync.Mutex
	broken, played := 0, 0
	var group sync.WaitGroup
	turns := make(chan int, c.Runs)
	for n := range c.Runs {
		turns <- n
	}
	close(turns)
	var failure error
	for lane := range min(c.Jobs, c.Runs) {
		group.Go(func() {
			for n := range turns {
				if first.Err() != nil {
					return
				}
				report, dir, err := c.play(first, binary, c.Seed+uint64(n), (os.Getpid()+lane)%networks+firstNetwork)
				mu.Lock()
				if err != nil {
					failure = errors.Wrapf(err, "seed %d, logs in %q", c.Seed+uint64(n), dir)
				} else {
					played++
					broken += min(1, len(report.Violations))
					c.print(s, report, dir)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	switch {
	case failure != nil:
		return failure
	case first.Err() != nil:
		return errors.New("the soak was stopped")
	}
	fmt.Fprintf(s.Out, "runs=%d broken=%d\n", played, broken)
	if broken > 0 {
		return errors.Errorf("%d of %d runs broke a promise", broken, played)
	}
	return nil
}

func (c *SoakCommand) binary() (string, error) {
	if c.Program != "" {
		path, err := filepath.Abs(c.Program)
		return path, errors.Wrap(err, "program")
	}
	path, err := os.Executable()
	return path, errors.Wrap(err, "program")
}

// play plays one run; its logs are removed where no promise was broken.
func (c *SoakCommand) play(ctx context.Context, binary string, seed uint64, network int) (soak.Report, string, error) {
	dir, err := os.MkdirTemp(c.Dir, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return soak.Report{}, "", errors.Wrap(err, "logs")
	}
	report, err := soak.Run(ctx, soak.Settings{
		Binary: binary, Dir: dir, Seed: seed, Network: network, Dispatchers: c.Dispatchers, Sidecars: c.Sidecars,
		DisruptionTime: c.Length, JobsPerSecond: c.Rate, PlannedOnly: c.Planned || seed%plannedEvery == 0, Clock: realClock(),
	})
	if err == nil && len(report.Violations) == 0 {
		return report, dir, errors.Wrap(os.RemoveAll(dir), "logs")
	}
	return report, dir, err
}

func (c *SoakCommand) print(s *Streams, r soak.Report, dir string) {
	fmt.Fprintln(s.Out, r)
	if len(r.Violations) > 0 || c.Strikes {
		for _, what := range r.Disruptions {
			fmt.Fprintln(s.Out, "  strike:", what)
		}
	}
	for _, what := range r.Violations[:min(len(r.Violations), mostPrinted)] {
		fmt.Fprintln(s.Out, "  broken:", what)
	}
	if len(r.Violations) > 0 {
		fmt.Fprintln(s.Out, "  logs:", dir)
	}
}
