package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stormCancels is the number of jobs that are canceled, stormRate how many a second.
	stormCancels = 1400
	stormRate    = 100
	// stormMemory is the memory of a dispatcher's machine in MB.
	stormMemory = 184
	// ordinaryEvery is the time between two requests of the ordinary callers.
	ordinaryEvery = 50 * time.Millisecond
	// quietFor is the time after the last cancel from which nothing but ordinary requests is left,
	// watchFor how long these are watched then.
	quietFor = 10 * time.Second
	watchFor = 25 * time.Second
	// patience is the time budget of the sheets, answerTime how long a caller waits for any answer.
	patience   = 1500 * time.Millisecond
	answerTime = 6 * time.Second
	// ackTimeout is the bound "ackTimeoutMs" of a deployment of this size.
	ackTimeout = 6 * time.Second
)

// noAnswer is what came of a request without any answer.
const noAnswer = "no answer"

// tally counts requests by what came of them.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[what]++
}

func (t *tally) of(what string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[what]
}

func (t *tally) sum() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, n := range t.counts {
		total += n
	}
	return total
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}

// storm cancels many jobs right after their answers, and watches the ordinary requests of the time after
// that.
func storm(s *site, trouble bool) (breach string, err error) {
	s.memory = stormMemory
	if err := s.start(8, 20); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	before, watched, cancels := &tally{}, &tally{}, &tally{}
	var current atomic.Pointer[tally]
	current.Store(before)
	group.Go(func() { s.callEvenly(ctx, &group, &current) })
	if trouble {
		s.submitAndCancel(&group, cancels)
	} else {
		time.Sleep(stormCancels / stormRate * time.Second)
	}
	s.record.note("the last cancel has been sent; ordinary requests so far: %v", before)
	time.Sleep(quietFor)
	s.record.note("ordinary requests before the watch: %v", before)
	current.Store(watched)
	time.Sleep(watchFor)
	cancel()
	group.Wait()
	s.record.note("ordinary requests sent %s to %s after the last cancel: %v", quietFor, quietFor+watchFor, watched)
	s.record.note("cancels: %v", cancels)
	large := 0
	for _, d := range s.dispatchers {
		peak := peakMemory(d)
		s.record.note("process %s took up to %d MB of %d MB", d.name, peak, s.memory)
		if peak > s.memory {
			large++
		}
	}
	if none, all := watched.of(noAnswer), watched.sum(); none > all/10 {
		return fmt.Sprintf("%d of %d ordinary requests, sent %s to %s after the last cancel, had no answer within %s; %d of %d dispatchers took more than the memory of their machines",
			none, all, quietFor, quietFor+watchFor, answerTime, large, len(s.dispatchers)), nil
	}
	if large > 0 {
		return fmt.Sprintf("%d of %d dispatchers took more than the memory of their machines", large, len(s.dispatchers)), nil
	}
	return "", nil
}

// peakMemory returns the most memory that a process has had, in MB; 0 if that is not known.
func peakMemory(p *process) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == "VmHWM:" {
			kb, err := strconv.Atoi(words[1])
			if err != nil {
				return 0
			}
			return kb / 1000
		}
	}
	return 0
}

// callEvenly sends ordinary requests to all dispatchers in turn.
func (s *site) callEvenly(ctx context.Context, group *sync.WaitGroup, current *atomic.Pointer[tally]) {
	c := newCaller(s.record)
	c.quiet = true
	ticker := time.NewTicker(ordinaryEvery)
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		<-ticker.C
		at, t := s.dispatchers[i%len(s.dispatchers)].front, current.Load()
		group.Go(func() {
			j := newJob(work{RunMS: 200}, step{count: 2, cpu: 1000, memory: 64, estimate: 200 * time.Millisecond})
			switch status := c.submitFor(at, newID(), j, patience, answerTime); status {
			case http.StatusOK:
				t.add("served")
			case 0:
				t.add(noAnswer)
			default:
				t.add(strconv.Itoa(status))
			}
		})
	}
}

// submitAndCancel has clients submit jobs, and cancel each right after its answer, at the same
// dispatcher.
func (s *site) submitAndCancel(group *sync.WaitGroup, results *tally) {
	c := newCaller(s.record)
	c.quiet = true
	ticker := time.NewTicker(time.Second / stormRate)
	defer ticker.Stop()
	for i := range stormCancels {
		<-ticker.C
		at := s.dispatchers[i%len(s.dispatchers)].front
		group.Go(func() {
			id := newID()
			j := newJob(work{RunMS: 60}, step{count: 1, cpu: 1000, memory: 64, estimate: 60 * time.Millisecond})
			if c.submitFor(at, id, j, patience, answerTime) != http.StatusOK {
				results.add("job not served")
				return
			}
			sentAt := time.Now()
			status := c.cancel(at, id)
			switch {
			case status != http.StatusOK && status != http.StatusGone || time.Since(sentAt) > ackTimeout:
				results.add("no ack")
			default:
				results.add("ack")
			}
		})
	}
}
