package doorway

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	grpcstatus "google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/corianderhook/corianderhook/connection/intake"
)

const (
	// maxStreams is the number of calls on one connection, and maxHeaderBytes the size of the
	// headers of one.
	maxStreams     = 1000
	maxHeaderBytes = 16 << 10
	// DefaultAcknowledgement is the time that gRPC servers leave clients to acknowledge what is
	// sent to them.
	DefaultAcknowledgement = 20 * time.Second
	// callBytes is what a call takes until it ends: its stacks, its buffers and its headers.
	callBytes = 16 << 10
	// uncountedBytes is what a connection that has carried a message may hold without being
	// counted: most messages are smaller.
	uncountedBytes = 4 << 10
	// handshakeTime is how long a client may take until its first call can be received.
	handshakeTime = 10 * time.Second
)

// ForMessages has the doorway count the bytes of messages of gRPC that have not been delivered.
// The server needs ServerOptions. A connection ends if the client's machine does not acknowledge
// for the given time what is sent to it.
func ForMessages(acknowledgement time.Duration) Option {
	return func(d *Doorway) { d.messages, d.acknowledgement = true, acknowledgement }
}

// messageConnection is a connection of gRPC. Its messages come and go over plain, which is the
// connection itself or what TLS makes of it.
type messageConnection struct {
	*connection
	plain  net.Conn
	frames frameCounter
}

// Read reads from the connection, and closes it if what it holds has to give way. A connection that
// has carried a message is counted once it holds more than uncountedBytes.
func (c *messageConnection) Read(p []byte) (int, error) {
	n, err := c.plain.Read(p)
	held := c.unread.Add(c.frames.count(p[:n]))
	if c.delivered.Load() && held <= uncountedBytes {
		return n, err
	}
	if d := c.doorway; !d.intake.Buffer(c.visitor, held-c.counted.Swap(held), d.clock.Now()) {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Write sends a part of a message.
func (c *messageConnection) Write(p []byte) (int, error) { return c.plain.Write(p) }

// handshakes counts the messages of connections that are secured by TLS. They are read after the
// handshake, which is counted like a header.
type handshakes struct {
	credentials.TransportCredentials
}

// Credentials returns the credentials of a gRPC server behind the doorway.
func (d *Doorway) Credentials(c credentials.TransportCredentials) credentials.TransportCredentials {
	if !d.encrypted {
		return c
	}
	return handshakes{c}
}

// Clone returns a copy.
func (h handshakes) Clone() credentials.TransportCredentials {
	return handshakes{h.TransportCredentials.Clone()}
}

// ServerHandshake does the handshake of a connection.
func (h handshakes) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := h.TransportCredentials.ServerHandshake(raw)
	entered, known := raw.(*connection)
	if err != nil || !known {
		return secured, info, err
	}
	entered.inRequest.Store(true)
	entered.doorway.intake.Wait(entered.visitor, entered.doorway.clock.Now())
	return &messageConnection{connection: entered, plain: secured}, info, nil
}

// beginCall notes that a call begins, and refuses it if there is no room. It ends with its context.
func beginCall(ctx context.Context, _ *tap.Info) (context.Context, error) {
	c := connectionOf(ctx)
	if c == nil {
		return ctx, nil
	}
	if !c.doorway.intake.Call(c.visitor, callBytes) {
		c.doorway.note(intake.Busy.String())
		return ctx, grpcstatus.Error(codes.ResourceExhausted, intake.Busy.String())
	}
	context.AfterFunc(ctx, func() { c.doorway.intake.EndCall(c.visitor, callBytes) })
	return ctx, nil
}

// connectionOf returns the connection of a call, or nil.
func connectionOf(ctx context.Context) *connection {
	client, _ := peer.FromContext(ctx)
	if client == nil {
		return nil
	}
	if a, ok := client.Addr.(messageAddress); ok {
		return a.connection
	}
	return nil
}

// messageAddress is the address of a connection, by which its calls find it.
type messageAddress struct {
	net.Addr
	connection *connection
}

// RemoteAddr returns the address of the client.
func (c *messageConnection) RemoteAddr() net.Addr {
	return messageAddress{Addr: c.Conn.RemoteAddr(), connection: c.connection}
}

// setUserTimeout does what a gRPC server does for connections that are not wrapped.
func setUserTimeout(c *connection, timeout time.Duration) error {
	raw, err := c.SyscallConn()
	if errors.Is(err, errNoSocket) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "connection")
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}); err != nil {
		return errors.Wrap(err, "connection")
	}
	return errors.Wrap(optionErr, "user timeout")
}

// delivered notes that a message of a call has been received completely.
func delivered(ctx context.Context) {
	if c := connectionOf(ctx); c != nil {
		c.messageDelivered()
	}
}

// messageDelivered notes that a message has been received completely.
func (c *connection) messageDelivered() {
	c.unread.Store(0)
	if counted := c.counted.Swap(0); counted == 0 && c.delivered.Load() {
		return
	}
	c.delivered.Store(true)
	c.doorway.intake.Serve(c.visitor, c.doorway.clock.Now())
	c.doorway.intake.Release(c.visitor)
}

type countedStream struct{ grpc.ServerStream }

// RecvMsg receives a message.
func (s countedStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	if err == nil {
		delivered(s.Context())
	}
	return err
}

// ServerOptions returns the options of a gRPC server behind a doorway for messages.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ConnectionTimeout(handshakeTime), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderBytes), grpc.InTapHandle(beginCall),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, r any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
			delivered(ctx)
			return handle(ctx, r)
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
			return handle(server, countedStream{stream})
		}),
	}
}
