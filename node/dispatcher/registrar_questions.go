package dispatcher

import (
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/process/inquiry"
	"github.com/corianderhook/corianderhook/sharing/holder/claim"
)

const (
	// registrarTimeout limits the wait for the answer of one registrar.
	registrarTimeout = 75 * time.Millisecond
	// timerLag is by how much timers may be late while this process runs.
	timerLag = 25 * time.Millisecond
	// refusalTimeout limits the wait for a machine to refuse a connection to a process that is gone.
	refusalTimeout = 75 * time.Millisecond
)

// ask asks the registrars of a job until enough of them have answered. An answer that is late counts
// too.
func (h *holders) ask(ctx context.Context, c *claim.Claim, job string, hold time.Duration) {
	clock := h.dispatcher.deps.Clock
	answers := make(chan registrarAnswer, len(c.Unasked()))
	// awaited holds the registrars whose answers are not late, open counts all without an answer.
	awaited, open := map[string]bool{}, 0
	for {
		for r, more := c.Next(len(awaited)); more; r, more = c.Next(len(awaited)) {
			if r == h.dispatcher.deps.Address {
				now := clock.Now()
				s, others := h.register.Claim(job, r, hold, now)
				c.Answered(r, s, others, h.register.Knows(now))
				continue
			}
			h.link(r).claim(pendingClaim{job: job, hold: hold, answers: answers})
			awaited[r] = true
			open++
		}
		if c.Settled() || open == 0 {
			return
		}
		a, answered := h.awaitAnswer(ctx, answers)
		switch {
		case answered:
			open--
			if a.failed && !awaited[a.registrar] {
				// Its silence has been counted.
				continue
			}
			delete(awaited, a.registrar)
			h.noteAnswer(c, a)
		case len(awaited) == 0 || ctx.Err() != nil:
			return
		default:
			for r := range awaited {
				klog.InfoS("CH1062 registrar does not answer", "entry", h.dispatcher.deps.Name, "address", r, "job", job)
				h.directory.Silent(r, clock.Now())
				c.NotAnswered(false)
			}
			clear(awaited)
		}
	}
}

func (h *holders) noteAnswer(c *claim.Claim, a registrarAnswer) {
	if a.failed {
		c.NotAnswered(a.gone)
		return
	}
	c.Answered(a.registrar, a.state, slices.DeleteFunc(a.holders, func(o string) bool { return o == h.dispatcher.deps.Address }), a.knows)
}

// awaitAnswer waits for an answer for registrarTimeout. One that has come meanwhile goes before the
// end of this time, as this process may have stood still. If it has, the answer may not have been read
// yet, and there is a second wait.
func (h *holders) awaitAnswer(ctx context.Context, answers <-chan registrarAnswer) (a registrarAnswer, answered bool) {
	began := h.dispatcher.deps.Clock.Now()
	a, answered = h.awaitAnswerOnce(ctx, answers)
	if !answered && ctx.Err() == nil && h.dispatcher.deps.Clock.Since(began) > registrarTimeout+timerLag {
		return h.awaitAnswerOnce(ctx, answers)
	}
	return a, answered
}

func (h *holders) awaitAnswerOnce(ctx context.Context, answers <-chan registrarAnswer) (a registrarAnswer, answered bool) {
	timer := h.dispatcher.deps.Clock.NewTimer(registrarTimeout)
	defer timer.Stop()
	select {
	case a := <-answers:
		return a, true
	case <-timer.Chan():
	case <-ctx.Done():
	}
	select {
	case a := <-answers:
		return a, true
	default:
		return registrarAnswer{}, false
	}
}

// askHolder asks a dispatcher whether it still has a job. The runs of one that is gone end before
// its callers send their jobs again.
func (h *holders) askHolder(ctx context.Context, job, address string, arrivedAt time.Time) inquiry.Holding {
	d := h.dispatcher
	holding := d.inquire(ctx, &question{job: job, arrivedAt: arrivedAt}, []string{address})
	if holding == inquiry.Unknown && refusesConnections(ctx, address) {
		klog.InfoS("CH1063 dispatcher that had a job is gone", "entry", d.deps.Name, "job", job, "address", address)
		return inquiry.NotHeld
	}
	return holding
}

// refusesConnections reports whether no process listens at an address of a machine that answers.
func refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
