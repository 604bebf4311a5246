// Package logstore is a small stand-in for the platform's append-only log, for tests and
// local use. It keeps a limited number of records per stream in memory. Injected faults
// make it unavailable or slow, or make it lose answers.
package logstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/connection/logclient"
)

const (
	// MaxBatchRecords limits the records that one read returns.
	MaxBatchRecords = 1000
	// MaxRecordBytes limits the size of a record.
	MaxRecordBytes = 1 << 20
)

// ErrDown is returned while the log is unavailable.
var ErrDown = errors.New("the log is out of service")

// ErrTooLarge is returned for a record over MaxRecordBytes.
var ErrTooLarge = errors.New("the record is larger than the log takes")

// stream holds the records that are kept of a stream; first is the offset of the oldest.
// changed is closed and replaced at every append.
type stream struct {
	first   uint64
	records [][]byte
	changed chan struct{}
}

// Store is an in-memory log. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	clock     clockwork.Clock
	rng       *rand.Rand
	retention int
	faults    logclient.Faults
	streams   map[string]*stream
	appends   uint64
}

// Option configures a store.
type Option func(*Store)

// WithRetention sets how many records are kept per stream.
func WithRetention(records int) Option {
	return func(s *Store) { s.retention = records }
}

// WithSeed sets the seed for the random choice of the answers that are lost.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// defaultRetention is the number of records kept per stream.
const defaultRetention = 100_000

// New returns an empty store.
func New(clock clockwork.Clock, options ...Option) *Store {
	s := &Store{
		clock:     clock,
		rng:       rand.New(rand.NewPCG(1, 0)),
		retention: defaultRetention,
		streams:   map[string]*stream{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f logclient.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Store) Faults() logclient.Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Appends returns the number of appends that took effect.
func (s *Store) Appends() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Append appends a record to a stream and returns its offset. With an injected loss of the
// answer it appends the record and returns an error.
func (s *Store) Append(ctx context.Context, name string, record []byte) (uint64, error) {
	if len(record) > MaxRecordBytes {
		return 0, ErrTooLarge
	}
	if err := s.applyFaults(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.appendRecord(s.stream(name), record)
	if s.faults.LostResponseShare > 0 && s.rng.Float64() < s.faults.LostResponseShare {
		return 0, errors.New("the answer to the append was lost")
	}
	return offset, nil
}

func (s *Store) appendRecord(st *stream, record []byte) uint64 {
	st.records = append(st.records, record)
	s.appends++
	if excess := len(st.records) - s.retention; excess > 0 {
		st.records = st.records[excess:]
		st.first += uint64(excess)
	}
	close(st.changed)
	st.changed = make(chan struct{})
	return st.first + uint64(len(st.records)) - 1
}

func (s *Store) stream(name string) *stream {
	st, known := s.streams[name]
	if !known {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// applyFaults applies the faults that precede the effect of a request: delay and
// unavailability.
func (s *Store) applyFaults(ctx context.Context) error {
	f := s.Faults()
	if f.DelayMS > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.clock.After(time.Duration(f.DelayMS) * time.Millisecond):
		}
	}
	if s.Faults().Down {
		return ErrDown
	}
	return nil
}

// Read returns records from an offset on. If there are none yet, it waits for some, at most
// for the given time.
func (s *Store) Read(ctx context.Context, name string, from uint64, wait time.Duration) (logclient.Batch, error) {
	if err := s.applyFaults(ctx); err != nil {
		return logclient.Batch{}, err
	}
	deadline := s.clock.After(wait)
	for {
		batch, changed := s.readBatch(name, from)
		if len(batch.Records) > 0 || wait <= 0 {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return logclient.Batch{}, ctx.Err()
		case <-deadline:
			return batch, nil
		case <-changed:
		}
		if s.Faults().Down {
			return logclient.Batch{}, ErrDown
		}
	}
}

func (s *Store) readBatch(name string, from uint64) (logclient.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	next := st.first + uint64(len(st.records))
	b := logclient.Batch{First: st.first, From: max(from, st.first), Next: next}
	if b.From < next {
		start := int(b.From - st.first)
		end := min(len(st.records), start+MaxBatchRecords)
		b.Records = st.records[start:end:end]
	}
	return b, st.changed
}
