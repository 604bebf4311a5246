// Package outcome defines the four final outcomes of a job, and Pending for a job
// without one.
package outcome

import "fmt"

//go:generate stringer -type=Outcome -linecomment

// Outcome is the result of a job as reported to its caller.
type Outcome uint8

const (
	// Pending means that the job has not ended. It is never a final answer.
	Pending Outcome = iota // pending
	// Complete means that every task succeeded and the answer has all results.
	Complete // complete
	// Failed means that a task failed for good, or that the job was abandoned before
	// all of its tasks had started.
	Failed // failed
	// NotRun means that no task of the submission has started or will start.
	NotRun // not_run
	// Unknown means that tasks may have run and it cannot be determined which.
	Unknown // unknown
)

// Parse converts a text that String returned.
func Parse(text string) (Outcome, error) {
	for o := Pending; o <= Unknown; o++ {
		if o.String() == text {
			return o, nil
		}
	}
	return Pending, fmt.Errorf("outcome %q does not exist", text)
}
