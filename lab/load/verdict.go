package load

import (
	"strconv"
	"time"

	"github.com/corianderhook/corianderhook/lab/sample"
)

// Verdict is the check of results against the endpoints' record of starts.
type Summary struct {
	Jobs         int
	Outcomes     map[string]int
	Tasks        int
	StartedTwice int
	// Lost are jobs without a final answer in the whole time that a job may take,
	// or complete ones with a task that no endpoint started.
	Lost int
	// GivenUp are jobs that their caller gave up before that time.
	Abandoned   int
	FalseNotRun int
	Partial     int
}

// Judge checks the results of a run that has ended. The callers kept at each job
// for the given time.
func CheckResults(results []Result, starts *sample.Starts, kept time.Duration) Summary {
	v := Summary{Jobs: len(results), Outcomes: map[string]int{}, StartedTwice: starts.StartedTwice()}
	for _, r := range results {
		v.Outcomes[r.Outcome]++
		v.Tasks += r.Job.Tasks
		judge(&v, r, starts, kept >= longestJob)
	}
	return v
}

// longestJob is how long a job may take until it is answered or given up.
const longestJob = 20 * time.Second

func judge(v *Summary, r Result, starts *sample.Starts, patient bool) {
	began := 0
	for i := range r.Job.Tasks {
		if starts.Count(r.Job.Team+"/"+r.Key+"/"+strconv.Itoa(i)) > 0 {
			began++
		}
	}
	switch r.Outcome {
	case "complete":
		if began < r.Job.Tasks {
			v.Lost++
		}
		if !r.ResultsValid {
			v.Partial++
		}
	case "not_run":
		if began > 0 {
			v.FalseNotRun++
		}
	case "none", "pending":
		if !patient {
			v.Abandoned++
			return
		}
		v.Lost++
	}
}
