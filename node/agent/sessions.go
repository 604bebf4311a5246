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
	// pingInterval is the time between two pings to an entry.
	pingInterval = 500 * time.Millisecond
	// redialDelay is the pause before a new session with an entry is opened.
	redialDelay = 100 * time.Millisecond
	// unlistedTimeout is how long an address without a session is retried after an entry
	// last listed it.
	unlistedTimeout = 5 * time.Second
)

// session is a session with an entry.
type session struct {
	entry string
	out   *outbox.Outbox
}

// sessions maintains a session with every entry of the cell. It starts with the configured
// addresses and learns the others from the entries.
type sessions struct {
	agent     *Agent
	mu        sync.Mutex
	group     sync.WaitGroup
	addresses map[string]*address
}

// address is the state of an entry's address.
type address struct {
	cancel     context.CancelFunc
	lastListed time.Time
	// entry is the instance at the address, or empty without a session.
	entry string
	// configured addresses are never given up.
	configured bool
}

func newSessions(a *Agent) *sessions {
	return &sessions{agent: a, addresses: map[string]*address{}}
}

func (s *sessions) connectConfigured(ctx context.Context, addresses []string) {
	for _, a := range addresses {
		s.connect(ctx, a, true)
	}
}

func (s *sessions) wait() { s.group.Wait() }

// connected returns the entries with an open session.
func (s *sessions) connected() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, a := range s.addresses {
		if a.entry != "" {
			list = append(list, a.entry)
		}
	}
	sort.Strings(list)
	return list
}

// connect maintains sessions with the entry at an address from now on.
func (s *sessions) connect(ctx context.Context, addr string, configured bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, known := s.addresses[addr]; known {
		a.lastListed = s.agent.deps.Clock.Now()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	s.addresses[addr] = &address{cancel: cancel, lastListed: s.agent.deps.Clock.Now(), configured: configured}
	s.group.Add(1)
	go s.maintain(ctx, addr)
}

// updateAddresses connects to the entries that an entry lists, and gives up addresses without
// a session that no entry has listed for unlistedTimeout.
func (s *sessions) updateAddresses(ctx context.Context, entries []*wire.EntryAddress) {
	for _, e := range entries {
		if e.GetCell() == s.agent.deps.Config.Process().Cell {
			s.connect(ctx, e.GetAddress(), false)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, a := range s.addresses {
		if !a.configured && a.entry == "" && len(entries) > 0 && s.agent.deps.Clock.Since(a.lastListed) > unlistedTimeout {
			a.cancel()
			delete(s.addresses, addr)
		}
	}
}

func (s *sessions) setEntry(addr, entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, known := s.addresses[addr]; known {
		a.entry = entry
	}
}

// maintain keeps opening sessions with the entry at an address until the context ends.
func (s *sessions) maintain(ctx context.Context, addr string) {
	defer s.group.Done()
	for ctx.Err() == nil {
		err := s.runSession(ctx, addr)
		s.setEntry(addr, "")
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("CH0111 entry session ended", "agent", s.agent.id, "address", addr, "error", err)
		pause.For(ctx, s.agent.deps.Clock, redialDelay)
	}
}

// runSession serves one session. Each session has a new connection, so that a connection
// that a device on the network path no longer tracks is not reused.
func (s *sessions) runSession(parent context.Context, addr string) error {
	conn, err := peer.Dial(addr, s.agent.deps.Security.ClientCredentials())
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
	c := s.agent.deps.Config
	err = stream.Send(&wire.AgentBatch{Frames: []*wire.AgentFrame{{Body: &wire.AgentFrame_Hello{Hello: &wire.Hello{
		Agent:    s.agent.id,
		Zone:     c.Process().Zone,
		Slots:    uint32(c.Agent().Slots),
		Endpoint: c.Agent().Endpoint,
	}}}}})
	if err != nil {
		return errors.Wrap(err, "send hello")
	}
	sess := &session{out: outbox.New()}
	heard := make(chan struct{}, 1)
	ready := make(chan struct{})
	go s.receive(parent, cancel, stream, sess, addr, heard, ready)
	go s.keepAlive(ctx, cancel, sess, heard)
	go func() {
		<-ctx.Done()
		sess.out.Close()
	}()
	select {
	case <-ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	err = sess.out.Run(ctx, func(batch []proto.Message) error { return s.send(stream, batch) })
	s.agent.deps.System.Root.Send(s.agent.executor, sessionClosed{session: sess})
	return err
}

func (s *sessions) send(stream wire.Entry_AttachClient, batch []proto.Message) error {
	s.waitAtGate()
	frames := make([]*wire.AgentFrame, 0, len(batch))
	for _, m := range batch {
		frames = append(frames, m.(*wire.AgentFrame))
	}
	return stream.Send(&wire.AgentBatch{Frames: frames})
}

func (s *sessions) waitAtGate() {
	if gate := s.agent.deps.Gate; gate != nil {
		gate.Pass()
	}
}

func (s *sessions) receive(parent context.Context, cancel context.CancelFunc, stream wire.Entry_AttachClient, sess *session, addr string, heard chan<- struct{}, ready chan<- struct{}) {
	defer cancel()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return
		}
		s.waitAtGate()
		select {
		case heard <- struct{}{}:
		default:
		}
		if sess.entry == "" {
			welcome := firstWelcome(batch)
			if welcome == nil {
				return
			}
			sess.entry = welcome.GetEntry()
			s.setEntry(addr, sess.entry)
			s.updateAddresses(parent, welcome.GetEntries())
			s.agent.deps.System.Root.Send(s.agent.executor, sessionOpened{session: sess})
			close(ready)
		}
		for _, f := range batch.GetFrames() {
			if pong := f.GetPong(); pong != nil {
				s.updateAddresses(parent, pong.GetEntries())
				if pong.GetConfig() != nil {
					s.agent.applyConfig(pong.GetConfig())
				}
			}
		}
		s.agent.deps.System.Root.Send(s.agent.executor, batchReceived{session: sess, batch: batch})
	}
}

func firstWelcome(batch *wire.EntryBatch) *wire.Welcome {
	if len(batch.GetFrames()) == 0 {
		return nil
	}
	return batch.GetFrames()[0].GetWelcome()
}

// keepAlive pings the entry and ends the session once nothing has arrived for too long.
func (s *sessions) keepAlive(ctx context.Context, cancel context.CancelFunc, sess *session, heard <-chan struct{}) {
	defer cancel()
	clock := s.agent.deps.Clock
	// Gives up before the configured timeout, so that a new session is open within it.
	timeout := s.agent.deps.Config.SilenceTimeout() * 3 / 4
	ticker := clock.NewTicker(pingInterval)
	defer ticker.Stop()
	lastHeard := clock.Now()
	var sequence uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-heard:
			lastHeard = clock.Now()
		case <-ticker.Chan():
			if clock.Since(lastHeard) > timeout {
				klog.InfoS("CH0112 entry session timed out", "agent", s.agent.id, "entry", sess.entry, "bound", timeout)
				return
			}
			sequence++
			sess.out.Put(&wire.AgentFrame{Load: s.agent.load.Load(), Body: &wire.AgentFrame_Ping{Ping: &wire.Ping{Sequence: sequence}}})
		}
	}
}
