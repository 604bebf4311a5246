package main

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxName is the length of a machine's address without its port.
	maxName = len("127.1.100.100")
	// ownView is the view in which each dispatcher listens.
	ownView = 100
	// partWait is how long the beginning of an address waits for the rest.
	partWait = 5 * time.Millisecond
)

// machineName matches the addresses of machines, in any view.
var machineName = regexp.MustCompile(`127\.1\.1\d\d\.1\d\d`)

// links are the links between the machines of a site. Each machine reaches a dispatcher under an address of
// its own, where a forwarder listens, so that one machine can be cut off from all others. In what it passes on, the
// forwarder puts the receiver's addresses for the sender's.
type links struct {
	port string
	// views has the view of each machine by name, numbers those of the dispatchers' addresses.
	views, numbers map[string]int
	mu             sync.Mutex
	changed        chan struct{}
	cut            string
}

func newLinks(address string) (*links, error) {
	_, port, err := net.SplitHostPort(address)
	if err == nil && len(port) != 5 {
		err = errors.New("the port has to have five digits")
	}
	return &links{port: port, views: map[string]int{}, numbers: map[string]int{}, changed: make(chan struct{})}, err
}

func (l *links) name(view, number int) string {
	return fmt.Sprintf("127.1.%d.%d", view, ownView+number)
}

// addDispatcher returns the address of a further dispatcher in its own view.
func (l *links) addDispatcher(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := len(l.numbers)
	l.numbers[name] = number
	return net.JoinHostPort(l.name(ownView, number), l.port)
}

// addressFor returns the address of a dispatcher in the view of another machine, whose forwarder it starts if there is
// none.
func (l *links) addressFor(machine, dispatcher string) (string, error) {
	if machine == dispatcher {
		return net.JoinHostPort(l.name(ownView, l.numbers[dispatcher]), l.port), nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.views[machine] == 0 {
		l.views[machine] = ownView + 1 + len(l.views)
	}
	address := net.JoinHostPort(l.name(l.views[machine], l.numbers[dispatcher]), l.port)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	to := net.JoinHostPort(l.name(ownView, l.numbers[dispatcher]), l.port)
	go l.forward(listener, to, machine, dispatcher)
	return address, nil
}

// storeFor returns the address of a forwarder between a machine and the store.
func (l *links) storeFor(machine, store string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go l.forward(listener, store, machine, "")
	return listener.Addr().String(), nil
}

// setCut cuts a machine off from all others, or nobody if the name is empty.
func (l *links) setCut(machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = machine
	close(l.changed)
	l.changed = make(chan struct{})
}

// awaitLink waits until neither machine is cut off.
func (l *links) awaitLink(from, to string) {
	for {
		l.mu.Lock()
		cut, changed := l.cut, l.changed
		l.mu.Unlock()
		if cut == "" || cut != from && cut != to {
			return
		}
		<-changed
	}
}

func (l *links) forward(listener net.Listener, address, from, to string) {
	for {
		up, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer up.Close()
			l.awaitLink(from, to)
			down, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer down.Close()
			ended := make(chan struct{}, 2)
			go func() { l.pass(up, down, from, to); ended <- struct{}{} }()
			go func() { l.pass(down, up, to, from); ended <- struct{}{} }()
			<-ended
		}()
	}
}

// pass passes on what arrives until one side ends, which the other learns when the link is whole.
func (l *links) pass(source, target net.Conn, from, to string) {
	buffer := make([]byte, 1<<16)
	var rest []byte
	for {
		if len(rest) > 0 {
			_ = source.SetReadDeadline(time.Now().Add(partWait))
		}
		n, err := source.Read(buffer)
		late := errors.Is(err, os.ErrDeadlineExceeded)
		_ = source.SetReadDeadline(time.Time{})
		l.awaitLink(from, to)
		text := append(rest, buffer[:n]...)
		rest = nil
		if err == nil {
			part := beginOfName(text)
			text, rest = text[:len(text)-part], bytes.Clone(text[len(text)-part:])
		}
		if _, e := target.Write(l.translate(text, to)); e != nil {
			return
		}
		if err != nil && !late {
			return
		}
	}
}

// beginOfName returns the length of the beginning of an address at the end of a text, or 0.
func beginOfName(text []byte) int {
	for n := min(maxName-1, len(text)); n > 0; n-- {
		tail := text[len(text)-n:]
		whole := append(bytes.Clone(tail), "127.1.100.100"[n:]...)
		if machineName.Match(whole) {
			return n
		}
	}
	return 0
}

// translate puts the receiver's addresses for those of other machines. The store, whose name is empty, knows the
// dispatchers by the addresses at which they listen.
func (l *links) translate(text []byte, to string) []byte {
	if to == "" {
		return text
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for dispatcher, number := range l.numbers {
		if dispatcher != to {
			// The store lists values in base64.
			own, seen := l.name(ownView, number)+":"+l.port, l.name(l.views[to], number)+":"+l.port
			text = bytes.ReplaceAll(text, inBase64(own), inBase64(seen))
		}
	}
	return machineName.ReplaceAllFunc(text, func(name []byte) []byte {
		parts := strings.Split(string(name), ".")
		number, _ := strconv.Atoi(parts[3])
		number -= ownView
		view := ownView
		if receiver, isDispatcher := l.numbers[to]; !isDispatcher || receiver != number {
			view = l.views[to]
		}
		return []byte(l.name(view, number))
	})
}

func inBase64(text string) []byte { return []byte(base64.StdEncoding.EncodeToString([]byte(text))) }
