package report

import (
	"fmt"
	"runtime/debug"
)

// shortCommit is the number of digits of the commit in the title of a plot.
const shortCommitLength = 12

func (r *Report) baseName() string { return fmt.Sprintf("%s-seed-%d", r.Scenario, r.Seed) }

func (r *Report) title() string {
	return fmt.Sprintf("bench %s --seed %d, %d entries, %d agents with %d slots, commit %s",
		r.Scenario, r.Seed, r.Size.Entries, r.Size.Agents, r.Size.Slots, r.Commit[:min(len(r.Commit), shortCommitLength)])
}

// Commit returns the commit that the binary was built from, with "+" if there were
// uncommitted changes, or "unknown".
func Commit() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	commit, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return commit + changed
}
