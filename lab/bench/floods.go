package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/lab/load"
	"github.com/corianderhook/corianderhook/lab/sample"
)

const (
	floodAgents = 4
	floodSlots  = 8
	// floodFactor is the load of a flood, as a multiple of the capacity.
	floodFactor = 10
	// floodWorkMS is the mean run time of the tasks of a flood, in milliseconds.
	floodWorkMS = 50
	// floodTasks is the number of tasks of a job of a flood.
	floodTasks = 10
)

// floodScenarios returns the scenarios with overload, faulty endpoints or failing
// tasks.
func floodScenarios() []Scenario {
	return []Scenario{
		{
			Name: "flood-low", Help: "The least urgent kind floods at ten times the capacity.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true, JobTimeout: 6 * time.Second,
			Plan: combine(poissonArrivals(8*time.Second, 0.3, floodAgents*floodSlots, floodWorkMS, 2, "urgent", "plain"),
				flood(2*time.Second, 8*time.Second, "bulk")),
			Report:  reportFlood,
			Targets: append(floodTargets(), Target{Figure: "kept", Min: bound(0.97)}, Target{Figure: "p99_ratio", Max: bound(1.5)}),
		},
		{
			Name: "flood-high", Help: "The most urgent kind floods at ten times the capacity.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true, JobTimeout: 6 * time.Second,
			Plan: combine(poissonArrivals(8*time.Second, 0.3, floodAgents*floodSlots, floodWorkMS, 2, "plain"),
				flood(2*time.Second, 8*time.Second, "urgent")),
			Report:  reportFlood,
			Targets: append(floodTargets(), Target{Figure: "kept", Min: bound(0.95)}),
		},
		{
			Name: "retry-storm", Help: "Overload at 1.2 times the capacity; every unanswered job is sent again each second.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true, JobTimeout: 10 * time.Second,
			ResubmitInterval: time.Second,
			Plan:             poissonArrivals(8*time.Second, 1.2, floodAgents*floodSlots, floodWorkMS, 4, "plain"),
			Report:           reportFlood,
			Targets:          append(floodTargets(), Target{Figure: "wasted_per_task", Max: bound(0.5)}),
		},
		{
			Name: "blackhole", Help: "One of four endpoints fails every task at once.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true,
			Plan:    poissonArrivals(10*time.Second, 0.4, floodAgents*floodSlots, floodWorkMS, 2, "urgent", "plain"),
			Faults:  []Fault{{At: 2 * time.Second, Inject: setBehaviour(0, sample.Behaviour{FailAll: true})}},
			Report:  reportBlackhole,
			Targets: append(floodTargets(), Target{Figure: "failed_after_1s", Max: bound(0.02)}),
		},
		{
			Name: "straggler", Help: "One of four endpoints becomes ten times slower.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true,
			Plan:    poissonArrivals(10*time.Second, 0.4, floodAgents*floodSlots, floodWorkMS, 2, "urgent", "plain"),
			Faults:  []Fault{{At: 2 * time.Second, Inject: setBehaviour(0, sample.Behaviour{Slowdown: 10})}},
			Report:  reportFlood,
			Targets: append(floodTargets(), Target{Figure: "p99_ratio", Max: bound(2)}),
		},
		{
			Name: "poison", Help: "Jobs whose tasks fail everywhere, beside healthy work.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true,
			Plan: combine(poissonArrivals(8*time.Second, 0.3, floodAgents*floodSlots, floodWorkMS, 2, "urgent", "plain"),
				poison(8*time.Second)),
			Report:  reportFlood,
			Targets: append(floodTargets(), Target{Figure: "kept", Min: bound(0.99)}),
		},
	}
}

// floodTargets returns the correctness targets of the flood and workload scenarios.
func floodTargets() []Target {
	return []Target{{Figure: "started_twice", Max: bound(0)}, {Figure: "lost", Max: bound(0)}}
}

// combine returns a plan with the jobs of all given plans.
func combine(plans ...func(*rand.Rand) []load.Job) func(*rand.Rand) []load.Job {
	return func(r *rand.Rand) []load.Job {
		var all []load.Job
		for _, p := range plans {
			all = slices.Concat(all, p(r))
		}
		return all
	}
}

// flood returns jobs of a kind at floodFactor times the capacity. Their tasks take
// 0.5 to 1.5 times floodWorkMS. With equal run times all slots would end their tasks
// at the same moments throughout the flood.
func flood(from, to time.Duration, kind string) func(*rand.Rand) []load.Job {
	return func(r *rand.Rand) []load.Job {
		perSecond := floodFactor * floodAgents * floodSlots * 1000 / floodWorkMS / floodTasks
		var plan []load.Job
		for i := range int((to - from).Seconds() * float64(perSecond)) {
			plan = append(plan, load.Job{
				At:     from + time.Duration(i)*time.Second/time.Duration(perSecond),
				Team:   "remaches",
				Kind:   kind,
				Tasks:  floodTasks,
				WorkMS: floodWorkMS * (0.5 + r.Float64()),
				Entry:  r.IntN(3),
				Flood:  true,
			})
		}
		return plan
	}
}

// poison returns jobs whose tasks fail at every endpoint.
func poison(duration time.Duration) func(*rand.Rand) []load.Job {
	return func(r *rand.Rand) []load.Job {
		var plan []load.Job
		for at := 500 * time.Millisecond; at < duration; at += 100 * time.Millisecond {
			plan = append(plan, load.Job{
				At: at, Team: "cedar-bowl", Kind: "bulk", Tasks: 8, WorkMS: 5, Fail: true, Entry: r.IntN(3), Flood: true,
			})
		}
		return plan
	}
}

func setBehaviour(i int, b sample.Behaviour) func(*Run) error {
	return func(r *Run) error {
		r.Local.Agents()[i].Endpoint.SetBehaviour(b)
		return nil
	}
}

func nonFlood(r load.Result) bool { return !r.Job.Flood }

// urgentNonFlood returns a filter for the jobs of the most urgent kind outside the
// flood, or for all jobs outside the flood if there are none of that kind.
func urgentNonFlood(m Measurement) func(load.Result) bool {
	urgent := slices.ContainsFunc(m.Results, func(r load.Result) bool { return !r.Job.Flood && r.Job.Kind == "urgent" })
	return func(r load.Result) bool { return nonFlood(r) && (!urgent || r.Job.Kind == "urgent") }
}

func reportFlood(m, baseline Measurement) string {
	ratios := m.Ratios(urgentNonFlood(m))
	base := baseline.Ratios(urgentNonFlood(baseline))
	return fmt.Sprintf("bench %s: kept=%.3f p50_ratio=%.2f p99_ratio=%.2f wasted_per_task=%.3f baseline_kept=%.3f baseline_p99_ratio=%.2f started_twice=%d lost=%d",
		m.Name, m.NonFloodCompletedShare(), Quantile(ratios, 0.5), Quantile(ratios, 0.99), m.WastedPerTask(),
		baseline.NonFloodCompletedShare(), Quantile(base, 0.99), m.Summary.StartedTwice, m.Summary.Lost)
}

// detectionTime is how long the dispatcher may take to detect a failing endpoint.
const detectionTime = time.Second

// failedShareAfterFault returns the share of jobs that did not complete among those
// sent later than detectionTime after the first fault.
func (m Measurement) failedShareAfterFault() float64 {
	sent, failed := 0, 0
	for _, r := range m.Results {
		if r.Job.At < m.FirstFaultAt+detectionTime {
			continue
		}
		sent++
		if r.Outcome != "complete" {
			failed++
		}
	}
	return float64(failed) / float64(max(1, sent))
}

// reportBlackhole reports the scenario in which an endpoint fails every task at once, and
// so is free for more tasks sooner than the others.
func reportBlackhole(m, baseline Measurement) string {
	return fmt.Sprintf("%s failed_after_1s=%.3f baseline_failed_after_1s=%.3f", reportFlood(m, baseline), m.failedShareAfterFault(), baseline.failedShareAfterFault())
}
