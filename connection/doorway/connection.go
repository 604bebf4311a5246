package doorway

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/connection/intake"
)

// maxWriteBytes is the size of the parts in which answers are sent.
const maxWriteBytes = 16 << 10

// connection is a connection that has entered.
type connection struct {
	net.Conn
	doorway *Doorway
	visitor *intake.Visitor
	leave   sync.Once
	// inRequest is set from the end of the header of a request until it has been answered.
	inRequest atomic.Bool
	// unread is what messages hold that have not been delivered, counted how much of it the intake
	// knows, and delivered whether there has been a whole message. They are for messages of gRPC.
	unread, counted atomic.Int64
	delivered       atomic.Bool
}

var errNoSocket = errors.New("the connection has no socket")

// SyscallConn gives access to the socket.
func (c *connection) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errNoSocket
}

// CloseWrite ends what is sent, so that the client can read an answer before the connection is
// closed.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Write sends a part of an answer. It waits as long as the client takes some of it from time to time,
// unless its connection has to give way.
func (c *connection) Write(p []byte) (sent int, err error) {
	for sent < len(p) && err == nil {
		part := p[sent:min(len(p), sent+maxWriteBytes)]
		c.doorway.intake.Answer(c.visitor, c.doorway.clock.Now())
		var n int
		n, err = c.Conn.Write(part)
		c.doorway.intake.Answered(c.visitor)
		sent += n
	}
	return sent, err
}

// Close closes the connection and makes room for another.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.leave.Do(func() { c.doorway.intake.Leave(c.visitor) })
	return err
}

// dismiss closes the connection or, if its request is being received, lets its handler refuse it.
func (c *connection) dismiss(r intake.Reason) {
	c.doorway.note(r.String())
	if r != intake.Crowded && r != intake.Unread && !c.doorway.messages && c.SetReadDeadline(time.Unix(1, 0)) == nil {
		return
	}
	// Its server closes it too, and may have done so.
	_ = c.Conn.Close()
}

type connectionKey struct{}

// ConnContext adds a connection to the context of its requests; it is for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	if c, ok := conn.(*connection); ok {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	return ctx
}
