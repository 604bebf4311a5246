package load

import (
	"strconv"
	"time"

	"github.com/corianderhook/corianderhook/lab/sample"
)

// Summary counts the outcomes of a run and the faults found by checking the results
// against the endpoints' record of starts.
type Summary struct {
	Jobs     int
	Outcomes map[string]int
	Tasks    int
	// StartedTwice counts tasks that were started more than once.
	StartedTwice int
	// Lost counts jobs without a final answer after at least maxAnswerTime, and
	// complete ones with a task that no endpoint started.
	Lost int
	// Abandoned counts jobs without a final answer whose callers stopped trying before
	// maxAnswerTime.
	Abandoned int
	// FalseNotRun counts jobs answered not_run although a task was started.
	FalseNotRun int
	// Partial counts complete answers without the valid result of every task.
	Partial int
}

// CheckResults checks the results of a run that has ended. jobTimeout is how long
// the callers tried to get the answer of a job.
func CheckResults(results []Result, starts *sample.Starts, jobTimeout time.Duration) Summary {
	s := Summary{Jobs: len(results), Outcomes: map[string]int{}, StartedTwice: starts.StartedTwice()}
	for _, r := range results {
		s.Outcomes[r.Outcome]++
		s.Tasks += r.Job.Tasks
		checkResult(&s, r, starts, jobTimeout >= maxAnswerTime)
	}
	return s
}

// maxAnswerTime is the longest time a job may take to get a final answer.
const maxAnswerTime = 20 * time.Second

func checkResult(s *Summary, r Result, starts *sample.Starts, waitedLongEnough bool) {
	started := 0
	for i := range r.Job.Tasks {
		if starts.Count(r.Job.Team+"/"+r.Key+"/"+strconv.Itoa(i)) > 0 {
			started++
		}
	}
	switch r.Outcome {
	case "complete":
		if started < r.Job.Tasks {
			s.Lost++
		}
		if !r.ResultsValid {
			s.Partial++
		}
	case "not_run":
		if started > 0 {
			s.FalseNotRun++
		}
	case "none", "pending":
		if !waitedLongEnough {
			s.Abandoned++
			return
		}
		s.Lost++
	}
}
