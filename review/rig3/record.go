package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// entry is a run as an executor has seen it.
type entry struct {
	executor, task, how string
	number              uint64
	from, to            time.Time
}

// record holds what the stand-ins have seen.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	quiet bool
	runs  map[*run]*entry
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), file: f, runs: map[*run]*entry{}}, err
}

func (r *record) add(format string, details ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, details...)
}

// write writes a line; r.mu is held.
func (r *record) write(format string, details ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, details...))
}

func (r *record) started(executor string, s *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[s] = &entry{executor: executor, task: s.task, number: s.number, from: s.started}
	if !r.quiet {
		r.write("%s starts %s run %d", executor, s.task, s.number)
	}
}

func (r *record) ran(executor string, s *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.runs[s]
	e.to, e.how = time.Now(), how
	if !r.quiet {
		r.write("%s ends %s run %d: %s", executor, s.task, s.number, how)
	}
}

// setQuiet leaves out the single runs from now on.
func (r *record) setQuiet(quiet bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quiet = quiet
}

// entries returns the runs that began so far; those under way have no end.
func (r *record) entries() []entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []entry
	for _, e := range r.runs {
		list = append(list, *e)
	}
	return list
}

// offset is a time as it stands in the record.
func (r *record) offset(t time.Time) float64 { return t.Sub(r.began).Seconds() }
