package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/address"
	"github.com/corianderhook/corianderhook/common/pause"
	"github.com/corianderhook/corianderhook/process/inquiry"
	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// inquiryTimeout limits the wait for the answer of another dispatcher to an inquiry.
	inquiryTimeout = 150 * time.Millisecond
	// minInquiryWindow is the time in which inquiries are gathered, to share one message for each
	// dispatcher: a process that was paused reads many requests at once. It grows by
	// inquiryWindowStep for each other dispatcher, so that the messages per second stay bounded.
	minInquiryWindow  = 3 * time.Millisecond
	inquiryWindowStep = 750 * time.Microsecond
	// callsTime is how long a dispatcher without streams of inquiries is asked by calls, until a
	// stream is tried again.
	callsTime = 30 * time.Second
)

// inquiryWindow returns how long inquiries to a number of dispatchers are gathered.
func inquiryWindow(dispatchers int) time.Duration {
	return minInquiryWindow + time.Duration(dispatchers)*inquiryWindowStep
}

// NoteArrival notes that a request of a job has been read, before it is decided whether the request
// may be old. Done has to be called once it has been answered.
func (d *Dispatcher) NoteArrival(job string) (done func()) {
	d.inquiries.Arrive(job)
	return func() { d.inquiries.Leave(job) }
}

// WasAskedFor reports whether another dispatcher was recently let go ahead with a job, so that a
// request of it may be submitted only if HeldByAskers or HeldElsewhere allows it.
func (d *Dispatcher) WasAskedFor(job string) bool {
	return len(d.inquiries.Askers(job, d.deps.Clock.Now())) > 0
}

// OtherDispatchers returns the number of dispatchers that HeldElsewhere asks.
func (d *Dispatcher) OtherDispatchers() int { return len(d.peers.others()) }

// AsksRegistrars reports whether Submit asks the registrars of each job, which know of the jobs of
// all known dispatchers. Builds and settings without the part tell them nothing.
func (d *Dispatcher) AsksRegistrars() bool {
	return d.holders != nil && d.holders.directory.IsComplete(d.peers.addresses())
}

// HeldElsewhere asks all other dispatchers whether a job, whose request may be old, is held there.
// The request reached this machine at arrivedAt, as far as that is known. The arrival has to be
// noted, and the job is to be submitted at once if it is not held.
func (d *Dispatcher) HeldElsewhere(ctx context.Context, job string, arrivedAt time.Time) inquiry.Holding {
	return d.inquire(ctx, &question{job: job, arrivedAt: arrivedAt}, d.allOthers(job))
}

// ObjectedElsewhere does the same for a request that is hardly suspicious: it waits until the
// context ends for another dispatcher that holds the job, and does not need the others' answers.
func (d *Dispatcher) ObjectedElsewhere(ctx context.Context, job string, arrivedAt time.Time) inquiry.Holding {
	return d.inquire(ctx, &question{job: job, arrivedAt: arrivedAt, quiet: true}, d.allOthers(job))
}

// HeldByAskers does the same for a request that is not old itself: it asks only the dispatchers
// that were let go ahead with the job.
func (d *Dispatcher) HeldByAskers(ctx context.Context, job string, arrivedAt time.Time) inquiry.Holding {
	return d.inquire(ctx, &question{job: job, arrivedAt: arrivedAt}, d.inquiries.Askers(job, d.deps.Clock.Now()))
}

// allOthers returns the addresses of the known dispatchers, and of those that were let go ahead
// with the job.
func (d *Dispatcher) allOthers(job string) []string {
	addresses := append(d.peers.others(), d.inquiries.Askers(job, d.deps.Clock.Now())...)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (d *Dispatcher) inquire(ctx context.Context, q *question, addresses []string) inquiry.Holding {
	askedAt := d.deps.Clock.Now()
	decide := d.inquiries.Ask(q.job, q.arrivedAt, askedAt)
	answered := d.inquirer.ask(ctx, q, addresses)
	if ctx.Err() != nil && answered != inquiry.Held {
		answered = inquiry.Unknown
	}
	now := d.deps.Clock.Now()
	decided := decide(answered, now)
	d.metrics.CountInquiry(decided.String())
	var level klog.Level
	if decided == inquiry.NotHeld || q.quiet && decided == inquiry.Unknown {
		level = 1
	}
	klog.V(level).InfoS("CH1017 job of an old request looked for", "job", q.job, "age", askedAt.Sub(q.arrivedAt), "asked", len(addresses), "quiet", q.quiet, "answered", answered, "decided", decided, "took", now.Sub(askedAt))
	return decided
}

// question is an inquiry about one job.
type question struct {
	job       string
	arrivedAt time.Time
	addresses []string
	// quiet means that only a dispatcher that holds the job answers.
	quiet bool
	// deadline is when an answer is of no use any more.
	deadline time.Time
	// answers has room for the answers of all addresses.
	answers chan dispatcherAnswer
}

// dispatcherAnswer is the answer of the dispatcher with an address.
type dispatcherAnswer struct {
	address string
	holding inquiry.Holding
}

func (q *question) answer(address string, h inquiry.Holding) {
	q.answers <- dispatcherAnswer{address: address, holding: h}
}

func answerAll(questions []*question, address string, h inquiry.Holding) {
	for _, q := range questions {
		q.answer(address, h)
	}
}

// holdsRequest returns the questions as they are sent now.
func (d *Dispatcher) holdsRequest(questions []*question) *wire.HoldsRequest {
	now := d.deps.Clock.Now()
	r := &wire.HoldsRequest{Address: d.deps.Address, Incarnation: d.incarnation}
	for _, q := range questions {
		r.Jobs = append(r.Jobs, &wire.InquiredJob{Job: q.job, AgeMs: uint32(max(0, now.Sub(q.arrivedAt).Milliseconds())), Quiet: q.quiet})
	}
	return r
}

// inquirer asks other dispatchers about jobs.
type inquirer struct {
	dispatcher *Dispatcher
	// ctx ends with the dispatcher.
	ctx   context.Context
	close context.CancelFunc
	mu    sync.Mutex
	// pending holds the questions that have not been sent.
	pending []*question
	// links holds the streams by address, calls until when an address is asked by calls.
	links map[string]*inquiryLink
	calls map[string]time.Time
}

func newInquirer(d *Dispatcher) *inquirer {
	ctx, cancel := context.WithCancel(context.Background())
	return &inquirer{dispatcher: d, ctx: ctx, close: cancel, links: map[string]*inquiryLink{}, calls: map[string]time.Time{}}
}

// ask returns Held if one of the dispatchers answers so, NotHeld if all answer that, else Unknown. A
// dispatcher that is gone fails at once, and must not hide the answers of the others.
func (i *inquirer) ask(ctx context.Context, q *question, addresses []string) inquiry.Holding {
	if len(addresses) == 0 {
		return inquiry.NotHeld
	}
	q.addresses = addresses
	q.answers = make(chan dispatcherAnswer, len(addresses))
	window := inquiryWindow(len(addresses))
	q.deadline = i.dispatcher.deps.Clock.Now().Add(window + inquiryTimeout)
	i.mu.Lock()
	i.pending = append(i.pending, q)
	if len(i.pending) == 1 {
		go i.sendPending(window)
	}
	i.mu.Unlock()
	if !q.quiet {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, window+inquiryTimeout)
		defer cancel()
	}
	return q.collect(ctx)
}

// collect waits for the answers until the context ends.
func (q *question) collect(ctx context.Context) inquiry.Holding {
	together := inquiry.NotHeld
	missing := slices.Clone(q.addresses)
	for len(missing) > 0 {
		select {
		case a := <-q.answers:
			missing = slices.DeleteFunc(missing, func(address string) bool { return address == a.address })
			switch a.holding {
			case inquiry.Held:
				return inquiry.Held
			case inquiry.Unknown:
				together = inquiry.Unknown
			case inquiry.NotHeld:
			}
		case <-ctx.Done():
			if !q.quiet {
				klog.InfoS("CH1018 dispatcher does not answer an inquiry", "job", q.job, "addresses", missing)
			}
			return inquiry.Unknown
		}
	}
	return together
}

// sendPending waits for the window, and sends the questions that are pending then.
func (i *inquirer) sendPending(window time.Duration) {
	pause.For(context.Background(), i.dispatcher.deps.Clock, window)
	i.mu.Lock()
	questions := i.pending
	i.pending = nil
	i.mu.Unlock()
	byAddress := map[string][]*question{}
	for _, q := range questions {
		for _, a := range q.addresses {
			byAddress[a] = append(byAddress[a], q)
		}
	}
	for address, asked := range byAddress {
		i.send(address, asked)
	}
}

// send asks one dispatcher, on the stream to it or by a call.
func (i *inquirer) send(address string, questions []*question) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.dispatcher.deps.Clock.Now()
	if until, calls := i.calls[address]; calls && now.Before(until) {
		go i.call(address, questions)
		return
	}
	l, open := i.links[address]
	if !open || !l.ask(questions) {
		l = &inquiryLink{dispatcher: i.dispatcher, address: address, batches: make(chan []*question, maxQueuedBatches)}
		l.ask(questions)
		i.links[address] = l
		go i.serve(l)
	}
}

// serve runs a link. A dispatcher of a build without streams of inquiries is asked by calls.
func (i *inquirer) serve(l *inquiryLink) {
	unsupported := l.run(i.ctx)
	i.mu.Lock()
	if i.links[l.address] == l {
		delete(i.links, l.address)
	}
	if len(unsupported) > 0 {
		i.calls[l.address] = i.dispatcher.deps.Clock.Now().Add(callsTime)
	}
	i.mu.Unlock()
	if len(unsupported) > 0 {
		i.call(l.address, unsupported)
	}
}

// call asks one dispatcher by a call, and passes on its answers.
func (i *inquirer) call(address string, questions []*question) {
	d := i.dispatcher
	ctx, cancel := context.WithTimeout(i.ctx, inquiryTimeout)
	defer cancel()
	reply, err := d.peers.holds(ctx, address, d.holdsRequest(questions))
	switch {
	case status.Code(err) == codes.Unimplemented:
		// A build from before inquiries; an upgrade must not refuse work.
		answerAll(questions, address, inquiry.NotHeld)
	case err != nil:
		klog.InfoS("CH1018 dispatcher does not answer an inquiry", "address", address, "jobs", len(questions), "error", err)
		answerAll(questions, address, inquiry.Unknown)
	default:
		for n, q := range questions {
			q.answer(address, holdingAt(reply, n))
		}
	}
}

func (p *peers) holds(ctx context.Context, address string, r *wire.HoldsRequest) (*wire.HoldsReply, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	p.dispatcher.usage.Add(usage.InquirySent, 1)
	return wire.NewDispatcherClient(conn).Holds(ctx, r)
}

// Holds answers the inquiry of another dispatcher.
func (v *service) Holds(_ context.Context, r *wire.HoldsRequest) (*wire.HoldsReply, error) {
	d := v.dispatcher
	d.usage.Add(usage.InquiryReceived, 1)
	if !address.Valid(r.GetAddress()) {
		return nil, status.Errorf(codes.InvalidArgument, "address %q is not valid", r.GetAddress())
	}
	d.peers.learn([]string{r.GetAddress()})
	now := d.deps.Clock.Now()
	reply := &wire.HoldsReply{Holdings: make([]wire.JobHolding, 0, len(r.GetJobs()))}
	for _, j := range r.GetJobs() {
		h := d.inquiries.Answer(inquiry.Claim{
			Job: j.GetJob(), Address: r.GetAddress(), Incarnation: r.GetIncarnation(),
			Age: time.Duration(j.GetAgeMs()) * time.Millisecond,
		}, now)
		if d.holders != nil && d.holders.knowsEnd(j.GetJob(), now) {
			h = inquiry.Held
		}
		if h != inquiry.NotHeld {
			klog.InfoS("CH1019 another dispatcher has asked for a job", "job", j.GetJob(), "address", r.GetAddress(), "answer", h)
		}
		reply.Holdings = append(reply.Holdings, h.Wire())
	}
	return reply, nil
}
