// Package scheduler decides at a dispatcher what becomes of each job: taken or
// refused, where its tasks run, when a task is moved, and when the job is given
// up. A job lives at the one dispatcher that took it. The package does no I/O.
package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/burden"
	"github.com/corianderhook/corianderhook/process/fleet"
	"github.com/corianderhook/corianderhook/process/forecast"
	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/process/speed"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/progress"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// lateFactor times the objective is the time after which an answer is worth
	// nothing to a caller.
	lateFactor = 3
	// remembered is how long completed jobs are known, for copies of a request that
	// arrive after its answer.
	remembered = 30 * time.Second
	// settleTime is how long after its start a dispatcher may lack sessions.
	settleTime = 1500 * time.Millisecond
	// TickEvery is how often Tick has to be called; a time that is over is seen that late.
	TickInterval = 20 * time.Millisecond
	// mostBounces is how often a task may come back since it could not start at once: a
	// dispatcher whose beliefs are that wrong waits in a queue instead.
	mostBounces = 2
	// returnTime is how long after a dispatcher's start callers come who have knocked
	// before: connections are tried again after 1 and 3 s.
	returnTime = 4 * time.Second
	// wayBack is how long an answer takes to a caller in another region at the most.
	wayBack = 15 * time.Millisecond
	// answerMargin is left of a caller's time for its answer.
	answerMargin = TickInterval + wayBack
	// onTimeMargin is left of a job's objective for messages and for the way back.
	onTimeMargin = 15 * time.Millisecond
	// leastRetry and mostRetry bound Retry-After.
	leastRetry, mostRetry = time.Second, 5 * time.Second
)

// Host carries out what the scheduler decides.
type Host interface {
	// Now returns the steady time.
	Now() time.Time
	// Send queues an offer for an agent and returns the number of its frame; false
	// where there is no session.
	Send(agent string, o *wire.Offer) (number uint64, sent bool)
	// Cancel tells an agent to stop a task.
	Cancel(agent string, ref uint64)
	// Withdraw asks an agent for a task back that has not started.
	Withdraw(agent string, ref uint64)
	// Decided logs a decision on a job under a numbered event.
	LogDecision(event, job string, details ...any)
}

// Request is a job with what its sender and its queue ask for.
type Request struct {
	Work *workload.Workload
	// Queue is as of the configuration in force when the job came.
	Queue catalog.Queue
	// Version is the configuration's.
	ConfigVersion uint64
	// Budget is how long the caller waits.
	Budget time.Duration
	// Reply takes the answer; it is called once.
	Reply func(answer.Answer)
}

type placed struct {
	job     *job
	number  int
	agent   string
	ref     uint64
	sentAt  time.Time
	started time.Time
	// expected is the run time at this endpoint, wait the time to the start.
	expected time.Duration
	wait     time.Duration
	// recalled: the task was asked back and no answer has come.
	recalled bool
	// atOnce: it comes back if it cannot start at once.
	atOnce bool
}

type job struct {
	work      *workload.Workload
	queue     catalog.Queue
	progress  *progress.Progress
	begun     time.Time
	deadline  time.Time
	objective time.Duration
	// patience is how long the caller waits, where that may tell of the job's run time.
	patience time.Duration
	replies  []func(answer.Answer)
	// callers is how many still wait.
	callers int
	placed  map[int]*placed
	// stopped counts how often a task was stopped since it ran for too long.
	stopped map[int]int
	// bounced counts how often a task came back since it could not start at once.
	bounced  map[int]int
	firstRun uint64
	// runs holds the tasks that ended well, by step.
	runs [][]speed.Run
	// more is how much longer than expected the tasks of a step ran, by step.
	more []time.Duration
	// parked: ready tasks fit nowhere at present.
	parked bool
}

type ended struct {
	id string
	at time.Time
}

// Scheduler is the state of one dispatcher. It is not safe for concurrent use.
type Scheduler struct {
	host     Host
	fleet    *fleet.Fleet
	forecast *forecast.Forecast
	burden   *burden.Burden
	jobs     map[string]*job
	refs     map[uint64]*placed
	lastRef  uint64
	// done are jobs that were completed lately, ended in their order.
	done       map[string]bool
	ended      []ended
	candidates []placement.Candidate
	// waiting are placed tasks that may wait where they are, by reference.
	waiting  map[uint64]*placed
	firstRun func() uint64
	began    time.Time
}

// New returns a scheduler without jobs. FirstRun gives the number of the first run
// of a job that comes now: higher than any of the same job's earlier submission.
func New(host Host, f *fleet.Fleet, firstRun func() uint64) *Scheduler {
	return &Scheduler{
		host: host, began: host.Now(), fleet: f, forecast: forecast.New(), burden: burden.New(), firstRun: firstRun,
		waiting: map[uint64]*placed{}, jobs: map[string]*job{}, refs: map[uint64]*placed{}, done: map[string]bool{},
	}
}

// Fleet returns what the scheduler believes of the endpoints.
func (s *Scheduler) Fleet() *fleet.Fleet { return s.fleet }

// Jobs returns how many jobs are under way.
func (s *Scheduler) JobCount() int { return len(s.jobs) }

// Pending returns how many jobs of a queue have not begun to run.
func (s *Scheduler) UnstartedJobs(queue string) int {
	count := 0
	for _, j := range s.jobs {
		if j.queue.Name == queue && !j.progress.Started() {
			count++
		}
	}
	return count
}

// State returns whether a job is under way here, and whether it has begun to run.
func (s *Scheduler) JobState(id string) (known, begun bool) {
	j, known := s.jobs[id]
	return known, known && j.progress.Started()
}

// Completed reports whether a job has lately been completed here.
func (s *Scheduler) RecentlyCompleted(id string) bool { return s.done[id] }

func refusal(reason, detail string, after time.Duration) answer.Answer {
	return answer.New(outcome.NotRun, reason, detail).WithRetryAfter(min(max(after, leastRetry), mostRetry))
}

// Submit takes a job, joins it to the one of its name that is under way, or refuses it.
func (s *Scheduler) Submit(r Request) {
	id := r.Work.ID()
	if s.done[id] {
		s.host.LogDecision("CH1025 job answered again", id)
		r.Reply(answer.New(outcome.Complete, "complete", "the job was completed before"))
		return
	}
	if j, known := s.jobs[id]; known {
		s.host.LogDecision("CH1024 job joined", id)
		j.replies = append(j.replies, r.Reply)
		j.callers++
		return
	}
	j := s.newJob(r)
	p, fits := s.choose(j)
	work := j.work.Work(func(step int) time.Duration { return s.expect(j, step) })
	p.share = s.burden.Share(r.Queue.Name, work)
	s.burden.Observe(r.Queue.Name, work)
	if !fits && s.settling(r.Queue.Service) {
		s.host.LogDecision("CH1023 job parked", id, "queue", r.Queue.Name, "tasks", r.Work.Tasks(), "objective", j.objective, "budget", r.Budget)
		s.jobs[id] = j
		j.parked = true
		return
	}
	if !fits {
		s.refuse(r, "no-endpoint", "no endpoint can take the job", 0)
		return
	}
	if !p.admit(r.Queue.Urgency, j.objective, r.Budget) {
		s.host.LogDecision("CH1022 job refused", id, "reason", "overload", "queue", r.Queue.Name, "backlog", p.backlog,
			"limit", p.limit(r.Queue.Urgency), "share", p.share, "ends", p.ends(), "objective", j.objective, "budget", r.Budget, "endpoints", len(s.candidates), "version", r.ConfigVersion)
		r.Reply(refusal("overload", "the job could not end in time", max(p.backlog, p.ends()-j.objective)))
		return
	}
	s.jobs[id] = j
	s.host.LogDecision("CH1021 job accepted", id, "queue", r.Queue.Name, "tasks", r.Work.Tasks(), "ends", p.ends(),
		"objective", j.objective, "budget", r.Budget, "backlog", p.backlog, "endpoints", len(s.candidates), "version", r.ConfigVersion)
	s.send(j, p.choices)
}

// settling reports whether endpoints are missing that should be there in a moment:
// this dispatcher has just started, or its sessions have broken. A job waits for them
// as long as it can still be on time.
func (s *Scheduler) settling(service string) bool {
	now := s.host.Now()
	return len(s.candidates) == 0 && (now.Sub(s.began) < settleTime || s.fleet.Lately(service, now))
}

func (s *Scheduler) refuse(r Request, reason, detail string, after time.Duration) {
	s.host.LogDecision("CH1022 job refused", r.Work.ID(), "reason", reason, "queue", r.Queue.Name, "endpoints", len(s.candidates), "version", r.ConfigVersion)
	r.Reply(refusal(reason, detail, after))
}

func (s *Scheduler) newJob(r Request) *job {
	now := s.host.Now()
	j := &job{
		work: r.Work, queue: r.Queue, progress: progress.New(r.Work, r.Queue.Attempts),
		begun: now, deadline: now.Add(r.Budget - answerMargin),
		replies: []func(answer.Answer){r.Reply}, callers: 1, placed: map[int]*placed{}, bounced: map[int]int{}, stopped: map[int]int{}, firstRun: s.firstRun(), runs: make([][]speed.Run, len(r.Work.Steps())),
		more: make([]time.Duration, len(r.Work.Steps())),
	}
	if len(r.Work.Steps()) == 1 {
		j.patience = r.Budget
	}
	chain := r.Work.Chain(func(step int) time.Duration { return s.expect(j, step) })
	j.objective = time.Duration(r.Queue.Stretch*float64(chain)) + r.Queue.Latency
	return j
}

func (s *Scheduler) expect(j *job, step int) time.Duration {
	return s.forecast.Expect(j.queue.Name, j.work.Steps()[step].Estimate, j.patience)
}

// useful is the time until which an answer is of use to the caller.
func (s *Scheduler) useful(j *job) time.Time {
	late := j.begun.Add(lateFactor * j.objective)
	if late.Before(j.deadline) {
		return late
	}
	return j.deadline
}

// takeBack makes a placed task ready again.
func (s *Scheduler) takeBack(p *placed) {
	s.forget(p)
	p.job.progress.Return(p.number)
}

// forget drops a placed task.
func (s *Scheduler) forget(p *placed) {
	delete(s.refs, p.ref)
	delete(s.waiting, p.ref)
	delete(p.job.placed, p.number)
}

// Leave notes that a caller waits no more; a job that nobody waits for ends.
func (s *Scheduler) CallerLeft(id string) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	j.callers--
	if j.callers <= 0 {
		s.giveUp(j, "canceled", "the caller has left")
	}
}

// Cancel ends a job that its caller has canceled; it reports whether it was here.
func (s *Scheduler) Cancel(id, reason string) bool {
	j, known := s.jobs[id]
	if known {
		s.giveUp(j, "canceled", reason)
	}
	return known
}

// giveUp ends a job without success: as not run where no start order can have gone
// out, else as unknown.
func (s *Scheduler) giveUp(j *job, reason, detail string) {
	if j.progress.Started() || j.progress.Placed() > 0 {
		s.finish(j, answer.New(outcome.Unknown, reason, detail))
		return
	}
	s.finish(j, refusal(reason, detail, 0))
}

// finish cancels what is left of a job and answers.
func (s *Scheduler) finish(j *job, a answer.Answer) {
	now, left := s.host.Now(), len(j.placed)
	for _, number := range slices.Sorted(maps.Keys(j.placed)) {
		p := j.placed[number]
		s.host.Cancel(p.agent, p.ref)
		s.forget(p)
	}
	delete(s.jobs, j.work.ID())
	if a.Outcome() == outcome.Complete {
		s.learn(j)
		s.done[j.work.ID()] = true
		s.ended = append(s.ended, ended{id: j.work.ID(), at: now})
	}
	s.host.LogDecision("CH1026 job ended", j.work.ID(), "queue", j.queue.Name, "outcome", a.Outcome(), "reason", a.Reason(), "detail", a.Detail(),
		"took", now.Sub(j.begun), "objective", j.objective, "undone", j.progress.Undone(), "placed", left)
	for _, reply := range j.replies {
		reply(a)
	}
}
