// Package scheduler makes a dispatcher's decisions on jobs: whether a job is accepted or
// refused, where its tasks run, when a task is moved, and when the job is aborted. A job
// belongs to the one dispatcher that accepted it. The package does no I/O.
package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/process/crash"
	"github.com/corianderhook/corianderhook/process/fleet"
	"github.com/corianderhook/corianderhook/process/forecast"
	"github.com/corianderhook/corianderhook/process/jobsize"
	"github.com/corianderhook/corianderhook/process/placement"
	"github.com/corianderhook/corianderhook/process/quarantine"
	"github.com/corianderhook/corianderhook/process/speed"
	"github.com/corianderhook/corianderhook/request/answer"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/request/progress"
	"github.com/corianderhook/corianderhook/request/workload"
	"github.com/corianderhook/corianderhook/sharing/separation"
	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// usefulFactor times the objective is the time after which an answer is of no use to
	// a caller.
	usefulFactor = 3
	// completedTTL is how long completed jobs are remembered, for duplicates of a request
	// that arrive after its answer.
	completedTTL = 30 * time.Second
	// startupGrace is how long after its start a dispatcher may still lack sessions, so that
	// jobs are parked instead of refused.
	startupGrace = 1500 * time.Millisecond
	// TickInterval is how often Tick has to be called. A passed deadline is noticed up to
	// this much later.
	TickInterval = 20 * time.Millisecond
	// maxAtOnceReturns is how often a task may be returned because it could not start at
	// once. After that, this dispatcher's view of the endpoints is evidently out of date, and
	// the task may wait in an agent's queue.
	maxAtOnceReturns = 2
	// reconnectWindow is the time after a dispatcher's start in which a caller may have tried
	// to connect before the start: connection attempts are repeated after 1 and 3 s.
	reconnectWindow = 4 * time.Second
	// maxAnswerLatency is the longest time that an answer takes to reach a caller in another
	// region.
	maxAnswerLatency = 15 * time.Millisecond
	// answerMargin is kept free of a caller's budget so that the answer arrives in time.
	answerMargin = TickInterval + maxAnswerLatency
	// onTimeMargin is kept free of a job's objective for messages between the processes and
	// for the answer.
	onTimeMargin = 15 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound Retry-After.
	minRetryAfter, maxRetryAfter = time.Second, 5 * time.Second
)

// Host carries out the scheduler's decisions.
type Host interface {
	// Now returns the time of a monotonic clock.
	Now() time.Time
	// Send queues an offer for an agent and returns the number of its frame; false if the
	// agent has no session.
	Send(agent string, o *wire.Offer) (number uint64, sent bool)
	// Cancel tells an agent to stop a task.
	Cancel(agent string, ref uint64)
	// Withdraw asks an agent to return a task unless it has started.
	Withdraw(agent string, ref uint64)
	// LogDecision logs a decision on a job under a numbered event.
	LogDecision(event, job string, details ...any)
}

// Request is a submitted job with the caller's budget and the rules of its queue.
type Request struct {
	Work *workload.Workload
	// Queue is from the configuration in force when the job arrived.
	Queue catalog.Queue
	// ConfigVersion is the version of that configuration.
	ConfigVersion uint64
	// Budget is how long the caller waits for the answer, Elapsed how much of that has passed.
	Budget, Elapsed time.Duration
	// Reply delivers the answer; it is called once.
	Reply func(answer.Answer)
	// HasLeft reports whether the caller has left, also if CallerLeft has not been called yet. It
	// is nil if that is not known.
	HasLeft func() bool
}

// placedTask is a task that has been offered to an agent and has not ended.
type placedTask struct {
	job       *job
	number    int
	agent     string
	ref       uint64
	offeredAt time.Time
	startedAt time.Time
	// expectedRun is the expected run time at this endpoint, expectedWait the expected time
	// from offer to start.
	expectedRun  time.Duration
	expectedWait time.Duration
	// revoking is set while a cancel or a withdrawal has not been answered.
	revoking bool
	// atOnce tasks are returned by the agent if they cannot start at once.
	atOnce bool
}

// job is an accepted or parked job and the state of its tasks.
type job struct {
	work        *workload.Workload
	queue       catalog.Queue
	progress    *progress.Progress
	submittedAt time.Time
	deadline    time.Time
	objective   time.Duration
	// predictiveBudget is the caller's budget as a predictor of the run time: callers tend to
	// wait longer for longer jobs. It is 0 for a job of several steps, since the budget covers
	// all of them.
	predictiveBudget time.Duration
	replies          []func(answer.Answer)
	// callersHaveLeft holds the HasLeft functions of the requests.
	callersHaveLeft []func() bool
	// waitingCallers counts the callers that have not left.
	waitingCallers int
	placed         map[int]*placedTask
	// overdueStops counts by task number how often a task was stopped as overdue.
	overdueStops map[int]int
	// atOnceReturns counts by task number how often a task was returned because it could not
	// start at once.
	atOnceReturns map[int]int
	// takenBack is set by task number once a task was taken back from a slow endpoint.
	takenBack map[int]bool
	firstRun  uint64
	// runs holds the successful runs by step.
	runs [][]speed.Run
	// overrun is by step the longest time by which a task ran longer than expected.
	overrun []time.Duration
	// parked is set while ready tasks could not be placed or sent; Tick tries again.
	parked bool
}

type completedJob struct {
	id          string
	completedAt time.Time
}

// Scheduler holds the jobs of one dispatcher. It is not safe for concurrent use.
type Scheduler struct {
	host        Host
	fleet       *fleet.Fleet
	forecast    *forecast.Forecast
	jobSizes    *jobsize.Tracker
	jobs        map[string]*job
	placedByRef map[uint64]*placedTask
	lastRef     uint64
	// completed holds the jobs completed within completedTTL, completedOrder the oldest first.
	completed      map[string]bool
	completedOrder []completedJob
	// candidates are the endpoints considered by the last plan; the slice is reused.
	candidates []placement.Candidate
	// queued holds by reference the placed tasks that may wait in an agent's queue.
	queued    map[uint64]*placedTask
	firstRun  func() uint64
	startedAt time.Time
	// crashes holds the recent crashes of endpoints, quarantines by service what follows from
	// them for its queues, and lostAgents by agent what may turn out to be a crash.
	crashes     *crash.Log
	quarantines map[string]*quarantine.Quarantine
	lostAgents  map[string]lostAgent
	// neighbors tells which queues are kept apart; nil if none ever is.
	neighbors *separation.View
	// takesBack is set if what waits at an endpoint that turns slow is taken back.
	// slownessAtLook holds by agent the slowness at which that was last looked at.
	takesBack      bool
	slownessAtLook map[string]float64
	// sharesRoom is set if admission uses what the agents report of the work of all dispatchers.
	sharesRoom bool
}

// Option changes a scheduler that New returns.
type Option func(s *Scheduler)

// WithCrashLog sets the log that keeps the crashes of endpoints, for use by others too.
func WithCrashLog(l *crash.Log) Option { return func(s *Scheduler) { s.crashes = l } }

// New returns a scheduler without jobs. FirstRun returns the number of the first run of a
// job submitted now, which has to be higher than any of an earlier submission of the job.
func New(host Host, f *fleet.Fleet, firstRun func() uint64, options ...Option) *Scheduler {
	s := &Scheduler{
		host: host, startedAt: host.Now(), fleet: f, forecast: forecast.New(), jobSizes: jobsize.New(), firstRun: firstRun,
		queued: map[uint64]*placedTask{}, jobs: map[string]*job{}, placedByRef: map[uint64]*placedTask{}, completed: map[string]bool{},
		crashes: crash.NewLog(), quarantines: map[string]*quarantine.Quarantine{}, lostAgents: map[string]lostAgent{},
	}
	for _, apply := range options {
		apply(s)
	}
	return s
}

// Fleet returns the scheduler's view of the endpoints.
func (s *Scheduler) Fleet() *fleet.Fleet { return s.fleet }

// JobCount returns the number of running and parked jobs.
func (s *Scheduler) JobCount() int { return len(s.jobs) }

// UnstartedJobs returns the number of a queue's jobs of which no task has started.
func (s *Scheduler) UnstartedJobs(queue string) int {
	count := 0
	for _, j := range s.jobs {
		if j.queue.Name == queue && !j.progress.Started() {
			count++
		}
	}
	return count
}

// JobState returns whether a job is known here, and whether a task of it has started.
func (s *Scheduler) JobState(id string) (known, started bool) {
	j, known := s.jobs[id]
	return known, known && j.progress.Started()
}

// RecentlyCompleted reports whether a job was completed here within completedTTL.
func (s *Scheduler) RecentlyCompleted(id string) bool { return s.completed[id] }

// Submit accepts, parks or refuses a job. A request for a job that is known here shares its
// answer; one for a recently completed job is answered at once.
func (s *Scheduler) Submit(r Request) {
	id := r.Work.ID()
	if s.completed[id] {
		s.host.LogDecision("CH1025 completed job answered again", id)
		r.Reply(answer.New(outcome.Complete, "complete", "the job was completed before"))
		return
	}
	if j, known := s.jobs[id]; known {
		s.host.LogDecision("CH1024 request joined a known job", id)
		j.replies = append(j.replies, r.Reply)
		j.callersHaveLeft = append(j.callersHaveLeft, r.HasLeft)
		j.waitingCallers++
		return
	}
	j := s.newJob(r)
	if j.isAbandoned() {
		s.refuse(r, abandonedReason, abandonedDetail, 0)
		return
	}
	if s.giveUpHarmful(j) {
		return
	}
	p, fits := s.makePlan(j)
	work := j.work.TotalWork(func(step int) time.Duration { return s.forecastRun(j, step) })
	p.backlogShare = s.jobSizes.BacklogFactor(r.Queue.Name, work)
	s.jobSizes.Observe(r.Queue.Name, work)
	s.quarantineOf(r.Queue.Service).ObserveWork(r.Queue.Name, work, s.host.Now())
	if _, confined := s.confinement(j); !fits && confined {
		s.refuse(r, quarantinedReason, quarantinedDetail, endpointRestartTime)
		return
	}
	if !fits && s.awaitsSessions(r.Queue.Service) {
		s.host.LogDecision("CH1023 job parked", id, "queue", r.Queue.Name, "tasks", r.Work.TaskCount(), "objective", j.objective, "budget", r.Budget)
		s.jobs[id] = j
		j.parked = true
		return
	}
	if !fits && s.blockedByEvacuation(j) {
		s.refuse(r, evacuatedReason, evacuatedDetail, maxRetryAfter)
		return
	}
	if !fits {
		s.refuse(r, "no-endpoint", "no endpoint can take the job", 0)
		return
	}
	if s.sharesRoom {
		if v := s.sharedRoomVerdict(r, j, p); !v.Admitted() {
			s.refuseForRoom(r, j, p, v)
			return
		}
	} else if !p.admits(r.Queue.Urgency, j.objective, r.Budget-r.Elapsed) {
		s.host.LogDecision("CH1022 job refused", id, "reason", "overload", "queue", r.Queue.Name, "backlog", p.backlog,
			"limit", p.backlogLimit(r.Queue.Urgency), "share", p.backlogShare, "ends", p.makespan(), "objective", j.objective, "budget", r.Budget, "endpoints", len(s.candidates), "version", r.ConfigVersion)
		r.Reply(refusal("overload", "the job could not end in time", max(p.backlog, p.makespan()-j.objective)))
		return
	}
	s.jobs[id] = j
	s.host.LogDecision("CH1021 job accepted", id, "queue", r.Queue.Name, "tasks", r.Work.TaskCount(), "ends", p.makespan(),
		"objective", j.objective, "budget", r.Budget, "backlog", p.backlog, "endpoints", len(s.candidates), "version", r.ConfigVersion)
	s.sendOffers(j, p.choices)
}

// awaitsSessions reports whether there are no endpoints but some are expected shortly: this
// dispatcher has just started, or its sessions have broken. A job is parked then as long as
// it can still meet its objective.
func (s *Scheduler) awaitsSessions(service string) bool {
	now := s.host.Now()
	return len(s.candidates) == 0 && (now.Sub(s.startedAt) < startupGrace || s.fleet.SeenRecently(service, now))
}

func (s *Scheduler) newJob(r Request) *job {
	now := s.host.Now()
	j := &job{
		work: r.Work, queue: r.Queue, progress: progress.New(r.Work, r.Queue.MaxAttempts),
		submittedAt: now, deadline: now.Add(r.Budget - r.Elapsed - answerMargin),
		replies: []func(answer.Answer){r.Reply}, callersHaveLeft: []func() bool{r.HasLeft}, waitingCallers: 1, placed: map[int]*placedTask{}, atOnceReturns: map[int]int{}, overdueStops: map[int]int{}, firstRun: s.firstRun(), runs: make([][]speed.Run, len(r.Work.Steps())),
		overrun: make([]time.Duration, len(r.Work.Steps())),
	}
	if len(r.Work.Steps()) == 1 {
		j.predictiveBudget = r.Budget
	}
	chain := r.Work.CriticalPath(func(step int) time.Duration { return s.forecastRun(j, step) })
	j.objective = time.Duration(r.Queue.Stretch*float64(chain)) + r.Queue.TargetLatency
	return j
}

// forecastRun returns the expected run time of a task of the step on the median endpoint.
func (s *Scheduler) forecastRun(j *job, step int) time.Duration {
	return s.forecast.Predict(j.queue.Name, j.work.Steps()[step].Estimate, j.predictiveBudget)
}

// usefulUntil returns the time after which an answer is of no use to the caller.
func (s *Scheduler) usefulUntil(j *job) time.Time {
	late := j.submittedAt.Add(usefulFactor * j.objective)
	if late.Before(j.deadline) {
		return late
	}
	return j.deadline
}

// unplace makes a placed task ready again.
func (s *Scheduler) unplace(p *placedTask) {
	s.untrack(p)
	p.job.progress.Return(p.number)
}

// untrack removes a placed task from the indexes.
func (s *Scheduler) untrack(p *placedTask) {
	delete(s.placedByRef, p.ref)
	delete(s.queued, p.ref)
	delete(p.job.placed, p.number)
}

// CallerLeft records that a caller has left; a job without callers is aborted.
func (s *Scheduler) CallerLeft(id string) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	j.waitingCallers--
	if j.waitingCallers <= 0 {
		s.abort(j, "canceled", abandonedDetail)
	}
}

// Cancel aborts a job that its caller has canceled and reports whether it was known here.
func (s *Scheduler) Cancel(id, reason string) bool {
	j, known := s.jobs[id]
	if known {
		s.abort(j, "canceled", reason)
	}
	return known
}

// abort ends a job without success. The outcome is not run if no task can have been started,
// else unknown.
func (s *Scheduler) abort(j *job, reason, detail string) {
	if j.progress.Started() || j.progress.Placed() > 0 {
		s.finish(j, answer.New(outcome.Unknown, reason, detail))
		return
	}
	s.finish(j, refusal(reason, detail, 0))
}

// finish cancels the placed tasks of a job, removes it and answers its callers.
func (s *Scheduler) finish(j *job, a answer.Answer) {
	now, placedCount := s.host.Now(), len(j.placed)
	for _, number := range slices.Sorted(maps.Keys(j.placed)) {
		p := j.placed[number]
		s.host.Cancel(p.agent, p.ref)
		s.untrack(p)
	}
	delete(s.jobs, j.work.ID())
	if a.Outcome() == outcome.Complete {
		s.recordCompletedJob(j)
		if s.quarantineOf(j.queue.Service).ObserveCompletion(j.queue.Name, now) {
			s.logRelease(j.queue.Name)
		}
		s.completed[j.work.ID()] = true
		s.completedOrder = append(s.completedOrder, completedJob{id: j.work.ID(), completedAt: now})
	}
	s.host.LogDecision("CH1026 job ended", j.work.ID(), "queue", j.queue.Name, "outcome", a.Outcome(), "reason", a.Reason(), "detail", a.Detail(),
		"took", now.Sub(j.submittedAt), "objective", j.objective, "undone", j.progress.Remaining(), "placed", placedCount)
	for _, reply := range j.replies {
		reply(a)
	}
}
