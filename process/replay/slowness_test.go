package replay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowWhileFull returns what a load near the capacity earns while a fifth of the endpoints turns
// five times slower for two seconds, again and again.
func slowWhileFull(t *testing.T, seed uint64, takesBack bool) float64 {
	t.Helper()
	w := newWorld(t, seed, 3, runFactors(15), func(w *world) { w.takesBack = takesBack })
	load := scaleLoad(kinds(), "", 1.1)
	for i := range load {
		load[i].tailShare = 0.03
	}
	w.load(load, 23*time.Second)
	w.advance(3 * time.Second)
	w.resetCounts()
	for round := range 5 {
		slow := w.sidecars[3*round : 3*round+3]
		for _, s := range slow {
			s.runFactor *= 5
		}
		w.advance(2 * time.Second)
		for _, s := range slow {
			s.runFactor /= 5
		}
		w.advance(2 * time.Second)
	}
	w.advance(5 * time.Second)
	return earnedShare(t, w)
}

// Endpoints turn slow near full load. Telling that by the runs under way, and taking back what
// waits there, must serve callers better than waiting for the runs to end.
func TestSlowEndpointsAreToldByRunsUnderWay(t *testing.T) {
	i := is.New(t)
	with, without := 0.0, 0.0
	for seed := range uint64(2) {
		without += slowWhileFull(t, seed, false) / 2
		with += slowWhileFull(t, seed, true) / 2
	}
	t.Logf("earned %.3f, without %.3f", with, without)
	i.True(with > without)
}
