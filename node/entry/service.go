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

// service is the gRPC interface for entries and agents.
type service struct {
	wire.UnimplementedEntryServer
	entry *Entry
}

// session is one stream of one agent.
type session struct {
	agent string
	out   *outbox.Outbox
	heard chan struct{}
	// told is the table whose entries the agent has had; only receive uses it.
	told *ownership.State
	// configTold is the version of the published files that the agent has had.
	configTold uint64
}

// sessions holds the newest session of each agent.
type sessions struct {
	mu   sync.Mutex
	open map[string]*session
}

func newSessions() *sessions { return &sessions{open: map[string]*session{}} }

// put replaces an older session of the same agent.
func (s *sessions) put(next *session) {
	s.mu.Lock()
	old := s.open[next.agent]
	s.open[next.agent] = next
	s.mu.Unlock()
	if old != nil {
		old.out.Close()
	}
}

func (s *sessions) drop(old *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[old.agent] == old {
		delete(s.open, old.agent)
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
	own := &session{agent: hello.GetAgent(), out: outbox.New(), heard: make(chan struct{}, 1)}
	own.out.Put(&wire.EntryFrame{Body: &wire.EntryFrame_Welcome{Welcome: &wire.Welcome{
		Entry:   e.self.Instance,
		Entries: e.addresses(),
	}}})
	e.sessions.put(own)
	e.deps.System.Root.Send(e.owner, attached{session: own, hello: hello})
	klog.V(1).InfoS("CH0101 agent attached", "entry", e.self.Instance, "agent", own.agent)
	go s.receive(ctx, cancel, stream, own)
	go s.watch(ctx, cancel, own)
	err = own.out.Run(ctx, func(batch []proto.Message) error { return s.send(stream, batch) })
	e.sessions.drop(own)
	e.deps.System.Root.Send(e.owner, detached{session: own})
	klog.V(1).InfoS("CH0102 agent detached", "entry", e.self.Instance, "agent", own.agent, "error", err)
	return status.Error(codes.Aborted, "the session has ended")
}

func (s *service) send(stream wire.Entry_AttachServer, batch []proto.Message) error {
	s.pass()
	frames := make([]*wire.EntryFrame, 0, len(batch))
	for _, m := range batch {
		frames = append(frames, m.(*wire.EntryFrame))
	}
	return stream.Send(&wire.EntryBatch{Frames: frames})
}

func (s *service) pass() {
	if gate := s.entry.deps.Gate; gate != nil {
		gate.Pass()
	}
}

func (s *service) receive(ctx context.Context, cancel context.CancelFunc, stream wire.Entry_AttachServer, own *session) {
	defer cancel()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return
		}
		s.pass()
		select {
		case own.heard <- struct{}{}:
		default:
		}
		s.pong(batch, own)
		s.entry.deps.System.Root.Send(s.entry.owner, received{session: own, batch: batch})
		if ctx.Err() != nil {
			return
		}
	}
}

func (s *service) pong(batch *wire.AgentBatch, own *session) {
	for _, f := range batch.GetFrames() {
		if ping := f.GetPing(); ping != nil {
			own.out.Put(&wire.EntryFrame{Body: &wire.EntryFrame_Pong{Pong: &wire.Pong{
				Sequence: ping.GetSequence(),
				Entries:  s.news(own),
				Config:   s.configNews(own),
			}}})
		}
	}
}

// news returns the entries where the session has not had them yet.
func (s *service) news(own *session) []*wire.EntryAddress {
	if table := s.entry.table.Load(); table != own.told {
		own.told = table
		return s.entry.addresses()
	}
	return nil
}

// configNews returns the published files where the session has not had them yet.
func (s *service) configNews(own *session) *wire.ConfigVersion {
	state := s.entry.published.Load()
	if state.Version <= own.configTold {
		return nil
	}
	own.configTold = state.Version
	return configWire(*state)
}

// watch ends a session that has been silent for too long.
func (s *service) watch(ctx context.Context, cancel context.CancelFunc, own *session) {
	silence := s.entry.deps.Config.SilenceTimeout()
	for {
		select {
		case <-ctx.Done():
			return
		case <-own.heard:
		case <-s.entry.deps.Clock.After(silence):
			klog.InfoS("CH0103 agent session was silent", "entry", s.entry.self.Instance, "agent", own.agent, "bound", silence)
			cancel()
			return
		}
	}
}

func (e *Entry) addresses() []*wire.EntryAddress {
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

// Peer answers each heartbeat of another entry by one of this entry.
func (s *service) Peer(stream wire.Entry_PeerServer) error {
	for {
		beat, err := stream.Recv()
		if err != nil {
			return err
		}
		s.pass()
		s.entry.peers.HandleHeartbeat(beat)
		answer := s.entry.peers.Heartbeat()
		if state := s.entry.published.Load(); state.Version > beat.GetConfig().GetVersion() {
			answer.Config = configWire(*state)
		}
		if err := stream.Send(answer); err != nil {
			return err
		}
	}
}

// Submit decides an attempt that another entry received.
func (s *service) Submit(ctx context.Context, r *wire.SubmitRequest) (*wire.SubmitReply, error) {
	s.pass()
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
	s.pass()
	until := s.entry.deps.Clock.Now().Add(time.Duration(r.GetWaitMs()) * time.Millisecond)
	a, owned := s.entry.Find(ctx, r.GetJob(), r.GetCancel(), until)
	return s.reply(a, owned), nil
}

// HandOver keeps what the present owner of a slot passes on.
func (s *service) HandOver(_ context.Context, r *wire.HandOverRequest) (*wire.HandOverReply, error) {
	if r.GetSlot() >= ownership.Slots {
		return nil, status.Error(codes.InvalidArgument, errors.Errorf("slot %d does not exist", r.GetSlot()).Error())
	}
	s.entry.deps.System.Root.Send(s.entry.owner, inherit{request: r})
	return &wire.HandOverReply{Accepted: true}, nil
}

func firstHello(batch *wire.AgentBatch) *wire.Hello {
	if len(batch.GetFrames()) == 0 {
		return nil
	}
	return batch.GetFrames()[0].GetHello()
}
