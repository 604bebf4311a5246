package replay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The processor time of a dispatcher by kind of work (docs/CAPACITY.md).
const (
	requestCost  = 120 * time.Microsecond
	decisionCost = 33 * time.Microsecond
	frameCost    = 15 * time.Microsecond
	// restCost is what a second takes without requests.
	restCost = 10 * time.Millisecond
	// entryShare is the share of a core that the smallest entry VMs have.
	entryShare = 0.192
	// maxUtilization is the share of that up to which requests do not queue for long.
	maxUtilization = 0.85
)

// Guards against too little served: near the limit of the endpoints, offers, returns and moves must
// not take more of the entry VMs than they have.
func TestBurstFitsIntoTheEntryVMs(t *testing.T) {
	t.Parallel()
	const (
		entries = 8
		burst   = 4 * time.Second
	)
	i := is.New(t)
	w := newWorld(t, 1, entries, runFactors(53))
	for _, s := range w.sidecars {
		s.resize(64000)
	}
	kinds := []kind{
		{name: "check", urgency: 0, width: 8, run: 60 * time.Millisecond, worth: 0.00485, jobsPerSecond: 206},
		{name: "list", urgency: 1, width: 2, run: 200 * time.Millisecond, worth: 0.00167, jobsPerSecond: 600},
		{name: "hold", urgency: 2, width: 4, run: 900 * time.Millisecond, worth: 0.0267, jobsPerSecond: 37.5},
	}
	for n := range kinds {
		kinds[n].cpu, kinds[n].runVariation = 5000, 0.15
	}
	w.load(kinds, 2*time.Second)
	w.advance(2 * time.Second)
	w.resetCounts()
	for _, e := range w.entries {
		clear(e.decisions)
	}
	w.load(scaleLoad(kinds, "", 2), burst)
	w.advance(burst)
	requests, decisions, offers := 0, 0, 0
	for _, k := range kinds {
		requests += w.tally(k.name).submitted
	}
	for _, e := range w.entries {
		for event, n := range e.decisions {
			decisions += n
			if event == "CH1027 tasks offered" {
				offers += n
			}
		}
	}
	// An offer is a frame, and leads to one with events at the least.
	cost := time.Duration(requests)*requestCost + time.Duration(decisions)*decisionCost + time.Duration(2*offers)*frameCost + entries*time.Duration(burst.Seconds()*float64(restCost))
	used := cost.Seconds() / (entries * burst.Seconds())
	t.Logf("%d requests, %.1f decisions and %.1f offers each: %.3f of a core", requests, float64(decisions)/float64(requests), float64(offers)/float64(requests), used)
	i.True(requests > 6000)
	i.True(used < maxUtilization*entryShare)
}
