package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
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
	"github.com/corianderhook/corianderhook/process/roster"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// heartbeat is the longest time between two frames to a dispatcher. Three fit into the
	// silence after which the dispatcher's tasks are stopped.
	heartbeat = 150 * time.Millisecond
	// sessionTimeout is the time without a frame after which a session is replaced: somewhat
	// more than two heartbeats, each of which is echoed.
	sessionTimeout = 330 * time.Millisecond
	// minOpenTimeout limits the opening of a session. It doubles with each failure up to
	// maxOpenTimeout: a VM without power never answers, a slow one answers late.
	minOpenTimeout = 150 * time.Millisecond
	maxOpenTimeout = 600 * time.Millisecond
	// minRedialBackoff is the time before a session is opened again. It doubles with each
	// failure up to maxRedialBackoff. For an address that has not answered for
	// unreachableAfter it is unreachableRedialInterval. All have a jitter of ±25 %.
	minRedialBackoff          = 50 * time.Millisecond
	maxRedialBackoff          = 400 * time.Millisecond
	unreachableRedialInterval = 2 * time.Second
	unreachableAfter          = 10 * time.Second
	// selectionInterval is the time between two selections of the sessions to hold.
	selectionInterval = 250 * time.Millisecond
)

// link is the sidecar's end of a session with a dispatcher.
type link struct {
	address     string
	dispatcher  uint64
	out         *outbox.Outbox
	cancel      context.CancelFunc
	openedStamp uint64
	// lastFrameNumber is the number of the last received frame with offers, reportedRoom the
	// last capacity report sent; only the actor accesses them.
	lastFrameNumber uint64
	reportedRoom    *wire.Room
	// reportInterval is the minimum time after a frame before another is sent only because
	// of a changed capacity report; the dispatcher sets it.
	reportInterval time.Duration
	// sentStamp and heardStamp are the times, as stamps, of the last frame sent and received.
	sentStamp  atomic.Uint64
	heardStamp atomic.Uint64
	// retiring is set, with the time, once the session is to be closed as soon as the
	// dispatcher holds no task here; only the actor accesses it.
	retiring      bool
	retiringSince time.Time
}

// links holds sessions with the dispatchers that the roster selects.
type links struct {
	sidecar *Sidecar
	learned chan []string
	mu      sync.Mutex
	roster  *roster.Roster
	// cancels holds by address the function that ends the session and further attempts.
	cancels map[string]context.CancelFunc
}

// maxQueuedLists is the number of address lists that may wait to be processed.
const maxQueuedLists = 64

func newLinks(s *Sidecar) *links {
	l := &links{
		sidecar: s, learned: make(chan []string, maxQueuedLists), roster: roster.New(s.deps.Name, s.deps.Sessions),
		cancels: map[string]context.CancelFunc{},
	}
	for _, a := range s.deps.Dispatchers {
		l.roster.Pin(a)
	}
	return l
}

// learn adds addresses of dispatchers. If the queue is full, the list is dropped, as
// addresses are announced repeatedly.
func (l *links) learn(addresses []string) {
	select {
	case l.learned <- addresses:
	default:
	}
}

// run holds the selected sessions until the context ends.
func (l *links) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := l.sidecar.deps.Clock.NewTicker(selectionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-l.learned:
			l.mu.Lock()
			for _, a := range list {
				l.roster.Learn(a)
			}
			l.mu.Unlock()
		case <-ticker.Chan():
		}
		l.selectSessions(ctx, &group)
	}
}

// selectSessions opens the sessions that the roster targets. It cancels attempts for other
// addresses and has the actor retire excess sessions.
func (l *links) selectSessions(ctx context.Context, group *sync.WaitGroup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.sidecar.deps.Clock.Now()
	targets := l.roster.Targets(now)
	for _, a := range targets {
		if _, exists := l.cancels[a]; exists {
			continue
		}
		holdCtx, cancel := context.WithCancel(ctx)
		l.cancels[a] = cancel
		group.Go(func() {
			l.holdSession(holdCtx, a)
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.cancels, a)
		})
	}
	for a, cancel := range l.cancels {
		if !l.roster.HasSession(a) && !slices.Contains(targets, a) {
			cancel()
		}
	}
	for _, a := range l.roster.ExcessSessions(now) {
		l.sidecar.deps.System.Root.Send(l.sidecar.runner, retireSession{address: a})
	}
}

// closeSession closes the session with an address.
func (l *links) closeSession(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel, exists := l.cancels[address]; exists {
		cancel()
	}
}

func (l *links) updateRoster(update func(address string, now time.Time), address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(address, l.sidecar.deps.Clock.Now())
}

// holdSession keeps a session open until the context ends, and opens it again when it fails.
func (l *links) holdSession(ctx context.Context, address string) {
	clock := l.sidecar.deps.Clock
	lastAnswer := clock.Now()
	openTimeout, backoff := minOpenTimeout, minRedialBackoff
	for ctx.Err() == nil {
		startedAt := clock.Now()
		opened, err := l.runSession(ctx, address, openTimeout)
		l.updateRoster(l.roster.SessionLost, address)
		if ctx.Err() != nil {
			return
		}
		openTimeout = min(2*openTimeout, maxOpenTimeout)
		if opened {
			openTimeout, backoff = minOpenTimeout, minRedialBackoff
			lastAnswer = clock.Now()
			klog.InfoS("CH1141 session with dispatcher lost", "agent", l.sidecar.deps.Name, "dispatcher", address, "error", err, "lasted", lastAnswer.Sub(startedAt))
		}
		wait := backoff
		if backoff = min(2*backoff, maxRedialBackoff); clock.Since(lastAnswer) > unreachableAfter {
			wait = unreachableRedialInterval
		}
		pause.For(ctx, clock, time.Duration((0.75+rand.Float64()/2)*float64(wait)))
	}
}

// runSession opens a session and serves it until it fails. Opened reports whether it was
// opened.
func (l *links) runSession(ctx context.Context, address string, timeout time.Duration) (opened bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := peer.Dial(address, insecure.NewCredentials())
	if err != nil {
		return false, err
	}
	defer conn.Close()
	k := &link{address: address, out: outbox.New(), cancel: cancel}
	defer k.out.Close()
	timer := l.sidecar.deps.Clock.AfterFunc(timeout, cancel)
	defer timer.Stop()
	k.openedStamp = l.sidecar.stamp()
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
	l.updateRoster(l.roster.SessionOpened, address)
	l.serve(ctx, cancel, k, stream, welcome)
	return true, context.Cause(ctx)
}

func (l *links) serve(ctx context.Context, cancel context.CancelFunc, k *link, stream grpc.BidiStreamingClient[wire.SidecarFrame, wire.DispatcherFrame], welcome *wire.DispatcherFrame) {
	s := l.sidecar
	k.heardStamp.Store(s.stamp())
	k.sentStamp.Store(s.stamp())
	s.deps.System.Root.Send(s.runner, sessionOpened{link: k, welcome: welcome})
	defer s.deps.System.Root.Send(s.runner, sessionClosed{link: k})
	go func() {
		defer cancel()
		// The receiving side reports the error of the stream.
		_ = k.out.Run(ctx, func(batch []proto.Message) error { return k.send(s, stream, batch) })
	}()
	for f := welcome; ; {
		if len(f.GetDispatchers()) > 0 {
			l.learn(f.GetDispatchers())
		}
		var err error
		if f, err = stream.Recv(); err != nil {
			return
		}
		k.heardStamp.Store(s.stamp())
		s.deps.System.Root.Send(s.runner, frameReceived{link: k, frame: f})
	}
}

// timedOut reports whether no frame has been received for sessionTimeout.
func (k *link) timedOut(s *Sidecar) bool {
	return s.stamp()-k.heardStamp.Load() > uint64(sessionTimeout.Microseconds())
}

// send merges the queued frames into one and sends it.
func (k *link) send(s *Sidecar, stream grpc.BidiStreamingClient[wire.SidecarFrame, wire.DispatcherFrame], batch []proto.Message) error {
	merged := &wire.SidecarFrame{StampUs: s.stamp()}
	for _, m := range batch {
		f := m.(*wire.SidecarFrame)
		if f.GetHello() != nil {
			merged.Hello = f.GetHello()
		}
		if f.GetEndpoint() != nil {
			merged.Endpoint = f.GetEndpoint()
		}
		merged.Room = f.GetRoom()
		merged.Seen = f.GetSeen()
		merged.Events = append(merged.Events, f.GetEvents()...)
	}
	k.sentStamp.Store(merged.GetStampUs())
	return stream.Send(merged)
}
