package owner_test

import (
	"time"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/version/slot"
)

// attempt is one submission of a caller at one entry.
type attempt struct {
	w         *world
	key       string
	body      *submission.Submission
	at        *entryModel
	received  time.Time
	owner     string
	reading   uint64
	under     *entryModel
	answered  bool
	arrived   time.Time
	answer    answer.Answer
	abandoned bool
	copies    int
}

func (at *attempt) String() string { return at.key + "@" + at.at.id }

// submit lets a caller send a job to an entry.
func (w *world) submit(e *entryModel, key string, payloads [][]byte) {
	body := submission.New("team", key, "kind", 0, payloads)
	at := &attempt{w: w, key: key, body: body, at: e, received: w.now}
	state := e.table.Slot(ownership.Slot(body.Job()))
	at.owner = state.Owner
	at.reading = e.readings[state.Owner]
	if state.Owner == e.id {
		at.reading = e.Clock()
	}
	w.attempts = append(w.attempts, at)
}

// route sends an attempt to the owner that its entry knows. An earlier copy may
// still be under way.
func (at *attempt) route() bool {
	if at.answered || at.abandoned || !at.at.runs() {
		return false
	}
	target := at.at.table.Slot(ownership.Slot(at.body.Job())).Owner
	for _, e := range at.w.entries {
		if e.id == target && e.runs() {
			at.under = e
			at.w.note("%v goes to %s", at, e)
			at.copies++
			at.arrived = at.w.now
			waiter := &copyOf{attempt: at, number: at.copies}
			e.owner.Submit(slot.Attempt{Body: at.body, Waiter: waiter, Owner: at.owner, OwnerClock: at.reading})
			return true
		}
	}
	return false
}

// copyOf is an attempt on its way to one owner. An entry that sends the attempt
// to another owner no longer listens to the first.
type copyOf struct {
	*attempt
	number int
}

// NotOwner sends the attempt back to its entry.
func (c *copyOf) NotOwner() {
	if c.number == c.copies {
		c.under = nil
	}
}

// Answer checks what the owner says at the moment at which it says it.
func (c *copyOf) Answer(a answer.Answer) {
	at := c.attempt
	if at.answered || c.number != at.copies {
		return
	}
	at.answered = true
	at.w.note("%v gets %s (%s)", at, a.Outcome(), a.Reason())
	at.answer = a
	at.w.check(at)
}
