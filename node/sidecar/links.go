package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/connection/outbox"
	"github.com/corianderhook/corianderhook/connection/peer"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// heartbeat is the longest time between two frames to a dispatcher: three fit
	// into the silence after which its tasks are stopped.
	heartbeat = 150 * time.Millisecond
	// sessionSilence replaces a session on which no echo has come for two heartbeats.
	sessionSilence = 330 * time.Millisecond
	// firstOpen bounds the opening of a session, doubled with each failure up to
	// lastOpen: a VM without power does not answer, a slow one takes its time.
	firstOpen = 150 * time.Millisecond
	lastOpen  = 600 * time.Millisecond
	// redial and slowRedial are the pauses before a new session: at first, and with an
	// address that has not answered for dropAfter.
	redial     = 50 * time.Millisecond
	slowRedial = 2 * time.Second
	dropAfter  = 10 * time.Second
)

// link is one session with one dispatcher.
type link struct {
	address    string
	dispatcher uint64
	out        *outbox.Outbox
	openedUS   uint64
	// seen and told belong to the actor.
	seen uint64
	told *wire.Room
	// roomEvery is the least time between two reports of room without another cause.
	roomEvery time.Duration
	// sent and heard are the stamps of the last frame each way.
	sent  atomic.Uint64
	heard atomic.Uint64
}

// links holds a session with every dispatcher that is known.
type links struct {
	sidecar *Sidecar
	news    chan []string
}

// newsQueued is how many lists of addresses may wait to be read.
const newsQueued = 64

func newLinks(s *Sidecar) *links { return &links{sidecar: s, news: make(chan []string, newsQueued)} }

// learn adds addresses. A list that finds no place is told again later.
func (l *links) learn(addresses []string) {
	select {
	case l.news <- addresses:
	default:
	}
}

// run holds a session with every address that is learned until the context ends.
func (l *links) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	known := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-l.news:
			for _, a := range list {
				if a == "" || known[a] {
					continue
				}
				known[a] = true
				group.Go(func() { l.keep(ctx, a) })
			}
		}
	}
}

// keep holds a session open until the context ends.
func (l *links) keep(ctx context.Context, address string) {
	clock := l.sidecar.deps.Clock
	answered := clock.Now()
	open := firstOpen
	for ctx.Err() == nil {
		began := clock.Now()
		opened, err := l.session(ctx, address, open)
		if ctx.Err() != nil {
			return
		}
		open = min(2*open, lastOpen)
		if opened {
			open = firstOpen
			answered = clock.Now()
			klog.InfoS("CH1141 session with dispatcher lost", "agent", l.sidecar.deps.Name, "dispatcher", address, "error", err, "lasted", answered.Sub(began))
		}
		again := redial
		if clock.Since(answered) > dropAfter {
			again = slowRedial
		}
		pause.For(ctx, clock, again)
	}
}

// session opens one session and serves it; opened tells whether it came about.
func (l *links) session(ctx context.Context, address string, within time.Duration) (opened bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := peer.Dial(address, insecure.NewCredentials())
	if err != nil {
		return false, err
	}
	defer conn.Close()
	k := &link{address: address, out: outbox.New()}
	defer k.out.Close()
	timer := l.sidecar.deps.Clock.AfterFunc(within, cancel)
	defer timer.Stop()
	k.openedUS = l.sidecar.stamp()
	stream, err := wire.NewDispatcherClient(conn).Work(ctx)
	if err != nil {
		return false, errors.Wrap(err, "dispatcher "+address)
	}
	welcome, err := stream.Recv()
	if err != nil {
		return false, errors.Wrap(err, "dispatcher "+address)
	}
	if !timer.Stop() {
		return false, errors.New("the session was not opened in time")
	}
	klog.InfoS("CH1142 session with dispatcher opened", "agent", l.sidecar.deps.Name, "dispatcher", address, "incarnation", welcome.GetIncarnation())
	l.serve(ctx, cancel, k, stream, welcome)
	return true, context.Cause(ctx)
}

func (l *links) serve(ctx context.Context, cancel context.CancelFunc, k *link, stream grpc.BidiStreamingClient[wire.SidecarFrame, wire.DispatcherFrame], welcome *wire.DispatcherFrame) {
	s := l.sidecar
	k.heard.Store(s.stamp())
	k.sent.Store(s.stamp())
	s.deps.System.Root.Send(s.runner, opened{link: k, welcome: welcome})
	defer s.deps.System.Root.Send(s.runner, closed{link: k})
	go func() {
		defer cancel()
		// The end of the stream is reported where it is read.
		_ = k.out.Run(ctx, func(batch []proto.Message) error { return k.send(s, stream, batch) })
	}()
	go k.watch(ctx, cancel, s)
	for f := welcome; ; {
		if len(f.GetDispatchers()) > 0 {
			l.learn(f.GetDispatchers())
		}
		var err error
		if f, err = stream.Recv(); err != nil {
			return
		}
		k.heard.Store(s.stamp())
		s.deps.System.Root.Send(s.runner, received{link: k, frame: f})
	}
}

// watch ends a session that has gone silent.
func (k *link) watch(ctx context.Context, cancel context.CancelFunc, s *Sidecar) {
	clock := s.deps.Clock
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(sessionSilence / 4):
			if s.stamp()-k.heard.Load() > uint64(sessionSilence.Microseconds()) {
				cancel()
				return
			}
		}
	}
}

// send merges what is ready into one frame.
func (k *link) send(s *Sidecar, stream grpc.BidiStreamingClient[wire.SidecarFrame, wire.DispatcherFrame], batch []proto.Message) error {
	whole := &wire.SidecarFrame{StampUs: s.stamp()}
	for _, m := range batch {
		f := m.(*wire.SidecarFrame)
		if f.GetHello() != nil {
			whole.Hello = f.GetHello()
		}
		if f.GetEndpoint() != nil {
			whole.Endpoint = f.GetEndpoint()
		}
		whole.Room = f.GetRoom()
		whole.Seen = f.GetSeen()
		whole.Events = append(whole.Events, f.GetEvents()...)
	}
	k.sent.Store(whole.GetStampUs())
	return stream.Send(whole)
}
