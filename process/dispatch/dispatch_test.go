package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/dispatch"
	"github.com/corianderhook/corianderhook/process/health"
	"github.com/corianderhook/corianderhook/request/job"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/wire"
)

// host records the frames that the Dispatch sends.
type host struct {
	now  time.Time
	sent []string
	last map[string]*wire.EntryFrame
	// ejected is the agent that an operator has ejected.
	ejected string
}

func (h *host) Now() time.Time { return h.now }

func (h *host) Send(agent string, f *wire.EntryFrame) bool {
	h.last[agent] = f
	switch {
	case f.GetReserve() != nil:
		h.sent = append(h.sent, fmt.Sprintf("%s reserve %d", agent, f.GetReserve().GetCount()))
	case f.GetStart() != nil:
		h.sent = append(h.sent, fmt.Sprintf("%s start %d", agent, len(f.GetStart().GetTasks())))
	}
	return true
}

func (h *host) RegisterAgent(uint32, *job.Job, string)  {}
func (h *host) Epoch(uint32) uint64                     { return 1 }
func (h *host) TaskTimeout(string) time.Duration        { return time.Second }
func (h *host) Started(*job.Job, int)                   {}
func (h *host) ExcludedByOperator(agent, _ string) bool { return agent == h.ejected }

func (h *host) takeSent() []string {
	sent := h.sent
	h.sent = nil
	return sent
}

func newDispatch(agents ...string) (*dispatch.Dispatch, *host) {
	h := &host{now: time.Unix(1000, 0), last: map[string]*wire.EntryFrame{}}
	d := dispatch.New(h, 1)
	for _, a := range agents {
		d.Attach(a, "z", 2)
	}
	return d, h
}

func newJob(key string, tasks int, agents ...string) *job.Job {
	payloads := make([][]byte, tasks)
	for i := range payloads {
		payloads[i] = []byte("1")
	}
	j := job.New(submission.New("t", key, "k", 0, payloads), time.Unix(1000, 0), time.Minute)
	j.Register(1, agents)
	j.AllowStarts()
	return j
}

func pull(d *dispatch.Dispatch, agent string, id uint64, count uint32) {
	d.Pull(agent, &wire.Pull{Id: id, Kind: "k", Team: "t", Count: count})
}

func TestJobsOfAFlowAreServedFirstComeFirstServed(t *testing.T) {
	is := is.New(t)
	d, h := newDispatch("a#1")
	first, second := newJob("1", 2, "a#1"), newJob("2", 1, "a#1")
	d.Offer(0, first)
	d.Offer(0, second)
	pull(d, "a#1", 1, 2)
	is.Equal(first.Waiting(), 0)
	is.Equal(second.Waiting(), 1)
	is.Equal(h.last["a#1"].GetStart().GetRemaining(), uint32(1))
}

func TestPullIsParkedUntilWitnessesAcknowledge(t *testing.T) {
	is := is.New(t)
	d, h := newDispatch("a#1")
	j := newJob("1", 1, "a#1")
	j.Register(2, nil) // not acknowledged yet
	d.Offer(0, j)
	h.takeSent()
	pull(d, "a#1", 1, 1)
	is.Equal(len(h.takeSent()), 0)
	j.AllowStarts()
	d.Offer(0, j)
	is.Equal(h.takeSent(), []string{"a#1 start 1"})
}

func TestParkedPullExpires(t *testing.T) {
	is := is.New(t)
	d, h := newDispatch("a#1")
	j := newJob("1", 1, "a#1")
	j.Register(2, nil)
	d.Offer(0, j)
	pull(d, "a#1", 1, 1)
	h.takeSent()
	h.now = h.now.Add(time.Second)
	d.Tick(h.now)
	is.Equal(h.takeSent()[0], "a#1 start 0")
}

// A pull for a flow that had been removed left the flow marked as announced to the
// agent, so that the agent was never notified of later tasks.
func TestAgentIsNotifiedAgainAfterEmptyPull(t *testing.T) {
	is := is.New(t)
	d, h := newDispatch("a#1")
	j := newJob("1", 1, "a#1")
	d.Offer(0, j)
	d.Withdraw(j)
	h.now = h.now.Add(time.Second)
	d.Tick(h.now)
	pull(d, "a#1", 1, 1)
	h.takeSent()
	d.Offer(0, newJob("2", 1, "a#1"))
	is.Equal(h.takeSent(), []string{"a#1 reserve 1"})
}

func TestBusyAgentsReservationsGoToOthers(t *testing.T) {
	is := is.New(t)
	d, h := newDispatch("a#1", "b#1")
	d.UpdateLoad("b#1", &wire.Load{Free: 0})
	d.Offer(0, newJob("1", 2, "a#1", "b#1"))
	is.Equal(h.takeSent(), []string{"a#1 reserve 2"})
	d.UpdateLoad("b#1", &wire.Load{Free: 2})
	d.UpdateLoad("a#1", &wire.Load{Free: 0})
	d.Busy("a#1")
	is.Equal(h.takeSent(), []string{"b#1 reserve 2"})
}

func TestEjectedAgentGetsOneProbe(t *testing.T) {
	is := is.New(t)
	d, h := newDispatch("a#1", "b#1")
	for i := range 20 {
		o := health.Observation{Kind: "k", Job: fmt.Sprint(i), Cost: 0.05}
		o.Agent = "a#1"
		d.Observe(o)
		o.Agent, o.Failed = "b#1", true
		d.Observe(o)
	}
	is.Equal(d.Ejected(), []string{"b#1"})
	d.Offer(0, newJob("1", 4, "a#1", "b#1"))
	pull(d, "b#1", 1, 2)
	is.Equal(len(h.last["b#1"].GetStart().GetTasks()), 0)
	h.now = h.now.Add(5 * time.Second)
	d.Tick(h.now)
	pull(d, "b#1", 2, 2)
	is.Equal(len(h.last["b#1"].GetStart().GetTasks()), 1)
	pull(d, "b#1", 3, 2)
	is.Equal(len(h.last["b#1"].GetStart().GetTasks()), 0)
}

func TestOperatorEjectsAndReadmitsAgent(t *testing.T) {
	is := is.New(t)
	d, h := newDispatch("a#1", "b#1")
	h.ejected = "a#1"
	d.TickHealth(h.now)
	is.Equal(d.Ejected(), []string{"a#1"})
	is.Equal(d.Slots(), 2)
	j := newJob("1", 2, "a#1", "b#1")
	d.Offer(0, j)
	is.Equal(h.takeSent(), []string{"b#1 reserve 2"})
	pull(d, "a#1", 1, 2) // sent before the ejection
	is.Equal(h.takeSent(), []string{"a#1 start 0"})
	h.ejected = "b#1"
	d.TickHealth(h.now) // b's reservation moves to a
	is.Equal(h.takeSent(), []string{"a#1 reserve 2"})
	pull(d, "a#1", 2, 2)
	is.Equal(j.Waiting(), 0)
	d.Detach("b#1")
	d.Attach("b#1", "z", 2) // the ejection outlasts the session
	is.Equal(d.Ejected(), []string{"b#1"})
}
