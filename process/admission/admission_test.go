package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/admission"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/version/config"
)

// singleTeamWeight is the total waiting weight if one team of weight 1 waits.
func singleTeamWeight() float64 { return 1 }

var now = time.Unix(1000, 0)

func TestQuotasAreSharedByEntries(t *testing.T) {
	is := is.New(t)
	c := admission.New(1)
	c.SetEntries(2)
	r := admission.Request{Team: "t", TeamQuota: config.Team{Concurrent: 20}, Kind: "k", Tasks: 6}
	_, ok := c.Admit(r, now)
	is.True(ok)
	refused, ok := c.Admit(r, now) // 12 of this entry's 10
	is.True(!ok)
	is.Equal(refused.Outcome(), outcome.NotRun)
	is.Equal(refused.Reason(), "quota-concurrent")
	c.Release("t", 6)
	_, ok = c.Admit(r, now)
	is.True(ok)
}

func TestRateIsRefilled(t *testing.T) {
	is := is.New(t)
	c := admission.New(1)
	r := admission.Request{Team: "t", TeamQuota: config.Team{Rate: 10}, Kind: "k", Tasks: 10}
	admitted := 0
	for range 5 {
		if _, ok := c.Admit(r, now); ok {
			admitted++
		}
	}
	is.Equal(admitted, 2) // the rate accumulated in two seconds
	refused, _ := c.Admit(r, now)
	is.Equal(refused.Reason(), "quota-rate")
	is.True(refused.RetryAfter() >= time.Second && refused.RetryAfter() <= 20*time.Second)
	_, ok := c.Admit(r, now.Add(time.Second))
	is.True(ok)
}

// After a pause, a start rate measured while nothing could start would refuse jobs for
// 30 s.
func TestPauseDoesNotCauseRefusals(t *testing.T) {
	is := is.New(t)
	c := admission.New(1)
	c.ObserveServiceTime("k", "t", 0.05)
	r := admission.Request{
		Team: "t", Kind: "k", KindRule: config.Kind{MaxDelay: 5 * time.Second},
		Tasks: 1, Waiting: 200, Slots: 32, KindShare: 0.5, Weight: 1, TotalWaitingWeight: singleTeamWeight,
	}
	_, ok := c.Admit(r, now.Add(6*time.Second)) // nothing started for 6 s
	is.True(ok)                                 // 320 starts a second are guaranteed
	r.Waiting = 2000
	refused, ok := c.Admit(r, now.Add(6*time.Second))
	is.True(!ok)
	is.Equal(refused.Reason(), "overload")
}

// A team whose own tasks do not wait for long is admitted, however many and however long
// tasks another team of the kind has. With one delay per kind, half of its jobs would be
// refused.
func TestOtherTeamsDoNotCauseRefusals(t *testing.T) {
	is := is.New(t)
	c := admission.New(1)
	for range 1000 {
		c.ObserveServiceTime("k", "long", 0.4)
		c.ObserveServiceTime("k", "short", 0.005)
	}
	r := admission.Request{
		Kind: "k", KindRule: config.Kind{MaxDelay: 5 * time.Second}, Tasks: 4, Slots: 32, KindShare: 0.5,
		Weight: 1, TotalWaitingWeight: func() float64 { return 2 },
	}
	r.Team, r.Waiting = "long", 2000
	refused, ok := c.Admit(r, now)
	is.True(!ok) // its share is 20 starts a second
	is.Equal(refused.Reason(), "overload")
	r.Team, r.Waiting = "short", 2000
	_, ok = c.Admit(r, now)
	is.True(ok) // its share is 1600 starts a second
}

// BenchmarkAdmit measures one decision among 640 waiting teams.
func BenchmarkAdmit(b *testing.B) {
	c := admission.New(1)
	teams := make([]string, 640)
	for i := range teams {
		teams[i] = fmt.Sprint("team", i)
		c.ObserveServiceTime("k", teams[i], 0.05)
	}
	r := admission.Request{
		Kind: "k", KindRule: config.Kind{MaxDelay: 5 * time.Second}, Tasks: 4, Waiting: 20, Slots: 4096, KindShare: 0.5,
		Weight: 1, TotalWaitingWeight: func() float64 { return 640 },
	}
	b.ReportAllocs()
	at := now
	for i := 0; b.Loop(); i++ {
		r.Team = teams[i%len(teams)]
		at = at.Add(time.Microsecond)
		if _, ok := c.Admit(r, at); ok {
			c.Release(r.Team, r.Tasks)
		}
	}
}
