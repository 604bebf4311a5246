package slot

import "slices"

// quorum tracks the acknowledgements of a witness set.
type quorum struct {
	members []string
	// acked maps members to the highest sequence that they have acknowledged.
	acked map[string]uint64
	// read holds the members whose keys have been read during recovery.
	read map[string]bool
}

func newQuorum(members []string) quorum {
	return quorum{
		members: slices.Clone(members),
		acked:   map[string]uint64{},
		read:    map[string]bool{},
	}
}

func (q *quorum) has(agent string) bool { return slices.Contains(q.members, agent) }

// majority returns the number of members that form a majority.
func (q *quorum) majority() int { return len(q.members)/2 + 1 }

func (q *quorum) ack(agent string, sequence uint64) {
	if q.has(agent) && sequence > q.acked[agent] {
		q.acked[agent] = sequence
	}
}

// majorityAcked returns the highest sequence that a majority has acknowledged.
func (q *quorum) majorityAcked() uint64 {
	if len(q.members) == 0 {
		return 0
	}
	sequences := make([]uint64, 0, len(q.members))
	for _, m := range q.members {
		sequences = append(sequences, q.acked[m])
	}
	slices.Sort(sequences)
	return sequences[len(sequences)-q.majority()]
}
