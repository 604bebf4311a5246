package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/connection/outbox"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/receipt"
	"github.com/corianderhook/corianderhook/request/submission"
	"github.com/corianderhook/corianderhook/version/ownership"
	"github.com/corianderhook/corianderhook/wire"
)

// service implements the gRPC service that agents and other entries call.
type service struct {
	wire.UnimplementedEntryServer
	entry *Entry
}

// minSessionAge is how long a session of an agent stays at least before another one replaces it. Agents
// wait longer before they connect again.
const minSessionAge = 50 * time.Millisecond

// session is a stream from an agent.
type session struct {
	agent    string
	openedAt time.Time
	out      *outbox.Outbox
	// heard is signaled for every batch that arrives.
	heard chan struct{}
	// sentTable is the table whose entries were last sent to the agent, sentConfigVersion
	// the version of the published files last sent. Only receive uses them.
	sentTable         *ownership.State
	sentConfigVersion uint64
}

// sessions holds the newest session of each agent.
type sessions struct {
	mu      sync.Mutex
	byAgent map[string]*session
}

func newSessions() *sessions { return &sessions{byAgent: map[string]*session{}} }

// put registers a session and closes an older one of the same agent. It refuses a session that follows
// the older one at once: each is work for the owner actor.
func (s *sessions) put(next *session) (registered bool) {
	s.mu.Lock()
	old := s.byAgent[next.agent]
	if old != nil && next.openedAt.Sub(old.openedAt) < minSessionAge {
		s.mu.Unlock()
		return false
	}
	s.byAgent[next.agent] = next
	s.mu.Unlock()
	if old != nil {
		old.out.Close()
	}
	return true
}

func (s *sessions) remove(old *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAgent[old.agent] == old {
		delete(s.byAgent, old.agent)
	}
}

// Attach serves one session of an agent.
func (s *service) Attach(stream wire.Entry_AttachServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := firstHello(first)
	if hello == nil {
		return status.Error(codes.InvalidArgument, "the first frame is not a hello")
	}
	e := s.entry
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	sess := &session{agent: hello.GetAgent(), openedAt: e.deps.Clock.Now(), out: outbox.New(), heard: make(chan struct{}, 1)}
	sess.out.Put(&wire.EntryFrame{Body: &wire.EntryFrame_Welcome{Welcome: &wire.Welcome{
		Entry:   e.self.Instance,
		Entries: e.entryAddresses(),
	}}})
	if !e.sessions.put(sess) {
		return status.Error(codes.ResourceExhausted, "the agent has just opened another session")
	}
	e.deps.System.Root.Send(e.owner, sessionOpened{session: sess, hello: hello})
	klog.V(1).InfoS("CH0101 agent attached", "entry", e.self.Instance, "agent", sess.agent)
	go s.receive(ctx, cancel, stream, sess)
	go s.closeWhenSilent(ctx, cancel, sess)
	err = sess.out.Run(ctx, func(batch []proto.Message) error { return s.send(stream, batch) })
	e.sessions.remove(sess)
	e.deps.System.Root.Send(e.owner, sessionClosed{session: sess})
	klog.V(1).InfoS("CH0102 agent detached", "entry", e.self.Instance, "agent", sess.agent, "error", err)
	return status.Error(codes.Aborted, "the session has ended")
}

func (s *service) send(stream wire.Entry_AttachServer, batch []proto.Message) error {
	s.waitAtGate()
	frames := make([]*wire.EntryFrame, 0, len(batch))
	for _, m := range batch {
		frames = append(frames, m.(*wire.EntryFrame))
	}
	return stream.Send(&wire.EntryBatch{Frames: frames})
}

func (s *service) waitAtGate() {
	if gate := s.entry.deps.Gate; gate != nil {
		gate.Pass()
	}
}

func (s *service) receive(ctx context.Context, cancel context.CancelFunc, stream wire.Entry_AttachServer, sess *session) {
	defer cancel()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return
		}
		s.waitAtGate()
		select {
		case sess.heard <- struct{}{}:
		default:
		}
		s.answerPings(batch, sess)
		s.entry.deps.System.Root.Send(s.entry.owner, batchReceived{session: sess, batch: batch})
		if ctx.Err() != nil {
			return
		}
	}
}

func (s *service) answerPings(batch *wire.AgentBatch, sess *session) {
	for _, f := range batch.GetFrames() {
		if ping := f.GetPing(); ping != nil {
			sess.out.Put(&wire.EntryFrame{Body: &wire.EntryFrame_Pong{Pong: &wire.Pong{
				Sequence: ping.GetSequence(),
				Entries:  s.unsentEntries(sess),
				Config:   s.unsentConfig(sess),
			}}})
		}
	}
}

// unsentEntries returns the entries if the table has changed since they were last sent, and
// otherwise nil.
func (s *service) unsentEntries(sess *session) []*wire.EntryAddress {
	if table := s.entry.table.Load(); table != sess.sentTable {
		sess.sentTable = table
		return s.entry.entryAddresses()
	}
	return nil
}

// unsentConfig returns the published files if they are newer than those last sent, and
// otherwise nil.
func (s *service) unsentConfig(sess *session) *wire.ConfigVersion {
	state := s.entry.published.Load()
	if state.Version <= sess.sentConfigVersion {
		return nil
	}
	sess.sentConfigVersion = state.Version
	return configMessage(*state)
}

// closeWhenSilent ends the session once nothing has arrived for the configured timeout.
func (s *service) closeWhenSilent(ctx context.Context, cancel context.CancelFunc, sess *session) {
	timeout := s.entry.deps.Config.SilenceTimeout()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sess.heard:
		case <-s.entry.deps.Clock.After(timeout):
			klog.InfoS("CH0103 agent session timed out", "entry", s.entry.self.Instance, "agent", sess.agent, "bound", timeout)
			cancel()
			return
		}
	}
}

// entryAddresses returns the addresses of all entries in the table.
func (e *Entry) entryAddresses() []*wire.EntryAddress {
	table := e.table.Load()
	list := make([]*wire.EntryAddress, 0, len(table.Entries))
	for _, entry := range table.Entries {
		list = append(list, &wire.EntryAddress{
			Entry:   entry.Instance,
			Address: entry.Address,
			Zone:    entry.Zone,
			Cell:    entry.Cell,
		})
	}
	return list
}

// Peer answers each heartbeat of another entry with one of this entry, which carries the
// published files if the other entry has an older version.
func (s *service) Peer(stream wire.Entry_PeerServer) error {
	for {
		heartbeat, err := stream.Recv()
		if err != nil {
			return err
		}
		s.waitAtGate()
		s.entry.peers.HandleHeartbeat(heartbeat)
		answer := s.entry.peers.Heartbeat()
		if state := s.entry.published.Load(); state.Version > heartbeat.GetConfig().GetVersion() {
			answer.Config = configMessage(*state)
		}
		if err := stream.Send(answer); err != nil {
			return err
		}
	}
}

// Submit decides an attempt that another entry has forwarded.
func (s *service) Submit(ctx context.Context, r *wire.SubmitRequest) (*wire.SubmitReply, error) {
	s.waitAtGate()
	body := submission.New(r.GetTeam(), r.GetJob(), r.GetKind(),
		time.Duration(r.GetDeadlineMs())*time.Millisecond, r.GetPayloads())
	until := s.entry.deps.Clock.Now().Add(time.Duration(r.GetWaitMs()) * time.Millisecond)
	a, owned := s.entry.Submit(ctx, body, receipt.Receipt{Owner: r.GetOwner(), OwnerClock: r.GetOwnerClock()}, until)
	return s.reply(a, owned), nil
}

func (s *service) reply(a answer.Answer, owned bool) *wire.SubmitReply {
	if !owned {
		return &wire.SubmitReply{NotOwner: true}
	}
	return &wire.SubmitReply{Answer: a.Wire()}
}

// Find returns the state of a job.
func (s *service) Find(ctx context.Context, r *wire.FindRequest) (*wire.SubmitReply, error) {
	s.waitAtGate()
	until := s.entry.deps.Clock.Now().Add(time.Duration(r.GetWaitMs()) * time.Millisecond)
	a, owned := s.entry.Find(ctx, r.GetJob(), r.GetCancel(), until)
	return s.reply(a, owned), nil
}

// HandOver stores the tombstones and the floor sent by the current owner of a slot.
func (s *service) HandOver(_ context.Context, r *wire.HandOverRequest) (*wire.HandOverReply, error) {
	if r.GetSlot() >= ownership.Slots {
		return nil, status.Error(codes.InvalidArgument, errors.Errorf("slot %d does not exist", r.GetSlot()).Error())
	}
	s.entry.deps.System.Root.Send(s.entry.owner, storeHandOver{request: r})
	return &wire.HandOverReply{Accepted: true}, nil
}

func firstHello(batch *wire.AgentBatch) *wire.Hello {
	if len(batch.GetFrames()) == 0 {
		return nil
	}
	return batch.GetFrames()[0].GetHello()
}
