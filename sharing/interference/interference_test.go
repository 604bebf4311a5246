package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const step = 5 * time.Millisecond

// site replays tasks at one endpoint with room for 16.
type site struct {
	*Estimator
	random *rand.Rand
	now    time.Time
	lines  []line
	active []active
	// slowing returns the factor of the run time of a queue's task that begins beside others.
	slowing func(queue string, beside map[string]int) float64
	// last is the last number of a job.
	last    int
	changes []Change
}

// line is the load of one queue: jobs of some tasks each.
type line struct {
	queue string
	run   time.Duration
	tasks int
	rate  func(at time.Duration) float64
	// size multiplies the run times, and tail is the share that run seven times as long.
	size func(at time.Duration) float64
	tail float64
}

type active struct {
	name, queue   string
	begin, end    time.Time
	ran, expected time.Duration
	failed        bool
}

func always(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }

func none(string, map[string]int) float64 { return 1 }

// beside returns a factor for the tasks of one queue that begin beside another.
func beside(queue, neighbor string, factor float64) func(string, map[string]int) float64 {
	return func(q string, others map[string]int) float64 {
		if q == queue && others[neighbor] > 0 {
			return factor
		}
		return 1
	}
}

func newSite(seed uint64, slowing func(string, map[string]int) float64, lines ...line) *site {
	return &site{
		Estimator: New(), random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_700_000_000, 0), lines: lines, slowing: slowing,
	}
}

// quick and long are two queues with steady load that leave room at the endpoint.
func quick() line {
	return line{queue: "quick", run: 60 * time.Millisecond, tasks: 2, rate: always(20), size: always(1)}
}

func long() line {
	return line{queue: "long", run: 700 * time.Millisecond, tasks: 1, rate: always(0.8), size: always(1)}
}

func other() line {
	return line{queue: "other", run: 200 * time.Millisecond, tasks: 2, rate: always(5), size: always(1)}
}

func (s *site) play(d time.Duration) {
	for at := time.Duration(0); at < d; at += step {
		s.now = s.now.Add(step)
		var left []active
		for _, a := range s.active {
			if a.end.After(s.now) {
				left = append(left, a)
				continue
			}
			if !a.failed {
				s.Succeeded(a.name, a.ran, a.expected)
			}
			s.End(a.name)
		}
		s.active = left
		for _, l := range s.lines {
			if s.random.Float64() < l.rate(at)*step.Seconds() {
				s.job(l, at)
			}
		}
		s.changes = append(s.changes, s.Evaluate(s.now)...)
	}
}

// job begins the tasks of a job that there is room for; they share the error of the forecast.
func (s *site) job(l line, at time.Duration) {
	s.last++
	work := math.Exp(0.35*s.random.NormFloat64()) * l.size(at)
	if s.random.Float64() < l.tail {
		work *= 7
	}
	first := len(s.active)
	for n := range min(l.tasks, 16-len(s.active)) {
		name := fmt.Sprint(s.last, ".", n)
		s.Begin(Run{Name: name, Job: fmt.Sprint(s.last), Queue: l.queue, Share: 1.0 / 16}, s.now)
		s.active = append(s.active, active{name: name, queue: l.queue, expected: l.run})
	}
	for i := first; i < len(s.active); i++ {
		others := map[string]int{"": len(s.active)}
		for k, a := range s.active {
			if k != i {
				others[a.queue]++
			}
		}
		factor := work * s.slowing(l.queue, others) * math.Exp(0.1*s.random.NormFloat64())
		s.active[i].ran = time.Duration(factor * float64(l.run))
		s.active[i].end = s.now.Add(s.active[i].ran)
	}
}

// slowedPairs returns the pairs that have counted as interference at any time.
func (s *site) slowedPairs() map[Pair]bool {
	all := map[Pair]bool{}
	for _, c := range s.changes {
		if c.Slowed {
			all[c.Pair] = true
		}
	}
	return all
}

func (s *site) estimate(p Pair) Estimate {
	for _, e := range s.Estimates() {
		if e.Pair == p {
			return e
		}
	}
	return Estimate{}
}

func TestSlowingNeighborIsFoundAndForgotten(t *testing.T) {
	i := is.New(t)
	pair := Pair{Queue: "quick", Neighbor: "long"}
	s := newSite(1, beside("quick", "long", 1.8), quick(), long(), other())
	s.play(40 * time.Second)
	e := s.estimate(pair)
	t.Logf("%.2f times as long, standard error %.3f, %d pairs", e.Factor(), e.Error, e.Pairs)
	i.True(s.slowed[pair])
	i.True(e.Factor() > 1.5 && e.Factor() < 2.1)
	i.Equal(len(s.slowedPairs()), 1)
	s.slowing = none
	s.play(60 * time.Second)
	i.True(!s.slowed[pair])
}

// A queue that comes whenever the slowing one does is not blamed.
func TestCompanionOfSlowingNeighborIsNotBlamed(t *testing.T) {
	i := is.New(t)
	turns := func(high, low float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at/(800*time.Millisecond)%3 == 0 {
				return high
			}
			return low
		}
	}
	companion := other()
	companion.queue, companion.rate = "companion", turns(8, 1)
	culprit := long()
	culprit.rate = turns(2.5, 0.1)
	s := newSite(2, beside("quick", "long", 1.8), quick(), culprit, companion, other())
	s.play(2 * time.Minute)
	t.Log(s.changes)
	i.Equal(s.slowedPairs(), map[Pair]bool{{Queue: "quick", Neighbor: "long"}: true})
}

func TestQueueThatSlowsItself(t *testing.T) {
	i := is.New(t)
	heavy := line{queue: "heavy", run: 150 * time.Millisecond, tasks: 1, rate: always(8), size: always(1)}
	s := newSite(3, beside("heavy", "heavy", 1.7), quick(), heavy, other())
	s.play(time.Minute)
	t.Log(s.changes)
	i.Equal(s.slowedPairs(), map[Pair]bool{{Queue: "heavy", Neighbor: "heavy"}: true})
}

// What makes runs long without being interference finds no pair to blame.
func TestOtherCausesAreNotInterference(t *testing.T) {
	speeds := func(factor func(at time.Duration) float64) []line {
		lines := []line{quick(), long(), other()}
		for n := range lines {
			lines[n].size = factor
		}
		return lines
	}
	tails := speeds(always(1))
	for n := range tails {
		tails[n].tail = 0.03
	}
	resized := speeds(always(1))
	resized[0].size = func(at time.Duration) float64 { return 1 + 2*float64(at/(20*time.Second)%2) }
	rising := speeds(always(1))
	for n := range rising {
		usual := rising[n].rate(0)
		rising[n].rate = func(at time.Duration) float64 { return usual * (1 + math.Sin(at.Seconds()/2)) }
	}
	cases := map[string]struct {
		lines   []line
		slowing func(string, map[string]int) float64
	}{
		"slow endpoint": {speeds(always(1.6)), none}, "fast endpoint": {speeds(always(0.6)), none},
		"endpoint that turns five times slower": {speeds(func(at time.Duration) float64 { return 1 + 4*float64(at/(15*time.Second)%2) }), none},
		"long tail":                             {tails, none}, "changed size of a queue's jobs": {resized, none},
		"load that rises together": {rising, func(_ string, others map[string]int) float64 { return 1 + float64(others[""])/16 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			for seed := range uint64(4) {
				s := newSite(seed, c.slowing, c.lines...)
				s.play(time.Minute)
				i.True(len(s.Estimates()) > 0)
				for _, change := range s.changes {
					t.Errorf("seed %d: %+v", seed, change)
				}
			}
		})
	}
}

// Runs that fail tell nothing of how long they would have taken.
func TestFailedRunsAreNotCompared(t *testing.T) {
	i := is.New(t)
	s := newSite(4, beside("quick", "long", 5), quick(), long())
	for range 4000 {
		s.play(step)
		for n := range s.active {
			s.active[n].failed = true
		}
	}
	i.Equal(len(s.Estimates()), 0)
	i.Equal(len(s.records), 0)
}

// Six hundred queues take no more memory than MaxQueues, and each is forgotten after its runs.
func TestManyQueuesAreBounded(t *testing.T) {
	i := is.New(t)
	s := newSite(5, none)
	for n := range 640 {
		s.lines = append(s.lines, line{queue: fmt.Sprint("team-", n), run: 100 * time.Millisecond, tasks: 1, rate: always(0.2), size: always(1)})
	}
	s.play(20 * time.Second)
	i.True(len(s.slots) <= MaxQueues && len(s.records) <= maxRecords)
	i.True(len(s.Loads(8)) <= 8)
	s.lines = nil
	s.play(maxAge + 5*time.Second)
	i.Equal(len(s.slots), 0)
	i.Equal(s.occupancy, 0.0)
}

func BenchmarkRun(b *testing.B) {
	e := New()
	now := time.Unix(1_700_000_000, 0)
	for n := 0; b.Loop(); n++ {
		now = now.Add(20 * time.Millisecond)
		e.Begin(Run{Name: "run", Job: "job", Queue: "queue", Share: 0.1}, now)
		e.Succeeded("run", time.Second, time.Second)
		e.End("run")
	}
}

func BenchmarkEvaluate(b *testing.B) {
	s := newSite(6, none, quick(), long(), other())
	s.play(30 * time.Second)
	b.Logf("%d records", len(s.records))
	for b.Loop() {
		s.evaluatedAt = time.Time{}
		s.Evaluate(s.now)
	}
}
