// Package outcome names the four ways in which a job can end for its caller.
package outcome

import "fmt"

//go:generate stringer -type=Outcome -linecomment

// Outcome is what a caller is told about its job.
type Outcome uint8

const (
	// Pending means that the job has no outcome yet. It is never a final answer.
	Pending Outcome = iota // pending
	// Complete means that every task succeeded and the answer holds each result.
	Complete // complete
	// Failed means that at least one task failed for good.
	Failed // failed
	// NotRun means that no task of the submission started and none will.
	NotRun // not_run
	// Unknown means that tasks may have run and nobody can prove more.
	Unknown // unknown
)

// Parse reads the form that String writes.
func Parse(text string) (Outcome, error) {
	for o := Pending; o <= Unknown; o++ {
		if o.String() == text {
			return o, nil
		}
	}
	return Pending, fmt.Errorf("outcome %q does not exist", text)
}
