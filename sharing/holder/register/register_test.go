package register

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// A caller sends its job again to another dispatcher while the first one has it.
func TestSecondDispatcherHearsOfTheFirst(t *testing.T) {
	i := is.New(t)
	r := New(start)
	s, holders := r.Claim("job", "a:1", 3*time.Second, start)
	i.Equal(s, Free)
	i.Equal(holders, nil)
	s, holders = r.Claim("job", "b:1", 3*time.Second, start.Add(1300*time.Millisecond))
	i.Equal(s, Held)
	i.Equal(holders, []string{"a:1"})
	// The same dispatcher may claim it again, and hears of the other one.
	s, holders = r.Claim("job", "a:1", 3*time.Second, start.Add(1400*time.Millisecond))
	i.Equal(s, Held)
	i.Equal(holders, []string{"b:1"})
}

func TestHoldEndsWithItsTime(t *testing.T) {
	i := is.New(t)
	r := New(start)
	r.Claim("job", "a:1", 3*time.Second, start)
	s, _ := r.Claim("job", "b:1", 3*time.Second, start.Add(3*time.Second))
	i.Equal(s, Free)
}

// A job that was refused is sent again to another dispatcher: the first one needs no question.
func TestReleasedJobIsFree(t *testing.T) {
	i := is.New(t)
	r := New(start)
	r.Claim("job", "a:1", 3*time.Second, start)
	r.Hold("job", "c:1", 3*time.Second, start)
	r.Release("job", "a:1")
	s, holders := r.Claim("job", "b:1", 3*time.Second, start.Add(time.Second))
	i.Equal(s, Held)
	i.Equal(holders, []string{"c:1"})
}

// A note of a dispatcher arrives late, after another one has taken the job over.
func TestLateNoteDoesNotHideTheHolder(t *testing.T) {
	i := is.New(t)
	r := New(start)
	r.Claim("job", "b:1", 3*time.Second, start.Add(2*time.Second))
	r.Hold("job", "a:1", time.Second, start.Add(2500*time.Millisecond))
	_, holders := r.Claim("job", "c:1", 3*time.Second, start.Add(3*time.Second))
	i.Equal(holders, []string{"a:1", "b:1"})
}

func TestEndsAreRemembered(t *testing.T) {
	i := is.New(t)
	r := New(start)
	r.Claim("job", "a:1", 3*time.Second, start)
	r.End("job", Canceled, start.Add(time.Second))
	// The job completes at the moment of its cancellation.
	r.End("job", Completed, start.Add(time.Second))
	s, _ := r.Claim("job", "b:1", 3*time.Second, start.Add(4*time.Second))
	i.Equal(s, Canceled)
	s, _ = r.Claim("job", "b:1", 3*time.Second, start.Add(time.Second+CanceledTTL))
	i.Equal(s, Free)
}

func TestCompletionIsRememberedWhileCopiesArrive(t *testing.T) {
	i := is.New(t)
	r := New(start)
	r.Claim("job", "a:1", 3*time.Second, start)
	r.End("job", Completed, start)
	s, _ := r.Claim("job", "b:1", 3*time.Second, start.Add(completedTTL-1))
	i.Equal(s, Completed)
	s, _ = r.Claim("job", "b:1", 3*time.Second, start.Add(completedTTL))
	i.Equal(s, Free)
}

// The memory is bounded under any load, and recent jobs are not forgotten before older ones.
func TestMemoryIsBounded(t *testing.T) {
	i := is.New(t)
	r := New(start)
	now := start
	for n := range 2 * MaxJobs {
		now = now.Add(10 * time.Microsecond)
		r.Claim(fmt.Sprintf("%016x", n), "a:1", 3*time.Second, now)
	}
	i.True(r.Jobs() <= MaxJobs)
	s, _ := r.Claim(fmt.Sprintf("%016x", 2*MaxJobs-1), "b:1", 3*time.Second, now)
	i.Equal(s, Held)
}

// Under a steady load the register holds what is within its time.
func TestExpiredJobsAreForgotten(t *testing.T) {
	i := is.New(t)
	r := New(start)
	now := start
	for n := range 3000 {
		now = now.Add(10 * time.Millisecond)
		r.Claim(fmt.Sprintf("%016x", n), "a:1", 3*time.Second, now)
	}
	i.True(r.Jobs() <= 301)
}

func TestHoldersOfOneJobAreBounded(t *testing.T) {
	i := is.New(t)
	r := New(start)
	for n := range 2 * maxHolders {
		r.Hold("job", fmt.Sprintf("d%d:1", n), 3*time.Second, start)
	}
	_, holders := r.Claim("job", "b:1", 3*time.Second, start)
	i.Equal(len(holders), maxHolders)
}

// A job has passed through many dispatchers, the last of which has it.
func TestLastOfManyHoldersIsRemembered(t *testing.T) {
	i := is.New(t)
	r := New(start)
	for n := range 2 * maxHolders {
		r.Claim("job", fmt.Sprintf("d%d:1", n), 3*time.Second, start.Add(time.Duration(n)*time.Millisecond))
	}
	_, holders := r.Claim("job", "x:1", 3*time.Second, start.Add(time.Second))
	i.Equal(holders, []string{"d4:1", "d5:1", "d6:1", "d7:1"})
}
