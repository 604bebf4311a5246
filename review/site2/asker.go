package site2

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/corianderhook/corianderhook/platform/standin/operator"
)

// Asker is a part of clients that asks for the state of their job on the channel of its POST, before
// that is answered.
type Asker struct {
	site     *Site
	listener net.Listener
	target   string
	after    time.Duration
}

// NewAsker returns an asker in front of a dispatcher, which asks some time after a channel was opened.
func NewAsker(s *Site, target string, after time.Duration) (*Asker, error) {
	l, err := net.Listen("tcp", freeAddress(3))
	if err != nil {
		return nil, err
	}
	a := &Asker{site: s, listener: l, target: target, after: after}
	go a.run()
	return a, nil
}

// Address returns the address for the rest of the client.
func (a *Asker) Address() string { return a.listener.Addr().String() }

func (a *Asker) run() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		go a.serve(c)
	}
}

// answer passes on the first answer, and keeps the second one.
func (a *Asker) answer(client, channel net.Conn) {
	reader := bufio.NewReader(channel)
	first, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	defer first.Body.Close()
	// The client may have left.
	_ = first.Write(client)
	second, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	second.Body.Close()
	a.site.Record.Write("client gets %d for its GET", second.StatusCode)
}

// serve passes on what the client sends, with a GET behind it, and the end of its channel.
func (a *Asker) serve(client net.Conn) {
	defer client.Close()
	channel, err := net.Dial("tcp", a.target)
	if err != nil {
		return
	}
	defer channel.Close()
	go a.answer(client, channel)
	var mu sync.Mutex
	request := ""
	ask := time.AfterFunc(a.after, func() {
		mu.Lock()
		defer mu.Unlock()
		id, _, _ := strings.Cut(strings.TrimPrefix(request, "POST "+operator.Prefix), " ")
		a.site.Record.Write("client sends GET %s on the same channel", id)
		// The dispatcher may have closed the channel.
		_, _ = fmt.Fprintf(channel, "GET %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", operator.Prefix, id, operator.Host)
	})
	defer ask.Stop()
	buffer := make([]byte, 16<<10)
	for {
		n, err := client.Read(buffer)
		mu.Lock()
		request += string(buffer[:n])
		_, writeErr := channel.Write(buffer[:n])
		mu.Unlock()
		if err != nil || writeErr != nil {
			a.site.Record.Write("a client closes its channel")
			return
		}
	}
}
