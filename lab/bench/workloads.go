package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/corianderhook/corianderhook/lab/load"
	"github.com/corianderhook/corianderhook/lab/sample"
)

const (
	// waveAt is when the wave, which is waveJobs jobs, is cancelled.
	waveAt = 3 * time.Second
	// waveJobs is the number of jobs of the wave.
	waveJobs = 200
	// waveRefillTime is how long after the wave the slots may take to be busy with other
	// jobs.
	waveRefillTime = 200 * time.Millisecond
	// waveBusyShare is the share of busy slots that counts as all of them, as each slot
	// is idle for a round trip between two tasks.
	waveBusyShare = 0.95
	// usualWorkMS is the usual run time of tasks of the misdeclared kind, in milliseconds.
	usualWorkMS = 5
	// misdeclaredLoad is the load of the misdeclared jobs, as a multiple of the capacity.
	misdeclaredLoad = 1.5
)

// workloadScenarios returns the scenarios in which jobs are cancelled or have
// misleading run times.
func workloadScenarios() []Scenario {
	const slots = floodAgents * floodSlots
	return []Scenario{
		{
			Name: "cancel-wave", Help: "200 jobs that hold most slots are cancelled at once, beside too much other work.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true, JobTimeout: 6 * time.Second,
			Plan:   combine(poissonArrivals(6*time.Second, 1.3, slots, floodWorkMS, 4, "plain"), cancelledJobs()),
			Report: reportWave,
			Targets: append(floodTargets(),
				Target{Figure: "refilled_ms", Max: bound(float64(waveRefillTime / time.Millisecond))},
				Target{Figure: "late_starts", Max: bound(0)}),
		},
		{
			Name: "misdeclared", Help: "One team's tasks take 10 to 100 times as long as the others' of their kind, at 1.5 times the capacity.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true, JobTimeout: 6 * time.Second,
			Plan: combine(poissonArrivals(8*time.Second, 0.15, slots, floodWorkMS, 2, "urgent"),
				usualJobs(8*time.Second), misdeclaredJobs(2*time.Second, 8*time.Second)),
			Report:  reportFlood,
			Targets: append(floodTargets(), Target{Figure: "kept", Min: bound(0.97)}),
		},
	}
}

// cancelledJobs returns jobs of the most urgent kind that are all cancelled at waveAt.
func cancelledJobs() func(*rand.Rand) []load.Job {
	return func(r *rand.Rand) []load.Job {
		var plan []load.Job
		for i := range waveJobs {
			plan = append(plan, load.Job{
				At:       time.Second + time.Duration(i)*time.Second/waveJobs,
				Team:     "remaches",
				Kind:     "urgent",
				Tasks:    floodTasks,
				WorkMS:   floodWorkMS * (0.5 + r.Float64()),
				Entry:    r.IntN(3),
				CancelAt: waveAt,
				Flood:    true,
			})
		}
		return plan
	}
}

// usualJobs returns jobs whose tasks have the usual run time of their kind, at a fifth
// of the capacity.
func usualJobs(duration time.Duration) func(*rand.Rand) []load.Job {
	return func(r *rand.Rand) []load.Job {
		plan := poissonArrivals(duration, 0.2, floodAgents*floodSlots, usualWorkMS, 4, "plain")(r)
		for i := range plan {
			plan[i].Team = "cedar-bowl"
		}
		return plan
	}
}

// misdeclaredJobs returns jobs of the same kind whose tasks take 10 to 100 times as long.
func misdeclaredJobs(from, to time.Duration) func(*rand.Rand) []load.Job {
	// meanFactor is the mean of a factor of 10 to 100 whose logarithm is uniformly
	// distributed.
	meanFactor := 90 / math.Log(10)
	return func(r *rand.Rand) []load.Job {
		perSecond := misdeclaredLoad * floodAgents * floodSlots / (usualWorkMS * meanFactor / 1000) / floodTasks
		var plan []load.Job
		for at := from; at < to; at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)) {
			plan = append(plan, load.Job{
				At:     at,
				Team:   "remaches",
				Kind:   "plain",
				Tasks:  floodTasks,
				WorkMS: usualWorkMS * math.Pow(10, 1+r.Float64()),
				Entry:  r.IntN(3),
				Flood:  true,
			})
		}
		return plan
	}
}

// RefillTime returns how long after the wave the slots were busy with other jobs
// again, and how many tasks of the wave started later than waveRefillTime after it.
func (m Measurement) RefillTime() (after time.Duration, lateStarts int) {
	cancelled := map[string]bool{}
	for _, r := range m.Results {
		cancelled[r.Job.Team+"/"+r.Key] = r.Job.Flood
	}
	var useful []sample.Run
	for _, r := range m.runs {
		if !cancelled[jobName(r)] {
			useful = append(useful, r)
		} else if r.From.Sub(m.start) > waveAt+waveRefillTime {
			lateStarts++
		}
	}
	busy, needed := 0, int(math.Ceil(waveBusyShare*float64(m.slots*m.endpoints)))
	for _, e := range eventsOf(useful, m.start) {
		busy += e.change
		if e.at >= waveAt && busy >= needed {
			return e.at - waveAt, lateStarts
		}
	}
	return m.Duration, lateStarts
}

func reportWave(m, baseline Measurement) string {
	after, late := m.RefillTime()
	baselineAfter, _ := baseline.RefillTime()
	return fmt.Sprintf("%s refilled_ms=%.0f late_starts=%d baseline_refilled_ms=%.0f",
		reportFlood(m, baseline), after.Seconds()*1000, late, baselineAfter.Seconds()*1000)
}
