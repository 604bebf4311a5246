package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/lab/sample"
)

func TestLongestIdle(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	run := func(endpoint int, from, to time.Duration) sample.Run {
		return sample.Run{Endpoint: endpoint, From: start.Add(from), To: start.Add(to)}
	}
	runs := []sample.Run{
		run(0, 0, 50*ms), run(0, 0, 60*ms), run(0, 50*ms, 100*ms),
		run(1, 10*ms, 100*ms), run(1, 10*ms, 100*ms),
	}
	free := newFreeIntervals(runs, 2, 2, start)
	for _, tt := range []struct {
		name     string
		from, to time.Duration
		want     time.Duration
	}{
		{"both endpoints are full", 10 * ms, 50 * ms, 0},
		{"the second endpoint is free at first", 0, 50 * ms, 10 * ms},
		{"a slot of the first endpoint is free from 60 ms", 20 * ms, 80 * ms, 20 * ms},
		{"a slot is free until the end", 90 * ms, 130 * ms, 40 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(free.longestIdle(interval{from: tt.from, to: tt.to}), tt.want)
		})
	}
}
