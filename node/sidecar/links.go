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
	sessionSilence = 330 * time.Millisecond
	// firstOpen bounds the opening of a session, doubled with each failure up to
	// lastOpen: a VM without power does not answer, a slow one takes its time.
	firstOpen = 150 * time.Millisecond
	lastOpen  = 600 * time.Millisecond
	// redial is the pause before a new session, doubled with each failure up to
	// lastRedial, and slowRedial the one with an address that has not answered for
	// dropAfter. Each is spread by a quarter either way.
	redial     = 50 * time.Millisecond
	lastRedial = 400 * time.Millisecond
	slowRedial = 2 * time.Second
	dropAfter  = 10 * time.Second
	// chooseEvery is the time between two looks at which sessions are wanted.
	chooseEvery = 250 * time.Millisecond
)

// link is one session with one dispatcher.
type link struct {
	address    string
	dispatcher uint64
	out        *outbox.Outbox
	cancel     context.CancelFunc
	openedUS   uint64
	// seen and told belong to the actor.
	seen uint64
	told *wire.Room
	// roomEvery is the least time between two reports of room without another cause.
	roomEvery time.Duration
	// sent and heard are the stamps of the last frame each way.
	sent  atomic.Uint64
	heard atomic.Uint64
	// ends: the session is about to be closed, and since when; the actor alone changes it.
	ends   bool
	endsAt time.Time
}

// links holds sessions with the dispatchers that the roster chooses.
type links struct {
	sidecar *Sidecar
	news    chan []string
	mu      sync.Mutex
	roster  *roster.Roster
	// kept ends the attempts to hold a session with an address.
	kept map[string]context.CancelFunc
}

// newsQueued is how many lists of addresses may wait to be read.
const newsQueued = 64

func newLinks(s *Sidecar) *links {
	l := &links{
		sidecar: s, news: make(chan []string, newsQueued), roster: roster.New(s.deps.Name, s.deps.Sessions),
		kept: map[string]context.CancelFunc{},
	}
	for _, a := range s.deps.Dispatchers {
		l.roster.Pin(a)
	}
	return l
}

// learn adds addresses. A list that finds no place is told again later.
func (l *links) learn(addresses []string) {
	select {
	case l.news <- addresses:
	default:
	}
}

// run holds sessions until the context ends.
func (l *links) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := l.sidecar.deps.Clock.NewTicker(chooseEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-l.news:
			l.mu.Lock()
			for _, a := range list {
				l.roster.Learn(a)
			}
			l.mu.Unlock()
		case <-ticker.Chan():
		}
		l.choose(ctx, &group)
	}
}

// choose begins what is wanted and has the actor end what is not.
func (l *links) choose(ctx context.Context, group *sync.WaitGroup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.sidecar.deps.Clock.Now()
	wanted := l.roster.Targets(now)
	for _, a := range wanted {
		if _, kept := l.kept[a]; kept {
			continue
		}
		keepCtx, cancel := context.WithCancel(ctx)
		l.kept[a] = cancel
		group.Go(func() {
			l.keep(keepCtx, a)
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.kept, a)
		})
	}
	for a, cancel := range l.kept {
		if !l.roster.HasSession(a) && !slices.Contains(wanted, a) {
			cancel()
		}
	}
	for _, a := range l.roster.ExcessSessions(now) {
		l.sidecar.deps.System.Root.Send(l.sidecar.runner, leave{address: a})
	}
}

// end closes a session that nothing needs any more.
func (l *links) end(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel, kept := l.kept[address]; kept {
		cancel()
	}
}

func (l *links) note(change func(address string, now time.Time), address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(address, l.sidecar.deps.Clock.Now())
}

// keep holds a session open until the context ends.
func (l *links) keep(ctx context.Context, address string) {
	clock := l.sidecar.deps.Clock
	answered := clock.Now()
	open, again := firstOpen, redial
	for ctx.Err() == nil {
		began := clock.Now()
		opened, err := l.session(ctx, address, open)
		l.note(l.roster.SessionLost, address)
		if ctx.Err() != nil {
			return
		}
		open = min(2*open, lastOpen)
		if opened {
			open, again = firstOpen, redial
			answered = clock.Now()
			klog.InfoS("CH1141 session with dispatcher lost", "agent", l.sidecar.deps.Name, "dispatcher", address, "error", err, "lasted", answered.Sub(began))
		}
		wait := again
		if again = min(2*again, lastRedial); clock.Since(answered) > dropAfter {
			wait = slowRedial
		}
		pause.For(ctx, clock, time.Duration((0.75+rand.Float64()/2)*float64(wait)))
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
	k := &link{address: address, out: outbox.New(), cancel: cancel}
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
	l.note(l.roster.SessionOpened, address)
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

// silent reports whether nothing has come for too long.
func (k *link) silent(s *Sidecar) bool {
	return s.stamp()-k.heard.Load() > uint64(sessionSilence.Microseconds())
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
