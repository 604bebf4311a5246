package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/inquiry"
	"github.com/corianderhook/corianderhook/sharing/holder/register"
)

const old = time.Hour

// asked returns the registrars that a claim asks, with the answers of a function.
func asked(c *Claim, answer func(registrar string)) (list []string) {
	for r, more := c.Next(0); more; r, more = c.Next(0) {
		list = append(list, r)
		answer(r)
	}
	return list
}

func TestOneRegistrarIsAskedInCalm(t *testing.T) {
	i := is.New(t)
	c := New([]string{"a", "b", "c"}, 1)
	i.Equal(asked(c, func(r string) { c.Answered(r, register.Free, nil, old) }), []string{"a"})
	i.Equal(c.Conclude(inquiry.NotHeld), Granted)
	i.Equal(c.Claimed(), []string{"a"})
}

// The request may have been on its way for long: the registrar of the zone and the common one are asked
// at once, and either may know of another dispatcher.
func TestTwoRegistrarsAreAskedForAnOldRequest(t *testing.T) {
	i := is.New(t)
	c := New([]string{"a", "b", "c"}, 2)
	first, _ := c.Next(0)
	second, _ := c.Next(1)
	_, more := c.Next(2)
	i.Equal([]string{first, second}, []string{"a", "b"})
	i.True(!more)
	c.Answered("a", register.Free, nil, old)
	i.True(!c.Settled())
	_, more = c.Next(1)
	i.True(!more)
	c.Answered("b", register.Held, []string{"x"}, old)
	i.True(c.Settled())
	i.Equal(c.Conclude(inquiry.Held), Held)
}

// A registrar has restarted and has forgotten who has the job.
func TestYoungRegistrarIsNoWitness(t *testing.T) {
	i := is.New(t)
	c := New([]string{"a", "b", "c"}, 1)
	i.Equal(asked(c, func(r string) {
		if r == "a" {
			c.Answered(r, register.Free, nil, youngTime-1)
			return
		}
		c.Answered(r, register.Held, []string{"x"}, old)
	}), []string{"a", "b"})
	i.Equal(c.Holders(), []string{"x"})
	i.Equal(c.Conclude(inquiry.Held), Held)
}

// After a loss of power all registrars are young: the questions stay bounded and work goes on.
func TestYoungSiteServes(t *testing.T) {
	i := is.New(t)
	c := New([]string{"a", "b", "c"}, 1)
	i.Equal(asked(c, func(r string) { c.Answered(r, register.Free, nil, 0) }), []string{"a", "b"})
	i.Equal(c.Conclude(inquiry.NotHeld), Granted)
}

func TestSilentRegistrarIsReplaced(t *testing.T) {
	i := is.New(t)
	c := New([]string{"a", "b", "c"}, 1)
	i.Equal(asked(c, func(r string) {
		if r == "a" {
			c.NotAnswered(false)
			return
		}
		c.Answered(r, register.Free, nil, old)
	}), []string{"a", "b"})
	i.Equal(c.Conclude(inquiry.NotHeld), Granted)
}

// Both that may know do not answer, but live, as far as anybody can tell.
func TestSilenceOfAllIsNoProof(t *testing.T) {
	i := is.New(t)
	c := New([]string{"a", "b", "c"}, 1)
	i.Equal(asked(c, func(string) { c.NotAnswered(false) }), []string{"a", "b", "c"})
	i.Equal(c.Conclude(inquiry.NotHeld), Unsure)
}

// All others are gone, or take no part, or there is one only: calm requests are served.
func TestDeadRegistrarsRefuseNothing(t *testing.T) {
	i := is.New(t)
	gone := New([]string{"a", "b", "c"}, 1)
	asked(gone, func(string) { gone.NotAnswered(true) })
	i.Equal(gone.Conclude(inquiry.NotHeld), Granted)
	one := New([]string{"a"}, 1)
	asked(one, func(string) { one.NotAnswered(false) })
	i.Equal(one.Conclude(inquiry.NotHeld), Granted)
	i.Equal(New(nil, 1).Conclude(inquiry.NotHeld), Granted)
}

func TestVerdictFollowsTheHolders(t *testing.T) {
	for holding, expected := range map[inquiry.Holding]Verdict{inquiry.Held: Held, inquiry.Unknown: Unsure, inquiry.NotHeld: Granted} {
		i := is.New(t)
		c := New([]string{"a", "b"}, 1)
		i.Equal(asked(c, func(r string) { c.Answered(r, register.Held, []string{"y", "x", "y"}, 0) }), []string{"a"})
		i.Equal(c.Holders(), []string{"x", "y"})
		i.Equal(c.Conclude(holding), expected)
	}
}

func TestEndedJobIsNotRunAgain(t *testing.T) {
	for s, expected := range map[register.State]Verdict{register.Completed: Completed, register.Canceled: Canceled} {
		i := is.New(t)
		c := New([]string{"a", "b"}, 1)
		c.Next(0)
		c.Answered("a", s, nil, 0)
		_, more := c.Next(0)
		i.True(!more)
		i.Equal(len(c.Holders()), 0)
		i.Equal(c.Conclude(inquiry.NotHeld), expected)
	}
}

// A registrar that is slow may have noted a claim that is refused: a holder is known elsewhere.
func TestClaimWithoutAnAnswerIsReleased(t *testing.T) {
	i := is.New(t)
	c := New([]string{"a:1", "b:1"}, 1)
	_, _ = c.Next(0)
	c.NotAnswered(false)
	_, _ = c.Next(0)
	c.Answered("b:1", register.Held, []string{"c:1"}, time.Hour)
	i.Equal(c.Conclude(inquiry.Held), Held)
	i.Equal(c.Sent(), []string{"a:1", "b:1"})
}
