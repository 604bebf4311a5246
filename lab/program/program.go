// Package program runs a program as a separate process and stops, kills or pauses it by
// signals.
package program

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Program is a program that can be started repeatedly, with one process at a time. It is
// safe for concurrent use. It signals only processes that it has started.
type Program struct {
	name    string
	path    string
	dir     string
	args    []string
	mu      sync.Mutex
	current *run
	// starts counts the processes started so far.
	starts int
	// unexpectedExits describes the exits that were not requested, and those after a request
	// with an error status. Death by a signal after a request is expected.
	unexpectedExits []string
}

// run is one process of the program.
type run struct {
	process   *os.Process
	logPath   string
	startedAt time.Time
	exited    chan struct{}
	// exitRequested is whether a signal to end was sent.
	exitRequested bool
	// pauses is the number of pauses that have not ended.
	pauses int
}

// New returns a program that is not running. The output of each process goes to a log file
// of its own in dir.
func New(name, path, dir string, args ...string) *Program {
	return &Program{name: name, path: path, dir: dir, args: args}
}

// Name returns the name given to New, which is also the prefix of the log files.
func (p *Program) Name() string { return p.name }

// SetPath sets the executable of the processes that are started from now on.
func (p *Program) SetPath(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path = path
}

// Start starts a process, with extra arguments for this one, unless one is running.
func (p *Program) Start(extraArgs ...string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		return nil
	}
	p.starts++
	path := filepath.Join(p.dir, fmt.Sprintf("%s.%d.log", p.name, p.starts))
	log, err := os.Create(path)
	if err != nil {
		return errors.Wrapf(err, "log of %q", p.name)
	}
	defer log.Close()
	command := exec.Command(p.path, slices.Concat(p.args, extraArgs)...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "program %q", p.name)
	}
	r := &run{process: command.Process, logPath: path, startedAt: time.Now(), exited: make(chan struct{})}
	p.current = r
	go func() {
		err := command.Wait()
		p.handleExit(r, err)
	}()
	return nil
}

func (p *Program) handleExit(r *run, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var exit *exec.ExitError
	if !r.exitRequested || errors.As(err, &exit) && exit.Exited() {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s exited unexpectedly (%v), log %s", p.name, err, filepath.Base(r.logPath)))
	}
	p.current = nil
	close(r.exited)
}

// signal sends a signal to the running process, if there is one, and returns a channel that
// is closed when the process has exited. endsProcess marks the exit as requested.
func (p *Program) signal(s syscall.Signal, endsProcess bool) (exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		none := make(chan struct{})
		close(none)
		return none
	}
	p.current.exitRequested = p.current.exitRequested || endsProcess
	// The error is ignored: a process that has just exited needs no signal.
	_ = p.current.process.Signal(s)
	return p.current.exited
}

// Kill kills the process and waits until it has exited.
func (p *Program) Kill() { <-p.signal(syscall.SIGKILL, true) }

// Stop sends SIGTERM and returns whether the process exited within the timeout. It kills
// the process otherwise.
func (p *Program) Stop(timeout time.Duration) bool {
	select {
	case <-p.signal(syscall.SIGTERM, true):
		return true
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}

// Pause suspends the process until Resume. Pauses may overlap.
func (p *Program) Pause() {
	p.addPauses(1)
	p.signal(syscall.SIGSTOP, false)
}

// Resume ends a pause. The process continues when the last one has ended.
func (p *Program) Resume() {
	if p.addPauses(-1) == 0 {
		p.signal(syscall.SIGCONT, false)
	}
}

// addPauses changes the number of pauses and returns it.
func (p *Program) addPauses(change int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return 0
	}
	p.current.pauses = max(0, p.current.pauses+change)
	return p.current.pauses
}

// HangUp sends SIGHUP, on which the process reads its settings again.
func (p *Program) HangUp() { p.signal(syscall.SIGHUP, false) }

// Uptime returns how long the process has been running, 0 if none is.
func (p *Program) Uptime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return 0
	}
	return time.Since(p.current.startedAt)
}

// StartCount returns how often the program was started.
func (p *Program) StartCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// UnexpectedExits describes the exits that were not requested, and those after a request
// with an error status.
func (p *Program) UnexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}
