// Package intake decides which connections of a listener, and how many bytes of requests that
// are still being received, a process holds. It does no I/O.
//
// The load that it answers: many clients that connect, send part of a request and then stay.
// Nothing is reserved for what a client announces, and nobody waits for room: when there is
// none left, the request that began first and has not been received yet gives way, as those
// that stop short are always among the oldest. A request that has been received completely
// does not give way, unless its client leaves the answer unread.
//
// A second load: clients send whole requests that take far more memory once they are read. Each
// states what it takes before it is decoded, and is refused if that does not fit. Large requests
// share one half of the room, so that ordinary ones find some beside them.
package intake

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// Intake holds the connections of one listener. It is safe for concurrent use.
type Intake struct {
	limits Limits

	mu sync.Mutex
	// visitors are all connections. waiting holds those without a request, by the time since
	// when they have none, receiving those with an incomplete one, by its beginning, and serving
	// those whose request is served.
	visitors  int
	waiting   *list.List
	receiving *list.List
	serving   *list.List
	// bytes have arrived of requests, unkept is the part of those that have been received and not
	// stated yet what they keep.
	bytes, unkept int64
	// ending is what requests that have given way hold until their handlers have ended. Drained is
	// closed when it is little again, and nil while it is.
	ending  int64
	drained chan struct{}
	// kept is what the requests that are served keep, largeKept the part of the large ones.
	kept, largeKept int64
	// calls is what the calls take that have begun on connections which carry many.
	calls int64
}

// phase is what a connection does.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseReceiving
	phaseServing
	phaseLeft
)

const (
	// smallMessageBytes is the size of messages that are no reason to end a connection.
	smallMessageBytes = 64 << 10
	// minAnswering is how long a part of an answer has to have waited before its connection may give
	// way to another: that of a client that reads is taken at once.
	minAnswering = 10 * time.Millisecond
	// firstCalls is the number of calls that connections have room for beside others with many.
	firstCalls = 2
	// endingShare divides the room for bytes that arrive into what requests that have given way may
	// still hold while others are read.
	endingShare = 8
	// minRoomShare divides the room for bytes that arrive while the requests that are being served keep
	// all that they may.
	minRoomShare = 4
	// largeRequestBytes is what a request keeps at least that counts as large.
	largeRequestBytes = 128 << 10
)

// Visitor is a connection.
type Visitor struct {
	// dismiss ends the connection, or has its request refused.
	dismiss   func(r Reason)
	phase     phase
	dismissed Reason
	place     *list.Element
	// held are the bytes of the request that have arrived, kept what it keeps while it is served.
	// Ending is what it held when it gave way.
	held, kept, ending int64
	// calls is what its calls take.
	calls      int64
	since      time.Time
	progressAt time.Time
	// answeringSince is since when a part of an answer has been waiting to be taken by the client, in
	// nanoseconds since 1970, or 0.
	answeringSince atomic.Int64
}

// dismissal is a connection that has given way.
type dismissal struct {
	visitor *Visitor
	reason  Reason
}

// New returns an intake without connections.
func New(l Limits) *Intake {
	return &Intake{limits: l, waiting: list.New(), receiving: list.New(), serving: list.New()}
}

// Enter adds a connection. Dismiss is called, without a lock, if it has to give way. Enter
// returns nil if every other connection serves a request, and no client leaves its answer unread.
func (i *Intake) Enter(now time.Time, dismiss func(r Reason)) *Visitor {
	i.mu.Lock()
	var gone []dismissal
	if i.visitors >= i.limits.connections {
		oldest, reason := older(i.waiting.Front(), i.receiving.Front()), Crowded
		if oldest == nil {
			oldest, reason = i.longestAnswering(now), Unread
		}
		if oldest == nil {
			i.mu.Unlock()
			return nil
		}
		gone = append(gone, i.dismiss(oldest, reason))
		i.forget(oldest)
	}
	v := &Visitor{dismiss: dismiss, phase: phaseWaiting, since: now}
	v.place = i.waiting.PushBack(v)
	i.visitors++
	i.mu.Unlock()
	carryOut(gone)
	return v
}

// older returns the connection that has been in its list for longer.
func older(a, b *list.Element) *Visitor {
	switch {
	case a == nil && b == nil:
		return nil
	case a == nil:
		return b.Value.(*Visitor)
	case b == nil || !a.Value.(*Visitor).since.After(b.Value.(*Visitor).since):
		return a.Value.(*Visitor)
	default:
		return b.Value.(*Visitor)
	}
}

// longestAnswering returns the connection whose answer has been waiting for the longest, or nil.
func (i *Intake) longestAnswering(now time.Time) (longest *Visitor) {
	since := now.Add(-minAnswering).UnixNano()
	for next := i.serving.Front(); next != nil; next = next.Next() {
		v := next.Value.(*Visitor)
		if at := v.answeringSince.Load(); at != 0 && at <= since {
			longest, since = v, at
		}
	}
	return longest
}

// Answer notes that a part of an answer is about to be sent.
func (i *Intake) Answer(v *Visitor, now time.Time) { v.answeringSince.Store(now.UnixNano()) }

// Answered notes that the client has taken that part.
func (i *Intake) Answered(v *Visitor) { v.answeringSince.Store(0) }

// dismiss makes a connection give way. The caller holds the lock.
func (i *Intake) dismiss(v *Visitor, r Reason) dismissal {
	v.dismissed = r
	v.ending += v.held
	i.ending += v.held
	i.release(v)
	i.leaveList(v)
	return dismissal{visitor: v, reason: r}
}

func carryOut(all []dismissal) {
	for _, d := range all {
		d.visitor.dismiss(d.reason)
	}
}

func (i *Intake) release(v *Visitor) {
	i.setHeld(v, 0)
	i.setKept(v, 0)
}

func (i *Intake) setHeld(v *Visitor, bytes int64) {
	i.bytes += bytes - v.held
	if v.phase == phaseServing {
		i.unkept += bytes - v.held
	}
	v.held = bytes
}

func (i *Intake) setKept(v *Visitor, bytes int64) {
	i.kept += bytes - v.kept
	i.largeKept += largePart(bytes) - largePart(v.kept)
	v.kept = bytes
}

// largePart returns the bytes that a request counts among the large ones.
func largePart(bytes int64) int64 {
	if bytes < largeRequestBytes {
		return 0
	}
	return bytes
}

func (i *Intake) leaveList(v *Visitor) {
	switch {
	case v.place == nil:
	case v.phase == phaseWaiting:
		i.waiting.Remove(v.place)
	case v.phase == phaseServing:
		i.serving.Remove(v.place)
	default:
		i.receiving.Remove(v.place)
	}
	v.place = nil
}

func (i *Intake) forget(v *Visitor) {
	if v.phase != phaseLeft {
		v.phase = phaseLeft
		i.visitors--
	}
}

// move changes the phase of a connection that has not given way.
func (i *Intake) move(v *Visitor, to phase, now time.Time) bool {
	if v.dismissed != None || v.phase == phaseLeft {
		return false
	}
	if v.phase == to {
		return true
	}
	i.leaveList(v)
	held := v.held
	i.setHeld(v, 0)
	v.phase, v.since, v.progressAt = to, now, now
	i.setHeld(v, held)
	switch to {
	case phaseWaiting:
		v.place = i.waiting.PushBack(v)
	case phaseReceiving:
		v.place = i.receiving.PushBack(v)
	case phaseServing:
		v.place = i.serving.PushBack(v)
	default:
	}
	return true
}

// Receive notes that bytes of a body have arrived, and returns whether the rest may follow. Others give
// way if there is no room for the bytes.
func (i *Intake) Receive(v *Visitor, bytes int64, now time.Time) bool {
	return i.hold(v, bytes*growth, now)
}

// ReceiveHeader does the same for a part of a header that takes a number of bytes of memory.
func (i *Intake) ReceiveHeader(v *Visitor, bytes int64, now time.Time) bool {
	return i.hold(v, bytes, now)
}

// Begin notes that the header of a request has been received and takes a number of bytes of memory, in
// place of those counted so far. It returns whether the body may follow.
func (i *Intake) Begin(v *Visitor, bytes int64, now time.Time) bool {
	i.mu.Lock()
	i.release(v)
	i.mu.Unlock()
	return i.hold(v, bytes, now)
}

func (i *Intake) hold(v *Visitor, bytes int64, now time.Time) bool {
	i.mu.Lock()
	if !i.move(v, phaseReceiving, now) {
		i.mu.Unlock()
		return false
	}
	if bytes > 0 {
		v.progressAt = now
	}
	i.setHeld(v, v.held+bytes)
	// A single request has its size as its limit: it could never be received otherwise. Another one
	// follows when it has been served.
	left := 1
	if i.unkept+i.kept > i.limits.bytes/2 {
		left = 0
	}
	gone := i.makeRoom(left)
	stays := v.dismissed == None
	i.mu.Unlock()
	carryOut(gone)
	return stays
}

// Buffer notes that bytes of messages have arrived on a connection that carries many, and returns
// whether the rest may follow. Others give way if there is no room for the bytes. A connection on
// which a message has been received completely does not give way while it holds little.
func (i *Intake) Buffer(v *Visitor, bytes int64, now time.Time) bool {
	i.mu.Lock()
	if v.dismissed != None {
		i.mu.Unlock()
		return false
	}
	i.setHeld(v, v.held+bytes)
	if v.phase != phaseServing || v.held > smallMessageBytes {
		i.move(v, phaseReceiving, now)
	}
	gone := i.makeRoom(0)
	stays := v.dismissed == None
	i.mu.Unlock()
	carryOut(gone)
	return stays
}

// Call notes that a call begins on a connection that carries many, by the memory that it takes, and
// returns whether it may. The first few of each connection have one half of the room for themselves. Of
// the other half a connection may not take more than is left.
func (i *Intake) Call(v *Visitor, bytes int64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	room := i.limits.served() - i.calls
	if v.calls >= firstCalls*bytes {
		room -= i.limits.served()/2 + v.calls
	}
	if bytes > room {
		return false
	}
	v.calls += bytes
	i.calls += bytes
	return true
}

// EndCall notes that a call has ended, also after its connection has.
func (i *Intake) EndCall(v *Visitor, bytes int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	v.calls -= bytes
	i.calls -= bytes
}

// room returns how many bytes of requests may have arrived. It is less while those that are being served
// keep much, but leaves some room for ordinary requests.
func (i *Intake) room() int64 {
	return min(i.limits.bytes, max(i.limits.bytes/minRoomShare, i.limits.served()-i.kept))
}

// Drained returns a channel that is closed when the handlers of requests that have given way have
// ended, as far as they hold much, or nil if they do not. Until then further bytes should not be read:
// what has been promised to them is still in use.
func (i *Intake) Drained() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ending <= i.maxEnding() {
		return nil
	}
	if i.drained == nil {
		i.drained = make(chan struct{})
	}
	return i.drained
}

func (i *Intake) maxEnding() int64 { return i.limits.bytes / endingShare }

// end notes that the handler of a request that has given way has ended.
func (i *Intake) end(v *Visitor) {
	i.ending -= v.ending
	v.ending = 0
	if i.drained != nil && i.ending <= i.maxEnding() {
		close(i.drained)
		i.drained = nil
	}
}

// makeRoom makes requests give way until the others fit, those that began first before others. It
// leaves a number of requests in any case.
func (i *Intake) makeRoom(left int) (gone []dismissal) {
	for next, room := i.receiving.Front(), i.room(); i.bytes > room && i.receiving.Len() > left && next != nil; {
		oldest := next.Value.(*Visitor)
		next = next.Next()
		if oldest.held > 0 {
			gone = append(gone, i.dismiss(oldest, Full))
		}
	}
	return gone
}

// Serve notes that a request has been received, and returns whether it may be served. The
// connection does not give way from now on.
func (i *Intake) Serve(v *Visitor, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.move(v, phaseServing, now)
}

// Keep notes how many bytes a request keeps while it is served, in place of those that have
// arrived. If there is no room for them, it changes nothing and returns why.
func (i *Intake) Keep(v *Visitor, bytes int64) Reason {
	i.mu.Lock()
	defer i.mu.Unlock()
	if v.dismissed != None || v.phase == phaseLeft {
		return v.dismissed
	}
	if bytes > v.kept {
		if r := i.roomFor(v, bytes); r != None {
			return r
		}
	}
	i.setHeld(v, 0)
	i.setKept(v, bytes)
	return None
}

// roomFor returns why a request cannot keep a number of bytes, or None.
func (i *Intake) roomFor(v *Visitor, bytes int64) Reason {
	others, otherLarge := i.kept-v.kept, i.largeKept-largePart(v.kept)
	large := largePart(bytes)
	switch {
	case bytes > i.limits.served()+i.limits.served()/4:
		return TooLarge
	case others == 0:
		// A single request of the largest size is served.
		return None
	case others+bytes > i.limits.served():
		return NoRoom
	case large > 0 && otherLarge > 0 && otherLarge+large > i.limits.served()/2:
		return NoRoom
	default:
		return None
	}
}

// Release notes that what has arrived on a connection is not held any more.
func (i *Intake) Release(v *Visitor) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.end(v)
	i.release(v)
}

// Wait notes that the connection has no request any more.
func (i *Intake) Wait(v *Visitor, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.end(v)
	i.release(v)
	i.move(v, phaseWaiting, now)
}

// Leave removes a connection that has ended.
func (i *Intake) Leave(v *Visitor) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.end(v)
	i.release(v)
	i.leaveList(v)
	i.forget(v)
}

// Sweep makes requests give way that have stalled or take too long, and connections whose client does
// not read the answer.
func (i *Intake) Sweep(now time.Time) {
	if i.limits.stall <= 0 {
		return
	}
	i.mu.Lock()
	var gone []dismissal
	for next := i.receiving.Front(); next != nil; {
		v := next.Value.(*Visitor)
		next = next.Next()
		switch {
		case now.Sub(v.progressAt) >= i.limits.stall:
			gone = append(gone, i.dismiss(v, Stalled))
		case now.Sub(v.since) >= i.limits.whole:
			gone = append(gone, i.dismiss(v, Slow))
		}
	}
	unread := now.Add(-i.limits.stall).UnixNano()
	for next := i.serving.Front(); next != nil; {
		v := next.Value.(*Visitor)
		next = next.Next()
		if at := v.answeringSince.Load(); at != 0 && at <= unread {
			gone = append(gone, i.dismiss(v, Unread))
		}
	}
	i.mu.Unlock()
	carryOut(gone)
}

// Dismissed returns why a connection has given way, or None.
func (i *Intake) Dismissed(v *Visitor) Reason {
	i.mu.Lock()
	defer i.mu.Unlock()
	return v.dismissed
}

// Held returns the number of connections and the bytes that their requests hold, whether they are
// still being received or served.
func (i *Intake) Held() (connections int, bytes int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.visitors, i.bytes + i.kept
}
