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
	// heartbeat is the longest time between two frames to a dispatcher: three fit
	// into the silence after which its tasks are stopped.
	heartbeat = 150 * time.Millisecond
	// sessionSilence replaces a session on which no echo has come for two heartbeats.
	sessionTimeout = 330 * time.Millisecond
	// firstOpen bounds the opening of a session, doubled with each failure up to
	// lastOpen: a VM without power does not answer, a slow one takes its time.
	minOpenTimeout = 150 * time.Millisecond
	maxOpenTimeout = 600 * time.Millisecond
	// redial is the pause before a new session, doubled with each failure up to
	// lastRedial, and slowRedial the one with an address that has not answered for
	// dropAfter. Each is spread by a quarter either way.
	minRedialBackoff          = 50 * time.Millisecond
	maxRedialBackoff          = 400 * time.Millisecond
	unreachableRedialInterval = 2 * time.Second
	unreachableAfter          = 10 * time.Second
	// chooseEvery is the time between two looks at which sessions are wanted.
	selectionInterval = 250 * time.Millisecond
)

// link is one session with one dispatcher.
type link struct {
	address     string
	dispatcher  uint64
	out         *outbox.Outbox
	cancel      context.CancelFunc
	openedStamp uint64
	// seen and told belong to the actor.
	lastFrameNumber uint64
	reportedRoom    *wire.Room
	// roomEvery is the least time between two reports of room without another cause.
	reportInterval time.Duration
	// sent and heard are the stamps of the last frame each way.
	sentStamp  atomic.Uint64
	heardStamp atomic.Uint64
	// ends: the session is about to be closed, and since when; the actor alone changes it.
	retiring      bool
	retiringSince time.Time
}

// links holds sessions with the dispatchers that the roster chooses.
type links struct {
	sidecar *Sidecar
	learned chan []string
	mu      sync.Mutex
	roster  *roster.Roster
	// kept ends the attempts to hold a session with an address.
	cancels map[string]context.CancelFunc
}

// newsQueued is how many lists of addresses may wait to be read.
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

// learn adds addresses. A list that finds no place is told again later.
func (l *links) learn(addresses []string) {
	select {
	case l.learned <- addresses:
	default:
	}
}

// run holds sessions until the context ends.
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

// choose begins what is wanted and has the actor end what is not.
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

// end closes a session that nothing needs any more.
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

// keep holds a session open until the context ends.
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

// session opens one session and serves it; opened tells whether it came about.
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
		// The end of the stream is reported where it is read.
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

// silent reports whether nothing has come for too long.
func (k *link) timedOut(s *Sidecar) bool {
	return s.stamp()-k.heardStamp.Load() > uint64(sessionTimeout.Microseconds())
}

// send merges what is ready into one frame.
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
