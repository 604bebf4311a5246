package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// start is a run that an executor has begun.
type start struct {
	executor string
	task     string
	number   uint64
	at       time.Time
	// endedAt is zero while the run goes on.
	endedAt time.Time
	how     string
	run     *run
}

// record holds what was sent, answered and run, in order.
type record struct {
	begun  time.Time
	mu     sync.Mutex
	lines  []string
	starts []*start
}

func newRecord() *record { return &record{begun: time.Now()} }

// note adds a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(format, args...)
}

func (r *record) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) start(executor string, run *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, &start{executor: executor, task: run.task, number: run.number, at: time.Now(), run: run})
	r.add("executor %s starts %s, run %d", executor, run.task, run.number)
}

func (r *record) end(executor string, run *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.starts {
		if s.run == run {
			s.endedAt, s.how = time.Now(), how
		}
	}
	r.add("executor %s ends %s, run %d: %s", executor, run.task, run.number, how)
}

// startsOf returns the starts of the tasks whose names begin so, in order.
func (r *record) startsOf(prefix string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []start
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, prefix) {
			list = append(list, *s)
		}
	}
	return list
}

// since returns the seconds from the begin of the record to a time.
func (r *record) since(at time.Time) float64 { return at.Sub(r.begun).Seconds() }

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(slices.Clone(r.lines), "\n")+"\n"), 0o600)
}
