package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corianderhook/corianderhook/lab/program"
	"github.com/corianderhook/corianderhook/lab/proxy"
	"github.com/corianderhook/corianderhook/platform/standin/caller"
)

const (
	// minBudget and maxBatchBudget limit the budgets of callers whose submissions are disrupted.
	minBudget      = 300 * time.Millisecond
	maxBatchBudget = 2500 * time.Millisecond
	// maxOverrun is how much longer a disruption lasts at most than until the jobs are sent again.
	maxOverrun = 300 * time.Millisecond
	// minShortDisruption and maxShortDisruption limit the disruptions that end earlier.
	minShortDisruption = 300 * time.Millisecond
	maxShortDisruption = 1200 * time.Millisecond
	// sendSpread is the period in which jobs are sent. The disruption begins sendLead after its
	// start.
	sendSpread = 100 * time.Millisecond
	sendLead   = 20 * time.Millisecond
	minBatch   = 24
	maxBatch   = 72
	// connectTimeout limits the time to open the connections.
	connectTimeout = 200 * time.Millisecond
)

// batch is a number of jobs that are sent to one dispatcher when a disruption begins. Each has
// a client of its own, whose first connection goes to address.
type batch struct {
	cluster *cluster
	address string
	budget  time.Duration
	jobs    []caller.Job
	// sendAt holds when each job is sent, from sendLead before the disruption begins.
	sendAt []time.Duration
	// connected means that the connections are opened before the disruption, and are then
	// idle for idleTime.
	connected bool
	idleTime  time.Duration
}

func (c *cluster) newBatch(r *rand.Rand, address string, budget time.Duration) *batch {
	b := &batch{cluster: c, address: address, budget: budget}
	for range minBatch + r.IntN(maxBatch-minBatch+1) {
		b.jobs = append(b.jobs, caller.Job{
			ID: fmt.Sprintf("%016x", r.Uint64()), Tasks: 1 + r.IntN(3), CPU: 500, Budget: budget,
			RunTime: randomDuration(r, budget*5/10, budget*8/10),
		})
		b.sendAt = append(b.sendAt, randomDuration(r, 0, sendSpread))
	}
	return b
}

// send starts to send the jobs and returns when the disruption has to begin.
func (b *batch) send() {
	c, ctx := b.cluster, context.Background()
	var senders []*caller.Caller
	for range b.jobs {
		senders = append(senders, caller.New(b.address, c.clock, caller.WithRoute(func(previous caller.Attempt) string {
			if previous.SentAt.IsZero() {
				return b.address
			}
			return c.route(previous)
		})))
	}
	if b.connected {
		var opened sync.WaitGroup
		for _, sender := range senders {
			opened.Go(func() { sender.QueueStatus(ctx, queueName(1), connectTimeout) })
		}
		opened.Wait()
		c.pause(ctx, b.idleTime)
	}
	for n, j := range b.jobs {
		c.submit(senders[n], j, b.sendAt[n])
	}
	c.pause(ctx, sendLead)
}

// disruptSubmissions disturbs a dispatcher, some sidecars or the connections of callers while
// jobs are sent. Most of these disruptions end just after the callers have given up and have
// sent the jobs again elsewhere, the others while the callers still wait.
func (c *cluster) disruptSubmissions(r *rand.Rand) disruption {
	b, d := c.drawSubmissions(r)
	begin := d.begin
	d.begin = func() {
		b.send()
		begin()
	}
	return d
}

// drawSubmissions draws a batch and the disruption that begins when it is sent.
func (c *cluster) drawSubmissions(r *rand.Rand) (*batch, disruption) {
	target := c.dispatchers[r.IntN(len(c.dispatchers))]
	budget := randomDuration(r, minBudget, minQuietBudget)
	if r.IntN(2) == 0 {
		budget = randomDuration(r, minQuietBudget, maxBatchBudget)
	}
	duration := budget + caller.ResubmitDelay + randomDuration(r, 0, maxOverrun)
	if r.IntN(4) == 0 {
		duration = randomDuration(r, minShortDisruption, maxShortDisruption)
	}
	b := c.newBatch(r, target.callerAddress, budget)
	b.connected, b.idleTime = r.IntN(2) == 0, randomDuration(r, 1100*time.Millisecond, 1600*time.Millisecond)
	var d disruption
	switch r.IntN(4) {
	case 0:
		d = c.freezeDisruption(c.randomSidecars(r), duration)
	case 1:
		b.address = target.callerProxy.Address()
		if !b.connected {
			// A connection that is opened during a partition carries nothing.
			b.connected, b.idleTime = true, 0
		}
		d = c.cutCallers(r, target, duration)
	default:
		list := []*program.Program{target.program}
		if r.IntN(3) == 0 {
			list = append(list, c.randomSidecars(r)...)
		}
		d = c.freezeDisruption(list, duration)
	}
	connections := "new connections"
	if b.connected {
		connections = fmt.Sprintf("connections idle for %s", b.idleTime.Truncate(time.Millisecond))
	}
	d.description += fmt.Sprintf(", while %d jobs of budget %s go to %s on %s", len(b.jobs), budget.Truncate(time.Millisecond), target.program.Name(), connections)
	return b, d
}

// randomPrograms draws between one and a third, rounded up, of the dispatchers or of all
// programs.
func (c *cluster) randomPrograms(r *rand.Rand) []*program.Program {
	all := c.programs()
	if r.IntN(2) == 0 {
		all = all[:len(c.dispatchers)]
	}
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+r.IntN((len(all)+2)/3)]
}

// randomSidecars draws between one and a half, rounded up, of the sidecars.
func (c *cluster) randomSidecars(r *rand.Rand) []*program.Program {
	list := c.programs()[len(c.dispatchers):]
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:1+r.IntN((len(list)+1)/2)]
}

// cutCallers cuts the connections of callers to a dispatcher. In half of the cases the end of a
// connection arrives later than the request before it when the cut is over.
func (c *cluster) cutCallers(r *rand.Rand, target *dispatcher, duration time.Duration) disruption {
	fault, description := proxy.Fault{}, "cut callers from "+target.program.Name()
	if r.IntN(2) == 0 {
		fault.Delay = randomDuration(r, 30*time.Millisecond, 300*time.Millisecond)
		description += ", then a delay of " + fault.Delay.Truncate(time.Millisecond).String()
	}
	return disruption{
		description: description, duration: duration,
		begin: func() {
			c.markDisturbed(target.program.Name(), duration)
			target.callerProxy.SetFault(proxy.Fault{HoldUpstream: true, HoldDownstream: true})
		},
		end: func() {
			target.callerProxy.SetFault(fault)
			c.pause(c.ctx, 2*fault.Delay)
			target.callerProxy.SetFault(proxy.Fault{})
			c.markDisturbed(target.program.Name(), 0)
		},
	}
}
