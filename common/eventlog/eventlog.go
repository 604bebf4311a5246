// Package eventlog writes log lines without ever holding up the one who logs:
// lines wait in a bounded buffer, and those that find it full are counted and
// dropped.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the bytes that wait for a slow reader.
	maxBuffered = 1 << 20
	// gather is how long lines are collected for one write.
	gather = 20 * time.Millisecond
)

// Log is a writer that drops rather than blocks. It is safe for concurrent use.
type Log struct {
	out     io.Writer
	limit   int
	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// New returns a log that writes to out in the background until Close.
func New(out io.Writer) *Log {
	l := &Log{out: out, limit: maxBuffered, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go l.run()
	return l
}

// Write takes one line; it never blocks and never fails.
func (l *Log) Write(line []byte) (int, error) {
	l.mu.Lock()
	if l.closed || len(l.buffer)+len(line) > l.limit {
		l.dropped++
	} else {
		l.buffer = append(l.buffer, line...)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not reported yet.
func (l *Log) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Close writes what is buffered, waiting at most for the given time.
func (l *Log) Close(wait time.Duration) {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case <-l.done:
	case <-time.After(wait):
	}
}

func (l *Log) run() {
	defer close(l.done)
	for range l.wake {
		closed := l.flush()
		if closed {
			return
		}
		time.Sleep(gather)
	}
}

func (l *Log) flush() (closed bool) {
	l.mu.Lock()
	batch := l.buffer
	l.buffer = l.spare[:0]
	if l.dropped > 0 {
		batch = fmt.Appendf(batch, "W \"CH0005 log lines dropped\" count=%d\n", l.dropped)
		l.dropped = 0
	}
	closed = l.closed
	l.mu.Unlock()
	// A reader that has gone leaves nothing to report to.
	_, _ = l.out.Write(batch)
	l.mu.Lock()
	l.spare = batch[:0]
	l.mu.Unlock()
	return closed
}
