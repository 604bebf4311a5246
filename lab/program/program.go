// Package program runs a program as a process of its own and harms it by signals.
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

// Program is one program that is started again and again. It is safe for
// concurrent use. Only processes that it has started get signals.
type Program struct {
	name string
	path string
	dir  string
	args []string
	mu   sync.Mutex
	life *life
	// lives counts the starts.
	lives int
	// surprises are ends that nobody asked for.
	surprises []string
}

// life is one process.
type life struct {
	process *os.Process
	log     string
	began   time.Time
	ended   chan struct{}
	// asked: a signal to end was sent.
	asked bool
}

// New returns a program that is not running. Its output goes to files in dir.
func New(name, path, dir string, args ...string) *Program {
	return &Program{name: name, path: path, dir: dir, args: args}
}

// Name returns the name.
func (p *Program) Name() string { return p.name }

// Start starts a process, with further arguments for this one, unless one is running.
func (p *Program) Start(further ...string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life != nil {
		return nil
	}
	p.lives++
	path := filepath.Join(p.dir, fmt.Sprintf("%s.%d.log", p.name, p.lives))
	log, err := os.Create(path)
	if err != nil {
		return errors.Wrapf(err, "log of %q", p.name)
	}
	defer log.Close()
	command := exec.Command(p.path, slices.Concat(p.args, further)...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "program %q", p.name)
	}
	l := &life{process: command.Process, log: path, began: time.Now(), ended: make(chan struct{})}
	p.life = l
	go func() {
		err := command.Wait()
		p.ended(l, err)
	}()
	return nil
}

func (p *Program) ended(l *life, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var exit *exec.ExitError
	if !l.asked || errors.As(err, &exit) && exit.Exited() {
		p.surprises = append(p.surprises, fmt.Sprintf("%s ended by itself (%v), log %s", p.name, err, filepath.Base(l.log)))
	}
	p.life = nil
	close(l.ended)
}

// signal sends a signal to the running process, if there is one.
func (p *Program) signal(s syscall.Signal, ends bool) (ended <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life == nil {
		gone := make(chan struct{})
		close(gone)
		return gone
	}
	p.life.asked = p.life.asked || ends
	// A process that has just ended needs no signal.
	_ = p.life.process.Signal(s)
	return p.life.ended
}

// Kill ends the process at once and waits for its end.
func (p *Program) Kill() { <-p.signal(syscall.SIGKILL, true) }

// Stop asks the process to end and returns whether it did within the time; it is
// killed otherwise.
func (p *Program) Stop(within time.Duration) bool {
	select {
	case <-p.signal(syscall.SIGTERM, true):
		return true
	case <-time.After(within):
		p.Kill()
		return false
	}
}

// Pause has the process stand still, Resume go on, HangUp read its settings again.
func (p *Program) Pause() { p.signal(syscall.SIGSTOP, false) }

// Resume ends a pause.
func (p *Program) Resume() { p.signal(syscall.SIGCONT, false) }

// HangUp sends the signal that says that settings have changed.
func (p *Program) HangUp() { p.signal(syscall.SIGHUP, false) }

// Age returns how long the process has been running, 0 where none is.
func (p *Program) Uptime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life == nil {
		return 0
	}
	return time.Since(p.life.began)
}

// Lives returns how often the program was started.
func (p *Program) StartCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

// Surprises lists ends that nobody asked for.
func (p *Program) UnexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.surprises
}
