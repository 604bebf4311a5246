package agent

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/connection/outbox"
	"github.com/corianderhook/corianderhook/connection/peer"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// pingEvery is the time between two pings to an entry.
	pingEvery = 500 * time.Millisecond
	// redial is the pause before a new session with an entry.
	redial = 100 * time.Millisecond
	// dropAfter is how long an address is tried after no entry named it any more.
	dropAfter = 5 * time.Second
)

// link is one session with one entry.
type link struct {
	entry string
	out   *outbox.Outbox
}

// links holds a session with every entry of the cell, found by any of them.
type links struct {
	agent *Agent
	mu    sync.Mutex
	group sync.WaitGroup
	known map[string]*address
}

type address struct {
	cancel context.CancelFunc
	named  time.Time
	entry  string
	seed   bool
}

func newLinks(a *Agent) *links {
	return &links{agent: a, known: map[string]*address{}}
}

func (l *links) seed(ctx context.Context, addresses []string) {
	for _, a := range addresses {
		l.open(ctx, a, true)
	}
}

func (l *links) wait() { l.group.Wait() }

// connected lists the entries with an open session.
func (l *links) connected() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for _, a := range l.known {
		if a.entry != "" {
			list = append(list, a.entry)
		}
	}
	sort.Strings(list)
	return list
}

func (l *links) open(ctx context.Context, at string, seed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, known := l.known[at]; known {
		a.named = l.agent.deps.Clock.Now()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	l.known[at] = &address{cancel: cancel, named: l.agent.deps.Clock.Now(), seed: seed}
	l.group.Add(1)
	go l.keep(ctx, at)
}

// learn follows the entries that an entry names.
func (l *links) learn(ctx context.Context, entries []*wire.EntryAddress) {
	for _, e := range entries {
		if e.GetCell() == l.agent.deps.Config.Process().Cell {
			l.open(ctx, e.GetAddress(), false)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for at, a := range l.known {
		if !a.seed && a.entry == "" && len(entries) > 0 && l.agent.deps.Clock.Since(a.named) > dropAfter {
			a.cancel()
			delete(l.known, at)
		}
	}
}

func (l *links) setEntry(at, entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, known := l.known[at]; known {
		a.entry = entry
	}
}

// keep holds a session with the entry at an address until the context ends.
func (l *links) keep(ctx context.Context, at string) {
	defer l.group.Done()
	for ctx.Err() == nil {
		err := l.session(ctx, at)
		l.setEntry(at, "")
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("CH0111 entry session ended", "agent", l.agent.id, "address", at, "error", err)
		pause.For(ctx, l.agent.deps.Clock, redial)
	}
}

// session opens a connection of its own, so that a connection that something
// in between has lost track of is never used again.
func (l *links) session(parent context.Context, at string) error {
	conn, err := peer.Dial(at, l.agent.deps.Security.ClientCredentials())
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	stream, err := wire.NewEntryClient(conn).Attach(ctx)
	if err != nil {
		return errors.Wrap(err, "open session")
	}
	c := l.agent.deps.Config
	err = stream.Send(&wire.AgentBatch{Frames: []*wire.AgentFrame{{Body: &wire.AgentFrame_Hello{Hello: &wire.Hello{
		Agent:    l.agent.id,
		Zone:     c.Process().Zone,
		Slots:    uint32(c.Agent().Slots),
		Endpoint: c.Agent().Endpoint,
	}}}}})
	if err != nil {
		return errors.Wrap(err, "send hello")
	}
	own := &link{out: outbox.New()}
	heard := make(chan struct{}, 1)
	ready := make(chan struct{})
	go l.receive(parent, cancel, stream, own, at, heard, ready)
	go l.watch(ctx, cancel, own, heard)
	go func() {
		<-ctx.Done()
		own.out.Close()
	}()
	select {
	case <-ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	err = own.out.Run(ctx, func(batch []proto.Message) error { return l.send(stream, batch) })
	l.agent.deps.System.Root.Send(l.agent.executor, closed{link: own})
	return err
}

func (l *links) send(stream wire.Entry_AttachClient, batch []proto.Message) error {
	l.pass()
	frames := make([]*wire.AgentFrame, 0, len(batch))
	for _, m := range batch {
		frames = append(frames, m.(*wire.AgentFrame))
	}
	return stream.Send(&wire.AgentBatch{Frames: frames})
}

func (l *links) pass() {
	if gate := l.agent.deps.Gate; gate != nil {
		gate.Pass()
	}
}

func (l *links) receive(parent context.Context, cancel context.CancelFunc, stream wire.Entry_AttachClient, own *link, at string, heard chan<- struct{}, ready chan<- struct{}) {
	defer cancel()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return
		}
		l.pass()
		select {
		case heard <- struct{}{}:
		default:
		}
		if own.entry == "" {
			welcome := firstWelcome(batch)
			if welcome == nil {
				return
			}
			own.entry = welcome.GetEntry()
			l.setEntry(at, own.entry)
			l.learn(parent, welcome.GetEntries())
			l.agent.deps.System.Root.Send(l.agent.executor, opened{link: own})
			close(ready)
		}
		for _, f := range batch.GetFrames() {
			if pong := f.GetPong(); pong != nil {
				l.learn(parent, pong.GetEntries())
				if pong.GetConfig() != nil {
					l.agent.adopt(pong.GetConfig())
				}
			}
		}
		l.agent.deps.System.Root.Send(l.agent.executor, received{link: own, batch: batch})
	}
}

func firstWelcome(batch *wire.EntryBatch) *wire.Welcome {
	if len(batch.GetFrames()) == 0 {
		return nil
	}
	return batch.GetFrames()[0].GetWelcome()
}

// watch pings the entry and ends a session that has been silent for too long.
func (l *links) watch(ctx context.Context, cancel context.CancelFunc, own *link, heard <-chan struct{}) {
	defer cancel()
	clock := l.agent.deps.Clock
	// The new session has to stand within the bound, so the old one is given up
	// somewhat before it.
	silence := l.agent.deps.Config.SilenceTimeout() * 3 / 4
	ticker := clock.NewTicker(pingEvery)
	defer ticker.Stop()
	last := clock.Now()
	var sequence uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-heard:
			last = clock.Now()
		case <-ticker.Chan():
			if clock.Since(last) > silence {
				klog.InfoS("CH0112 entry session was silent", "agent", l.agent.id, "entry", own.entry, "bound", silence)
				return
			}
			sequence++
			own.out.Put(&wire.AgentFrame{Load: l.agent.load.Load(), Body: &wire.AgentFrame_Ping{Ping: &wire.Ping{Sequence: sequence}}})
		}
	}
}
