// Package claim decides whether a dispatcher may submit a job that others may have: whom it asks,
// in which order, and what the answers mean. The package does no I/O.
package claim

import (
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/inquiry"
	"github.com/corianderhook/corianderhook/sharing/holder/register"
)

const (
	// youngTime is how long after its start a registrar may lack jobs that others have: they
	// notice the start and tell their jobs again.
	youngTime = 5 * time.Second
	// unsureSilences is the number of registrars without an answer from which a job may be held
	// though nobody says so: each job has at least two, and one of them may be gone.
	unsureSilences = 2
)

// Claim is the question for one job. It is not safe for concurrent use.
type Claim struct {
	// asked holds the registrars that have not been asked yet.
	asked []string
	// sent holds those that have been asked.
	sent []string
	// needed is the number of registrars whose words are enough.
	needed  int
	claimed []string
	state   register.State
	holders []string
	settled bool
	silent  int
	// enough counts the answers of registrars that would know, young those of others.
	enough, young int
}

// New returns the claim for a job with the given registrars, in the order in which to ask them, until
// as many as needed have answered.
func New(registrars []string, needed int) *Claim { return &Claim{asked: registrars, needed: needed} }

// Next returns the registrar to ask next while some answers are awaited, and false if none needs to
// be asked.
func (c *Claim) Next(awaited int) (registrar string, more bool) {
	if c.settled || len(c.asked) == 0 || c.enough+awaited >= c.needed {
		return "", false
	}
	registrar, c.asked = c.asked[0], c.asked[1:]
	c.sent = append(c.sent, registrar)
	return registrar, true
}

// Answered notes the answer of a registrar that has kept its register for a time.
func (c *Claim) Answered(registrar string, s register.State, holders []string, knows time.Duration) {
	c.claimed = append(c.claimed, registrar)
	c.state = max(c.state, s)
	c.holders = append(c.holders, holders...)
	if knows >= youngTime {
		c.enough++
	} else {
		c.young++
	}
	// Another registrar that has just started does not know less than one more.
	c.settled = c.state != register.Free || c.enough >= c.needed || c.enough+c.young > c.needed
}

// NotAnswered notes that a registrar has not answered in time, or is gone.
func (c *Claim) NotAnswered(gone bool) {
	if !gone {
		c.silent++
	}
}

// Unasked returns the registrars that have not been asked yet.
func (c *Claim) Unasked() []string { return c.asked }

// Settled reports whether no other registrar needs to be asked.
func (c *Claim) Settled() bool { return c.settled }

// Sent returns the registrars that have been asked. Those without an answer may know of this claim.
func (c *Claim) Sent() []string { return c.sent }

// Claimed returns the registrars that know of this claim.
func (c *Claim) Claimed() []string { return c.claimed }

// Holders returns the dispatchers to ask whether they still have the job.
func (c *Claim) Holders() []string {
	if c.state != register.Held {
		return nil
	}
	slices.Sort(c.holders)
	return slices.Compact(c.holders)
}

// Conclude returns the verdict. Holding is what the holders have answered together.
func (c *Claim) Conclude(holding inquiry.Holding) Verdict {
	switch {
	case c.state == register.Canceled:
		return Canceled
	case c.state == register.Completed:
		return Completed
	case c.state == register.Held && holding == inquiry.Held:
		return Held
	case c.state == register.Held && holding == inquiry.Unknown:
		return Unsure
	case len(c.claimed) == 0 && c.silent >= unsureSilences:
		return Unsure
	default:
		return Granted
	}
}
