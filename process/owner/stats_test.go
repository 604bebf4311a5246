package owner_test

import (
	"testing"

	"pgregory.net/rapid"
)

func TestStats(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := started()
		steps := rapid.SampledFrom([]int{60, 150, 300}).Draw(t, "steps")
		counts["steps"] += steps
		for range steps {
			step(t, w)
		}
		counts["starts"] += len(w.starts)
		counts["attempts"] += len(w.attempts)
		counts["log"] += len(w.log)
		for _, at := range w.attempts {
			if at.answered {
				counts["early "+at.answer.Outcome().String()+" "+at.answer.Reason()]++
			}
		}
		heal(w)
		for _, at := range w.attempts {
			if at.answered {
				counts[at.answer.Outcome().String()+" "+at.answer.Reason()]++
			}
		}
		counts["starts healed"] += len(w.starts)
		for _, e := range alive(w.entries) {
			counts["epochs"] += int(e.table.Slot(0).Epoch)
		}
	})
	t.Log(counts)
}
