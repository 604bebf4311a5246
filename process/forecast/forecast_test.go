package forecast_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/forecast"
)

func TestForecastFollowsWhatRan(t *testing.T) {
	i := is.New(t)
	f := forecast.New()
	i.Equal(f.Expect("checks", 0), 200*time.Millisecond)
	i.Equal(f.Expect("checks", 50*time.Millisecond), 50*time.Millisecond)
	for range 30 {
		// Callers are wrong by half, always.
		f.Observe("checks", 50*time.Millisecond, 100*time.Millisecond)
	}
	i.True(near(f.Expect("checks", 50*time.Millisecond), 100*time.Millisecond))
	i.True(near(f.Expect("checks", 0), 100*time.Millisecond))
	// A job that is said to be four times as long as usual is believed by half.
	i.True(near(f.Expect("checks", 200*time.Millisecond), 200*time.Millisecond))
	i.True(near(f.Expect("others", 70*time.Millisecond), 70*time.Millisecond))
}

// A queue has short and long jobs, and its callers know which is which.
func TestEstimatesThatProveTrueAreBelieved(t *testing.T) {
	i := is.New(t)
	f := forecast.New()
	runs := []time.Duration{60, 2000, 80, 50, 70, 55, 1500, 65}
	for n := range 200 {
		ran := runs[n%len(runs)] * time.Millisecond
		f.Observe("mixed", time.Duration(float64(ran)*(0.9+0.2*float64(n%3)/2)), ran)
	}
	expected := f.Expect("mixed", 2*time.Second)
	t.Log(expected, f.Expect("mixed", 60*time.Millisecond))
	i.True(expected > 1700*time.Millisecond && expected < 2300*time.Millisecond)
}

// All jobs of a queue are alike, and estimates are anything.
func TestWildEstimatesAreNotBelieved(t *testing.T) {
	i := is.New(t)
	f := forecast.New()
	for n := range 200 {
		f.Observe("alike", time.Duration(20+n*37%1000)*time.Millisecond, time.Duration(95+n%10)*time.Millisecond)
	}
	expected := f.Expect("alike", time.Second)
	t.Log(expected)
	i.True(expected > 80*time.Millisecond && expected < 130*time.Millisecond)
}

func near(got, want time.Duration) bool { return got > want*95/100 && got < want*105/100 }
