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
	echoInterval = 100 * time.Millisecond
	// sessionSilence closes a session from which nothing has come.
	sessionTimeout = time.Second
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
	reportInterval time.Duration
	// number counts the frames that carry offers; the actor alone changes it.
	lastFrameNumber uint64
	lastStamp       atomic.Uint64
	// sentAt and heardAt are steady times in nanoseconds since began.
	openedAt time.Time
	sentAt   atomic.Int64
	heardAt  atomic.Int64
}

func (s *session) close() {
	s.out.Close()
	s.cancel()
}

type service struct {
	wire.UnimplementedDispatcherServer
	dispatcher *Dispatcher
	cache      configCache
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
	s := &session{sidecar: first.GetHello().GetName(), out: outbox.New(), cancel: cancel, openedAt: d.deps.Clock.Now()}
	defer s.out.Close()
	go func() {
		defer cancel()
		// The end of the stream is reported where it is read.
		_ = s.out.Run(ctx, func(batch []proto.Message) error { return s.send(d, stream, batch) })
	}()
	d.deps.System.Root.Send(d.scheduler, sessionOpened{session: s, firstFrame: first})
	defer d.deps.System.Root.Send(d.scheduler, sessionClosed{session: s})
	d.peers.addSession(s)
	defer d.peers.removeSession(s)
	go v.closeWhenSilent(ctx, s)
	v.recordReceipt(s, first)
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
		v.handleFrame(s, f)
	}
}

// take hands a frame to the scheduler.
func (v *service) handleFrame(s *session, f *wire.SidecarFrame) {
	v.dispatcher.deps.System.Root.Send(v.dispatcher.scheduler, frameReceived{session: s, frame: f})
	v.recordReceipt(s, f)
}

// hear dates a frame and echoes its stamp.
func (v *service) recordReceipt(s *session, f *wire.SidecarFrame) {
	now := v.dispatcher.deps.Clock.Since(s.openedAt)
	s.heardAt.Store(int64(now))
	s.lastStamp.Store(f.GetStampUs())
	if now-time.Duration(s.sentAt.Load()) > echoInterval {
		s.out.Put(&wire.DispatcherFrame{})
	}
}

// watch closes a session that has gone silent.
func (v *service) closeWhenSilent(ctx context.Context, s *session) {
	clock := v.dispatcher.deps.Clock
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(sessionTimeout / 2):
			if clock.Since(s.openedAt)-time.Duration(s.heardAt.Load()) > sessionTimeout {
				s.close()
				return
			}
		}
	}
}

// send merges what is ready into one frame.
func (s *session) send(d *Dispatcher, stream grpc.BidiStreamingServer[wire.SidecarFrame, wire.DispatcherFrame], batch []proto.Message) error {
	merged := &wire.DispatcherFrame{EchoUs: s.lastStamp.Load()}
	if interval := d.reportInterval(); interval != s.reportInterval {
		s.reportInterval = interval
		merged.RoomEveryMs = uint32(interval.Milliseconds())
	}
	for _, m := range batch {
		f := m.(*wire.DispatcherFrame)
		merged.Offers = append(merged.Offers, f.GetOffers()...)
		merged.Cancels = append(merged.Cancels, f.GetCancels()...)
		merged.Withdraws = append(merged.Withdraws, f.GetWithdraws()...)
		merged.Number = max(merged.GetNumber(), f.GetNumber())
		if len(f.GetDispatchers()) > 0 {
			merged.Dispatchers = append(merged.Dispatchers, f.GetDispatchers()...)
		}
	}
	s.sentAt.Store(int64(d.deps.Clock.Since(s.openedAt)))
	return stream.Send(merged)
}

// Exchange takes what another dispatcher knows and returns the same.
func (v *service) Exchange(_ context.Context, k *wire.Knowledge) (*wire.Knowledge, error) {
	v.dispatcher.peers.handleKnowledge(k)
	return v.dispatcher.peers.knowledge(k.GetMembers()), nil
}
