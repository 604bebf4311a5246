package interference

import (
	"hash/fnv"

	"github.com/corianderhook/corianderhook/wire"
)

// Permille is the unit of the estimates in reports.
const Permille = 1000

// Hash returns the number that stands for a queue in reports.
func Hash(queue string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(queue))
	return h.Sum32()
}

// Wire returns the estimates of the last evaluation as a report has them.
func (e *Estimator) Wire() *wire.Slowings {
	all := &wire.Slowings{}
	for _, s := range e.estimates {
		all.List = append(all.List, &wire.Slowing{
			Queue: Hash(s.Queue), Neighbor: Hash(s.Neighbor), Pairs: uint32(s.Pairs),
			LogPermille: int32(Permille * s.Log), ErrorPermille: uint32(Permille * s.Error),
		})
	}
	return all
}
