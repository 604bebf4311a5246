package runner

import (
	"testing"

	"github.com/matryer/is"
)

// Reports tell by urgency what started work takes, of all dispatchers, and
// nothing of it unless they are to.
func TestReportsTellTheStartedWorkByUrgency(t *testing.T) {
	i := is.New(t)
	r, _ := newRunner()
	urgent := offer(1, 1, 1000)
	urgent.Tasks[0].ExpectedMs = 100
	r.Offer(dispatcher, urgent)
	i.Equal(len(r.Room().GetTaken()), 0)
	r, _ = newRunner()
	WithSharedRoom()(r)
	o := offer(1, 1, 1000)
	o.Urgency, o.Tasks[0].ExpectedMs = 2, 100
	r.Offer(dispatcher, o)
	taken := r.Room().GetTaken()
	i.Equal(len(taken), 3)
	i.Equal(taken[2], uint32(200))
	// A task that waits has taken nothing yet.
	waiting := offer(2, 1, 100_000_000)
	waiting.Tasks[0].ExpectedMs = 100
	r.Offer(dispatcher, waiting)
	i.Equal(r.Room().GetTaken()[0], uint32(0))
}
