package speed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/speed"
)

func TestSpeedsAreLearnedFromTasksOfOneJob(t *testing.T) {
	i := is.New(t)
	s := speed.New()
	now := time.Unix(1_700_000_000, 0)
	actual := map[string]float64{"a": 1, "b": 1, "c": 0.5, "d": 6}
	for agent := range actual {
		s.SetKind(agent, "kind")
	}
	var base time.Duration
	for n := range 60 {
		now = now.Add(20 * time.Millisecond)
		// The jobs' work differs tenfold, which must not affect the slowness.
		work := time.Duration(20+30*(n%7)) * time.Millisecond
		var runs []speed.Run
		for _, agent := range []string{"a", "b", "c", "d"} {
			runs = append(runs, speed.Run{Agent: agent, Duration: time.Duration(float64(work) * actual[agent])})
		}
		base = s.ObserveJob(runs, now)
		if n == 59 {
			i.True(base > work*9/10 && base < work*11/10)
		}
	}
	for agent, slow := range actual {
		got := s.Slowness(agent, now)
		t.Logf("%s: estimated slowness %.2f, actual %.2f", agent, got, slow)
		i.True(got > 0.75*slow && got < 1.3*slow)
	}
}

func TestUnconfirmedSlownessDecays(t *testing.T) {
	i := is.New(t)
	s := speed.New()
	now := time.Unix(1_700_000_000, 0)
	for _, agent := range []string{"a", "b", "c"} {
		s.SetKind(agent, "kind")
	}
	for range 10 {
		s.ObserveOverdue("a", 8, now)
	}
	i.True(s.Slowness("a", now) > 3)
	i.True(s.Slowness("a", now.Add(15*time.Second)) < 1.3)
}

func TestSingleTaskJobsDoNotChangeSlowness(t *testing.T) {
	i := is.New(t)
	s := speed.New()
	now := time.Unix(1_700_000_000, 0)
	s.SetKind("a", "kind")
	s.SetKind("b", "kind")
	i.Equal(s.ObserveJob([]speed.Run{{Agent: "a", Duration: time.Second}}, now), time.Second)
	i.Equal(s.Slowness("a", now), 1.0)
	i.Equal(s.Slowness("unknown", now), 1.0)
}
