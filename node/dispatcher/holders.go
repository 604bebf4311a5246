package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/process/inquiry"
	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/sharing/holder/claim"
	"github.com/corianderhook/corianderhook/sharing/holder/directory"
	"github.com/corianderhook/corianderhook/sharing/holder/register"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// retryTime is the time from the end of a link to its next opening, if it has lost anything.
	retryTime = 250 * time.Millisecond
	// maxRelays is the number of registrars that pass on a note: one of them may be cut off as well.
	maxRelays = 2
	// reportInterval is the time between two log entries on the same registrar.
	reportInterval = 10 * time.Second
	// lookInterval is the time between two looks for dispatchers that have become known.
	lookInterval = 100 * time.Millisecond
)

// holders sees to it that a job that reaches several dispatchers runs at one of them: each asks the
// registrars of the job before it submits it.
type holders struct {
	dispatcher *Dispatcher
	register   *register.Register
	directory  *directory.Directory
	mu         sync.Mutex
	links      map[string]*holderLink
	// taken holds the jobs of this dispatcher, canceled those that were canceled here.
	taken    map[string]*takenJob
	canceled []endedJob
	// reported holds when the end of the link to an address was logged.
	reported map[string]time.Time
}

// endedJob is a job that was canceled while this dispatcher had it.
type endedJob struct {
	job string
	at  time.Time
}

// takenJob is a job that this dispatcher has been granted.
type takenJob struct {
	// requests counts those in hand.
	requests int
	until    time.Time
	choice   directory.Choice
	claimed  []string
}

func newHolders(d *Dispatcher) *holders {
	h := &holders{
		dispatcher: d, register: register.New(d.deps.Clock.Now()), directory: directory.New(d.deps.Address, d.deps.Zone),
		links: map[string]*holderLink{}, taken: map[string]*takenJob{}, reported: map[string]time.Time{},
	}
	d.metrics.RegisterGauge("corianderhook_registered_jobs", "Jobs that this process remembers as a registrar.", func() float64 { return float64(h.register.Jobs()) })
	return h
}

// take asks the registrars of a job for it: that of this zone and, unless its request is recent, one that
// all dispatchers ask then. If it is granted, leave has to be called with its outcome.
func (h *holders) take(ctx context.Context, job string, budget time.Duration, recent bool) claim.Verdict {
	began := h.dispatcher.deps.Clock.Now()
	switch h.register.EndOf(job, began) {
	case register.Canceled:
		return h.concluded(job, claim.Canceled)
	case register.Completed:
		return h.concluded(job, claim.Completed)
	}
	if h.joins(job) {
		return h.concluded(job, claim.Granted)
	}
	hold := budget + runner.OrphanTime()
	choice := h.directory.Choose(job, began)
	needed := choice.Common
	if recent {
		needed = 1
	}
	c := claim.New(choice.Asked, needed)
	h.ask(ctx, c, job, hold)
	holding := inquiry.NotHeld
	for _, a := range c.Holders() {
		holding = worse(holding, h.askHolder(ctx, job, a, began))
	}
	v := c.Conclude(holding)
	if ctx.Err() != nil {
		v = claim.Unsure
	}
	if v == claim.Granted {
		h.keep(job, &takenJob{until: began.Add(hold), choice: choice, claimed: c.Claimed()}, len(c.Holders()) > 0)
	} else {
		h.release(job, c.Sent())
	}
	if v != claim.Granted || len(c.Holders()) > 0 || len(c.Claimed()) == 0 && len(choice.Asked) > 0 {
		klog.InfoS("CH1060 registrars asked for a job", "entry", h.dispatcher.deps.Name, "job", job, "verdict", v, "registrars", choice.Asked, "answered", c.Claimed(),
			"missed", choice.Missed, "holders", c.Holders(), "holding", holding, "took", h.dispatcher.deps.Clock.Since(began))
	}
	return h.concluded(job, v)
}

func (h *holders) concluded(job string, v claim.Verdict) claim.Verdict {
	h.dispatcher.metrics.CountClaim(v.String())
	if v == claim.Completed || v == claim.Canceled {
		klog.InfoS("CH1061 job had ended before", "entry", h.dispatcher.deps.Name, "job", job, "verdict", v)
	}
	return v
}

// worse returns what two holders have answered together.
func worse(a, b inquiry.Holding) inquiry.Holding {
	switch {
	case a == inquiry.Held || b == inquiry.Held:
		return inquiry.Held
	case a == inquiry.Unknown || b == inquiry.Unknown:
		return inquiry.Unknown
	default:
		return inquiry.NotHeld
	}
}

// joins counts a request for a job that this dispatcher has.
func (h *holders) joins(job string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, taken := h.taken[job]
	if taken {
		t.requests++
	}
	return taken
}

// run looks for dispatchers that have become known, and asks for their zones, until the context ends.
func (h *holders) run(ctx context.Context) {
	for pause.For(ctx, h.dispatcher.deps.Clock, lookInterval) {
		for _, a := range h.directory.Unknown(h.dispatcher.peers.addresses(), h.dispatcher.deps.Clock.Now()) {
			h.link(a)
		}
	}
}

// keep notes a granted job, and tells the registrars that have not been asked. All are told of a
// job that others have had.
func (h *holders) keep(job string, t *takenJob, takenOver bool) {
	h.mu.Lock()
	if known, taken := h.taken[job]; taken {
		known.requests++
		h.mu.Unlock()
		return
	}
	t.requests = 1
	h.taken[job] = t
	h.mu.Unlock()
	h.announce(job, t, t.choice.Registrars, takenOver)
}

// announce tells registrars that this dispatcher has a job, some of them by way of another one.
func (h *holders) announce(job string, t *takenJob, registrars []string, again bool) {
	hold := milliseconds(t.until.Sub(h.dispatcher.deps.Clock.Now()))
	for _, r := range registrars {
		if again || !slices.Contains(t.claimed, r) {
			h.tell([]string{r}, &wire.HolderNote{Job: job, State: register.Held.Wire(), HoldMs: hold})
		}
	}
	h.relay(t.choice, &wire.HolderNote{Job: job, State: register.Held.Wire(), HoldMs: hold})
}

// relay has a note passed on to the registrars that do not answer this dispatcher.
func (h *holders) relay(c directory.Choice, n *wire.HolderNote) {
	for _, missed := range c.Missed {
		others := slices.DeleteFunc(slices.Clone(c.Registrars), func(a string) bool { return a == h.dispatcher.deps.Address })
		h.tell(others[:min(maxRelays, len(others))], &wire.HolderNote{Job: n.GetJob(), State: n.GetState(), HoldMs: n.GetHoldMs(), RelayTo: missed})
	}
}

// leave notes that a request for a granted job has been answered, or that its caller has left.
func (h *holders) leave(job string, o outcome.Outcome) {
	h.mu.Lock()
	t, taken := h.taken[job]
	if !taken {
		h.mu.Unlock()
		return
	}
	if t.requests--; t.requests > 0 {
		h.mu.Unlock()
		return
	}
	delete(h.taken, job)
	h.mu.Unlock()
	end := register.Free
	switch o {
	case outcome.NotRun:
		if h.mayRun(job) {
			return
		}
	case outcome.Complete:
		end = register.Completed
		// Others may ask this dispatcher before the registrars have heard of it.
		h.register.End(job, end, h.dispatcher.deps.Clock.Now())
	default:
		// The runs may take some time to end, and this dispatcher knows.
		return
	}
	n := &wire.HolderNote{Job: job, State: end.Wire()}
	h.tell(t.choice.Registrars, n)
	h.relay(t.choice, n)
}

// release withdraws a claim that was not granted, unless another request of the job has been. A
// registrar whose answer is missing may have noted the claim.
func (h *holders) release(job string, registrars []string) {
	h.mu.Lock()
	_, taken := h.taken[job]
	h.mu.Unlock()
	if !taken && !h.mayRun(job) {
		h.tell(registrars, &wire.HolderNote{Job: job, State: register.Free.Wire()})
	}
}

// mayRun reports whether runs of an earlier request of a job here may not have ended yet: its
// registrars have to know of them still.
func (h *holders) mayRun(job string) bool {
	return h.dispatcher.inquiries.MayRun(job, h.dispatcher.deps.Clock.Now())
}

// cancel remembers that a job of this dispatcher has been canceled.
func (h *holders) cancel(job string) {
	now := h.dispatcher.deps.Clock.Now()
	h.mu.Lock()
	h.canceled = slices.DeleteFunc(h.canceled, func(c endedJob) bool { return c.job == job || now.Sub(c.at) > register.CanceledTTL })
	h.canceled = append(h.canceled[max(0, len(h.canceled)-maxQueuedNotes+1):], endedJob{job: job, at: now})
	h.mu.Unlock()
	choice := h.directory.Choose(job, now)
	n := &wire.HolderNote{Job: job, State: register.Canceled.Wire()}
	h.tell(choice.Registrars, n)
	h.relay(choice, n)
}

// knowsEnd reports whether a job is not to be run again. Its registrars may not have heard of it yet.
func (h *holders) knowsEnd(job string, now time.Time) bool {
	return h.register.EndOf(job, now) != register.Free || h.dispatcher.cancellations.Find(job, now) != nil
}

// tell sends a note to registrars. It does not wait for them.
func (h *holders) tell(registrars []string, n *wire.HolderNote) {
	for _, r := range registrars {
		if r == h.dispatcher.deps.Address {
			h.learn(r, n)
			continue
		}
		h.link(r).note(n)
	}
}

// learn applies a note of a dispatcher.
func (h *holders) learn(from string, n *wire.HolderNote) {
	now := h.dispatcher.deps.Clock.Now()
	if to := n.GetRelayTo(); to != "" && to != h.dispatcher.deps.Address {
		if slices.Contains(h.dispatcher.peers.addresses(), to) {
			h.link(to).note(&wire.HolderNote{Job: n.GetJob(), State: n.GetState(), HoldMs: n.GetHoldMs(), Holder: from})
		}
		return
	}
	if n.GetHolder() != "" {
		from = n.GetHolder()
	}
	s, known := register.FromWire(n.GetState())
	switch {
	case !known:
	case s == register.Held:
		h.register.Hold(n.GetJob(), from, time.Duration(n.GetHoldMs())*time.Millisecond, now)
	case s == register.Free:
		h.register.Release(n.GetJob(), from)
	default:
		h.register.End(n.GetJob(), s, now)
	}
}

// renew tells a registrar that could not be reached of the jobs of this dispatcher: it may have
// restarted.
func (h *holders) renew(address string) {
	now := h.dispatcher.deps.Clock.Now()
	h.mu.Lock()
	jobs := map[string]*takenJob{}
	for job, t := range h.taken {
		jobs[job] = t
	}
	canceled := slices.Clone(h.canceled)
	h.mu.Unlock()
	renewed := 0
	for _, j := range canceled {
		if now.Sub(j.at) <= register.CanceledTTL && h.directory.IsRegistrar(j.job, address, now) {
			h.tell([]string{address}, &wire.HolderNote{Job: j.job, State: register.Canceled.Wire()})
			renewed++
		}
	}
	for job, t := range jobs {
		if h.directory.IsRegistrar(job, address, now) {
			h.tell([]string{address}, &wire.HolderNote{Job: job, State: register.Held.Wire(), HoldMs: milliseconds(t.until.Sub(now))})
			renewed++
		}
	}
	if renewed > 0 {
		klog.InfoS("CH1064 registrar told again of jobs", "entry", h.dispatcher.deps.Name, "address", address, "jobs", renewed)
	}
}

// link returns the link to an address, which is opened if there is none.
func (h *holders) link(address string) *holderLink {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, open := h.links[address]
	if !open {
		l = newHolderLink(h.dispatcher, address)
		h.links[address] = l
		go h.serve(l)
	}
	return l
}

// serve runs a link until it fails.
func (h *holders) serve(l *holderLink) {
	d := h.dispatcher
	lacking, err := l.run(d.inquirer.ctx)
	// Connections to a silent registrar are closed here as well, which proves nothing.
	gone := lacking || refusesConnections(d.inquirer.ctx, l.address)
	h.mu.Lock()
	delete(h.links, l.address)
	h.mu.Unlock()
	if d.inquirer.ctx.Err() != nil {
		return
	}
	now := d.deps.Clock.Now()
	lost, excess := l.close(now, gone)
	var level klog.Level
	if !h.isReported(l.address, now) {
		level = 1
	}
	klog.V(level).InfoS("CH1065 link to a registrar ended", "entry", d.deps.Name, "address", l.address, "lacking", lacking, "gone", gone, "excess", excess, "error", err)
	if lacking {
		h.directory.Lacking(l.address, now)
		return
	}
	h.directory.Silent(l.address, now)
	d.deps.Clock.AfterFunc(retryTime, func() {
		for _, n := range lost {
			h.link(l.address).queue(n)
		}
		h.renew(l.address)
	})
}

// isReported reports whether the end of a link is to be logged: one to a registrar that is dead ends
// with each retry.
func (h *holders) isReported(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.reported[address]) < reportInterval {
		return false
	}
	maps.DeleteFunc(h.reported, func(_ string, at time.Time) bool { return now.Sub(at) >= reportInterval })
	h.reported[address] = now
	return true
}

// milliseconds returns a time for a message, rounded up.
func milliseconds(t time.Duration) uint32 {
	return uint32(max(0, (t + time.Millisecond - 1).Milliseconds()))
}
