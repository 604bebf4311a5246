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
	w          *world
	key        string
	body       *submission.Submission
	receivedBy *entryModel
	receivedAt time.Time
	owner      string
	ownerClock uint64
	pendingAt  *entryModel
	answered   bool
	sentAt     time.Time
	answer     answer.Answer
	abandoned  bool
	sends      int
}

func (at *attempt) String() string { return at.key + "@" + at.receivedBy.id }

// submit lets a caller send a job to an entry.
func (w *world) submit(e *entryModel, key string, payloads [][]byte) {
	body := submission.New("team", key, "kind", 0, payloads)
	at := &attempt{w: w, key: key, body: body, receivedBy: e, receivedAt: w.now}
	state := e.table.Slot(ownership.Slot(body.Job()))
	at.owner = state.Owner
	at.ownerClock = e.clocks[state.Owner]
	if state.Owner == e.id {
		at.ownerClock = e.Clock()
	}
	w.attempts = append(w.attempts, at)
}

// route sends an attempt to the owner that its entry knows. An earlier copy may
// still be under way.
func (at *attempt) route() bool {
	if at.answered || at.abandoned || !at.receivedBy.isUp() {
		return false
	}
	target := at.receivedBy.table.Slot(ownership.Slot(at.body.Job())).Owner
	for _, e := range at.w.entries {
		if e.id == target && e.isUp() {
			at.pendingAt = e
			at.w.logf("%v goes to %s", at, e)
			at.sends++
			at.sentAt = at.w.now
			waiter := &delivery{attempt: at, number: at.sends}
			e.owner.Submit(slot.Attempt{Body: at.body, Waiter: waiter, Owner: at.owner, Reading: at.ownerClock})
			return true
		}
	}
	return false
}

// copyOf is an attempt on its way to one owner. An entry that sends the attempt
// to another owner no longer listens to the first.
type delivery struct {
	*attempt
	number int
}

// NotOwner sends the attempt back to its entry.
func (c *delivery) NotOwner() {
	if c.number == c.sends {
		c.pendingAt = nil
	}
}

// Answer checks what the owner says at the moment at which it says it.
func (c *delivery) Answer(a answer.Answer) {
	at := c.attempt
	if at.answered || c.number != at.sends {
		return
	}
	at.answered = true
	at.w.logf("%v gets %s (%s)", at, a.Outcome(), a.Reason())
	at.answer = a
	at.w.checkAnswer(at)
}
