// Package tcpstate reads the kernel's state of a TCP connection. It is current even if this
// process has not run for a while: the kernel has handled what has arrived meanwhile.
package tcpstate

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// established is the state of a connection that neither side has closed, as in the kernel's
// include/net/tcp_states.h.
const established = 1

// State is the state of a connection at one moment.
type State struct {
	closed         bool
	unacknowledged bool
	retransmitted  bool
	sinceReceipt   time.Duration
	sinceSent      time.Duration
}

// Of returns the state of a connection. Known is false if it is not a TCP connection, or the
// kernel does not tell.
func Of(c net.Conn) (state State, known bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return State{}, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return State{}, false
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		// The connection was closed by this process.
		return State{closed: true}, true
	}
	if infoErr != nil {
		return State{}, false
	}
	return State{
		closed:         info.State != established,
		unacknowledged: info.Unacked > 0 || info.Notsent_bytes > 0,
		retransmitted:  info.Total_retrans > 0,
		sinceReceipt:   time.Duration(info.Last_data_recv) * time.Millisecond,
		sinceSent:      time.Duration(info.Last_data_sent) * time.Millisecond,
	}, true
}

// Closed reports whether the peer has closed its side, or the connection has ended.
func (s State) Closed() bool { return s.closed }

// Unacknowledged reports whether the peer has not acknowledged all that was sent.
func (s State) Unacknowledged() bool { return s.unacknowledged }

// Retransmitted reports whether anything had to be sent again. Of a connection that has just been
// accepted, that was the answer to its opening.
func (s State) Retransmitted() bool { return s.retransmitted }

// SinceReceipt returns the time since data last arrived.
func (s State) SinceReceipt() time.Duration { return s.sinceReceipt }

// SinceSent returns the time since data was last sent, or else since the connection was opened.
func (s State) SinceSent() time.Duration { return s.sinceSent }
