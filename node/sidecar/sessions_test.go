package sidecar

import (
	"net"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/wire"
)

// welcoming opens each session and notes when.
type welcoming struct {
	wire.UnimplementedDispatcherServer
	opened chan time.Time
}

func (w welcoming) Work(stream grpc.BidiStreamingServer[wire.SidecarFrame, wire.DispatcherFrame]) error {
	if err := stream.Send(&wire.DispatcherFrame{Incarnation: 1}); err != nil {
		return err
	}
	w.opened <- time.Now()
	<-stream.Context().Done()
	return stream.Context().Err()
}

// A VM without power leaves attempts without an answer. Once its dispatcher has written its address to
// the store, the sidecar neither waits for the lost attempt nor before the next.
func TestSessionOpensWhenItsDispatcherIsAnnounced(t *testing.T) {
	i := is.New(t)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	address := dead.Addr().String()
	go func() {
		for {
			c, err := dead.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() }) // held open, and never answered
		}
	}()
	s := New(Dependencies{Name: "s", Sessions: 2, Clock: clockwork.NewRealClock(), System: actor.NewActorSystem(), Metrics: metrics.New()})
	go s.sessions.run(t.Context())
	s.Learn([]string{address})
	// The third attempt has begun then, and may take 0.6 s.
	time.Sleep(800 * time.Millisecond)
	dead.Close()
	l, err := net.Listen("tcp", address)
	i.NoErr(err)
	w := welcoming{opened: make(chan time.Time, 9)}
	server := grpc.NewServer()
	wire.RegisterDispatcherServer(server, w)
	go func() {
		// Serve ends when the server is stopped.
		_ = server.Serve(l)
	}()
	t.Cleanup(server.Stop)
	announcedAt := time.Now()
	s.DispatchersStarted([]string{address})
	took := (<-w.opened).Sub(announcedAt)
	t.Log(took)
	i.True(took < 200*time.Millisecond)
}
