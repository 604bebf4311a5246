package dispatcher

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/process/inquiry"
	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/wire"
)

// maxQueuedBatches limits the inquiries that wait for a stream to be opened.
const maxQueuedBatches = 64

// inquiryStream is the asking end of a stream of inquiries.
type inquiryStream = grpc.BidiStreamingClient[wire.HoldsRequest, wire.HoldsReply]

// inquiryLink carries the inquiries to one other dispatcher on a stream: a message costs a third of a
// call, and most need no answer.
type inquiryLink struct {
	dispatcher *Dispatcher
	address    string
	batches    chan []*question
	mu         sync.Mutex
	// sent holds the inquiries that may still be answered, in order of their numbers.
	sent       []sentInquiry
	lastNumber uint64
	closed     bool
}

// sentInquiry is a message whose answer may still arrive.
type sentInquiry struct {
	number    uint64
	at        time.Time
	questions []*question
}

// ask queues questions. It returns false if the link is closed; the questions of a link that cannot
// keep up have no answer.
func (l *inquiryLink) ask(questions []*question) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	select {
	case l.batches <- questions:
	default:
		answerAll(questions, l.address, inquiry.Unknown)
	}
	return true
}

// run opens the stream and serves it until it fails or the context ends. It returns the questions
// that the other dispatcher cannot be asked in this way, since its build has no streams of
// inquiries; all others without an answer are answered as unknown.
func (l *inquiryLink) run(ctx context.Context) (unsupported []*question) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	received := make(chan error, 1)
	stream, err := l.open(ctx)
	if err == nil {
		go func() { received <- l.receive(stream) }()
	}
	for err == nil {
		// The end of the context ends the stream.
		select {
		case err = <-received:
		case questions := <-l.batches:
			// A failed stream tells its error to the receiver.
			if sendErr := l.send(stream, questions); sendErr != nil {
				err = <-received
			}
		}
	}
	unanswered := l.close()
	if status.Code(err) == codes.Unimplemented {
		return unanswered
	}
	if len(unanswered) > 0 {
		klog.InfoS("CH1018 dispatcher does not answer an inquiry", "address", l.address, "jobs", len(unanswered), "error", err)
	}
	answerAll(unanswered, l.address, inquiry.Unknown)
	return nil
}

func (l *inquiryLink) open(ctx context.Context) (inquiryStream, error) {
	conn, err := l.dispatcher.peers.conn(l.address)
	if err != nil {
		return nil, err
	}
	return wire.NewDispatcherClient(conn).Inquire(ctx)
}

// send sends the questions that can still be answered in time.
func (l *inquiryLink) send(stream inquiryStream, questions []*question) error {
	now := l.dispatcher.deps.Clock.Now()
	var asked []*question
	for _, q := range questions {
		if now.After(q.deadline) {
			q.answer(l.address, inquiry.Unknown)
			continue
		}
		asked = append(asked, q)
	}
	if len(asked) == 0 {
		return nil
	}
	r := l.dispatcher.holdsRequest(asked)
	l.mu.Lock()
	l.lastNumber++
	r.Number = l.lastNumber
	for len(l.sent) > 0 && now.Sub(l.sent[0].at) > inquiryTimeout {
		l.sent = l.sent[1:]
	}
	l.sent = append(l.sent, sentInquiry{number: r.GetNumber(), at: now, questions: asked})
	l.mu.Unlock()
	l.dispatcher.usage.Add(usage.InquirySent, 1)
	return stream.Send(r)
}

// receive passes on answers until the stream fails.
func (l *inquiryLink) receive(stream inquiryStream) error {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "dispatcher "+l.address)
		}
		l.dispatcher.usage.Add(usage.InquiryReceived, 1)
		for n, q := range l.take(reply.GetNumber()) {
			q.answer(l.address, holdingAt(reply, n))
		}
	}
}

// take returns the questions of a message, and forgets them.
func (l *inquiryLink) take(number uint64) []*question {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, s := range l.sent {
		if s.number == number {
			l.sent = append(l.sent[:n:n], l.sent[n+1:]...)
			return s.questions
		}
	}
	return nil
}

// close returns the questions without an answer. Nothing can be asked afterwards.
func (l *inquiryLink) close() (unanswered []*question) {
	l.mu.Lock()
	l.closed = true
	close(l.batches)
	for _, s := range l.sent {
		unanswered = append(unanswered, s.questions...)
	}
	l.sent = nil
	l.mu.Unlock()
	for questions := range l.batches {
		unanswered = append(unanswered, questions...)
	}
	return unanswered
}

// holdingAt returns the answer about the n-th job of a request, unknown if the reply lacks it.
func holdingAt(reply *wire.HoldsReply, n int) inquiry.Holding {
	if n >= len(reply.GetHoldings()) {
		return inquiry.Unknown
	}
	return inquiry.FromWire(reply.GetHoldings()[n])
}

// Inquire answers the inquiries of another dispatcher on a stream.
func (v *service) Inquire(stream grpc.BidiStreamingServer[wire.HoldsRequest, wire.HoldsReply]) error {
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := v.Holds(stream.Context(), r)
		if err != nil {
			return err
		}
		if !needsReply(r, reply) {
			continue
		}
		reply.Number = r.GetNumber()
		v.dispatcher.usage.Add(usage.InquirySent, 1)
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

// needsReply reports whether an inquiry has to be answered.
func needsReply(r *wire.HoldsRequest, reply *wire.HoldsReply) bool {
	for n, j := range r.GetJobs() {
		if !j.GetQuiet() || holdingAt(reply, n) == inquiry.Held {
			return true
		}
	}
	return false
}
