// Package bench runs benchmarks on a system within this process. A scenario has a
// plan of jobs generated from a seed and a list of timed faults; its results are
// checked against the endpoints' own record of starts.
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

	"github.com/corianderhook/corianderhook/common/cputime"
	"github.com/corianderhook/corianderhook/lab/load"
	"github.com/corianderhook/corianderhook/lab/local"
	"github.com/corianderhook/corianderhook/lab/sample"
	"github.com/corianderhook/corianderhook/version/config"
)

// Fault is a fault, or a repair, that is injected at a given time of the run.
type Fault struct {
	At     time.Duration
	Inject func(*Run) error
}

// Scenario is one benchmark: a system, its load and its faults.
type Scenario struct {
	Name string
	Help string
	// Entries and Agents are the numbers of processes, Slots the task slots per agent.
	Entries int
	Agents  int
	Slots   int
	// Plan generates the jobs.
	Plan func(r *rand.Rand) []load.Job
	// Faults are injected in this order.
	Faults []Fault
	// ResubmitInterval, if set, is how often callers send a job without an answer again.
	ResubmitInterval time.Duration
	// JobTimeout is how long callers try to get the answer of a job; zero means 30 s.
	JobTimeout time.Duration
	// Baseline runs the same load with the baseline policy first.
	Baseline bool
	// ExtraConfig is configuration text in addition to the shared kinds and teams.
	ExtraConfig string
	// Report formats the last line of the output, "bench NAME: a=1 b=2". The baseline
	// is empty if the scenario has none.
	Report func(m, baseline Measurement) string
	// Targets are the required bounds of the figures.
	Targets []Target
}

// Target is a required bound of a figure in the last line.
type Target struct {
	Figure string
	// Max and Min bound the figure; nil means unbounded.
	Max *float64
	Min *float64
}

// Run is a scenario in progress.
type Run struct {
	Local  *local.Local
	Driver *load.Driver
	Seed   uint64
	start  time.Time
	clock  clockwork.Clock
}

// Measurement holds what a run measured.
type Measurement struct {
	Name    string
	Seed    uint64
	Results []load.Result
	Summary load.Summary
	// IdealTimes are the response times of the jobs on a single queue without overhead.
	IdealTimes []time.Duration
	// Wasted is the number of messages that led to no task start, per started task, by
	// cause.
	Wasted map[string]float64
	// Attempts is the number of requests that the callers sent to submit jobs.
	Attempts int64
	// FirstFaultAt is when the first fault was due, relative to the start of the run.
	FirstFaultAt time.Duration
	Duration     time.Duration
	// CPU is the processor time of the whole process, including the load driver and
	// the endpoints. Bytes is the traffic between the entries and other processes.
	CPU   time.Duration
	Bytes int64
	// runs are the task runs that the endpoints recorded.
	runs      []sample.Run
	endpoints int
	slots     int
	start     time.Time
}

// Settings configure the run of a benchmark.
type Settings struct {
	Clock  clockwork.Clock
	System *actor.ActorSystem
	Seed   uint64
	// FIFO selects the baseline policy: first come first served, without admission
	// control.
	FIFO bool
}

// defaultJobTimeout is how long callers try to get the answer of a job.
const defaultJobTimeout = 30 * time.Second

// startupTime is the time between the start of the processes and the first job, in
// which they connect.
const startupTime = 500 * time.Millisecond

// RunScenario runs a scenario on a new system and measures it.
func RunScenario(ctx context.Context, s Scenario, settings Settings) (Measurement, error) {
	if s.JobTimeout == 0 {
		s.JobTimeout = defaultJobTimeout
	}
	text := baseConfig + s.ExtraConfig
	if settings.FIFO {
		text = strings.ReplaceAll(text, "max_delay = 5s", "max_delay = 24h")
	}
	l, err := local.Start(ctx, local.Settings{
		Entries:     s.Entries,
		Agents:      s.Agents,
		Slots:       s.Slots,
		Zones:       zoneCount,
		ExtraConfig: []config.File{{Name: "50-bench.ini", Text: text}},
		FIFO:        settings.FIFO,
		Clock:       settings.Clock,
		System:      settings.System,
		Seed:        settings.Seed,
	})
	if err != nil {
		return Measurement{}, err
	}
	defer l.Stop()
	l.Starts().KeepRuns()
	settings.Clock.Sleep(startupTime)
	var callers []string
	for _, n := range l.Entries() {
		callers = append(callers, n.CallerAddress)
	}
	r := &Run{Local: l, Seed: settings.Seed, clock: settings.Clock, start: settings.Clock.Now()}
	r.Driver = load.New(load.Settings{
		EntryAddresses:   callers,
		Clock:            settings.Clock,
		Seed:             settings.Seed,
		JobTimeout:       s.JobTimeout,
		RequestWait:      s.JobTimeout,
		ResubmitInterval: s.ResubmitInterval,
	})
	plan := s.Plan(rand.New(rand.NewPCG(settings.Seed, 0)))
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- r.injectFaults(ctx, s.Faults) }()
	cpu, bytes := cputime.Used(), trafficBytes(l)
	results := r.Driver.Run(ctx, plan)
	cpu, bytes = cputime.Used()-cpu, trafficBytes(l)-bytes
	duration := settings.Clock.Since(r.start)
	select {
	case err := <-failed:
		if err != nil {
			return Measurement{}, err
		}
	default:
	}
	m := r.measure(s, plan, results, duration)
	m.CPU, m.Bytes = cpu, bytes
	return m, nil
}

const zoneCount = 3

// baseConfig is the configuration that all scenarios share.
const baseConfig = `
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

func (r *Run) injectFaults(ctx context.Context, faults []Fault) error {
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return nil
		case <-r.clock.After(f.At - r.clock.Since(r.start)):
		}
		if err := f.Inject(r); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) measure(s Scenario, plan []load.Job, results []load.Result, duration time.Duration) Measurement {
	m := Measurement{
		Name:       s.Name,
		Seed:       r.Seed,
		Results:    results,
		Summary:    load.CheckResults(results, r.Local.Starts(), s.JobTimeout),
		IdealTimes: IdealTimes(plan, s.Agents*s.Slots),
		Attempts:   r.Driver.Attempts(),
		Duration:   duration,
		slots:      s.Slots,
		start:      r.start,
	}
	if len(s.Faults) > 0 {
		m.FirstFaultAt = s.Faults[0].At
	}
	m.runs, m.endpoints = r.Local.Starts().Runs()
	m.Wasted = map[string]float64{}
	started := max(1, r.Local.Starts().Total())
	for _, n := range r.Local.Entries() {
		for cause, count := range n.Entry.Metrics().WastedMessages() {
			m.Wasted[cause] += float64(count) / float64(started)
		}
	}
	return m
}

// IdealTimes returns the response times of the jobs outside the flood on a single
// queue without overhead that serves all slots, first come first served.
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

// Ratios returns the sorted ratios of response time to ideal time of the complete
// jobs that pass the filter.
func (m Measurement) Ratios(include func(load.Result) bool) []float64 {
	var ratios []float64
	for i, r := range m.Results {
		if r.Outcome == "complete" && include(r) && m.IdealTimes[i] > 0 {
			ratios = append(ratios, float64(r.ResponseTime)/float64(m.IdealTimes[i]))
		}
	}
	sort.Float64s(ratios)
	return ratios
}

// NonFloodRatios returns the ratios of the jobs outside the flood.
func (m Measurement) NonFloodRatios() []float64 { return m.Ratios(nonFlood) }

// WastedPerTask returns the number of messages that led to no task start, per started
// task.
func (m Measurement) WastedPerTask() float64 {
	total := 0.0
	for _, w := range m.Wasted {
		total += w
	}
	return total
}

// completionGrace is how long after the last arrival a task still counts as finished.
const completionGrace = 2 * time.Second

// NonFloodCompletedShare returns the share of the tasks outside the flood that were
// finished within completionGrace of the last arrival.
func (m Measurement) NonFloodCompletedShare() float64 {
	sent, done := 0, 0
	var last time.Duration
	for _, r := range m.Results {
		last = max(last, r.Job.At)
	}
	for _, r := range m.Results {
		if r.Job.Flood {
			continue
		}
		sent += r.Job.Tasks
		if r.Outcome == "complete" && r.EndedAt <= last+completionGrace {
			done += r.Job.Tasks
		}
	}
	return float64(done) / float64(max(1, sent))
}

// Slowest returns the jobs with the longest response times.
func (m Measurement) Slowest(count int) []load.Result {
	sorted := slices.Clone(m.Results)
	slices.SortFunc(sorted, func(a, b load.Result) int { return cmp.Compare(b.ResponseTime, a.ResponseTime) })
	return sorted[:min(count, len(sorted))]
}

// Quantile returns a quantile of sorted values, or zero if there are none.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// CompletedShareAfterFault returns the share of completed tasks among the jobs that
// were sent after the first fault.
func (m Measurement) CompletedShareAfterFault() float64 {
	sent, done := 0, 0
	for _, r := range m.Results {
		if r.Job.At < m.FirstFaultAt {
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

// delayThreshold is how far above its ideal time the response time of a job must be
// for the job to count as delayed by a fault.
const delayThreshold = 250 * time.Millisecond

// RecoveryTime returns the time from the first fault to the end of the last job
// that was delayed or did not complete.
func (m Measurement) RecoveryTime() time.Duration {
	var last time.Duration
	for i, r := range m.Results {
		if r.ResponseTime > m.IdealTimes[i]+delayThreshold || r.Outcome != "complete" {
			last = max(last, r.EndedAt)
		}
	}
	return max(0, last-m.FirstFaultAt)
}
