package scheduler

import "slices"

// Reason and detail of the answer to a job whose callers have left.
const (
	abandonedReason = "abandoned"
	abandonedDetail = "the caller has left"
)

// isAbandoned reports whether all callers of the job have left. It is asked in the step that
// places tasks: a process that was paused may not have handled the ends of their connections yet.
func (j *job) isAbandoned() bool {
	return !slices.ContainsFunc(j.callersHaveLeft, func(hasLeft func() bool) bool { return hasLeft == nil || !hasLeft() })
}
