package owner_test

import (
	"time"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/version/slot"
)

// attempt is a submission by a caller to one entry.
type attempt struct {
	w          *world
	key        string
	body       *submission.Submission
	receivedBy *entryModel
	receivedAt time.Time
	// owner and ownerClock are what the receiving entry knew at receivedAt.
	owner      string
	ownerClock uint64
	// pendingAt is the owner that the attempt was last sent to, nil if it has to be
	// sent again.
	pendingAt *entryModel
	answered  bool
	sentAt    time.Time
	answer    answer.Answer
	// abandoned is set when the receiving entry has crashed.
	abandoned bool
	// sends counts the deliveries; only the latest one may answer.
	sends int
}

func (at *attempt) String() string { return at.key + "@" + at.receivedBy.id }

// submit sends a job of a caller to an entry.
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

// route sends an attempt to the owner known to its entry. An earlier delivery may
// still be pending.
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
			e.owner.Submit(slot.Attempt{Body: at.body, Waiter: waiter, Owner: at.owner, OwnerClock: at.ownerClock})
			return true
		}
	}
	return false
}

// delivery is one delivery of an attempt to an owner. An entry that sends the attempt
// to another owner ignores the reply of the first.
type delivery struct {
	*attempt
	number int
}

// NotOwner returns the attempt to its entry.
func (d *delivery) NotOwner() {
	if d.number == d.sends {
		d.pendingAt = nil
	}
}

// Answer checks the owner's answer against the state at the time of the answer.
func (d *delivery) Answer(a answer.Answer) {
	at := d.attempt
	if at.answered || d.number != at.sends {
		return
	}
	at.answered = true
	at.w.logf("%v gets %s (%s)", at, a.Outcome(), a.Reason())
	at.answer = a
	at.w.checkAnswer(at)
}
