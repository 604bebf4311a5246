package runner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/request/size"
	"github.com/corianderhook/corianderhook/wire"
)

// The endpoint does not guard its capacity, which shrinks and grows while tasks run. What is
// being stopped, and an order without an answer, count as long as they may be there.
func TestNothingStartsBeyondACapacityThatShrinks(t *testing.T) {
	i := is.New(t)
	r, h := newRunner()
	r.Offer(dispatcher, offer(1, 6, 1000))
	i.Equal(len(h.starts), 4)
	r.Started(h.names[0], Running, "")
	r.Started(h.names[1], Running, "")
	r.Started(h.names[2], Doubtful, "no answer") // ordered again, still in doubt
	ordered := len(h.starts)
	r.Cancel(dispatcher, 1) // being stopped
	r.Accept(size.Size{CPU: 2500, Memory: 1000})
	i.Equal(len(h.starts), ordered)
	r.HandleReport(Report{Ended: []End{{RunName: run(h.starts[0]), Kind: EndStopped}}})
	i.Equal(len(h.starts), ordered) // 3000 of 2500 are taken
	r.HandleReport(Report{Ended: []End{{RunName: run(h.starts[1])}}})
	i.Equal(len(h.starts), ordered) // 2000 are taken, 1000 do not fit
	r.Accept(size.Size{CPU: 3000, Memory: 1000})
	i.Equal(len(h.starts), ordered+1)
}

// A waiting task that the endpoint can never take any more goes back at once.
func TestTasksLargerThanTheCapacityAreReturned(t *testing.T) {
	i := is.New(t)
	r, h := newRunner()
	r.Offer(dispatcher, offer(1, 1, 4000))
	r.Offer(dispatcher, offer(2, 1, 3000)) // waits
	r.Accept(size.Size{CPU: 2000, Memory: 1000})
	i.Equal(h.last(), wire.TaskEventKind_TASK_EVENT_KIND_RETURNED)
	i.Equal(h.events[len(h.events)-1].GetRef(), uint64(2))
	i.Equal(r.Room().GetWaiting(), uint32(0))
}

// The load: a job of thousands of tasks that take next to nothing of the endpoint. Only some start
// orders are without an answer at a time, and all tasks start in the end.
func TestStartOrdersWithoutAnAnswerAreBounded(t *testing.T) {
	const tasks = 4000
	i := is.New(t)
	r, h := newRunner()
	o := offer(1, tasks, 1)
	for _, t := range o.GetTasks() {
		t.Size.Memory = 0
	}
	r.Offer(dispatcher, o)
	i.Equal(len(h.starts), maxUnansweredStarts)
	r.Cancel(dispatcher, 1)
	i.Equal(len(h.starts), maxUnansweredStarts+1)
	for n := 1; n < len(h.names); n++ {
		r.Started(h.names[n], Running, "")
		i.True(r.unanswered <= maxUnansweredStarts)
	}
	i.Equal(len(h.starts), tasks)
	i.Equal(r.unanswered, 0)
	r.HandleReport(Report{RequestedAt: h.now, Ended: []End{{RunName: run(h.starts[1])}}})
	i.Equal(r.unanswered, 0)
}
