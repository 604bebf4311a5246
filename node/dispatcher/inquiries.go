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
	// inquiryWindow is the time in which inquiries are gathered, to share one message for each
	// dispatcher: a process that was paused reads many requests at once.
	inquiryWindow = 3 * time.Millisecond
)

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

// HeldElsewhere asks all other dispatchers whether a job, whose request may be old, is held there.
// The request reached this machine at arrivedAt, as far as that is known. The arrival has to be
// noted, and the job is to be submitted at once if it is not held.
func (d *Dispatcher) HeldElsewhere(ctx context.Context, job string, arrivedAt time.Time) inquiry.Holding {
	return d.inquire(ctx, job, arrivedAt, append(d.peers.others(), d.inquiries.Askers(job, d.deps.Clock.Now())...))
}

// HeldByAskers does the same for a request that is not old itself: it asks only the dispatchers
// that were let go ahead with the job.
func (d *Dispatcher) HeldByAskers(ctx context.Context, job string, arrivedAt time.Time) inquiry.Holding {
	return d.inquire(ctx, job, arrivedAt, d.inquiries.Askers(job, d.deps.Clock.Now()))
}

func (d *Dispatcher) inquire(ctx context.Context, job string, arrivedAt time.Time, addresses []string) inquiry.Holding {
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	askedAt := d.deps.Clock.Now()
	decide := d.inquiries.Ask(job, arrivedAt, askedAt)
	answered := d.inquirer.ask(ctx, job, arrivedAt, addresses)
	if ctx.Err() != nil {
		answered = inquiry.Unknown
	}
	now := d.deps.Clock.Now()
	decided := decide(answered, now)
	d.metrics.CountInquiry(decided.String())
	var level klog.Level
	if decided == inquiry.NotHeld {
		level = 1
	}
	klog.V(level).InfoS("CH1017 job of an old request looked for", "job", job, "age", askedAt.Sub(arrivedAt), "asked", len(addresses), "answered", answered, "decided", decided, "took", now.Sub(askedAt))
	return decided
}

// inquirer asks other dispatchers about jobs.
type inquirer struct {
	dispatcher *Dispatcher
	mu         sync.Mutex
	// pending holds the questions that have not been sent.
	pending []*question
}

// question is an inquiry about one job.
type question struct {
	job       string
	arrivedAt time.Time
	addresses []string
	// answers has room for the answers of all addresses.
	answers chan inquiry.Holding
}

// ask returns Held if one of the dispatchers answers so, NotHeld if all answer that, else Unknown. A
// dispatcher that is gone fails at once, and must not hide the answers of the others.
func (q *inquirer) ask(ctx context.Context, job string, arrivedAt time.Time, addresses []string) inquiry.Holding {
	if len(addresses) == 0 {
		return inquiry.NotHeld
	}
	asked := &question{job: job, arrivedAt: arrivedAt, addresses: addresses, answers: make(chan inquiry.Holding, len(addresses))}
	q.mu.Lock()
	q.pending = append(q.pending, asked)
	if len(q.pending) == 1 {
		go q.sendPending()
	}
	q.mu.Unlock()
	together := inquiry.NotHeld
	for range addresses {
		select {
		case h := <-asked.answers:
			switch h {
			case inquiry.Held:
				return inquiry.Held
			case inquiry.Unknown:
				together = inquiry.Unknown
			case inquiry.NotHeld:
			}
		case <-ctx.Done():
			return inquiry.Unknown
		}
	}
	return together
}

// sendPending waits for inquiryWindow, and sends the questions that are pending then.
func (q *inquirer) sendPending() {
	pause.For(context.Background(), q.dispatcher.deps.Clock, inquiryWindow)
	q.mu.Lock()
	questions := q.pending
	q.pending = nil
	q.mu.Unlock()
	byAddress := map[string][]*question{}
	for _, asked := range questions {
		for _, a := range asked.addresses {
			byAddress[a] = append(byAddress[a], asked)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), inquiryTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for a, asked := range byAddress {
		sent.Go(func() { q.send(ctx, a, asked) })
	}
	sent.Wait()
}

// send asks one dispatcher, and passes on its answers.
func (q *inquirer) send(ctx context.Context, address string, questions []*question) {
	d := q.dispatcher
	now := d.deps.Clock.Now()
	r := &wire.HoldsRequest{Address: d.deps.Address, Incarnation: d.incarnation}
	for _, asked := range questions {
		r.Jobs = append(r.Jobs, &wire.InquiredJob{Job: asked.job, AgeMs: uint32(max(0, now.Sub(asked.arrivedAt).Milliseconds()))})
	}
	reply, err := d.peers.holds(ctx, address, r)
	for n, asked := range questions {
		switch {
		case status.Code(err) == codes.Unimplemented:
			// A build from before inquiries; an upgrade must not refuse work.
			asked.answers <- inquiry.NotHeld
		case err != nil || n >= len(reply.GetHoldings()):
			asked.answers <- inquiry.Unknown
		default:
			asked.answers <- inquiry.FromWire(reply.GetHoldings()[n])
		}
	}
	if err != nil {
		klog.InfoS("CH1018 dispatcher does not answer an inquiry", "address", address, "jobs", len(questions), "error", err)
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
		if h != inquiry.NotHeld {
			klog.InfoS("CH1019 another dispatcher has asked for a job", "job", j.GetJob(), "address", r.GetAddress(), "answer", h)
		}
		reply.Holdings = append(reply.Holdings, h.Wire())
	}
	return reply, nil
}
