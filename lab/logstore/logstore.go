// Package logstore is a small stand-in for the platform's append-only log, for
// tests and local use. It keeps its streams in memory for a limited number of
// records, and can be told to be down, slow, or to lose answers.
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
	// MaxBatch is the largest number of records that one read returns.
	MaxBatchRecords = 1000
	// MaxRecordBytes is the largest record.
	MaxRecordBytes = 1 << 20
)

// ErrDown is returned while the log is out of service.
var ErrDown = errors.New("the log is out of service")

// ErrTooLarge is returned for a record over MaxRecordBytes.
var ErrTooLarge = errors.New("the record is larger than the log takes")

type stream struct {
	first   uint64
	records [][]byte
	changed chan struct{}
}

// Store is the log. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	clock   clockwork.Clock
	random  *rand.Rand
	retain  int
	faults  logclient.Faults
	streams map[string]*stream
	appends uint64
}

// Option changes how a store behaves.
type Option func(*Store)

// WithRetention sets how many records of a stream are kept.
func WithRetention(records int) Option {
	return func(s *Store) { s.retain = records }
}

// WithSeed sets the seed that decides which answers are lost.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// defaultRetention is the number of records that a stream keeps.
const defaultRetention = 100_000

// New returns an empty store.
func New(clock clockwork.Clock, options ...Option) *Store {
	s := &Store{
		clock:   clock,
		random:  rand.New(rand.NewPCG(1, 0)),
		retain:  defaultRetention,
		streams: map[string]*stream{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetFaults replaces what the log does wrong from now on.
func (s *Store) SetFaults(f logclient.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns what the log does wrong now.
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

// Append adds a record to the end of a stream and returns its offset.
func (s *Store) Append(ctx context.Context, name string, record []byte) (uint64, error) {
	if len(record) > MaxRecordBytes {
		return 0, ErrTooLarge
	}
	if err := s.hinder(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.add(s.stream(name), record)
	if s.faults.LostResponseShare > 0 && s.random.Float64() < s.faults.LostResponseShare {
		return 0, errors.New("the answer to the append was lost")
	}
	return offset, nil
}

func (s *Store) add(st *stream, record []byte) uint64 {
	st.records = append(st.records, record)
	s.appends++
	if extra := len(st.records) - s.retain; extra > 0 {
		st.records = st.records[extra:]
		st.first += uint64(extra)
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

// hinder carries out the faults that come before the effect.
func (s *Store) hinder(ctx context.Context) error {
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

// Read returns records from an offset on. Where there are none yet it waits for
// some, at most for the given time.
func (s *Store) Read(ctx context.Context, name string, from uint64, wait time.Duration) (logclient.Batch, error) {
	if err := s.hinder(ctx); err != nil {
		return logclient.Batch{}, err
	}
	deadline := s.clock.After(wait)
	for {
		batch, changed := s.batch(name, from)
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

func (s *Store) batch(name string, from uint64) (logclient.Batch, <-chan struct{}) {
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
