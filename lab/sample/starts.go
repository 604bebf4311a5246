package sample

import (
	"slices"
	"sync"
	"time"
)

// maxRuns limits the memory for recorded runs.
const maxRuns = 1_000_000

// Starts is a record of task starts that several endpoints share. It is safe for
// concurrent use.
type Starts struct {
	mu       sync.Mutex
	counts   map[string]int
	total    int
	keepRuns bool
	runs     []Run
	// endpoints is the number of endpoints that share the record.
	endpoints int
}

// NewStarts returns an empty record.
func NewStarts() *Starts { return &Starts{counts: map[string]int{}} }

// KeepRuns makes the record keep the runs that finish from now on.
func (s *Starts) KeepRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepRuns = true
}

// Run is one finished run of a task at an endpoint.
type Run struct {
	// Endpoint is the index of the endpoint within the record, from 0.
	Endpoint int
	// Task is the name of the task, team/key/index.
	Task string
	From time.Time
	To   time.Time
}

func (s *Starts) registerEndpoint() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints++
	return s.endpoints - 1
}

func (s *Starts) recordRun(r Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keepRuns && len(s.runs) < maxRuns {
		s.runs = append(s.runs, r)
	}
}

// Runs returns the first million runs that finished since KeepRuns, in the order of
// their ends, and the number of endpoints.
func (s *Starts) Runs() (runs []Run, endpoints int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs), s.endpoints
}

func (s *Starts) recordStart(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[task]++
	s.total++
}

// Count returns how often the task with the name team/key/index was started.
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

// StartedTwice returns the number of tasks that were started more than once.
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
