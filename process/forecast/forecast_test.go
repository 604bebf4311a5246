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

func near(got, want time.Duration) bool { return got > want*95/100 && got < want*105/100 }
