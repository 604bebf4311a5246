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

// alone is where one team of weight 1 waits.
func alone() float64 { return 1 }

var now = time.Unix(1000, 0)

func TestQuotasAreSharedByEntries(t *testing.T) {
	is := is.New(t)
	m := admission.New(1)
	m.SetEntries(2)
	r := admission.Request{Team: "t", TeamQuota: config.Team{Concurrent: 20}, Kind: "k", Tasks: 6}
	_, ok := m.Admit(r, now)
	is.True(ok)
	refused, ok := m.Admit(r, now) // 12 of this entry's 10
	is.True(!ok)
	is.Equal(refused.Outcome(), outcome.NotRun)
	is.Equal(refused.Reason(), "quota-concurrent")
	m.Release("t", 6)
	_, ok = m.Admit(r, now)
	is.True(ok)
}

func TestRateIsRefilled(t *testing.T) {
	is := is.New(t)
	m := admission.New(1)
	r := admission.Request{Team: "t", TeamQuota: config.Team{Rate: 10}, Kind: "k", Tasks: 10}
	admitted := 0
	for range 5 {
		if _, ok := m.Admit(r, now); ok {
			admitted++
		}
	}
	is.Equal(admitted, 2) // what two seconds save up
	refused, _ := m.Admit(r, now)
	is.Equal(refused.Reason(), "quota-rate")
	is.True(refused.RetryAfter() >= time.Second && refused.RetryAfter() <= 20*time.Second)
	_, ok := m.Admit(r, now.Add(time.Second))
	is.True(ok)
}

// TestPauseDoesNotRefuseForLong: a rate that was measured while nothing could
// start had refused jobs for 30 s after a pause.
func TestPauseDoesNotCauseRefusals(t *testing.T) {
	is := is.New(t)
	m := admission.New(1)
	m.ObserveServiceTime("k", "t", 0.05)
	r := admission.Request{
		Team: "t", Kind: "k", KindRule: config.Kind{MaxDelay: 5 * time.Second},
		Tasks: 1, Waiting: 200, Slots: 32, KindShare: 0.5, Weight: 1, TotalWaitingWeight: alone,
	}
	_, ok := m.Admit(r, now.Add(6*time.Second)) // nothing started for 6 s
	is.True(ok)                                 // 320 a second are guaranteed
	r.Waiting = 2000
	refused, ok := m.Admit(r, now.Add(6*time.Second))
	is.True(!ok)
	is.Equal(refused.Reason(), "overload")
}

// TestOtherTeamsDoNotFillTheQueue: a team whose own tasks do not wait for long is
// taken, whatever another team of the kind has waiting and however long its tasks
// take. Judged by kind, half of its jobs were refused.
func TestOtherTeamsDoNotCauseRefusals(t *testing.T) {
	is := is.New(t)
	m := admission.New(1)
	for range 1000 {
		m.ObserveServiceTime("k", "long", 0.4)
		m.ObserveServiceTime("k", "short", 0.005)
	}
	r := admission.Request{
		Kind: "k", KindRule: config.Kind{MaxDelay: 5 * time.Second}, Tasks: 4, Slots: 32, KindShare: 0.5,
		Weight: 1, TotalWaitingWeight: func() float64 { return 2 },
	}
	r.Team, r.Waiting = "long", 2000
	refused, ok := m.Admit(r, now)
	is.True(!ok) // 20 a second are its share
	is.Equal(refused.Reason(), "overload")
	r.Team, r.Waiting = "short", 2000
	_, ok = m.Admit(r, now)
	is.True(ok) // 1600 a second are its share
}

// BenchmarkAdmit measures one decision among 640 teams that all wait.
func BenchmarkAdmit(b *testing.B) {
	m := admission.New(1)
	teams := make([]string, 640)
	for i := range teams {
		teams[i] = fmt.Sprint("team", i)
		m.ObserveServiceTime("k", teams[i], 0.05)
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
		if _, ok := m.Admit(r, at); ok {
			m.Release(r.Team, r.Tasks)
		}
	}
}
