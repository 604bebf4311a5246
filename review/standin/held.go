package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/corianderhook/corianderhook/lab/proxy"
	"github.com/corianderhook/corianderhook/platform/standin/caller"
	"github.com/corianderhook/corianderhook/platform/standin/operator"
)

const (
	heldClients = 40
	heldBudget  = 1500 * time.Millisecond
	// cutTime is how long the cut lasts: a little longer than until the jobs are sent again.
	cutTime = heldBudget + resubmission + 100*time.Millisecond
)

// heldRequest cuts the clients' channels to a dispatcher for some seconds. What the clients have
// sent there arrives when the cut is over. By then they have left, and have sent their jobs
// again to another dispatcher.
func heldRequest(s *site, trouble bool) (broken []string, err error) {
	if err := s.start(3, 11); err != nil {
		return nil, err
	}
	address, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	link, err := proxy.New(address[0], proxy.FixedTarget(s.dispatchers[0].callers))
	if err != nil {
		return nil, err
	}
	defer link.Close()
	for began := time.Now(); time.Since(began) < scriptTime; {
		var clients, opened sync.WaitGroup
		opened.Add(heldClients)
		cut := make(chan struct{})
		for range heldClients {
			clients.Go(func() { s.sendOverCut(link.Address(), &opened, cut) })
		}
		opened.Wait()
		if trouble {
			s.record.add("the channels of clients to front-1 are cut")
			link.SetFault(proxy.Fault{HoldUpstream: true, HoldDownstream: true})
		}
		close(cut)
		time.Sleep(cutTime)
		link.SetFault(proxy.Fault{})
		s.record.add("the cut is over")
		clients.Wait()
		if broken = s.runs.Violations(); len(broken) > 0 {
			break
		}
		s.awaitIdle(5 * time.Second)
	}
	return broken, nil
}

// sendOverCut opens a channel, sends a job on it when the cut has begun, and sends it again
// elsewhere if there is no answer in time.
func (s *site) sendOverCut(address string, opened *sync.WaitGroup, cut <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	s.send(client, http.MethodGet, address, caller.Job{Budget: heldBudget}, "")
	opened.Done()
	<-cut
	j := newJob(1, time.Second, 500, heldBudget)
	if s.send(client, http.MethodPost, address, j, j.Body()) != 0 {
		return
	}
	time.Sleep(resubmission)
	s.submit(s.dispatchers[1].callers, j)
}

// send sends a request on a kept channel and returns the status, 0 without a whole answer.
func (s *site) send(client *http.Client, method, address string, j caller.Job, body string) int {
	ctx, cancel := context.WithTimeout(s.record.ctx, j.Budget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+operator.Prefix+j.ID, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = operator.Host
	r.Header.Set(budgetHeader, strconv.FormatInt(j.Budget.Milliseconds(), 10))
	r.GetBody = nil
	response, err := client.Do(r)
	if err != nil {
		s.record.add("client leaves: %s %s: %v", method, j.ID, err)
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	s.record.add("client gets %d for %s %s", response.StatusCode, method, j.ID)
	return response.StatusCode
}
