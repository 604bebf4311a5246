// Package eventlog writes log lines without blocking the caller. Lines wait in a bounded
// buffer. Lines that do not fit are dropped and counted.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes limits the buffer while the output is slow.
	maxBufferedBytes = 1 << 20
	// flushInterval is the pause between two writes, in which lines are collected.
	flushInterval = 20 * time.Millisecond
)

// Log is an io.Writer that drops lines instead of blocking. It is safe for concurrent use.
type Log struct {
	out    io.Writer
	limit  int
	mu     sync.Mutex
	buffer []byte
	// spare is the buffer of the previous write, which is reused.
	spare   []byte
	dropped int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// New returns a log that writes to out in the background until it is closed.
func New(out io.Writer) *Log {
	l := &Log{out: out, limit: maxBufferedBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go l.run()
	return l
}

// Write buffers or drops one line. It never waits for the output and never fails.
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

// Dropped returns the number of dropped lines not yet reported in the log itself.
func (l *Log) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Close writes the buffered lines. It returns when they are written or after the timeout.
func (l *Log) Close(timeout time.Duration) {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}

func (l *Log) run() {
	defer close(l.done)
	for range l.wake {
		closed := l.flush()
		if closed {
			return
		}
		time.Sleep(flushInterval)
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
	// A failed write cannot be reported, since this is the log itself.
	_, _ = l.out.Write(batch)
	l.mu.Lock()
	l.spare = batch[:0]
	l.mu.Unlock()
	return closed
}
