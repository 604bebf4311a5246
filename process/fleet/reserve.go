package fleet

import (
	"time"

	"github.com/corianderhook/corianderhook/sharing/room"
)

// Reserved returns the share of the room of a service's endpoints that the most urgent work of all
// dispatchers takes, if it is more urgent than given. Agents that do not tell count as without such work.
func (f *Fleet) Reserved(service string, urgency int, now time.Time) float64 {
	mostUrgent := f.mostUrgent(service, urgency, now)
	taken, capacity := 0.0, 0.0
	for _, a := range f.sorted {
		if a.service != service || !f.usable(a, now) {
			continue
		}
		if mostUrgent < len(a.taken) {
			// What a slow endpoint takes is no more than its room.
			taken += min(float64(a.taken[mostUrgent])*f.slowness(a, now), float64(a.capacity.CPU))
		}
		capacity += float64(a.capacity.CPU)
	}
	if capacity == 0 {
		return 0
	}
	return min(1, taken/capacity)
}

// mostUrgent returns the most urgent level of the work at a service's endpoints, or room.Levels if
// none is more urgent than given.
func (f *Fleet) mostUrgent(service string, urgency int, now time.Time) int {
	mostUrgent := room.Levels
	for _, a := range f.sorted {
		if a.service != service || !f.usable(a, now) {
			continue
		}
		if level, found := room.MostUrgent(a.taken, urgency); found {
			mostUrgent = min(mostUrgent, level)
		}
	}
	return mostUrgent
}
