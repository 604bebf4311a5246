package cpupressure_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/cpupressure"
)

// serve simulates a server that handles one request at a time. A request arrives in every
// gap and takes a fixed time. It returns how many requests were served and refused, and the
// longest wait in the second half.
func serve(gap, takes, total time.Duration) (served, refused int, longest time.Duration) {
	var m cpupressure.Monitor
	now := time.Unix(1_700_000_000, 0)
	end := now.Add(total)
	half := now.Add(total / 2)
	free := now
	type waiting struct {
		from, done time.Time
	}
	var queue []waiting
	for ; now.Before(end); now = now.Add(gap) {
		for len(queue) > 0 && !queue[0].from.After(now) {
			queue = queue[1:]
		}
		if refuse, _ := m.ShouldRefuse(now); refuse {
			refused++
			continue
		}
		start := now
		if free.After(now) {
			start = free
		}
		free = start.Add(takes)
		queue = append(queue, waiting{from: start, done: free})
		// A process knows the wait only when it handles the request; here it is known on arrival.
		m.Observe(start.Sub(now), now)
		served++
		if now.After(half) {
			longest = max(longest, start.Sub(now))
		}
	}
	return served, refused, longest
}

func TestNothingIsRefusedWithinCapacity(t *testing.T) {
	i := is.New(t)
	_, refused, longest := serve(10*time.Millisecond, 9*time.Millisecond, 5*time.Second)
	i.Equal(refused, 0)
	i.True(longest < 20*time.Millisecond)
}

// At twice the capacity, half of the requests are refused at once, and the wait of the
// others is bounded.
func TestOverloadIsBounded(t *testing.T) {
	i := is.New(t)
	served, refused, longest := serve(5*time.Millisecond, 10*time.Millisecond, 10*time.Second)
	t.Logf("served %d refused %d longest wait %s", served, refused, longest)
	i.True(longest < 250*time.Millisecond)
	i.True(served > 900)
	i.True(refused > 800)
}

func TestOldMeasurementsDoNotCount(t *testing.T) {
	i := is.New(t)
	var m cpupressure.Monitor
	now := time.Unix(1_700_000_000, 0)
	m.Observe(time.Second, now)
	m.Observe(time.Second, now.Add(150*time.Millisecond))
	refuse, standing := m.ShouldRefuse(now.Add(200 * time.Millisecond))
	i.True(refuse)
	i.Equal(standing, time.Second)
	refuse, _ = m.ShouldRefuse(now.Add(time.Second))
	i.True(!refuse)
}
