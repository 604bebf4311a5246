package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/admission"
	"github.com/corianderhook/corianderhook/request/outcome"
)

var now = time.Unix(1000, 0)

func TestQuotasAreSharedByEntries(t *testing.T) {
	is := is.New(t)
	m := admission.New(1)
	m.SetEntries(2)
	r := admission.Request{Team: "t", TeamQuota: admission.Team{Concurrent: 20}, Kind: "k", Tasks: 6}
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
	r := admission.Request{Team: "t", TeamQuota: admission.Team{Rate: 10}, Kind: "k", Tasks: 10}
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
func TestPauseDoesNotRefuseForLong(t *testing.T) {
	is := is.New(t)
	m := admission.New(1)
	m.Served("k", 0.05)
	r := admission.Request{
		Team: "t", Kind: "k", KindRule: admission.Kind{MaxDelay: 5 * time.Second},
		Tasks: 1, Waiting: 200, Slots: 32, KindShare: 0.5,
	}
	_, ok := m.Admit(r, now.Add(6*time.Second)) // nothing started for 6 s
	is.True(ok)                                 // 320 a second are guaranteed
	r.Waiting = 2000
	refused, ok := m.Admit(r, now.Add(6*time.Second))
	is.True(!ok)
	is.Equal(refused.Reason(), "overload")
}
