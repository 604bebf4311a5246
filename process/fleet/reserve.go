package fleet

import (
	"time"

	"github.com/corianderhook/corianderhook/sharing/room"
)

// Reserved returns the share of the room of a service's endpoints that the most urgent work of all
// dispatchers takes, if it is more urgent than given. Agents that do not tell count as without such work.
func (f *Fleet) Reserved(service string, urgency int, now time.Time) float64 {
	taken, capacity := 0.0, 0.0
	for _, a := range f.sorted {
		if a.service == service && f.usable(a, now) {
			taken += float64(room.MostUrgent(a.taken, urgency)) * f.slowness(a, now)
			capacity += float64(a.capacity.CPU)
		}
	}
	if capacity == 0 {
		return 0
	}
	return min(1, taken/capacity)
}
