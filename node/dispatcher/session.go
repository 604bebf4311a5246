package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/corianderhook/corianderhook/common/recovery"
	"github.com/corianderhook/corianderhook/connection/outbox"
	"github.com/corianderhook/corianderhook/connection/peer"
	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// echoAfter is how long after its last frame a dispatcher owes an echo: under the
	// sidecar's heartbeat, so that each heartbeat is echoed, and reports of room between
	// two of them are not.
	echoAfter = 100 * time.Millisecond
	// sessionSilence closes a session from which nothing has come.
	sessionSilence = time.Second
)

func serverOptions(m *metrics.Metrics) []grpc.ServerOption {
	return append(recovery.ServerOptions(m.CountUnexpectedError),
		grpc.InitialWindowSize(peer.WindowBytes),
		grpc.InitialConnWindowSize(peer.WindowBytes),
		grpc.MaxRecvMsgSize(peer.MaxMessageBytes),
		grpc.MaxSendMsgSize(peer.MaxMessageBytes),
	)
}

// session is one session of a sidecar.
type session struct {
	sidecar string
	out     *outbox.Outbox
	cancel  context.CancelFunc
	// roomEvery is what the sidecar was told; the sender alone changes it.
	roomEvery time.Duration
	// number counts the frames that carry offers; the actor alone changes it.
	number uint64
	stamp  atomic.Uint64
	// sentAt and heardAt are steady times in nanoseconds since began.
	began   time.Time
	sentAt  atomic.Int64
	heardAt atomic.Int64
}

func (s *session) close() {
	s.out.Close()
	s.cancel()
}

type service struct {
	wire.UnimplementedDispatcherServer
	dispatcher *Dispatcher
	shelf      shelf
}

// Work serves one session of a sidecar.
func (v *service) Work(stream grpc.BidiStreamingServer[wire.SidecarFrame, wire.DispatcherFrame]) error {
	d := v.dispatcher
	if err := stream.Send(&wire.DispatcherFrame{Incarnation: d.incarnation, Dispatchers: d.peers.addresses()}); err != nil {
		return err
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetHello().GetName() == "" {
		return status.Error(codes.InvalidArgument, "the first frame of a session must be a hello")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	s := &session{sidecar: first.GetHello().GetName(), out: outbox.New(), cancel: cancel, began: d.deps.Clock.Now()}
	defer s.out.Close()
	go func() {
		defer cancel()
		// The end of the stream is reported where it is read.
		_ = s.out.Run(ctx, func(batch []proto.Message) error { return s.send(d, stream, batch) })
	}()
	d.deps.System.Root.Send(d.scheduler, attached{session: s, first: first})
	defer d.deps.System.Root.Send(d.scheduler, detached{session: s})
	d.peers.join(s)
	defer d.peers.part(s)
	go v.watch(ctx, s)
	v.hear(s, first)
	received := make(chan error, 1)
	go func() { received <- v.receive(stream, s) }()
	select {
	case err := <-received:
		return err
	case <-ctx.Done():
		return status.Error(codes.Aborted, "the session was closed")
	}
}

func (v *service) receive(stream grpc.BidiStreamingServer[wire.SidecarFrame, wire.DispatcherFrame], s *session) error {
	for {
		f, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "session of "+s.sidecar)
		}
		v.take(s, f)
	}
}

// take hands a frame to the scheduler.
func (v *service) take(s *session, f *wire.SidecarFrame) {
	v.dispatcher.deps.System.Root.Send(v.dispatcher.scheduler, received{session: s, frame: f})
	v.hear(s, f)
}

// hear dates a frame and echoes its stamp.
func (v *service) hear(s *session, f *wire.SidecarFrame) {
	now := v.dispatcher.deps.Clock.Since(s.began)
	s.heardAt.Store(int64(now))
	s.stamp.Store(f.GetStampUs())
	if now-time.Duration(s.sentAt.Load()) > echoAfter {
		s.out.Put(&wire.DispatcherFrame{})
	}
}

// watch closes a session that has gone silent.
func (v *service) watch(ctx context.Context, s *session) {
	clock := v.dispatcher.deps.Clock
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(sessionSilence / 2):
			if clock.Since(s.began)-time.Duration(s.heardAt.Load()) > sessionSilence {
				s.close()
				return
			}
		}
	}
}

// send merges what is ready into one frame.
func (s *session) send(d *Dispatcher, stream grpc.BidiStreamingServer[wire.SidecarFrame, wire.DispatcherFrame], batch []proto.Message) error {
	whole := &wire.DispatcherFrame{EchoUs: s.stamp.Load()}
	if every := d.roomEvery(); every != s.roomEvery {
		s.roomEvery = every
		whole.RoomEveryMs = uint32(every.Milliseconds())
	}
	for _, m := range batch {
		f := m.(*wire.DispatcherFrame)
		whole.Offers = append(whole.Offers, f.GetOffers()...)
		whole.Cancels = append(whole.Cancels, f.GetCancels()...)
		whole.Withdraws = append(whole.Withdraws, f.GetWithdraws()...)
		whole.Number = max(whole.GetNumber(), f.GetNumber())
		if len(f.GetDispatchers()) > 0 {
			whole.Dispatchers = append(whole.Dispatchers, f.GetDispatchers()...)
		}
	}
	s.sentAt.Store(int64(d.deps.Clock.Since(s.began)))
	return stream.Send(whole)
}

// Exchange takes what another dispatcher knows and returns the same.
func (v *service) Exchange(_ context.Context, k *wire.Knowledge) (*wire.Knowledge, error) {
	v.dispatcher.peers.hear(k)
	return v.dispatcher.peers.knowledge(k.GetMembers()), nil
}
