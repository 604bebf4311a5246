package configcopy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/sharing/configcopy"
	"github.com/corianderhook/corianderhook/version/evacuation"
)

func start() time.Time { return time.Unix(1_800_000_000, 0) }

func state(config, version uint64, zones ...string) configcopy.State {
	return configcopy.State{Config: config, Evacuation: evacuation.New(version, zones)}
}

func TestMergeKeepsTheNewerParts(t *testing.T) {
	for name, c := range map[string]struct {
		kept, own, next   configcopy.State
		write, withConfig bool
	}{
		"first":                    {state(0, 0), state(3, 5, "a"), state(3, 5, "a"), true, true},
		"same":                     {state(3, 5, "a"), state(3, 5, "a"), state(3, 5, "a"), false, false},
		"other record of the log":  {state(3, 5, "a"), state(3, 9, "a"), state(3, 5, "a"), false, false},
		"zone evacuated":           {state(3, 5), state(3, 6, "b"), state(3, 6, "b"), true, false},
		"newer configuration":      {state(3, 5, "a"), state(4, 6, "a"), state(4, 6, "a"), true, true},
		"stale dispatcher":         {state(4, 6, "a"), state(3, 5), state(4, 6, "a"), false, false},
		"stale in the zones alone": {state(3, 6, "a"), state(4, 5), state(4, 6, "a"), true, true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			next, write, withConfig := configcopy.Merge(c.kept, c.own)
			i.Equal(next, c.next)
			i.Equal(write, c.write)
			i.Equal(withConfig, c.withConfig)
		})
	}
}

// writes returns how many of the dispatchers write a change that all learn of at once. Upload is how
// long a write takes on the link of each.
func writes(uploads []time.Duration) (count int, wrote []int) {
	var writers []*configcopy.Writer
	for n := range uploads {
		writers = append(writers, configcopy.NewWriter(float64(n)/float64(len(uploads))))
	}
	own, kept, writtenAt := state(7, 3), state(0, 0), time.Time{}
	for now := start(); now.Before(start().Add(3 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		if !writtenAt.IsZero() && !now.Before(writtenAt) {
			kept = own
		}
		for n, w := range writers {
			if !w.Due(own, uploads[n], now) {
				continue
			}
			next, write, _ := configcopy.Merge(kept, own)
			if write {
				wrote = append(wrote, n)
				if end := now.Add(30*time.Millisecond + uploads[n]); writtenAt.IsZero() || end.Before(writtenAt) {
					writtenAt = end
				}
			}
			w.Holds(next)
		}
	}
	return len(wrote), wrote
}

// Sixty dispatchers learn of a change at once: most of them find it written. Where a large
// configuration takes 4 s on narrow links, those with wide links write it.
func TestFewDispatchersWriteAChange(t *testing.T) {
	i := is.New(t)
	same := make([]time.Duration, 60)
	count, _ := writes(same)
	i.True(count >= 1 && count <= 5)
	for n := range same {
		same[n] = 4 * time.Second
	}
	count, _ = writes(same)
	i.True(count >= 1 && count <= 8)
	same[57] = 40 * time.Millisecond
	_, wrote := writes(same)
	i.Equal(wrote, []int{57})
}

// While the topic does not answer, a dispatcher tries ever more rarely, and not at all once the copy
// holds the state.
func TestFailedWriterBacksOff(t *testing.T) {
	i := is.New(t)
	w := configcopy.NewWriter(0)
	tries := 0
	for now := start(); now.Before(start().Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		if w.Due(state(1, 1), 0, now) {
			tries++
			w.Failed(now)
		}
	}
	i.True(tries >= 8 && tries <= 13)
	w.Holds(state(1, 1))
	i.True(!w.Due(state(1, 1), 0, start().Add(time.Hour)))
	i.True(!w.Due(state(0, 9, "a"), 0, start().Add(time.Hour))) // a dispatcher without a configuration
}

// A store that answers, and a large configuration that is still arriving, are not doubled by a copy.
func TestCopyIsReadOnlyIfOperatorsTopicIsSilent(t *testing.T) {
	i := is.New(t)
	wait, read := configcopy.NextRead(start(), start().Add(50*time.Millisecond))
	i.True(!read)
	i.Equal(wait, 50*time.Millisecond)
	_, read = configcopy.NextRead(start(), start().Add(200*time.Millisecond))
	i.True(read)
	_, read = configcopy.NextRead(start().Add(3*time.Second), start().Add(3050*time.Millisecond))
	i.True(!read)
}
