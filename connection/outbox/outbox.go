// Package outbox queues the messages to send on one stream and sends all that are queued
// as one batch.
package outbox

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"
)

// maxQueuedMessages limits the queue of a stream whose receiver does not read.
const maxQueuedMessages = 1 << 16

// Outbox is the sending side of one stream. It is safe for concurrent use.
type Outbox struct {
	mu     sync.Mutex
	queue  []proto.Message
	wake   chan struct{}
	closed bool
}

// New returns an open, empty outbox.
func New() *Outbox {
	return &Outbox{wake: make(chan struct{}, 1)}
}

// Put queues a message. If the outbox is closed or full, Put closes it and returns false.
// The message is lost then, so the stream has to be replaced.
func (o *Outbox) Put(m proto.Message) bool {
	o.mu.Lock()
	if o.closed || len(o.queue) >= maxQueuedMessages {
		o.closed = true
		o.mu.Unlock()
		o.signal()
		return false
	}
	o.queue = append(o.queue, m)
	o.mu.Unlock()
	o.signal()
	return true
}

func (o *Outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Close makes Run return once the queued messages are sent.
func (o *Outbox) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
}

// Run passes batches to send until the context ends, send fails or the outbox is closed.
func (o *Outbox) Run(ctx context.Context, send func([]proto.Message) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		}
		batch, closed := o.takeBatch()
		if len(batch) > 0 {
			if err := send(batch); err != nil {
				return err
			}
		}
		if closed {
			return nil
		}
	}
}

func (o *Outbox) takeBatch() ([]proto.Message, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.queue
	o.queue = nil
	return batch, o.closed
}
