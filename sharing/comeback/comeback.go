// Package comeback spreads the return of refused callers: those that are refused together would
// otherwise come back together, as a second burst. It does no I/O.
package comeback

import (
	"hash/fnv"
	"time"
)

// Window is the time span within which refused callers return.
type Window struct{ Earliest, Latest time.Duration }

// After returns when the caller of a job should return if room is expected to fall free after the
// given time: between then and twice then, but within the window. The same job gets the same
// share of the spread at every dispatcher.
func (w Window) After(job string, free time.Duration) time.Duration {
	earliest := min(max(free, w.Earliest), w.Latest)
	spread := min(earliest, w.Latest-earliest)
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	const steps = 1 << 10
	return earliest + spread*time.Duration(h.Sum32()%steps)/steps
}
