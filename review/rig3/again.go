package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// retransmit is the time after which a client without an answer sends its job again.
	retransmit = 1300 * time.Millisecond
	// leavers is the number of clients in a round.
	leavers = 16
	// maxRetransmission is how long after the end of a cut a channel's bytes take to arrive at most: its
	// sender repeats them from time to time.
	maxRetransmission = 200 * time.Millisecond
)

// gate forwards the channels of clients to a front. While it is shut it holds up all bytes, ends and new
// channels, as a partition does.
type gate struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	shut     chan struct{}
}

func newGate(at, target string) (*gate, error) {
	l, err := net.Listen("tcp", at+":0")
	if err != nil {
		return nil, err
	}
	g := &gate{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c.(*net.TCPConn))
		}
	}()
	return g, nil
}

// set shuts or opens the gate.
func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shut {
		g.shut = make(chan struct{})
	} else if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

// pass returns when bytes may pass.
func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
		time.Sleep(rand.N(maxRetransmission))
	}
}

func (g *gate) serve(client *net.TCPConn) {
	defer client.Close()
	g.pass()
	c, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	front := c.(*net.TCPConn)
	defer front.Close()
	var both sync.WaitGroup
	both.Go(func() { g.forward(front, client) })
	both.Go(func() { g.forward(client, front) })
	both.Wait()
}

func (g *gate) forward(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		g.pass()
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// again has clients leave before their time budget, while a front is cut off from its clients, and send
// their jobs to it again. Their ends, and the jobs, arrive when the cut is over.
func again(r *rig, trouble bool) (broken bool, err error) {
	m := r.fronts[0]
	g, err := newGate(r.ip(1, 100), m.front)
	if err != nil {
		return false, err
	}
	for range 4 {
		var group sync.WaitGroup
		for range leavers {
			group.Go(func() { r.leaveAndReturn(g.listener.Addr().String()) })
		}
		time.Sleep(300 * time.Millisecond)
		g.set(trouble)
		// The jobs are sent again 1.8 s after they were sent first.
		time.Sleep(1600 * time.Millisecond)
		g.set(false)
		group.Wait()
		time.Sleep(2 * time.Second)
	}
	return r.ranTwice(), nil
}

// leaveAndReturn sends a job, leaves after half a second, and sends the job again.
func (r *rig) leaveAndReturn(address string) {
	const work, budget = 3000, 5 * time.Second
	id := newID()
	body := job(work, 2)
	for n, stay := range []time.Duration{500 * time.Millisecond, budget} {
		if n > 0 {
			time.Sleep(retransmit)
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		r.log.add("job %s is sent, time %d", id, n+1)
		fmt.Fprintf(conn, wire("%s %s HTTP/1.1\r\nHost: %s\r\n$budget: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"),
			http.MethodPost, prefix+id, host, budget.Milliseconds(), len(body), body)
		_ = conn.SetReadDeadline(time.Now().Add(stay))
		text, _ := io.ReadAll(io.LimitReader(conn, 12))
		conn.Close()
		r.log.add("job %s, time %d: %q", id, n+1, strings.TrimSpace(string(text)))
	}
}

// ranTwice reports whether two runs of a task have been under way at the same time.
func (r *rig) ranTwice() bool {
	broken := false
	runs := map[string][]entry{}
	for _, e := range r.log.entries() {
		for _, o := range runs[e.task] {
			if e.from.Before(o.to) && o.from.Before(e.to) {
				broken = true
				r.log.add("BROKEN: %s runs on %s (%.3f to %.3f, %s) and on %s (%.3f to %.3f, %s)", e.task, o.executor, r.log.offset(o.from), r.log.offset(o.to), o.how,
					e.executor, r.log.offset(e.from), r.log.offset(e.to), e.how)
			}
		}
		runs[e.task] = append(runs[e.task], e)
	}
	return broken
}
