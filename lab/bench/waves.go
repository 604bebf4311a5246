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
	// waveAt is when all jobs of the wave are cancelled.
	waveAt = 3 * time.Second
	// waveJobs are the jobs that are cancelled together.
	waveJobs = 200
	// waveSettled is within which time the slots have to be useful again.
	waveSettled = 200 * time.Millisecond
	// waveBusy is the share of the slots that counts as all of them: between two
	// tasks each slot stands still for the time of a message there and back.
	waveBusy = 0.95
	// declaredMS is what tasks of the misdeclared kind usually take, in milliseconds.
	declaredMS = 5
	// misdeclaredLoad is the load by misdeclared jobs, in capacities.
	misdeclaredLoad = 1.5
)

// waves are the scenarios in which work goes away or is not what it seems.
func waves() []Scenario {
	const slots = floodAgents * floodSlots
	return []Scenario{
		{
			Name: "cancel-wave", Help: "200 jobs that hold most slots are cancelled at once, beside too much other work.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true, JobTimeout: 6 * time.Second,
			Plan:   together(steady(6*time.Second, 1.3, slots, floodWorkMS, 4, "plain"), wave()),
			Report: reportWave,
			Targets: append(floodTruth(),
				Target{Figure: "refilled_ms", Max: bound(float64(waveSettled / time.Millisecond))},
				Target{Figure: "late_starts", Max: bound(0)}),
		},
		{
			Name: "misdeclared", Help: "One team's tasks take 10 to 100 times as long as the others' of their kind, at 1.5 times the capacity.",
			Entries: 3, Agents: floodAgents, Slots: floodSlots, Baseline: true, JobTimeout: 6 * time.Second,
			Plan: together(steady(8*time.Second, 0.15, slots, floodWorkMS, 2, "urgent"),
				honest(8*time.Second), misdeclared(2*time.Second, 8*time.Second)),
			Report:  reportFlood,
			Targets: append(floodTruth(), Target{Figure: "kept", Min: bound(0.97)}),
		},
	}
}

// wave returns jobs of the most urgent kind that are all cancelled at waveAt.
func wave() func(*rand.Rand) []load.Job {
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

// honest returns jobs whose tasks take what is usual for their kind, at a fifth
// of the capacity.
func honest(length time.Duration) func(*rand.Rand) []load.Job {
	return func(r *rand.Rand) []load.Job {
		plan := steady(length, 0.2, floodAgents*floodSlots, declaredMS, 4, "plain")(r)
		for i := range plan {
			plan[i].Team = "cedar-bowl"
		}
		return plan
	}
}

// misdeclared returns jobs of the same kind whose tasks take 10 to 100 times as long.
func misdeclared(from, to time.Duration) func(*rand.Rand) []load.Job {
	// meanFactor is the mean of a factor whose logarithm is spread evenly.
	meanFactor := 90 / math.Log(10)
	return func(r *rand.Rand) []load.Job {
		perSecond := misdeclaredLoad * floodAgents * floodSlots / (declaredMS * meanFactor / 1000) / floodTasks
		var plan []load.Job
		for at := from; at < to; at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)) {
			plan = append(plan, load.Job{
				At:     at,
				Team:   "remaches",
				Kind:   "plain",
				Tasks:  floodTasks,
				WorkMS: declaredMS * math.Pow(10, 1+r.Float64()),
				Entry:  r.IntN(3),
				Flood:  true,
			})
		}
		return plan
	}
}

// Refilled returns how long after the wave all slots did useful work again, and
// how many cancelled tasks started later than they should.
func (o Measurement) RefillTime() (after time.Duration, lateStarts int) {
	cancelled := map[string]bool{}
	for _, r := range o.Results {
		cancelled[r.Job.Team+"/"+r.Key] = r.Job.Flood
	}
	var useful []sample.Run
	for _, r := range o.runs {
		if !cancelled[jobOf(r)] {
			useful = append(useful, r)
		} else if r.From.Sub(o.began) > waveAt+waveSettled {
			lateStarts++
		}
	}
	busy, needed := 0, int(math.Ceil(waveBusy*float64(o.slots*o.endpoints)))
	for _, e := range edgesOf(useful, o.began) {
		busy += e.change
		if e.at >= waveAt && busy >= needed {
			return e.at - waveAt, lateStarts
		}
	}
	return o.Duration, lateStarts
}

func reportWave(o, baseline Measurement) string {
	after, late := o.RefillTime()
	baselineAfter, _ := baseline.RefillTime()
	return fmt.Sprintf("%s refilled_ms=%.0f late_starts=%d baseline_refilled_ms=%.0f",
		reportFlood(o, baseline), after.Seconds()*1000, late, baselineAfter.Seconds()*1000)
}
