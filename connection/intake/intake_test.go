package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// crowd is a number of clients of an intake.
type crowd struct {
	intake *Intake
	ended  map[Reason]int
}

func newCrowd(l Limits) *crowd { return &crowd{intake: New(l), ended: map[Reason]int{}} }

func (c *crowd) enter(now time.Time) *Visitor {
	return c.intake.Enter(now, func(r Reason) { c.ended[r]++ })
}

// The load: clients send most of a large body each and stay. What they hold stays within the
// limit, and an ordinary request that comes then is received.
func TestBodiesThatStopShortGiveWay(t *testing.T) {
	i := is.New(t)
	const limit = 1 << 20
	c := newCrowd(NewLimits(10_000, limit, time.Minute, time.Hour))
	now := start
	for range 600 {
		now = now.Add(time.Millisecond)
		v := c.enter(now)
		for range 64 {
			c.intake.Receive(v, 4<<10, now)
			_, bytes := c.intake.Held()
			i.True(bytes <= limit)
		}
	}
	ordinary := c.enter(now)
	i.True(c.intake.Receive(ordinary, 4000, now))
	i.True(c.intake.Serve(ordinary, now))
	i.True(c.ended[Full] >= 597)
}

// All clients of a burst of ordinary requests are served, though their bodies arrive in two parts.
func TestBurstOfOrdinaryRequestsIsReceived(t *testing.T) {
	i := is.New(t)
	c := newCrowd(NewLimits(2000, 18<<20, 10*time.Second, 2*time.Minute))
	var all []*Visitor
	for range 2000 {
		v := c.enter(start)
		i.True(c.intake.Receive(v, 2000, start))
		all = append(all, v)
	}
	for _, v := range all {
		i.True(c.intake.Receive(v, 2500, start))
		i.True(c.intake.Serve(v, start))
		i.Equal(c.intake.Keep(v, 4000), None)
	}
	i.Equal(len(c.ended), 0)
	for _, v := range all {
		c.intake.Wait(v, start)
		c.intake.Leave(v)
	}
	connections, bytes := c.intake.Held()
	i.Equal(connections, 0)
	i.Equal(bytes, int64(0))
}

// Clients that only connect do not keep others out, and what is being served never gives way.
func TestOldestConnectionWithoutARequestGivesWay(t *testing.T) {
	i := is.New(t)
	c := newCrowd(NewLimits(3, 1<<20, time.Minute, time.Hour))
	served := c.enter(start)
	i.True(c.intake.Serve(served, start))
	for n := range 100 {
		i.True(c.enter(start.Add(time.Duration(n)*time.Second)) != nil)
	}
	i.Equal(c.ended[Crowded], 98)
	connections, _ := c.intake.Held()
	i.Equal(connections, 3)
	i.Equal(c.intake.Dismissed(served), None)
}

func TestNobodyEntersWhileAllAreServed(t *testing.T) {
	i := is.New(t)
	c := newCrowd(NewLimits(2, 1<<20, time.Minute, time.Hour))
	for range 2 {
		i.True(c.intake.Serve(c.enter(start), start))
	}
	i.True(c.enter(start) == nil)
	i.Equal(len(c.ended), 0)
}

// A single large request is received even if it is larger than the limit, and a request that has
// given way is not served, whatever arrives of it.
func TestSingleRequestIsReceived(t *testing.T) {
	i := is.New(t)
	c := newCrowd(NewLimits(10, 1000, time.Minute, time.Hour))
	first := c.enter(start)
	i.True(c.intake.Receive(first, 100_000, start))
	second := c.enter(start)
	i.True(c.intake.Receive(second, 100, start))
	i.Equal(c.intake.Dismissed(first), Full)
	i.True(!c.intake.Receive(first, 1, start))
	i.True(!c.intake.Serve(first, start))
	i.True(c.intake.Serve(second, start))
}

// The load: clients send headers that take many times their length, and stay. What they hold stays
// within the limit, and so does what headers take that have been received.
func TestHeadersThatStopShortGiveWay(t *testing.T) {
	i := is.New(t)
	const limit, header = 1 << 20, 300 << 10
	c := newCrowd(NewLimits(10_000, limit, time.Minute, time.Hour))
	for n := range 600 {
		v := c.enter(start)
		i.True(c.intake.ReceiveHeader(v, header, start))
		if n%2 == 0 {
			i.True(c.intake.Begin(v, header/2, start))
		}
		_, bytes := c.intake.Held()
		i.True(bytes <= limit)
	}
	i.True(c.ended[Full] >= 590)
	ordinary := c.enter(start)
	i.True(c.intake.ReceiveHeader(ordinary, 2000, start))
	i.True(c.intake.Begin(ordinary, 1500, start))
	i.True(c.intake.Serve(ordinary, start))
	i.Equal(c.intake.Keep(ordinary, 1500), None)
	c.intake.Wait(ordinary, start)
}

// The load: clients send whole requests that are each larger than the limit. While one is being read, no
// other one arrives.
func TestLargestRequestsComeOneByOne(t *testing.T) {
	i := is.New(t)
	const limit = 1 << 20
	c := newCrowd(NewLimits(10_000, limit, time.Minute, time.Hour))
	received := func() (*Visitor, bool) {
		v := c.enter(start)
		return v, c.intake.Receive(v, limit, start) && c.intake.Serve(v, start)
	}
	first, stays := received()
	i.True(stays)
	for range 100 {
		_, stays := received()
		i.True(!stays)
	}
	i.Equal(c.intake.Keep(first, 2*limit), None)
	_, stays = received()
	i.True(!stays)
	// Less may arrive while so much is kept.
	older, newer := c.enter(start), c.enter(start)
	i.True(c.intake.Receive(older, limit/8, start))
	i.True(c.intake.Receive(newer, limit/8, start))
	i.Equal(c.intake.Dismissed(older), Full)
	c.intake.Leave(older)
	c.intake.Leave(newer)
	// Ordinary ones are received and served beside it as far as there is room.
	ordinary := c.enter(start)
	i.True(c.intake.Receive(ordinary, 4000, start))
	i.True(c.intake.Serve(ordinary, start))
	i.Equal(c.intake.Keep(ordinary, 4000), NoRoom)
	i.Equal(c.intake.Keep(first, limit), None)
	i.Equal(c.intake.Keep(ordinary, 4000), None)
	c.intake.Wait(ordinary, start)
	c.intake.Wait(first, start)
	_, stays = received()
	i.True(stays)
}

// The load: many bodies arrive faster than the handlers of those that have given way end. What these
// hold is waited for, and given back once, whatever ends first.
func TestRequestsThatGaveWayAreWaitedFor(t *testing.T) {
	i := is.New(t)
	const limit = 1 << 20
	c := newCrowd(NewLimits(10_000, limit, time.Minute, time.Hour))
	var gone []*Visitor
	for range 100 {
		v := c.enter(start)
		c.intake.Receive(v, 64<<10, start)
		if c.intake.Dismissed(v) == None {
			gone = append(gone, v)
		}
	}
	drained := c.intake.Drained()
	i.True(drained != nil)
	for _, v := range gone {
		select {
		case <-drained:
			t.Fatal("drained while requests that gave way hold more than the room allows")
		default:
		}
		if c.intake.ending-v.ending <= c.intake.maxEnding() {
			c.intake.Release(v)
			break
		}
		c.intake.Release(v)
		c.intake.Leave(v)
	}
	<-drained
	i.True(c.intake.Drained() == nil)
	for _, v := range gone {
		c.intake.Wait(v, start)
		c.intake.Leave(v)
	}
	connections, bytes := c.intake.Held()
	i.Equal(c.intake.ending, int64(0))
	i.Equal(connections, 100-len(gone))
	i.Equal(bytes, int64(0))
}

// The load: clients read no answers, so that all connections are serving for good. The one whose answer
// has waited for the longest makes room; what is served without an answer under way stays.
func TestUnreadAnswersMakeRoom(t *testing.T) {
	i := is.New(t)
	c := newCrowd(NewLimits(3, 1<<20, time.Minute, time.Hour))
	busy, older, newer := c.enter(start), c.enter(start), c.enter(start)
	for _, v := range []*Visitor{busy, older, newer} {
		i.True(c.intake.Serve(v, start))
	}
	c.intake.Answer(older, start.Add(time.Second))
	c.intake.Answer(newer, start.Add(2*time.Second))
	now := start.Add(2 * time.Second)
	entered := c.enter(now)
	i.True(entered != nil)
	i.Equal(c.intake.Dismissed(older), Unread)
	i.True(c.intake.Serve(entered, now))
	c.intake.Answered(newer)
	i.True(c.enter(now.Add(time.Minute)) == nil)
	i.Equal(c.ended[Unread], 1)
	i.Equal(c.intake.Dismissed(newer), None)
	i.Equal(c.intake.Dismissed(busy), None)
}

func TestUnreadAnswersEnd(t *testing.T) {
	i := is.New(t)
	c := newCrowd(NewLimits(10, 1<<20, 10*time.Second, time.Hour))
	v := c.enter(start)
	i.True(c.intake.Serve(v, start))
	for s := range 30 {
		c.intake.Answer(v, start.Add(time.Duration(s)*time.Second))
		c.intake.Sweep(start.Add(time.Duration(s+9) * time.Second))
	}
	i.Equal(c.intake.Dismissed(v), None)
	c.intake.Sweep(start.Add(39 * time.Second))
	i.Equal(c.intake.Dismissed(v), Unread)
}

func TestStalledAndSlowRequestsEnd(t *testing.T) {
	i := is.New(t)
	c := newCrowd(NewLimits(10, 1<<20, 10*time.Second, time.Minute))
	stalled, slow, steady := c.enter(start), c.enter(start), c.enter(start)
	c.intake.Receive(stalled, 1, start)
	for s := range 70 {
		now := start.Add(time.Duration(s) * time.Second)
		c.intake.Receive(slow, 1, now)
		if s >= 20 {
			c.intake.Receive(steady, 1, now)
		}
		c.intake.Sweep(now)
	}
	i.Equal(c.intake.Dismissed(stalled), Stalled)
	i.Equal(c.intake.Dismissed(slow), Slow)
	i.Equal(c.intake.Dismissed(steady), None)
}

// Connections between processes, which carry many messages, stay open beside clients that send
// messages without an end.
func TestConnectionsOfProcessesStay(t *testing.T) {
	i := is.New(t)
	c := newCrowd(NewLimits(50, 1<<20, 0, 0))
	known := c.enter(start)
	for n := range 200 {
		now := start.Add(time.Duration(n) * time.Second)
		i.True(c.intake.Buffer(known, 2000, now))
		i.True(c.intake.Serve(known, now))
		c.intake.Release(known)
		// Frames that belong to no message.
		i.True(c.intake.Buffer(known, 13, now))
		c.intake.Buffer(c.enter(now), 300<<10, now)
		c.intake.Sweep(now)
	}
	i.Equal(c.intake.Dismissed(known), None)
	_, bytes := c.intake.Held()
	i.True(bytes <= 1<<20)
}

// The load: clients send whole bodies of legal size that take many times as much when they are
// decoded. What they keep stays within the limit, and ordinary requests find room beside them.
func TestLargeRequestsLeaveRoomForOrdinaryOnes(t *testing.T) {
	i := is.New(t)
	const limit = 8 << 20
	c := newCrowd(NewLimits(10_000, limit, time.Minute, time.Hour))
	request := func(bytes int64) (*Visitor, Reason) {
		v := c.enter(start)
		i.True(c.intake.Serve(v, start))
		return v, c.intake.Keep(v, bytes)
	}
	granted, refused := []*Visitor{}, 0
	for range 600 {
		if v, reason := request(1 << 20); reason == None {
			granted = append(granted, v)
		} else {
			i.Equal(reason, NoRoom)
			refused++
		}
	}
	i.True(len(granted) >= 1 && refused > 0)
	for range 200 {
		_, reason := request(16 << 10)
		i.Equal(reason, None)
	}
	_, bytes := c.intake.Held()
	i.True(bytes > servedShare*limit/4)
	// Ordinary ones are refused only when there is no room left.
	for reason := None; reason == None; {
		_, reason = request(16 << 10)
	}
	_, bytes = c.intake.Held()
	i.True(bytes <= servedShare*limit && bytes > servedShare*limit-(16<<10))
	// One that has been granted may take less, and its end makes room for another.
	i.Equal(c.intake.Keep(granted[0], 1000), None)
	_, reason := request(512 << 10)
	i.Equal(reason, None)
}

// A single large request is served, and one that never fits is told so.
func TestRequestThatNeverFits(t *testing.T) {
	i := is.New(t)
	c := newCrowd(NewLimits(10, 1<<20, time.Minute, time.Hour))
	v := c.enter(start)
	i.True(c.intake.Serve(v, start))
	i.Equal(c.intake.Keep(v, servedShare<<20*5/4+1), TooLarge)
	i.Equal(c.intake.Keep(v, servedShare<<20*5/4), None)
	c.intake.Wait(v, start)
	_, bytes := c.intake.Held()
	i.Equal(bytes, int64(0))
}

// The load: clients begin a thousand calls each and end none. Together they stay within the limit, and a
// process that comes then still has room for its first calls.
func TestCallsLeaveRoomForTheFirstOfOthers(t *testing.T) {
	i := is.New(t)
	const limit, call = 8 << 20, 16 << 10
	c := newCrowd(NewLimits(1000, limit, 0, 0))
	var crowd []*Visitor
	for range 200 {
		v := c.enter(start)
		crowd = append(crowd, v)
		for range 1000 {
			c.intake.Call(v, call)
		}
		i.True(v.calls >= firstCalls*call)
	}
	i.True(crowd[0].calls > 100*call)
	ordinary := c.enter(start)
	for range firstCalls {
		i.True(c.intake.Call(ordinary, call))
	}
	for range 400 {
		c.intake.Call(c.enter(start), call)
		i.True(c.intake.calls <= servedShare*limit)
	}
	// What ends makes room, also after the connection has ended.
	i.True(!c.intake.Call(ordinary, call))
	held := crowd[0].calls
	c.intake.Leave(crowd[0])
	i.True(!c.intake.Call(ordinary, call))
	c.intake.EndCall(crowd[0], held)
	i.True(c.intake.Call(c.enter(start), call))
}

// A request on a kept connection beside many others.
func BenchmarkRequest(b *testing.B) {
	c := newCrowd(NewLimits(3000, 1<<30, time.Minute, time.Hour))
	var v *Visitor
	for range 2000 {
		v = c.enter(start)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.intake.Receive(v, 0, start)
		c.intake.Receive(v, 500, start)
		c.intake.Serve(v, start)
		c.intake.Keep(v, 300)
		c.intake.Wait(v, start)
	}
}
