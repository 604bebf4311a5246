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
	// floodFactor is how many times the capacity a flood sends.
	floodFactor = 10
	// floodWorkMS is how long the tasks of floods take, in milliseconds.
	floodWorkMS = 50
	floodTasks  = 10
)

// floods are the scenarios in which there is far too much work, or bad workers.
func floods() []Scenario {
	return []Scenario{
		{
			Name: "flood-low", Help: "The least urgent kind floods at ten times the capacity.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true, JobTimeout: 6 * time.Second,
			Plan: together(steady(8*time.Second, 0.3, floodAgents*floodSlots, floodWorkMS, 2, "urgent", "plain"),
				flood(2*time.Second, 8*time.Second, "bulk")),
			Report:  reportFlood,
			Targets: append(floodTruth(), Target{Figure: "kept", Min: bound(0.97)}, Target{Figure: "p99_ratio", Max: bound(1.5)}),
		},
		{
			Name: "flood-high", Help: "The most urgent kind floods at ten times the capacity.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true, JobTimeout: 6 * time.Second,
			Plan: together(steady(8*time.Second, 0.3, floodAgents*floodSlots, floodWorkMS, 2, "plain"),
				flood(2*time.Second, 8*time.Second, "urgent")),
			Report:  reportFlood,
			Targets: append(floodTruth(), Target{Figure: "kept", Min: bound(0.95)}),
		},
		{
			Name: "retry-storm", Help: "Overload at 1.2 times the capacity; every unanswered job is sent again each second.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true, JobTimeout: 10 * time.Second,
			ResubmitInterval: time.Second,
			Plan:             steady(8*time.Second, 1.2, floodAgents*floodSlots, floodWorkMS, 4, "plain"),
			Report:           reportFlood,
			Targets:          append(floodTruth(), Target{Figure: "wasted_per_task", Max: bound(0.5)}),
		},
		{
			Name: "blackhole", Help: "One of four endpoints fails every task at once.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true,
			Plan:    steady(10*time.Second, 0.4, floodAgents*floodSlots, floodWorkMS, 2, "urgent", "plain"),
			Faults:  []Fault{{At: 2 * time.Second, Inject: behave(0, sample.Behaviour{FailAll: true})}},
			Report:  reportBlackhole,
			Targets: append(floodTruth(), Target{Figure: "failed_after_1s", Max: bound(0.02)}),
		},
		{
			Name: "straggler", Help: "One of four endpoints becomes ten times slower.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true,
			Plan:    steady(10*time.Second, 0.4, floodAgents*floodSlots, floodWorkMS, 2, "urgent", "plain"),
			Faults:  []Fault{{At: 2 * time.Second, Inject: behave(0, sample.Behaviour{Slowdown: 10})}},
			Report:  reportFlood,
			Targets: append(floodTruth(), Target{Figure: "p99_ratio", Max: bound(2)}),
		},
		{
			Name: "poison", Help: "Jobs whose tasks fail everywhere, beside healthy work.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true,
			Plan: together(steady(8*time.Second, 0.3, floodAgents*floodSlots, floodWorkMS, 2, "urgent", "plain"),
				poison(8*time.Second)),
			Report:  reportFlood,
			Targets: append(floodTruth(), Target{Figure: "kept", Min: bound(0.99)}),
		},
	}
}

func floodTruth() []Target {
	return []Target{{Figure: "started_twice", Max: bound(0)}, {Figure: "lost", Max: bound(0)}}
}

func together(plans ...func(*rand.Rand) []load.Job) func(*rand.Rand) []load.Job {
	return func(r *rand.Rand) []load.Job {
		var all []load.Job
		for _, p := range plans {
			all = slices.Concat(all, p(r))
		}
		return all
	}
}

// flood returns jobs of a kind at floodFactor times the capacity. Their tasks
// take half to one and a half times floodWorkMS: equal times would make all
// slots end their tasks together, for the whole flood.
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

// poison returns jobs that fail wherever they run.
func poison(length time.Duration) func(*rand.Rand) []load.Job {
	return func(r *rand.Rand) []load.Job {
		var plan []load.Job
		for at := 500 * time.Millisecond; at < length; at += 100 * time.Millisecond {
			plan = append(plan, load.Job{
				At: at, Team: "cedar-bowl", Kind: "bulk", Tasks: 8, WorkMS: 5, Fail: true, Entry: r.IntN(3), Flood: true,
			})
		}
		return plan
	}
}

func behave(i int, b sample.Behaviour) func(*Run) error {
	return func(r *Run) error {
		r.Local.Agents()[i].Endpoint.SetBehaviour(b)
		return nil
	}
}

func beside(r load.Result) bool { return !r.Job.Flood }

// besideUrgent keeps the most urgent kind beside the flood, or all beside it
// where the most urgent kind is the flood.
func besideUrgent(o Measurement) func(load.Result) bool {
	urgent := slices.ContainsFunc(o.Results, func(r load.Result) bool { return !r.Job.Flood && r.Job.Kind == "urgent" })
	return func(r load.Result) bool { return beside(r) && (!urgent || r.Job.Kind == "urgent") }
}

func reportFlood(o, baseline Measurement) string {
	ratios := o.Ratios(besideUrgent(o))
	base := baseline.Ratios(besideUrgent(baseline))
	return fmt.Sprintf("bench %s: kept=%.3f p50_ratio=%.2f p99_ratio=%.2f wasted_per_task=%.3f baseline_kept=%.3f baseline_p99_ratio=%.2f started_twice=%d lost=%d",
		o.Name, o.NonFloodCompletedShare(), Quantile(ratios, 0.5), Quantile(ratios, 0.99), o.WastedPerTask(),
		baseline.NonFloodCompletedShare(), Quantile(base, 0.99), o.Summary.StartedTwice, o.Summary.Lost)
}

// afterFault is when the dispatcher has to know which worker fails.
const afterFault = time.Second

func (o Measurement) failedAfter() float64 {
	sent, failed := 0, 0
	for _, r := range o.Results {
		if r.Job.At < o.FirstFaultAt+afterFault {
			continue
		}
		sent++
		if r.Outcome != "complete" {
			failed++
		}
	}
	return float64(failed) / float64(max(1, sent))
}

func reportBlackhole(o, baseline Measurement) string {
	return fmt.Sprintf("%s failed_after_1s=%.3f baseline_failed_after_1s=%.3f", reportFlood(o, baseline), o.failedAfter(), baseline.failedAfter())
}
