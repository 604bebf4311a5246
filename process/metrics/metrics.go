// Package metrics holds the Prometheus metrics of a process.
package metrics

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/corianderhook/corianderhook/process/usage"
)

// Metrics holds the metrics of one process.
type Metrics struct {
	registry         *prometheus.Registry
	jobs             *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	inquiries        *prometheus.CounterVec
	claims           *prometheus.CounterVec
	tasksStarted     *prometheus.CounterVec
	jobSeconds       *prometheus.HistogramVec
	startWait        *prometheus.HistogramVec
	tasksWaiting     *prometheus.GaugeVec
	ownershipSlots   *prometheus.GaugeVec
	wastedMessages   *prometheus.CounterVec
	configVersion    prometheus.Gauge
	taskEvents       *prometheus.CounterVec
	taskWait         prometheus.Histogram
	taskRun          prometheus.Histogram
	calls            *prometheus.CounterVec
	callSeconds      *prometheus.HistogramVec
	leasesLapsed     prometheus.Counter
	endpointCrashes  prometheus.Counter
	stallSeconds     prometheus.Counter
	unexpectedErrors *prometheus.CounterVec
	turnedAway       *prometheus.CounterVec
	mu               sync.Mutex
	wastedTotals     map[string]uint64
}

// latencyBuckets returns histogram buckets from 1 ms to about 33 s, in seconds.
func latencyBuckets() []float64 { return prometheus.ExponentialBuckets(0.001, 2, 16) }

// New returns metrics that are registered in a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_jobs_total", Help: "Final answers by kind and outcome.",
		}, []string{"kind", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_refusals_total", Help: "Refused submissions by kind and reason.",
		}, []string{"kind", "reason"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_claims_total", Help: "Jobs that registrars were asked for before they were submitted, by verdict.",
		}, []string{"verdict"}),
		inquiries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_inquiries_total", Help: "Jobs of old requests that other dispatchers were asked about, by result.",
		}, []string{"result"}),
		tasksStarted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_tasks_started_total", Help: "Tasks handed to agents by kind.",
		}, []string{"kind"}),
		jobSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "corianderhook_job_seconds", Help: "Time from acceptance to the final answer.", Buckets: latencyBuckets(),
		}, []string{"kind"}),
		startWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "corianderhook_start_wait_seconds", Help: "Time from acceptance to the hand-out of tasks.", Buckets: latencyBuckets(),
		}, []string{"kind"}),
		tasksWaiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corianderhook_tasks_waiting", Help: "Tasks that wait at this process by kind.",
		}, []string{"kind"}),
		ownershipSlots: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corianderhook_ownership_slots", Help: "Ownership slots held by phase.",
		}, []string{"phase"}),
		wastedMessages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_wasted_messages_total", Help: "Messages that brought no task, by cause.",
		}, []string{"cause"}),
		unexpectedErrors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_unexpected_errors_total", Help: "Messages whose handling ended with an unexpected error, by place.",
		}, []string{"where"}),
		turnedAway: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_turned_away_total", Help: "Connections and requests ended before a request was received, by listener and reason.",
		}, []string{"listener", "reason"}),
		wastedTotals: map[string]uint64{},
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "corianderhook_config_version", Help: "Configuration version in force.",
		}),
	}
	m.registerTaskMetrics()
	m.registry.MustRegister(m.jobs, m.refusals, m.inquiries, m.claims, m.tasksStarted, m.jobSeconds, m.startWait, m.tasksWaiting, m.ownershipSlots, m.wastedMessages, m.configVersion, m.unexpectedErrors, m.turnedAway)
	return m
}

// CountUnexpectedError counts a message whose handling panicked, by place.
func (m *Metrics) CountUnexpectedError(where string) { m.unexpectedErrors.WithLabelValues(where).Inc() }

// CountTurnedAway counts a connection or request that was ended before a request was received.
func (m *Metrics) CountTurnedAway(listener, reason string) {
	m.turnedAway.WithLabelValues(listener, reason).Inc()
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveJob counts a final answer to a job and records the job's duration.
func (m *Metrics) ObserveJob(kind, outcome string, duration time.Duration) {
	m.jobs.WithLabelValues(kind, outcome).Inc()
	m.jobSeconds.WithLabelValues(kind).Observe(duration.Seconds())
}

// CountRefusal counts a refused submission.
func (m *Metrics) CountRefusal(kind, reason string) { m.refusals.WithLabelValues(kind, reason).Inc() }

// CountInquiry counts a job that other dispatchers were asked about.
func (m *Metrics) CountInquiry(result string) { m.inquiries.WithLabelValues(result).Inc() }

// CountClaim counts a job that registrars were asked for.
func (m *Metrics) CountClaim(verdict string) { m.claims.WithLabelValues(verdict).Inc() }

// ObserveStart counts tasks handed to agents and records their wait.
func (m *Metrics) ObserveStart(kind string, count int, waited time.Duration) {
	m.tasksStarted.WithLabelValues(kind).Add(float64(count))
	m.startWait.WithLabelValues(kind).Observe(waited.Seconds())
}

// SetTasksWaiting sets the number of waiting tasks of a kind.
func (m *Metrics) SetTasksWaiting(kind string, count int) {
	m.tasksWaiting.WithLabelValues(kind).Set(float64(count))
}

// SetOwnershipSlots sets the number of ownership slots in a phase.
func (m *Metrics) SetOwnershipSlots(phase string, count int) {
	m.ownershipSlots.WithLabelValues(phase).Set(float64(count))
}

// SetWastedMessages sets the total number of messages for a cause that led to no task start.
func (m *Metrics) SetWastedMessages(cause string, total uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wastedMessages.WithLabelValues(cause).Add(float64(total - m.wastedTotals[cause]))
	m.wastedTotals[cause] = total
}

// SetConfigVersion sets the configuration version in force.
func (m *Metrics) SetConfigVersion(version uint64) { m.configVersion.Set(float64(version)) }

// WastedMessages returns the totals set by SetWastedMessages, by cause.
func (m *Metrics) WastedMessages() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.wastedTotals)
}

// registerTaskMetrics registers the metrics of tasks at an endpoint, of calls to the store
// and to the endpoint, and of the endpoint's lease.
func (m *Metrics) registerTaskMetrics() {
	m.taskEvents = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderhook_task_events_total", Help: "What became of tasks at this endpoint: started, done, failed, returned, lost.",
	}, []string{"event"})
	m.taskWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "corianderhook_task_wait_seconds", Help: "Time from the offer of a task to its start.", Buckets: latencyBuckets(),
	})
	m.taskRun = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "corianderhook_task_run_seconds", Help: "Time from the start of a task to its end.", Buckets: latencyBuckets(),
	})
	m.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderhook_calls_total", Help: "Calls to the store and to the endpoint by result.",
	}, []string{"target", "call", "result"})
	m.callSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "corianderhook_call_seconds", Help: "Time of calls to the store and to the endpoint.", Buckets: latencyBuckets(),
	}, []string{"target", "call"})
	m.leasesLapsed = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corianderhook_leases_lapsed_total", Help: "Times that the endpoint's lease must have run out.",
	})
	m.endpointCrashes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corianderhook_endpoint_crashes_total", Help: "Crashes of the endpoint while tasks may have run there.",
	})
	m.stallSeconds = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corianderhook_stall_seconds_total", Help: "Time for which the process did not run, of 0.1 s or more at once.",
	})
	m.registry.MustRegister(m.leasesLapsed, m.endpointCrashes, m.stallSeconds, m.taskEvents, m.taskWait, m.taskRun, m.calls, m.callSeconds)
}

// CountLapsedLease counts a lease at the endpoint that has certainly expired, since it
// could not be renewed in time.
func (m *Metrics) CountLapsedLease() { m.leasesLapsed.Inc() }

// CountStall counts a time for which the process did not run.
func (m *Metrics) CountStall(duration time.Duration) { m.stallSeconds.Add(duration.Seconds()) }

// CountEndpointCrash counts a crash of the endpoint beside this process.
func (m *Metrics) CountEndpointCrash() { m.endpointCrashes.Inc() }

// CountTaskEvent counts a task event.
func (m *Metrics) CountTaskEvent(event string) { m.taskEvents.WithLabelValues(event).Inc() }

// ObserveTaskWait records the time from the offer of a task to its start.
func (m *Metrics) ObserveTaskWait(waited time.Duration) { m.taskWait.Observe(waited.Seconds()) }

// ObserveTaskRun records the run time of a task.
func (m *Metrics) ObserveTaskRun(ran time.Duration) { m.taskRun.Observe(ran.Seconds()) }

// ObserveCall counts a call to the store or to the endpoint and records its duration.
func (m *Metrics) ObserveCall(target, call, result string, duration time.Duration) {
	m.calls.WithLabelValues(target, call, result).Inc()
	m.callSeconds.WithLabelValues(target, call).Observe(duration.Seconds())
}

// RegisterUsage registers what the process does by kind of work, and the processor time that it
// uses, which processor returns.
func (m *Metrics) RegisterUsage(meter *usage.Meter, processor func() time.Duration) {
	for _, k := range usage.Kinds() {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "corianderhook_work_total", Help: "Work of this process by kind.", ConstLabels: prometheus.Labels{"kind": k.String()},
		}, func() float64 { return float64(meter.Total(k)) }))
	}
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "corianderhook_processor_seconds_total", Help: "Processor time that this process has used.",
	}, func() float64 { return processor().Seconds() }))
}

// RegisterGauge registers a gauge whose value is read at each scrape.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}
