package slowdown_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/sharing/slowdown"
)

const expected = 100 * time.Millisecond

// endpoint is always full: a new run begins when one ends.
type endpoint struct {
	tracker *slowdown.Tracker
	random  *rand.Rand
	factor  float64
	now     time.Time
	jobs    int
	runs    []simulatedRun
}

type simulatedRun struct {
	job       string
	began     time.Time
	remaining time.Duration
}

// newEndpoint returns an endpoint with a number of places for runs.
func newEndpoint(seed uint64, places int) *endpoint {
	e := &endpoint{tracker: slowdown.New(), random: rand.New(rand.NewPCG(seed, 1)), factor: 1, now: time.Unix(0, 0), runs: make([]simulatedRun, places)}
	for i := range e.runs {
		e.begin(i)
	}
	return e
}

// begin begins a run: one in thirty takes seven times as long.
func (e *endpoint) begin(i int) {
	e.jobs++
	run := float64(expected) * math.Exp(0.4*e.random.NormFloat64())
	if e.random.Float64() < 0.03 {
		run *= 7
	}
	e.runs[i].job, e.runs[i].began, e.runs[i].remaining = fmt.Sprint(e.jobs), e.now, time.Duration(run)
}

// advance lets a millisecond pass and returns the endpoint's slowness.
func (e *endpoint) advance() float64 {
	e.now = e.now.Add(time.Millisecond)
	var underWay []slowdown.Run
	for i := range e.runs {
		r := &e.runs[i]
		r.remaining -= time.Duration(float64(time.Millisecond) / e.factor)
		if r.remaining <= 0 {
			e.tracker.Ended(slowdown.Run{Job: r.job, Ran: e.now.Sub(r.began), Expected: expected}, e.now)
			e.begin(i)
		}
		underWay = append(underWay, slowdown.Run{Job: r.job, Ran: e.now.Sub(r.began), Expected: expected})
	}
	return e.tracker.Slowness(underWay, e.now)
}

// advanceWhile lets time pass while the slowness meets a condition, for 2 s at most, and returns for
// how many milliseconds it did.
func (e *endpoint) advanceWhile(condition func(slowness float64) bool) int {
	for ms := range 2000 {
		if !condition(e.advance()) {
			return ms
		}
	}
	return 2000
}

// A full endpoint turns five times slower. That is known within the time in which one of its runs
// would then end, and that it is over as soon as runs end in time again.
func TestSlowEndpointIsKnownWithinARunTime(t *testing.T) {
	for seed := range uint64(20) {
		i := is.New(t)
		e := newEndpoint(seed, 9)
		for range 1000 {
			e.advance()
		}
		e.factor = 5
		known := e.advanceWhile(func(slowness float64) bool { return slowness == 0 })
		i.True(known <= 500)
		e.factor = 1
		over := e.advanceWhile(func(slowness float64) bool { return slowness != 0 })
		t.Logf("seed %d: known after %d ms, over after %d ms", seed, known, over)
		i.True(over <= 700)
	}
}

// At an endpoint of ordinary speed a few long runs at a time are no slowness, however many places
// it has.
func TestLongTailIsNoSlowness(t *testing.T) {
	for _, places := range []int{9, 32, 128} {
		slow, all := 0, 0
		for seed := range uint64(5) {
			e := newEndpoint(seed, places)
			for range 4000 {
				all++
				if e.advance() != 0 {
					slow++
				}
			}
		}
		t.Logf("%d places: slow for %d of %d ms", places, slow, all)
		is.New(t).True(slow*200 < all)
	}
}

// The sidecar stands still while its endpoint works at its usual speed: the ends that it notices
// late show nothing.
func TestStandstillIsNoSlowness(t *testing.T) {
	i := is.New(t)
	e := newEndpoint(1, 9)
	for range 1000 {
		e.advance()
	}
	e.now = e.now.Add(time.Second)
	e.tracker.StoodStill(e.now)
	for range 1000 {
		i.Equal(e.advance(), 0.0)
	}
}

// All tasks of one long job at one endpoint are no slowness, however many they are.
func TestOneLongJobIsNoSlowness(t *testing.T) {
	tracker := slowdown.New()
	var underWay []slowdown.Run
	for range 12 {
		underWay = append(underWay, slowdown.Run{Job: "a", Ran: time.Second, Expected: expected})
	}
	is.New(t).Equal(tracker.Slowness(underWay, time.Unix(1, 0)), 0.0)
}

// An endpoint that has got no more tasks since it turned slow is tried again.
func TestSlownessIsForgotten(t *testing.T) {
	i := is.New(t)
	tracker, now := slowdown.New(), time.Unix(1, 0)
	for n := range 8 {
		tracker.Ended(slowdown.Run{Job: fmt.Sprint(n), Ran: 580 * time.Millisecond, Expected: expected}, now)
	}
	i.Equal(tracker.Slowness(nil, now), 5.0)
	i.Equal(tracker.Slowness(nil, now.Add(4*time.Second)), 0.0)
	tracker.Reset()
	i.Equal(tracker.Slowness(nil, now), 0.0)
}
