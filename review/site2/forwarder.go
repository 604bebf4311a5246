package site2

import (
	"io"
	"net"
	"sync"
	"time"
)

// Forwarder is the platform's address before a dispatcher: it forwards each channel of a client. A
// cut holds back everything between it and the dispatcher, without a reset.
type Forwarder struct {
	listener net.Listener
	target   string
	// endLag is the time between the last bytes of a client and the end of its channel.
	endLag time.Duration
	mu     sync.Mutex
	healed chan struct{}
}

// NewForwarder returns a forwarder that is not cut.
func NewForwarder(target string, endLag time.Duration) (*Forwarder, error) {
	l, err := net.Listen("tcp", freeAddress(2))
	if err != nil {
		return nil, err
	}
	healed := make(chan struct{})
	close(healed)
	f := &Forwarder{listener: l, target: target, endLag: endLag, healed: healed}
	go f.run()
	return f, nil
}

// Address returns the address for clients.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Cut begins a cut.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healed = make(chan struct{})
}

// Heal ends it.
func (f *Forwarder) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.healed)
}

// pass waits for the end of a cut.
func (f *Forwarder) pass() {
	f.mu.Lock()
	healed := f.healed
	f.mu.Unlock()
	<-healed
}

func (f *Forwarder) run() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(c.(*net.TCPConn))
	}
}

func (f *Forwarder) forward(client *net.TCPConn) {
	defer client.Close()
	f.pass()
	c, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	defer c.Close()
	target := c.(*net.TCPConn)
	back := make(chan struct{})
	go func() {
		defer close(back)
		f.copy(client, target)
	}()
	f.copy(target, client)
	time.Sleep(f.endLag)
	// The dispatcher may have closed the channel already.
	_ = target.CloseWrite()
	<-back
}

// copy copies until the end, and holds back what comes during a cut.
func (f *Forwarder) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		f.pass()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
