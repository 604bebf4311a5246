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
	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// sessionTimeout is the time without a frame after which a session is replaced: somewhat
	// more than two heartbeats, each of which is echoed.
	sessionTimeout = 330 * time.Millisecond
	// minOpenTimeout limits the opening of a session. It doubles with each failure up to
	// maxOpenTimeout: a VM without power never answers, a slow one answers late.
	minOpenTimeout = 150 * time.Millisecond
	maxOpenTimeout = 600 * time.Millisecond
	// minRedialBackoff is the time before a session is opened again. It doubles with each
	// failure up to maxRedialBackoff. An address that has not answered for unreachableAfter is
	// tried every unreachableRedialInterval. All these times have a jitter of ±25 %.
	minRedialBackoff          = 50 * time.Millisecond
	maxRedialBackoff          = 400 * time.Millisecond
	unreachableRedialInterval = 2 * time.Second
	unreachableAfter          = 10 * time.Second
	// selectionInterval is the time between two selections of the sessions to hold.
	selectionInterval = 250 * time.Millisecond
)

// session is the sidecar's end of a session with a dispatcher.
type session struct {
	address     string
	dispatcher  uint64
	out         *outbox.Outbox
	cancel      context.CancelFunc
	openedStamp uint64
	// lastFrameNumber is the number of the last received frame with offers, sentReport the
	// last capacity report sent; only the actor accesses them.
	lastFrameNumber uint64
	sentReport      *wire.Room
	// sentSlowings is the revision of the last estimates sent.
	sentSlowings uint64
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

// sessionPool holds sessions with the dispatchers that the roster selects.
type sessionPool struct {
	sidecar *Sidecar
	learned chan []string
	mu      sync.Mutex
	roster  *roster.Roster
	// cancels holds by address the function that ends the session and further attempts.
	cancels map[string]context.CancelFunc
}

// maxQueuedLists is the number of address lists that may wait to be processed.
const maxQueuedLists = 64

func newSessionPool(s *Sidecar) *sessionPool {
	p := &sessionPool{
		sidecar: s, learned: make(chan []string, maxQueuedLists), roster: roster.New(s.deps.Name, s.deps.Sessions),
		cancels: map[string]context.CancelFunc{},
	}
	for _, a := range s.deps.Dispatchers {
		p.roster.Pin(a)
	}
	return p
}

// learn adds addresses of dispatchers. If the queue is full, the list is dropped, as
// addresses are announced repeatedly.
func (p *sessionPool) learn(addresses []string) {
	select {
	case p.learned <- addresses:
	default:
	}
}

// run holds the selected sessions until the context ends.
func (p *sessionPool) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := p.sidecar.deps.Clock.NewTicker(selectionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-p.learned:
			p.mu.Lock()
			for _, a := range list {
				p.roster.Learn(a)
			}
			p.mu.Unlock()
		case <-ticker.Chan():
		}
		p.selectSessions(ctx, &group)
	}
}

// selectSessions opens the sessions that the roster targets. It cancels attempts for other
// addresses and has the actor retire excess sessions.
func (p *sessionPool) selectSessions(ctx context.Context, group *sync.WaitGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.sidecar.deps.Clock.Now()
	targets := p.roster.Targets(now)
	for _, a := range targets {
		if _, exists := p.cancels[a]; exists {
			continue
		}
		holdCtx, cancel := context.WithCancel(ctx)
		p.cancels[a] = cancel
		group.Go(func() {
			p.holdSession(holdCtx, a)
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.cancels, a)
		})
	}
	for a, cancel := range p.cancels {
		if !p.roster.HasSession(a) && !slices.Contains(targets, a) {
			cancel()
		}
	}
	for _, a := range p.roster.ExcessSessions(now) {
		p.sidecar.deps.System.Root.Send(p.sidecar.runner, retireSession{address: a})
	}
}

// closeSession closes the session with an address.
func (p *sessionPool) closeSession(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel, exists := p.cancels[address]; exists {
		cancel()
	}
}

// updateRoster applies a change of the roster for an address at the current time.
func (p *sessionPool) updateRoster(update func(address string, now time.Time), address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(address, p.sidecar.deps.Clock.Now())
}

// holdSession keeps a session open until the context ends, and opens it again when it fails.
func (p *sessionPool) holdSession(ctx context.Context, address string) {
	clock := p.sidecar.deps.Clock
	lastAnswer := clock.Now()
	openTimeout, backoff := minOpenTimeout, minRedialBackoff
	for ctx.Err() == nil {
		startedAt := clock.Now()
		opened, err := p.runSession(ctx, address, openTimeout)
		p.updateRoster(p.roster.SessionLost, address)
		if ctx.Err() != nil {
			return
		}
		openTimeout = min(2*openTimeout, maxOpenTimeout)
		if opened {
			openTimeout, backoff = minOpenTimeout, minRedialBackoff
			lastAnswer = clock.Now()
			klog.InfoS("CH1141 session with dispatcher lost", "agent", p.sidecar.deps.Name, "dispatcher", address, "error", err, "lasted", lastAnswer.Sub(startedAt))
		}
		wait := backoff
		if backoff = min(2*backoff, maxRedialBackoff); clock.Since(lastAnswer) > unreachableAfter {
			wait = unreachableRedialInterval
		}
		pause.For(ctx, clock, time.Duration((0.75+rand.Float64()/2)*float64(wait)))
	}
}

// runSession opens a session and serves it until it fails. The result opened reports
// whether the dispatcher answered in time.
func (p *sessionPool) runSession(ctx context.Context, address string, timeout time.Duration) (opened bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := peer.Dial(address, insecure.NewCredentials())
	if err != nil {
		return false, err
	}
	defer conn.Close()
	s := &session{address: address, out: outbox.New(), cancel: cancel}
	defer s.out.Close()
	timer := p.sidecar.deps.Clock.AfterFunc(timeout, cancel)
	defer timer.Stop()
	s.openedStamp = p.sidecar.stamp()
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
	klog.InfoS("CH1142 session with dispatcher opened", "agent", p.sidecar.deps.Name, "dispatcher", address, "incarnation", welcome.GetIncarnation())
	p.updateRoster(p.roster.SessionOpened, address)
	p.serve(ctx, cancel, s, stream, welcome)
	return true, context.Cause(ctx)
}

// serve sends the queued frames and passes the received ones to the actor, until the stream
// or the context ends.
func (p *sessionPool) serve(ctx context.Context, cancel context.CancelFunc, s *session, stream grpc.BidiStreamingClient[wire.SidecarFrame, wire.DispatcherFrame], welcome *wire.DispatcherFrame) {
	sidecar := p.sidecar
	s.heardStamp.Store(sidecar.stamp())
	s.sentStamp.Store(sidecar.stamp())
	sidecar.deps.System.Root.Send(sidecar.runner, sessionOpened{session: s, welcome: welcome})
	defer sidecar.deps.System.Root.Send(sidecar.runner, sessionClosed{session: s})
	go func() {
		defer cancel()
		// The receiving side reports the error of the stream.
		_ = s.out.Run(ctx, func(batch []proto.Message) error { return s.send(sidecar, stream, batch) })
	}()
	for f := welcome; ; {
		if len(f.GetDispatchers()) > 0 {
			p.learn(f.GetDispatchers())
		}
		var err error
		if f, err = stream.Recv(); err != nil {
			return
		}
		s.heardStamp.Store(sidecar.stamp())
		sidecar.usage.Add(usage.FramesReceived, 1)
		sidecar.deps.System.Root.Send(sidecar.runner, frameReceived{session: s, frame: f})
	}
}

// timedOut reports whether no frame has been received for sessionTimeout.
func (s *session) timedOut(sidecar *Sidecar) bool {
	return sidecar.stamp()-s.heardStamp.Load() > uint64(sessionTimeout.Microseconds())
}

// send merges the queued frames into one and sends it.
func (s *session) send(sidecar *Sidecar, stream grpc.BidiStreamingClient[wire.SidecarFrame, wire.DispatcherFrame], batch []proto.Message) error {
	merged := &wire.SidecarFrame{StampUs: sidecar.stamp()}
	for _, m := range batch {
		f := m.(*wire.SidecarFrame)
		if f.GetHello() != nil {
			// The list of held tasks is as old as this.
			merged.Hello, merged.StampUs = f.GetHello(), f.GetStampUs()
		}
		if f.GetEndpoint() != nil {
			merged.Endpoint = f.GetEndpoint()
		}
		merged.Room = f.GetRoom()
		merged.Seen = f.GetSeen()
		if f.GetSlowings() != nil {
			merged.Slowings = f.GetSlowings()
		}
		merged.Events = append(merged.Events, f.GetEvents()...)
		merged.Crashes = append(merged.Crashes, f.GetCrashes()...)
		merged.Cancellations = append(merged.Cancellations, f.GetCancellations()...)
	}
	s.sentStamp.Store(merged.GetStampUs())
	sidecar.usage.Add(usage.FramesSent, 1)
	return stream.Send(merged)
}
