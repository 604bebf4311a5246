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
	"github.com/corianderhook/corianderhook/connection/doorway"
	"github.com/corianderhook/corianderhook/connection/outbox"
	"github.com/corianderhook/corianderhook/connection/peer"
	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/version/evacuation"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// echoInterval is the time between the stamps of two frames from which the second is echoed
	// at once. It is less than the sidecar's heartbeat interval, so that each heartbeat is
	// echoed, while the capacity reports between two heartbeats are not.
	echoInterval = 100 * time.Millisecond
	// sessionTimeout is the time without a frame after which a session is closed.
	sessionTimeout = time.Second
)

func serverOptions(m *metrics.Metrics) []grpc.ServerOption {
	return append(append(recovery.ServerOptions(m.CountUnexpectedError), doorway.ServerOptions()...),
		grpc.InitialWindowSize(peer.WindowBytes),
		grpc.InitialConnWindowSize(peer.WindowBytes),
		grpc.MaxRecvMsgSize(peer.MaxMessageBytes),
		grpc.MaxSendMsgSize(peer.MaxMessageBytes),
	)
}

// session is the dispatcher's end of a session with a sidecar.
type session struct {
	sidecar string
	out     *outbox.Outbox
	cancel  context.CancelFunc
	// reportInterval is the interval last sent to the sidecar; only send accesses it.
	reportInterval time.Duration
	// sentEvacuation is the set of evacuated zones last sent to the sidecar, at
	// evacuationSentAt; only send accesses them.
	sentEvacuation   evacuation.State
	evacuationSentAt time.Time
	// lastFrameNumber counts the frames that carry offers; only the actor accesses it.
	lastFrameNumber uint64
	// takenStamp, handledStamp and echoedStamp are the stamps of the last frames that the actor has
	// taken up, has handled, and has queued the echo of; only the actor accesses them.
	takenStamp, handledStamp, echoedStamp uint64
	// sentEcho is the last echo sent; only send accesses it.
	sentEcho uint64
	// heardAt is the time of the last frame received, in nanoseconds since openedAt.
	openedAt time.Time
	heardAt  atomic.Int64
}

// put queues a frame of the actor. Its echo says that all that the actor decided on before it had
// handled the frame with that stamp is queued before.
func (s *session) put(f *wire.DispatcherFrame) bool {
	f.EchoUs, s.echoedStamp = s.handledStamp, s.handledStamp
	return s.out.Put(f)
}

// finishFrame records that the actor has handled the frame that it took up last, and queues an
// echo if that is the first one or the last echo is older than echoInterval.
func (s *session) finishFrame() {
	s.handledStamp = s.takenStamp
	if s.echoedStamp == 0 || s.handledStamp > s.echoedStamp+uint64(echoInterval.Microseconds()) {
		s.put(&wire.DispatcherFrame{})
	}
}

// silence returns the time since the last frame was received.
func (s *session) silence(now time.Time) time.Duration {
	return now.Sub(s.openedAt) - time.Duration(s.heardAt.Load())
}

func (s *session) close() {
	s.out.Close()
	s.cancel()
}

// service implements the gRPC service of a dispatcher.
type service struct {
	wire.UnimplementedDispatcherServer
	dispatcher *Dispatcher
	cache      configCache
}

// Work serves a session of a sidecar until either side closes it.
func (v *service) Work(stream grpc.BidiStreamingServer[wire.SidecarFrame, wire.DispatcherFrame]) error {
	d := v.dispatcher
	if err := stream.Send(&wire.DispatcherFrame{
		Incarnation: d.incarnation, Dispatchers: d.peers.addresses(), Evacuation: d.gate.Message(d.deps.Clock.Now()),
		Cancellations: d.cancellations.Recent(d.deps.Clock.Now()), EchoesHandled: true,
	}); err != nil {
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
		// The receiving side reports the error of the stream.
		_ = s.out.Run(ctx, func(batch []proto.Message) error { return s.send(d, stream, batch) })
	}()
	v.recordReceipt(s)
	d.deps.System.Root.Send(d.scheduler, sessionOpened{session: s, firstFrame: first})
	defer d.deps.System.Root.Send(d.scheduler, sessionClosed{session: s})
	d.peers.addSession(s)
	defer d.peers.removeSession(s)
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

// handleFrame passes a frame to the scheduler actor.
func (v *service) handleFrame(s *session, f *wire.SidecarFrame) {
	v.dispatcher.usage.Add(usage.FramesReceived, 1)
	v.dispatcher.deps.System.Root.Send(v.dispatcher.scheduler, frameReceived{session: s, frame: f})
	v.recordReceipt(s)
}

// recordReceipt records the time of a received frame.
func (v *service) recordReceipt(s *session) {
	s.heardAt.Store(int64(v.dispatcher.deps.Clock.Since(s.openedAt)))
}

// send merges the queued frames into one and sends it.
func (s *session) send(d *Dispatcher, stream grpc.BidiStreamingServer[wire.SidecarFrame, wire.DispatcherFrame], batch []proto.Message) error {
	merged := &wire.DispatcherFrame{}
	if interval := d.reportInterval(); interval != s.reportInterval {
		s.reportInterval = interval
		merged.RoomEveryMs = uint32(interval.Milliseconds())
	}
	for _, m := range batch {
		f := m.(*wire.DispatcherFrame)
		s.sentEcho = max(s.sentEcho, f.GetEchoUs())
		merged.Offers = append(merged.Offers, f.GetOffers()...)
		merged.Cancels = append(merged.Cancels, f.GetCancels()...)
		merged.Withdraws = append(merged.Withdraws, f.GetWithdraws()...)
		merged.Cancellations = append(merged.Cancellations, f.GetCancellations()...)
		merged.Number = max(merged.GetNumber(), f.GetNumber())
		if len(f.GetDispatchers()) > 0 {
			merged.Dispatchers = append(merged.Dispatchers, f.GetDispatchers()...)
		}
	}
	merged.EchoUs = s.sentEcho
	s.addEvacuation(d, merged)
	d.usage.Add(usage.FramesSent, 1)
	return stream.Send(merged)
}

// Exchange applies the state of another dispatcher and returns that of this one.
func (v *service) Exchange(_ context.Context, k *wire.Knowledge) (*wire.Knowledge, error) {
	v.dispatcher.usage.Add(usage.Exchanges, 1)
	v.dispatcher.peers.handleKnowledge(k, time.Time{})
	return v.dispatcher.peers.knowledge(k.GetMembers()), nil
}
