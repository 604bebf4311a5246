package slot_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/version/slot"
	"github.com/corianderhook/corianderhook/wire"
)

// host is a fake slot.Host that admits every job and records sent frames.
type host struct {
	sent    map[string][]*wire.EntryFrame
	offered int
	// ended holds the agents that have ended.
	ended map[string]bool
}

func (h *host) Self() string   { return "e#1" }
func (h *host) Now() time.Time { return time.Unix(1000, 0) }
func (h *host) Clock() uint64  { return 100 }
func (h *host) Send(agent string, f *wire.EntryFrame) bool {
	h.sent[agent] = append(h.sent[agent], f)
	return true
}
func (h *host) HasEnded(agent string) bool                         { return h.ended[agent] }
func (h *host) Candidates(string) []string                         { return []string{"a#1"} }
func (h *host) Admit(*submission.Submission) (answer.Answer, bool) { return answer.Answer{}, true }
func (h *host) Offer(uint32, *job.Job)                             { h.offered++ }
func (h *host) Withdraw(*job.Job)                                  {}
func (h *host) Finished(*job.Job, answer.Answer)                   {}
func (h *host) Refused(*submission.Submission, answer.Answer)      {}
func (h *host) JobDeadline(string) time.Duration                   { return time.Minute }
func (h *host) Retention() time.Duration                           { return time.Minute }
func (h *host) MaxKeysPerSlot() int                                { return 10 }

type waiter struct{ got []answer.Answer }

func (w *waiter) Answer(a answer.Answer) { w.got = append(w.got, a) }
func (w *waiter) NotOwner()              {}

var witnesses = []string{"w1#1", "w2#1", "w3#1"}

func body() *submission.Submission {
	return submission.New("t", "k", "kind", 0, [][]byte{[]byte("1")})
}

func key() *wire.JobKey {
	return &wire.JobKey{Job: "t/k", Digest: body().Digest(), Tasks: 1, Kind: "kind", Agents: []string{"w1#1"}, Epoch: 1, Sequence: 1}
}

// recoveringSlot returns a slot at epoch 3 that has read w2, and the ID of the fence
// sent to w1.
func recoveringSlot(h *host) (*slot.Slot, uint64) {
	s := slot.New(h, 7, 3, witnesses, time.Time{})
	s.Fenced("w2#1", 3, &wire.Fenced{Id: fenceOf(h, "w2#1"), Keys: []*wire.JobKey{key()}})
	return s, fenceOf(h, "w1#1")
}

func fenceOf(h *host, agent string) uint64 {
	frames := h.sent[agent]
	return frames[len(frames)-1].GetFence().GetId()
}

func newHost() *host { return &host{sent: map[string][]*wire.EntryFrame{}} }

func TestRecoveryNeedsMajorityOfWitnesses(t *testing.T) {
	is := is.New(t)
	s, _ := recoveringSlot(newHost())
	is.Equal(s.Phase(), slot.Recovering)
}

func TestAcknowledgementOfEarlierOwnershipIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHost()
	s, fence := recoveringSlot(h)
	s.Fenced("w1#1", 3, &wire.Fenced{Id: fence})
	is.Equal(s.Phase(), slot.Active)
	w := &waiter{}
	s.Submit(slot.Attempt{Body: submission.New("t", "new", "kind", 0, [][]byte{[]byte("1")}), Waiter: w, Owner: "e#1", OwnerClock: 200})
	j, known := s.Job("t/new")
	is.True(known)
	for _, agent := range witnesses {
		s.Remembered(agent, 1, &wire.Remembered{Sequence: 99}) // from epoch 1
	}
	is.True(!j.StartsAllowed())
	s.Remembered("w1#1", 3, &wire.Remembered{Sequence: 99})
	is.True(!j.StartsAllowed())
	s.Remembered("w3#1", 3, &wire.Remembered{Sequence: 99})
	is.True(j.StartsAllowed())
}

func TestAnswerToEarlierFenceIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHost()
	s, old := recoveringSlot(h)
	s.AttachAgent("w1#1") // a new session sends a new fence
	s.Fenced("w1#1", 3, &wire.Fenced{Id: old})
	is.Equal(s.Phase(), slot.Recovering)
	s.Fenced("w1#1", 3, &wire.Fenced{Id: fenceOf(h, "w1#1")})
	is.Equal(s.Phase(), slot.Active)
}

func TestRecoveredJobAnswerWaitsForWitnesses(t *testing.T) {
	is := is.New(t)
	h := newHost()
	s, fence := recoveringSlot(h)
	w := &waiter{}
	s.Submit(slot.Attempt{Body: body(), Waiter: w})
	s.Fenced("w1#1", 3, &wire.Fenced{Id: fence, Jobs: []*wire.JobRecord{{Job: "t/k", Tasks: []*wire.TaskRecord{
		{State: wire.TaskState_TASK_STATE_DONE},
	}}}})
	is.Equal(len(w.got), 0)
	s.Remembered("w1#1", 3, &wire.Remembered{Sequence: 1})
	is.Equal(len(w.got), 0)
	s.Remembered("w2#1", 3, &wire.Remembered{Sequence: 1})
	is.Equal(len(w.got), 1)
	is.Equal(w.got[0].Outcome(), outcome.Complete)
}

func TestNewerEpochDeposes(t *testing.T) {
	is := is.New(t)
	h := newHost()
	s, fence := recoveringSlot(h)
	s.Fenced("w1#1", 2, &wire.Fenced{Id: fence, Deposed: true}) // a rejection from an earlier epoch
	is.Equal(s.Phase(), slot.Recovering)
	s.Fenced("w1#1", 4, &wire.Fenced{Id: fence, Deposed: true})
	is.Equal(s.Phase(), slot.Deposed)
}

// TestAttemptDoesNotJoinRecoveredJobWithoutStart guards against running an attempt
// that was already refused: an intermediate owner that did not know the key may have
// refused it after the attempt arrived.
func TestAttemptDoesNotJoinRecoveredJobWithoutStart(t *testing.T) {
	is := is.New(t)
	h := newHost()
	s, fence := recoveringSlot(h)
	w := &waiter{}
	s.Submit(slot.Attempt{Body: body(), Waiter: w, Owner: "former#1", OwnerClock: 1 << 40})
	s.Fenced("w1#1", 3, &wire.Fenced{Id: fence}) // the only agent that could have started it
	is.Equal(h.offered, 0)
	s.Remembered("w1#1", 3, &wire.Remembered{Sequence: 1})
	s.Remembered("w2#1", 3, &wire.Remembered{Sequence: 1})
	is.Equal(len(w.got), 1)
	is.Equal(w.got[0].Outcome(), outcome.NotRun)
	s.Submit(slot.Attempt{Body: body(), Waiter: w, Owner: "e#1", OwnerClock: 200})
	is.Equal(h.offered, 1) // a later retry runs
}

// runningReport is an agent's reply to a fence that reports the task as running.
func runningReport(fence uint64) *wire.Fenced {
	return &wire.Fenced{Id: fence, Jobs: []*wire.JobRecord{{Job: "t/k", Tasks: []*wire.TaskRecord{
		{State: wire.TaskState_TASK_STATE_RUNNING},
	}}}}
}

// TestAgentEndingAfterFenceReplyLeavesUnknown guards against a job that never ends
// because its agent ended right after it had reported a running task.
func TestAgentEndingAfterFenceReplyLeavesUnknown(t *testing.T) {
	is := is.New(t)
	h := newHost()
	s, fence := recoveringSlot(h)
	w := &waiter{}
	s.Submit(slot.Attempt{Body: body(), Waiter: w})
	h.ended = map[string]bool{"w1#1": true}
	s.Fenced("w1#1", 3, runningReport(fence)) // its last frame
	s.Remembered("w2#1", 3, &wire.Remembered{Sequence: 99})
	s.Remembered("w3#1", 3, &wire.Remembered{Sequence: 99})
	is.Equal(len(w.got), 1)
	is.Equal(w.got[0].Outcome(), outcome.Unknown)
}

// TestAgentIsFencedAgainAfterLostSession guards against losing the end of a task that
// the agent reported on the lost session.
func TestAgentIsFencedAgainAfterLostSession(t *testing.T) {
	is := is.New(t)
	h := newHost()
	s := slot.New(h, 7, 3, witnesses, time.Time{})
	first := fenceOf(h, "w1#1")
	s.Fenced("w1#1", 3, runningReport(first))
	s.AttachAgent("w1#1")
	again := fenceOf(h, "w1#1")
	is.True(again != first)
	s.Fenced("w2#1", 3, &wire.Fenced{Id: fenceOf(h, "w2#1"), Keys: []*wire.JobKey{key()}})
	is.Equal(s.Phase(), slot.Active)
	w := &waiter{}
	s.Submit(slot.Attempt{Body: body(), Waiter: w})
	s.Fenced("w1#1", 3, &wire.Fenced{Id: again, Jobs: []*wire.JobRecord{{Job: "t/k", Tasks: []*wire.TaskRecord{
		{State: wire.TaskState_TASK_STATE_DONE},
	}}}})
	s.Remembered("w1#1", 3, &wire.Remembered{Sequence: 99})
	s.Remembered("w2#1", 3, &wire.Remembered{Sequence: 99})
	is.Equal(len(w.got), 1)
	is.Equal(w.got[0].Outcome(), outcome.Complete)
}

// uuidV7At returns a UUIDv7 with the given timestamp.
func uuidV7At(at time.Time) string {
	id := uuid.UUID{6: 0x70, 8: 0x80}
	binary.BigEndian.PutUint64(id[:], uint64(at.UnixMilli())<<16|0x7000)
	return id.String()
}

// TestKeysOutsideTimeWindowDoNotRun uses a retention of one minute.
func TestKeysOutsideTimeWindowDoNotRun(t *testing.T) {
	for _, tt := range []struct {
		name    string
		age     time.Duration
		offered int
		reason  string
	}{
		{"fresh", 0, 1, ""},
		{"just kept", 59 * time.Second, 1, ""},
		{"too old", 61 * time.Second, 0, "key-expired"},
		{"a little ahead", -9 * time.Second, 1, ""},
		{"too far ahead", -11 * time.Second, 0, "key-ahead"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHost()
			s, fence := recoveringSlot(h)
			s.Fenced("w1#1", 3, &wire.Fenced{Id: fence})
			offeredBefore := h.offered
			w := &waiter{}
			s.Submit(slot.Attempt{
				Body:   submission.New("t", uuidV7At(h.Now().Add(-tt.age)), "kind", 0, [][]byte{[]byte("1")}),
				Waiter: w, Owner: "e#1", OwnerClock: 200,
			})
			is.Equal(h.offered-offeredBefore, tt.offered)
			s.Remembered("w1#1", 3, &wire.Remembered{Sequence: 99})
			s.Remembered("w2#1", 3, &wire.Remembered{Sequence: 99})
			if tt.reason == "" {
				is.Equal(len(w.got), 0)
				return
			}
			is.Equal(w.got[0].Reason(), tt.reason)
			is.Equal(w.got[0].Outcome() == outcome.Unknown, tt.reason == "key-expired") // it may have run
		})
	}
}
