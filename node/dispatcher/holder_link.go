package dispatcher

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/address"
	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/sharing/holder/register"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// noteLag is how long a note waits for others to be sent with: a caller sends its job again
	// after several times as long. The first request may arrive late, just after the second one, so
	// that heldNoteLag applies to the note that a job is held.
	noteLag     = 250 * time.Millisecond
	heldNoteLag = 50 * time.Millisecond
	// recentTime is how long notes are kept that may have been lost with their stream, and noteTTL
	// how long they are sent again.
	recentTime = 2 * time.Second
	noteTTL    = 3 * time.Second
	// maxQueuedClaims and maxQueuedNotes limit what waits for a stream that is stuck.
	maxQueuedClaims = 256
	maxQueuedNotes  = 4096
)

// registrarAnswer is the answer of a registrar to a claim.
type registrarAnswer struct {
	registrar string
	// failed means that there is none, and gone that it cannot come.
	failed, gone bool
	state        register.State
	holders      []string
	knows        time.Duration
}

// pendingClaim is a claim without an answer.
type pendingClaim struct {
	job  string
	hold time.Duration
	// answers has room for the answer.
	answers chan<- registrarAnswer
}

// queuedNote is a note and the time at which it was made.
type queuedNote struct {
	note *wire.HolderNote
	at   time.Time
}

// holderLink carries the claims and notes of this dispatcher to one registrar.
type holderLink struct {
	dispatcher *Dispatcher
	address    string
	wake       chan struct{}
	mu         sync.Mutex
	claims     []pendingClaim
	notes      []queuedNote
	// recent holds the notes that were sent a short time ago, in order.
	recent []queuedNote
	// timers holds whether notes are about to be sent after a lag.
	timers map[time.Duration]bool
	// sent holds the claims that may still be answered, by the number of their frame.
	sent       map[uint64][]pendingClaim
	lastNumber uint64
	closed     bool
	// excess counts the notes that were dropped for want of room.
	excess int
	// gone means that nobody can be reached at the address, or that it takes no part.
	gone bool
}

func newHolderLink(d *Dispatcher, address string) *holderLink {
	return &holderLink{dispatcher: d, address: address, wake: make(chan struct{}, 1), sent: map[uint64][]pendingClaim{}, timers: map[time.Duration]bool{}}
}

// claim sends a claim. What waits for the registrar is sent in one frame.
func (l *holderLink) claim(p pendingClaim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if full := len(l.claims) >= maxQueuedClaims; l.closed || full {
		if full {
			// New jobs are not refused for a queue of this process: the next registrar is asked.
			l.dispatcher.holders.directory.Silent(l.address, l.dispatcher.deps.Clock.Now())
		}
		p.answers <- registrarAnswer{registrar: l.address, failed: true, gone: l.gone || full}
		return
	}
	l.claims = append(l.claims, p)
	l.signal()
}

// note sends a note with the next claim, or after a lag.
func (l *holderLink) note(n *wire.HolderNote) {
	l.queue(queuedNote{note: n, at: l.dispatcher.deps.Clock.Now()})
}

func (l *holderLink) queue(n queuedNote) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		l.dispatcher.holders.link(l.address).queue(n)
		return
	}
	defer l.mu.Unlock()
	if len(l.notes) >= maxQueuedNotes {
		// The stream is stuck. The oldest notes are the likeliest to be of ended jobs.
		l.excess++
		l.notes = l.notes[1:]
	}
	l.notes = append(l.notes, n)
	lag := noteLag
	switch n.note.GetState() {
	case wire.HolderState_HOLDER_STATE_HELD:
		lag = heldNoteLag
	case wire.HolderState_HOLDER_STATE_CANCELED:
		// Its caller is told at once that the job is canceled.
		l.signal()
		return
	default:
	}
	if l.timers[lag] {
		return
	}
	l.timers[lag] = true
	l.dispatcher.deps.Clock.AfterFunc(lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.timers[lag] = false
		if len(l.notes) > 0 {
			l.signal()
		}
	})
}

func (l *holderLink) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run opens the stream and serves it until it fails or the context ends. Lacking means that the
// other dispatcher takes no part.
func (l *holderLink) run(ctx context.Context) (lacking bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := l.dispatcher.peers.conn(l.address)
	if err != nil {
		return false, err
	}
	stream, err := wire.NewDispatcherClient(conn).Holders(ctx)
	if err != nil {
		return false, err
	}
	if err := stream.Send(&wire.HolderFrame{Address: l.dispatcher.deps.Address, Zone: l.dispatcher.deps.Zone}); err != nil {
		_, err = stream.Recv()
		return status.Code(err) == codes.Unimplemented, err
	}
	received := make(chan error, 1)
	go func() { received <- l.receive(stream) }()
	for {
		select {
		case err := <-received:
			return status.Code(err) == codes.Unimplemented, err
		case <-l.wake:
			if err := l.flush(stream); err != nil {
				// A failed stream tells its error to the receiver.
				err = <-received
				return status.Code(err) == codes.Unimplemented, err
			}
		}
	}
}

// flush sends what waits.
func (l *holderLink) flush(stream grpc.BidiStreamingClient[wire.HolderFrame, wire.HolderReply]) error {
	l.mu.Lock()
	f := &wire.HolderFrame{}
	for _, n := range l.notes {
		f.Notes = append(f.Notes, n.note)
	}
	l.keepRecent(l.dispatcher.deps.Clock.Now())
	if len(l.claims) > 0 {
		l.lastNumber++
		f.Number = l.lastNumber
		for _, c := range l.claims {
			f.Claims = append(f.Claims, &wire.HolderClaim{Job: c.job, HoldMs: milliseconds(c.hold)})
		}
		l.sent[f.GetNumber()] = l.claims
		l.claims = nil
	}
	l.mu.Unlock()
	l.dispatcher.usage.Add(usage.InquirySent, 1)
	return stream.Send(f)
}

// keepRecent keeps the notes that are sent now, and drops those that have arrived by now.
func (l *holderLink) keepRecent(now time.Time) {
	kept := slices.IndexFunc(l.recent, func(n queuedNote) bool { return now.Sub(n.at) <= recentTime })
	if kept < 0 {
		kept = len(l.recent)
	}
	l.recent = append(l.recent[kept:], l.notes...)
	l.recent = l.recent[max(0, len(l.recent)-maxQueuedNotes):]
	l.notes = nil
}

// receive passes on answers until the stream fails.
func (l *holderLink) receive(stream grpc.BidiStreamingClient[wire.HolderFrame, wire.HolderReply]) error {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		l.dispatcher.usage.Add(usage.InquiryReceived, 1)
		if reply.GetNumber() == 0 {
			klog.InfoS("CH1066 registrar answers", "entry", l.dispatcher.deps.Name, "address", l.address, "zone", reply.GetZone(), "knows", time.Duration(reply.GetKnowsMs())*time.Millisecond)
			l.dispatcher.holders.directory.Join(l.address, reply.GetZone())
			// Later answers may be late ones, of a registrar that is slow.
			l.dispatcher.holders.directory.Answered(l.address)
		}
		l.mu.Lock()
		claims := l.sent[reply.GetNumber()]
		// A stream keeps its order, so that earlier frames have been answered.
		delete(l.sent, reply.GetNumber())
		l.mu.Unlock()
		for n, c := range claims {
			a := answerAt(reply, n)
			a.registrar = l.address
			c.answers <- a
		}
	}
}

// answerAt returns the answer to the n-th claim of a frame.
func answerAt(reply *wire.HolderReply, n int) registrarAnswer {
	if n >= len(reply.GetAnswers()) {
		return registrarAnswer{failed: true}
	}
	a := reply.GetAnswers()[n]
	s, known := register.FromWire(a.GetState())
	return registrarAnswer{failed: !known, state: s, holders: a.GetHolders(), knows: time.Duration(reply.GetKnowsMs()) * time.Millisecond}
}

// close fails the claims without an answer, and returns the notes that may have been lost. Nothing
// can be sent afterwards.
func (l *holderLink) close(now time.Time, gone bool) (lost []queuedNote, excess int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed, l.gone = true, gone
	for _, claims := range l.sent {
		l.claims = append(l.claims, claims...)
	}
	for _, c := range l.claims {
		c.answers <- registrarAnswer{registrar: l.address, failed: true, gone: gone}
	}
	l.keepRecent(now)
	lost = slices.DeleteFunc(l.recent, func(n queuedNote) bool { return now.Sub(n.at) > noteTTL })
	l.claims, l.sent, l.recent = nil, nil, nil
	return lost, l.excess
}

// Holders serves the claims and notes of another dispatcher on a stream.
func (v *service) Holders(stream grpc.BidiStreamingServer[wire.HolderFrame, wire.HolderReply]) error {
	h := v.dispatcher.holders
	if h == nil {
		return status.Error(codes.Unimplemented, "this dispatcher takes no part")
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	from := first.GetAddress()
	if !address.Valid(from) {
		return status.Errorf(codes.InvalidArgument, "address %q is not valid", from)
	}
	v.dispatcher.peers.learn([]string{from})
	hello := h.answer(from, first)
	hello.Zone = v.dispatcher.deps.Zone
	if err := stream.Send(hello); err != nil {
		return err
	}
	for {
		f, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		v.dispatcher.usage.Add(usage.InquiryReceived, 1)
		for _, n := range f.GetNotes() {
			h.learn(from, n)
		}
		if len(f.GetClaims()) == 0 {
			continue
		}
		v.dispatcher.usage.Add(usage.InquirySent, 1)
		if err := stream.Send(h.answer(from, f)); err != nil {
			return err
		}
	}
}

// answer answers the claims of a frame.
func (h *holders) answer(from string, f *wire.HolderFrame) *wire.HolderReply {
	now := h.dispatcher.deps.Clock.Now()
	reply := &wire.HolderReply{Number: f.GetNumber(), KnowsMs: uint32(min(h.register.Knows(now), time.Hour).Milliseconds())}
	for _, c := range f.GetClaims() {
		s, others := h.register.Claim(c.GetJob(), from, time.Duration(c.GetHoldMs())*time.Millisecond, now)
		reply.Answers = append(reply.Answers, &wire.HolderAnswer{State: s.Wire(), Holders: others})
	}
	return reply
}
