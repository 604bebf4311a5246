package sample

import (
	"slices"
	"sync"
	"time"
)

// maxRuns bounds the memory of the runs that are kept.
const maxRuns = 1_000_000

// Starts is a record of starts that several endpoints share.
type Starts struct {
	mu     sync.Mutex
	counts map[string]int
	total  int
	keep   bool
	runs   []Run
	// endpoints is the number of endpoints that share the record.
	endpoints int
}

// NewStarts returns an empty record.
func NewStarts() *Starts { return &Starts{counts: map[string]int{}} }

// KeepRuns makes the record keep each run from now on.
func (s *Starts) KeepRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = true
}

// Run is one finished run of a task at an endpoint.
type Run struct {
	// Endpoint numbers the endpoints of a record from 0.
	Endpoint int
	Task     string
	From     time.Time
	To       time.Time
}

func (s *Starts) enrol() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints++
	return s.endpoints - 1
}

func (s *Starts) end(r Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keep && len(s.runs) < maxRuns {
		s.runs = append(s.runs, r)
	}
}

// Runs returns the runs finished since KeepRuns in the order of their ends, the first million
// of them, and the number of endpoints.
func (s *Starts) Runs() (runs []Run, endpoints int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs), s.endpoints
}

func (s *Starts) add(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[task]++
	s.total++
}

// Count returns how often a task, named team/key/index, was started.
func (s *Starts) Count(task string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[task]
}

// Total returns the number of starts.
func (s *Starts) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Twice returns the number of tasks that were started more than once.
func (s *Starts) StartedTwice() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	twice := 0
	for _, n := range s.counts {
		if n > 1 {
			twice++
		}
	}
	return twice
}
