package claim

//go:generate stringer -type=Verdict -linecomment

// Verdict is what becomes of a job that a dispatcher wants to submit.
type Verdict uint8

const (
	// Granted means that the job may be submitted.
	Granted Verdict = iota // granted
	// Held means that another dispatcher has the job.
	Held // held
	// Unsure means that another dispatcher may have the job, and that nobody can tell.
	Unsure // unsure
	// Completed means that the job has been completed, and is not run again.
	Completed // completed
	// Canceled means that the job's caller has canceled it.
	Canceled // canceled
)
