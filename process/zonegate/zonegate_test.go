package zonegate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/zonegate"
	"github.com/corianderhook/corianderhook/version/evacuation"
)

// Views arrive in any order, from the store, from peers that are cut off and from sessions.
// An older one must neither replace a newer one nor make it look confirmed.
func TestOlderViewChangesNothing(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	g := zonegate.New()
	_, confirmed := g.Age(at(0))
	is.True(!confirmed)
	for _, c := range []struct {
		name      string
		version   uint64
		zones     []string
		confirmed int
		changed   bool
		evacuated bool
		age       time.Duration
	}{
		{"first view", 5, nil, 0, false, false, time.Second},
		{"evacuated", 8, []string{"c"}, 100, true, true, 900 * time.Millisecond},
		{"older view of a peer that is cut off", 5, nil, 900, false, true, 900 * time.Millisecond},
		{"same view confirmed", 8, []string{"c"}, 400, false, true, 600 * time.Millisecond},
		{"same version of a peer with a late word", 8, []string{"c"}, 200, false, true, 600 * time.Millisecond},
		{"later record of something else", 9, []string{"c"}, 300, false, true, 600 * time.Millisecond},
		{"lifted", 12, nil, 700, true, false, 300 * time.Millisecond},
		{"evacuation that arrives after it was lifted", 8, []string{"c"}, 950, false, false, 300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(g.Observe(evacuation.New(c.version, c.zones), at(c.confirmed)), c.changed)
			is.Equal(g.Evacuated("c"), c.evacuated)
			age, confirmed := g.Age(at(1000))
			is.True(confirmed)
			is.Equal(age, c.age)
		})
	}
}
