package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/process/crash"
)

// Everything that may have run counts: what is being stopped, an order without an answer, and
// what ended with the lease before the endpoint was known to have crashed. An order sent after
// the connections had broken does not.
func TestCrashNamesEveryRunThatMayHaveBeenThere(t *testing.T) {
	i := is.New(t)
	r, h := newRunner()
	born := h.now
	o := offer(1, 3, 1000)
	o.Queue = "checks"
	r.Offer(dispatcher, o)
	r.Started(h.names[0], Running, "")
	r.Started(h.names[1], Running, "")
	r.Cancel(dispatcher, 2)
	h.advance(30 * time.Millisecond)
	brokenAt := h.now
	h.advance(5 * time.Millisecond)
	r.Offer(dispatcher, offer(4, 1, 1000))
	record, isNew := r.EndpointCrashed("s", born, brokenAt)
	i.True(isNew)
	i.Equal(record.ID, crash.ID{Agent: "s", BornMS: born.UnixMilli()})
	i.Equal(len(record.Runs), 3)
	i.Equal(record.Runs[0].Queue, "checks")
	i.Equal(record.Runs[0].Age, 30*time.Millisecond)
	_, isNew = r.EndpointCrashed("s", born, h.now)
	i.True(!isNew) // the same incarnation crashes once
}

func TestCrashNamesRunsThatLapsedBefore(t *testing.T) {
	i := is.New(t)
	r, h := newRunner()
	born := h.now
	r.Offer(dispatcher, offer(1, 2, 1000))
	for _, n := range h.names {
		r.Started(n, Running, "")
	}
	r.Lapse("its lease ran out")
	record, isNew := r.EndpointCrashed("s", born, h.now)
	i.True(isNew)
	i.Equal(len(record.Runs), 2)
}

// An endpoint that answers again in the same incarnation had only been silent.
func TestSilenceIsNoCrash(t *testing.T) {
	i := is.New(t)
	r, h := newRunner()
	r.Offer(dispatcher, offer(1, 1, 1000))
	r.Started(h.name(), Running, "")
	r.Lapse("its lease ran out")
	r.HandleReport(Report{RequestedAt: h.now, Complete: true})
	_, isNew := r.EndpointCrashed("s", h.now, h.now)
	i.True(!isNew)
}
