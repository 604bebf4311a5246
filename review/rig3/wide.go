package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// wideSteps is the number of steps of the large job, which stays below the limits of the desired state.
	wideSteps = 2048
	// contactTime and lossSlack are bounds of the small sites.
	contactTime = 3 * time.Second
	lossSlack   = 200 * time.Millisecond
	// beforeWide is the time before the large job.
	beforeWide = 2 * time.Second
)

// countRequest is a request for the number of pending jobs, and what has come of it.
type countRequest struct {
	sent, ended time.Time
	status      int
	err         error
}

// wide sends a large job to a front, which is stopped as planned some time later. Others ask this front for
// the number of pending jobs, before and from contactTime after the large job.
func wide(r *rig, trouble bool) (broken bool, err error) {
	m := r.fronts[0]
	var group sync.WaitGroup
	var mu sync.Mutex
	var counts []countRequest
	stop := make(chan struct{})
	for n := range 8 {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			if n%2 == 1 {
				time.Sleep(beforeWide + contactTime)
			}
			list := r.askOnChannel(m, stop)
			mu.Lock()
			defer mu.Unlock()
			counts = append(counts, list...)
		})
	}
	time.Sleep(beforeWide)
	r.log.setQuiet(true)
	sent := time.Now()
	if trouble {
		body := wideJob(10000)
		r.log.add("a job of %d steps, %d bytes, is sent to %s", wideSteps, len(body), m.name)
		go func() {
			r.log.add("job of %d steps: %v", wideSteps, r.request(m, http.MethodPost, lots+newID(), body, 60*time.Second))
		}()
	}
	go func() {
		for range 12 {
			r.log.add("small job at %s: %v", m.name, r.call(m, http.MethodPost, newID(), job(50, 1), 1500*time.Millisecond))
			time.Sleep(200 * time.Millisecond)
		}
	}()
	time.Sleep(contactTime + 500*time.Millisecond)
	r.log.add("SIGTERM to %s", m.name)
	_ = m.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(graceS * time.Second):
		r.log.add("SIGKILL to %s", m.name)
		_ = m.command.Process.Signal(syscall.SIGKILL)
		<-m.exited
	}
	close(stop)
	group.Wait()
	return r.lostCounts(counts, sent.Add(contactTime)), nil
}

// wideJob is a job of many steps of one small task, none of which waits for another.
func wideJob(work int) string {
	step := fmt.Sprintf(wire(`{"count":1,"cpu":10,"$mem":1,"$guess":%d}`), work)
	return fmt.Sprintf(wire(`{"spec":"%d","$unkept":true,"steps":[%s]}`), work, strings.TrimSuffix(strings.Repeat(step+",", wideSteps), ","))
}

// askOnChannel sends one request after the other on one channel until that ends.
func (r *rig) askOnChannel(m *machine, stop <-chan struct{}) (list []countRequest) {
	conn, err := net.Dial("tcp", m.front)
	if err != nil {
		return nil
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		c := countRequest{sent: time.Now()}
		_, c.err = fmt.Fprintf(conn, wire("GET %s HTTP/1.1\r\nHost: %s\r\n$budget: 30000\r\n\r\n"), prefix, host)
		if c.err == nil {
			var response *http.Response
			if response, c.err = http.ReadResponse(reader, nil); c.err == nil {
				c.status = response.StatusCode
				_, c.err = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if response.Close && c.err == nil {
					c.ended = time.Now()
					return append(list, c)
				}
			}
		}
		c.ended = time.Now()
		if list = append(list, c); c.err != nil {
			return list
		}
		select {
		case <-stop:
			return list
		case <-time.After(400 * time.Millisecond):
		}
	}
}

// lostCounts reports whether requests that were sent after a time have no answer though their channel
// ended later than lossSlack after they were sent.
func (r *rig) lostCounts(counts []countRequest, after time.Time) bool {
	answered, lost := 0, 0
	for _, c := range counts {
		switch {
		case c.err == nil:
			answered++
		case c.sent.After(after) && c.ended.Sub(c.sent) > lossSlack:
			lost++
			r.log.add("BROKEN: a request sent at %.3f has no answer, its channel ended at %.3f: %v", r.log.offset(c.sent), r.log.offset(c.ended), c.err)
		default:
			r.log.add("not counted: a request sent at %.3f, its channel ended at %.3f: %v", r.log.offset(c.sent), r.log.offset(c.ended), c.err)
		}
	}
	r.log.add("%d requests for the number of pending jobs answered, %d lost", answered, lost)
	return lost > 0
}
