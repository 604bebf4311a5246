// Package doorway applies the decisions of package intake to the connections of a listener and to
// the bodies of requests.
package doorway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/connection/intake"
)

const (
	// tickInterval is the time between two looks for stalled requests, and between two log lines.
	tickInterval = time.Second
	// maxTickGap is the time between two looks after which the process has stood still.
	maxTickGap = 3 * tickInterval / 2
	// receiveBufferBytes is what the kernel holds of a connection that is not being read, and
	// sendBufferBytes what it holds of answers that the client does not read. The kernel doubles both.
	receiveBufferBytes = 8 << 10
	sendBufferBytes    = 16 << 10
	// maxDrainTime bounds how long the handlers of requests that have given way are waited for.
	maxDrainTime = 100 * time.Millisecond
	// turnedAway counts connections for which no other could give way.
	turnedAway = "turned away"
)

// Counter counts connections and requests that were not served.
type Counter interface {
	CountTurnedAway(listener, reason string)
}

// Doorway guards one listener. It is safe for concurrent use.
type Doorway struct {
	name   string
	intake *intake.Intake
	clock  clockwork.Clock
	counts Counter
	bodies bool
	// encrypted is whether the lines of headers cannot be seen.
	encrypted bool
	// messages is whether the connections carry messages of gRPC.
	messages        bool
	acknowledgement time.Duration
	mu              sync.Mutex
	// unlogged counts by reason what has not been logged.
	unlogged map[string]int
}

// Option changes a doorway that New returns.
type Option func(d *Doorway)

// WithoutBodies has the doorway refuse requests with a body.
func WithoutBodies() Option { return func(d *Doorway) { d.bodies = false } }

// New returns the doorway of a listener, which has the name in metrics and logs.
func New(name string, l intake.Limits, clock clockwork.Clock, counts Counter, options ...Option) *Doorway {
	d := &Doorway{name: name, intake: intake.New(l), clock: clock, counts: counts, bodies: true, unlogged: map[string]int{}}
	for _, o := range options {
		o(d)
	}
	return d
}

// Run ends stalled requests until the context ends.
func (d *Doorway) Run(ctx context.Context) {
	ticker := d.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	last := d.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			now := d.clock.Now()
			// After a pause of the process, what has arrived meanwhile has to be read first.
			if now.Sub(last) < maxTickGap {
				d.intake.Sweep(now)
			}
			last = now
			d.log()
		}
	}
}

func (d *Doorway) note(reason string) {
	d.counts.CountTurnedAway(d.name, reason)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unlogged[reason]++
}

func (d *Doorway) log() {
	d.mu.Lock()
	counts := d.unlogged
	d.unlogged = map[string]int{}
	d.mu.Unlock()
	if len(counts) > 0 {
		connections, bytes := d.intake.Held()
		klog.InfoS("CH1230 connections ended or requests refused", "listener", d.name, "reasons", counts, "connections", connections, "bytes", bytes)
	}
}

// awaitDrained waits until the handlers of requests that have given way have ended. It waits for no
// client, as their reads fail at once.
func (d *Doorway) awaitDrained() {
	if drained := d.intake.Drained(); drained != nil {
		select {
		case <-drained:
		case <-d.clock.After(maxDrainTime):
		}
	}
}

// Guard returns a listener whose connections enter through the doorway.
func (d *Doorway) Guard(l net.Listener) net.Listener {
	if d.messages {
		return &listener{Listener: l, doorway: d}
	}
	if err := limitBuffers(l); err != nil {
		klog.ErrorS(err, "CH1231 buffers of connections cannot be limited", "listener", d.name)
	}
	return &listener{Listener: l, doorway: d}
}

// limitBuffers sets the kernel's buffers of the connections that a listener accepts.
func limitBuffers(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "listener")
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		if optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes); optionErr == nil {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
		}
	}); err != nil {
		return errors.Wrap(err, "listener")
	}
	return errors.Wrap(optionErr, "buffers")
}

type listener struct {
	net.Listener
	doorway *Doorway
}

// Accept returns the next connection that may enter. The others are closed at once: what waits in
// the kernel to be accepted holds memory too.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.doorway.enter(conn); c != nil {
			return c, nil
		}
	}
}

func (d *Doorway) enter(conn net.Conn) net.Conn {
	c := &connection{Conn: conn, doorway: d}
	c.visitor = d.intake.Enter(d.clock.Now(), c.dismiss)
	if c.visitor == nil {
		d.note(turnedAway)
		// Nothing has been read from it.
		_ = conn.Close()
		return nil
	}
	if d.messages {
		if err := setUserTimeout(c, d.acknowledgement); err != nil {
			klog.V(1).InfoS("CH1233 connection may outlive its client", "listener", d.name, "error", err)
		}
		if !d.encrypted {
			return &messageConnection{connection: c, plain: conn}
		}
	}
	return c
}
