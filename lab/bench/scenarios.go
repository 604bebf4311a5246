package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/connection/logclient"
	"github.com/corianderhook/corianderhook/lab/load"
)

// bound returns a pointer to f, for the bounds of a Target.
func bound(f float64) *float64 { return &f }

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return slices.Concat(loadScenarios(), faultScenarios(), floodScenarios(), workloadScenarios())
}

// loadScenarios returns the scenarios without faults.
func loadScenarios() []Scenario {
	return []Scenario{
		{
			Name: "idle", Help: "Response time against the ideal at half load, 50 ms tasks.",
			Entries: 3, Agents: 4, Slots: 8,
			Plan:   poissonArrivals(10*time.Second, 0.5, 4*8, 50, 4, "plain"),
			Report: reportIdle,
			Targets: []Target{
				{Figure: "ratio_p50", Max: bound(1.05)},
				{Figure: "ratio_p99", Max: bound(1.25)},
				{Figure: "wasted_per_task", Max: bound(0.2)},
				{Figure: "idle_waiting_p99_ms", Max: bound(5)},
			},
		},
		{
			Name: "serial", Help: "Response time of jobs of one task on an idle system, 50 ms tasks.",
			Entries: 3, Agents: 4, Slots: 8,
			Plan:   poissonArrivals(5*time.Second, 0.03, 4*8, 50, 1, "plain"),
			Report: reportIdle,
		},
		{
			Name: "throughput", Help: "Task starts a second with 0 ms tasks in large jobs.",
			Entries: 3, Agents: 4, Slots: 64,
			Plan:        fixedRate(5*time.Second, 200, 100),
			ExtraConfig: "[limits]\nkeys_per_slot = 1000000\n",
			Report:      reportThroughput,
		},
	}
}

// faultScenarios returns the scenarios in which a part of the system fails.
func faultScenarios() []Scenario {
	return []Scenario{
		{
			Name: "takeover", Help: "One of three entries dies without warning under load.",
			Entries: 3, Agents: 4, Slots: 8,
			Plan:    poissonArrivals(14*time.Second, 0.5, 4*8, 50, 4, "urgent", "plain"),
			Faults:  []Fault{{At: 4 * time.Second, Inject: killEntry(0)}},
			Report:  reportFault,
			Targets: append(correctnessTargets(), Target{Figure: "recovered_s", Max: bound(5)}, Target{Figure: "unknown", Max: bound(0)}),
		},
		{
			Name: "outage", Help: "The log is down for the whole run; an agent is replaced meanwhile.",
			Entries: 3, Agents: 4, Slots: 8,
			Plan: poissonArrivals(14*time.Second, 0.5, 4*8, 50, 4, "urgent", "plain"),
			Faults: []Fault{
				{At: 0, Inject: setLogFaults(logclient.Faults{Down: true})},
				{At: 5 * time.Second, Inject: replaceAgent(0)},
			},
			Report:  reportFault,
			Targets: append(correctnessTargets(), Target{Figure: "kept", Min: bound(0.98)}),
		},
		{
			Name: "pause", Help: "One of three entries is held for 6 s and wakes again.",
			Entries: 3, Agents: 4, Slots: 8,
			Plan: poissonArrivals(16*time.Second, 0.5, 4*8, 50, 4, "urgent", "plain"),
			Faults: []Fault{
				{At: 3 * time.Second, Inject: pauseEntry(0)},
				{At: 9 * time.Second, Inject: resumeEntry(0)},
			},
			Report:  reportFault,
			Targets: correctnessTargets(),
		},
		{
			Name: "silent", Help: "Every connection to one entry goes silent; new ones work.",
			Entries: 3, Agents: 4, Slots: 8,
			Plan:    poissonArrivals(12*time.Second, 0.5, 4*8, 50, 4, "urgent", "plain"),
			Faults:  []Fault{{At: 4 * time.Second, Inject: silenceConnections(0)}},
			Report:  reportFault,
			Targets: append(correctnessTargets(), Target{Figure: "recovered_s", Max: bound(3)}, Target{Figure: "unknown", Max: bound(0)}),
		},
	}
}

// correctnessTargets returns the targets that hold in every fault scenario.
func correctnessTargets() []Target {
	var targets []Target
	for _, figure := range []string{"started_twice", "lost", "false_not_run", "partial"} {
		targets = append(targets, Target{Figure: figure, Max: bound(0)})
	}
	return targets
}

// poissonArrivals returns jobs of 1 to 2*meanTasks-1 tasks that arrive as a Poisson
// process and keep the given share of the slots busy.
func poissonArrivals(duration time.Duration, utilisation float64, slots int, workMS float64, meanTasks int, kinds ...string) func(*rand.Rand) []load.Job {
	return func(r *rand.Rand) []load.Job {
		perSecond := utilisation * float64(slots) / (workMS / 1000) / float64(meanTasks)
		var plan []load.Job
		for at := time.Duration(0); at < duration; {
			at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
			plan = append(plan, load.Job{
				At:     at,
				Team:   []string{"cedar-bowl", "remaches"}[r.IntN(2)],
				Kind:   kinds[r.IntN(len(kinds))],
				Tasks:  1 + r.IntN(2*meanTasks-1),
				WorkMS: workMS,
				Entry:  r.IntN(3),
			})
		}
		return plan
	}
}

// fixedRate returns jobs of 0 ms tasks at a fixed rate.
func fixedRate(duration time.Duration, jobsPerSecond, tasks int) func(*rand.Rand) []load.Job {
	return func(r *rand.Rand) []load.Job {
		var plan []load.Job
		for i := range int(duration.Seconds() * float64(jobsPerSecond)) {
			plan = append(plan, load.Job{
				At:    time.Duration(i) * time.Second / time.Duration(jobsPerSecond),
				Team:  "remaches",
				Kind:  "plain",
				Tasks: tasks,
				Entry: r.IntN(3),
			})
		}
		return plan
	}
}

func killEntry(i int) func(*Run) error {
	return func(r *Run) error {
		r.Driver.SetDown(i, true)
		r.Local.Entries()[i].Entry.Kill()
		return nil
	}
}

func setLogFaults(f logclient.Faults) func(*Run) error {
	return func(r *Run) error {
		r.Local.Log().SetFaults(f)
		return nil
	}
}

func replaceAgent(i int) func(*Run) error {
	return func(r *Run) error {
		r.Local.KillAgent(r.Local.Agents()[i])
		_, err := r.Local.AddAgent("replacement", i)
		return err
	}
}

// pauseEntry holds back all messages to and from an entry and takes it out of the load
// balancer.
func pauseEntry(i int) func(*Run) error {
	return func(r *Run) error {
		r.Driver.SetDown(i, true)
		r.Local.Entries()[i].Gate.Shut()
		return nil
	}
}

func resumeEntry(i int) func(*Run) error {
	return func(r *Run) error {
		r.Local.Entries()[i].Gate.Open()
		r.Driver.SetDown(i, false)
		return nil
	}
}

// silenceConnections turns an entry's open connections from other processes into black
// holes.
func silenceConnections(i int) func(*Run) error {
	return func(r *Run) error {
		r.Local.Entries()[i].ProcessListener.Blackhole()
		return nil
	}
}

func everyJob(load.Result) bool { return true }

func reportIdle(m, _ Measurement) string {
	ratios := m.Ratios(everyJob)
	var overheads []float64
	for i, r := range m.Results {
		overheads = append(overheads, float64(r.ResponseTime-m.IdealTimes[i])/float64(time.Millisecond))
	}
	sortFloats(overheads)
	return fmt.Sprintf("bench %s: overhead_p50_ms=%.2f overhead_p99_ms=%.2f ratio_p50=%.3f ratio_p99=%.3f wasted_per_task=%.3f idle_waiting_p99_ms=%.1f",
		m.Name, Quantile(overheads, 0.5), Quantile(overheads, 0.99), Quantile(ratios, 0.5), Quantile(ratios, 0.99), m.WastedPerTask(),
		Quantile(m.IdleWhileWaiting(), 0.99))
}

func reportFault(m, _ Measurement) string {
	s := m.Summary
	return fmt.Sprintf("bench %s: started_twice=%d lost=%d false_not_run=%d partial=%d unknown=%d recovered_s=%.2f kept=%.3f",
		m.Name, s.StartedTwice, s.Lost, s.FalseNotRun, s.Partial, s.Outcomes["unknown"], m.RecoveryTime().Seconds(), m.CompletedShareAfterFault())
}

// reportThroughput divides the task starts per second by the number of cores that the
// whole system kept busy. The result is a lower bound for an entry, which uses only a
// part of that time.
func reportThroughput(m, _ Measurement) string {
	starts := float64(max(1, m.Summary.Tasks))
	cores := m.CPU.Seconds() / m.Duration.Seconds()
	return fmt.Sprintf("bench throughput: starts_per_s=%.0f starts_per_s_per_core=%.0f cpu_us_per_start=%.1f bytes_per_start=%.0f jobs=%d complete=%d not_run=%d started_twice=%d lost=%d",
		starts/m.Duration.Seconds(), starts/m.Duration.Seconds()/cores, float64(m.CPU.Microseconds())/starts, float64(m.Bytes)/starts,
		m.Summary.Jobs, m.Summary.Outcomes["complete"], m.Summary.Outcomes["not_run"], m.Summary.StartedTwice, m.Summary.Lost)
}
