// Package bench runs experiments on a local system: a plan of jobs with a fixed
// seed, a list of timed faults, and the endpoints' own record of starts. A
// scenario is a row of a table.
package bench

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"

	"github.com/corianderhook/corianderhook/lab/load"
	"github.com/corianderhook/corianderhook/lab/local"
	"github.com/corianderhook/corianderhook/lab/sample"
	"github.com/corianderhook/corianderhook/version/config"
)

// Fault is something that is done to the system at a time of the run.
type Fault struct {
	At     time.Duration
	Inject func(*Run) error
}

// Scenario is one experiment.
type Scenario struct {
	Name string
	Help string
	// Entries, Agents and Slots are the size of the system; Slots is per agent.
	Entries int
	Agents  int
	Slots   int
	// Plan are the jobs for a seed.
	Plan func(r *rand.Rand) []load.Job
	// Faults are done in their order.
	Faults []Fault
	// ResubmitEvery makes callers send unanswered jobs again.
	ResubmitInterval time.Duration
	// GiveUp is how long callers keep at a job; zero is 30 s.
	JobTimeout time.Duration
	// Baseline runs the same load on the baseline policy first.
	Baseline bool
	// Extra are settings beside the scenario's kinds and teams.
	ExtraConfig string
	// Report writes the scenario's last line. The baseline's outcome is empty
	// where the scenario has none.
	Report func(o, baseline Measurement) string
	// Targets are the stated bounds of the figures.
	Targets []Target
}

// Target is a stated bound of a figure in the last line.
type Target struct {
	Figure string
	// Most and Least bound the figure; a nil bound does not hold.
	Max *float64
	Min *float64
}

// Run is a scenario under way.
type Run struct {
	Local  *local.Local
	Driver *load.Driver
	Seed   uint64
	began  time.Time
	clock  clockwork.Clock
}

// Outcome is what a run measured.
type Measurement struct {
	Name    string
	Seed    uint64
	Results []load.Result
	Summary load.Summary
	// Ideal is the response time of each job on a perfect single queue.
	IdealTimes []time.Duration
	// Wasted are messages without a task per task that was started, by cause.
	Wasted   map[string]float64
	Attempts int64
	// FaultAt is when the first fault was done.
	FirstFaultAt time.Duration
	Duration     time.Duration
	// CPU is the processor time of all parts, the load driver and the endpoints
	// included. Bytes is what went over the entries' connections to processes.
	CPU   time.Duration
	Bytes int64
	// runs are what the endpoints saw.
	runs      []sample.Run
	endpoints int
	slots     int
	began     time.Time
}

// Settings are what an experiment works with.
type Settings struct {
	Clock  clockwork.Clock
	System *actor.ActorSystem
	Seed   uint64
	// FIFO runs the baseline policy: first come first served, no admission.
	FIFO bool
}

// giveUp is how long callers keep at a job.
const giveUp = 30 * time.Second

// settleTime is the time between the start of the parts and the first job.
const settleTime = 500 * time.Millisecond

// Do runs a scenario.
func RunScenario(ctx context.Context, s Scenario, set Settings) (Measurement, error) {
	if s.JobTimeout == 0 {
		s.JobTimeout = giveUp
	}
	text := kinds + s.ExtraConfig
	if set.FIFO {
		text = strings.ReplaceAll(text, "max_delay = 5s", "max_delay = 24h")
	}
	l, err := local.Start(ctx, local.Settings{
		Entries:     s.Entries,
		Agents:      s.Agents,
		Slots:       s.Slots,
		Zones:       zones,
		ExtraConfig: []config.File{{Name: "50-bench.ini", Text: text}},
		FIFO:        set.FIFO,
		Clock:       set.Clock,
		System:      set.System,
		Seed:        set.Seed,
	})
	if err != nil {
		return Measurement{}, err
	}
	defer l.Stop()
	l.Starts().KeepRuns()
	set.Clock.Sleep(settleTime)
	var callers []string
	for _, n := range l.Entries() {
		callers = append(callers, n.CallerAddress)
	}
	r := &Run{Local: l, Seed: set.Seed, clock: set.Clock, began: set.Clock.Now()}
	r.Driver = load.New(load.Settings{
		EntryAddresses:   callers,
		Clock:            set.Clock,
		Seed:             set.Seed,
		JobTimeout:       s.JobTimeout,
		RequestWait:      s.JobTimeout,
		ResubmitInterval: s.ResubmitInterval,
	})
	plan := s.Plan(rand.New(rand.NewPCG(set.Seed, 0)))
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- r.faults(ctx, s.Faults) }()
	cpu, bytes := processorTime(), carried(l)
	results := r.Driver.Run(ctx, plan)
	cpu, bytes = processorTime()-cpu, carried(l)-bytes
	length := set.Clock.Since(r.began)
	select {
	case err := <-failed:
		if err != nil {
			return Measurement{}, err
		}
	default:
	}
	o := r.outcome(s, plan, results, length)
	o.CPU, o.Bytes = cpu, bytes
	return o, nil
}

const zones = 3

// kinds are the settings that all scenarios share.
const kinds = `
[team cedar-bowl]
[team remaches]
[kind urgent]
weight = 8
deadline = 30s
max_delay = 5s
[kind plain]
weight = 4
deadline = 30s
max_delay = 5s
[kind bulk]
weight = 1
deadline = 60s
max_delay = 5s
`

func (r *Run) faults(ctx context.Context, faults []Fault) error {
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return nil
		case <-r.clock.After(f.At - r.clock.Since(r.began)):
		}
		if err := f.Inject(r); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) outcome(s Scenario, plan []load.Job, results []load.Result, length time.Duration) Measurement {
	o := Measurement{
		Name:       s.Name,
		Seed:       r.Seed,
		Results:    results,
		Summary:    load.CheckResults(results, r.Local.Starts(), s.JobTimeout),
		IdealTimes: IdealTimes(plan, s.Agents*s.Slots),
		Attempts:   r.Driver.Attempts(),
		Duration:   length,
		slots:      s.Slots,
		began:      r.began,
	}
	if len(s.Faults) > 0 {
		o.FirstFaultAt = s.Faults[0].At
	}
	o.runs, o.endpoints = r.Local.Starts().Runs()
	o.Wasted = map[string]float64{}
	started := max(1, r.Local.Starts().Total())
	for _, n := range r.Local.Entries() {
		for cause, count := range n.Entry.Metrics().WastedMessages() {
			o.Wasted[cause] += float64(count) / float64(started)
		}
	}
	return o
}

// Ideal returns the response times of the jobs beside the flood on a single queue without any
// overhead, first come first served over all slots.
func IdealTimes(plan []load.Job, slots int) []time.Duration {
	free := make([]time.Duration, slots)
	ideal := make([]time.Duration, len(plan))
	for i, j := range plan {
		if j.Flood {
			continue
		}
		work := time.Duration(j.WorkMS * float64(time.Millisecond))
		for range j.Tasks {
			first := 0
			for k := range free {
				if free[k] < free[first] {
					first = k
				}
			}
			free[first] = max(free[first], j.At) + work
			ideal[i] = max(ideal[i], free[first]-j.At)
		}
	}
	return ideal
}

// Ratios returns response time over ideal of the jobs that pass the filter, in
// order, and the quantile function over them.
func (o Measurement) Ratios(keep func(load.Result) bool) []float64 {
	var ratios []float64
	for i, r := range o.Results {
		if r.Outcome == "complete" && keep(r) && o.IdealTimes[i] > 0 {
			ratios = append(ratios, float64(r.ResponseTime)/float64(o.IdealTimes[i]))
		}
	}
	sort.Float64s(ratios)
	return ratios
}

// RatiosBesideFlood returns the ratios of the jobs beside the flood.
func (o Measurement) NonFloodRatios() []float64 { return o.Ratios(beside) }

// WastedPerTask returns the messages without a task per started task.
func (o Measurement) WastedPerTask() float64 {
	total := 0.0
	for _, w := range o.Wasted {
		total += w
	}
	return total
}

// lateBy is how long after the last arrival a task still counts as finished.
const lateBy = 2 * time.Second

// KeptFromFlood returns the share of the tasks beside the flood that were
// finished by the end of the arrivals, or shortly after.
func (o Measurement) NonFloodCompletedShare() float64 {
	sent, done := 0, 0
	var last time.Duration
	for _, r := range o.Results {
		last = max(last, r.Job.At)
	}
	for _, r := range o.Results {
		if r.Job.Flood {
			continue
		}
		sent += r.Job.Tasks
		if r.Outcome == "complete" && r.EndedAt <= last+lateBy {
			done += r.Job.Tasks
		}
	}
	return float64(done) / float64(max(1, sent))
}

// Slowest returns the jobs that took the longest.
func (o Measurement) Slowest(count int) []load.Result {
	sorted := slices.Clone(o.Results)
	slices.SortFunc(sorted, func(a, b load.Result) int { return cmp.Compare(b.ResponseTime, a.ResponseTime) })
	return sorted[:min(count, len(sorted))]
}

// Quantile returns a quantile of sorted figures.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Kept returns the share of the tasks of jobs sent after the first fault that
// were completed.
func (o Measurement) CompletedShareAfterFault() float64 {
	sent, done := 0, 0
	for _, r := range o.Results {
		if r.Job.At < o.FirstFaultAt {
			continue
		}
		sent += r.Job.Tasks
		if r.Outcome == "complete" {
			done += r.Job.Tasks
		}
	}
	if sent == 0 {
		return 0
	}
	return float64(done) / float64(sent)
}

// slowBy is how much longer than ideal a job takes that a fault has delayed.
const slowBy = 250 * time.Millisecond

// Recovered returns the time from the first fault to the end of the last job
// that was delayed.
func (o Measurement) RecoveryTime() time.Duration {
	var last time.Duration
	for i, r := range o.Results {
		if r.ResponseTime > o.IdealTimes[i]+slowBy || r.Outcome != "complete" {
			last = max(last, r.EndedAt)
		}
	}
	return max(0, last-o.FirstFaultAt)
}
