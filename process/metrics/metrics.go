// Package metrics holds the Prometheus metrics of a process.
package metrics

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics are the metrics of one process.
type Metrics struct {
	registry  *prometheus.Registry
	jobs      *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	started   *prometheus.CounterVec
	jobTime   *prometheus.HistogramVec
	startWait *prometheus.HistogramVec
	waiting   *prometheus.GaugeVec
	slots     *prometheus.GaugeVec
	wasted    *prometheus.CounterVec
	config    prometheus.Gauge
	taskEnds  *prometheus.CounterVec
	taskWait  prometheus.Histogram
	taskRun   prometheus.Histogram
	calls     *prometheus.CounterVec
	callTime  *prometheus.HistogramVec
	lapsed    prometheus.Counter
	panics    *prometheus.CounterVec
	mu        sync.Mutex
	lastWaste map[string]uint64
}

// buckets are response times in seconds.
func buckets() []float64 { return prometheus.ExponentialBuckets(0.001, 2, 16) }

// New returns metrics in a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_jobs_total", Help: "Final answers by kind and outcome.",
		}, []string{"kind", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_refusals_total", Help: "Refused submissions by kind and reason.",
		}, []string{"kind", "reason"}),
		started: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_tasks_started_total", Help: "Tasks handed to agents by kind.",
		}, []string{"kind"}),
		jobTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "corianderhook_job_seconds", Help: "Time from acceptance to the final answer.", Buckets: buckets(),
		}, []string{"kind"}),
		startWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "corianderhook_start_wait_seconds", Help: "Time from acceptance to the hand-out of tasks.", Buckets: buckets(),
		}, []string{"kind"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corianderhook_tasks_waiting", Help: "Tasks that wait at this process by kind.",
		}, []string{"kind"}),
		slots: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corianderhook_ownership_slots", Help: "Ownership slots held by phase.",
		}, []string{"phase"}),
		wasted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_wasted_messages_total", Help: "Messages that brought no task, by cause.",
		}, []string{"cause"}),
		panics: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderhook_unexpected_errors_total", Help: "Messages whose handling ended with an unexpected error, by place.",
		}, []string{"where"}),
		lastWaste: map[string]uint64{},
		config: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "corianderhook_config_version", Help: "Configuration version in force.",
		}),
	}
	m.addTasks()
	m.registry.MustRegister(m.jobs, m.refusals, m.started, m.jobTime, m.startWait, m.waiting, m.slots, m.wasted, m.config, m.panics)
	return m
}

// Unexpected counts a message whose handling ended with an unexpected error.
func (m *Metrics) CountUnexpectedError(where string) { m.panics.WithLabelValues(where).Inc() }

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Answered counts a final answer.
func (m *Metrics) ObserveJob(kind, outcome string, took time.Duration) {
	m.jobs.WithLabelValues(kind, outcome).Inc()
	m.jobTime.WithLabelValues(kind).Observe(took.Seconds())
}

// Refused counts a refusal.
func (m *Metrics) CountRefusal(kind, reason string) { m.refusals.WithLabelValues(kind, reason).Inc() }

// Started counts tasks that were handed out.
func (m *Metrics) ObserveStart(kind string, count int, waited time.Duration) {
	m.started.WithLabelValues(kind).Add(float64(count))
	m.startWait.WithLabelValues(kind).Observe(waited.Seconds())
}

// Waiting sets the number of tasks of a kind that wait.
func (m *Metrics) SetTasksWaiting(kind string, count int) {
	m.waiting.WithLabelValues(kind).Set(float64(count))
}

// Slots sets the number of ownership slots in a phase.
func (m *Metrics) SetOwnershipSlots(phase string, count int) {
	m.slots.WithLabelValues(phase).Set(float64(count))
}

// Wasted takes the total of messages of a cause that brought no task.
func (m *Metrics) SetWastedMessages(cause string, total uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wasted.WithLabelValues(cause).Add(float64(total - m.lastWaste[cause]))
	m.lastWaste[cause] = total
}

// Config sets the configuration version in force.
func (m *Metrics) SetConfigVersion(version uint64) { m.config.Set(float64(version)) }

// WastedTotals returns the messages that brought no task so far, by cause.
func (m *Metrics) WastedMessages() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.lastWaste)
}

// addTasks makes the metrics of tasks at an endpoint and of calls to others.
func (m *Metrics) addTasks() {
	m.taskEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderhook_task_events_total", Help: "What became of tasks at this endpoint: started, done, failed, returned, lost.",
	}, []string{"event"})
	m.taskWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "corianderhook_task_wait_seconds", Help: "Time from the offer of a task to its start.", Buckets: buckets(),
	})
	m.taskRun = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "corianderhook_task_run_seconds", Help: "Time from the start of a task to its end.", Buckets: buckets(),
	})
	m.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderhook_calls_total", Help: "Calls to the store and to the endpoint by result.",
	}, []string{"target", "call", "result"})
	m.callTime = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "corianderhook_call_seconds", Help: "Time of calls to the store and to the endpoint.", Buckets: buckets(),
	}, []string{"target", "call"})
	m.lapsed = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corianderhook_leases_lapsed_total", Help: "Times that the endpoint's lease must have run out.",
	})
	m.registry.MustRegister(m.lapsed, m.taskEnds, m.taskWait, m.taskRun, m.calls, m.callTime)
}

// Lapsed counts a lease at the endpoint that must have run out.
func (m *Metrics) CountLapsedLease() { m.lapsed.Inc() }

// Task counts an event of a task.
func (m *Metrics) CountTaskEvent(event string) { m.taskEnds.WithLabelValues(event).Inc() }

// TaskWaited takes how long a task waited for its start.
func (m *Metrics) ObserveTaskWait(waited time.Duration) { m.taskWait.Observe(waited.Seconds()) }

// TaskRan takes how long a task ran.
func (m *Metrics) ObserveTaskRun(ran time.Duration) { m.taskRun.Observe(ran.Seconds()) }

// Called counts a call to the store or to the endpoint.
func (m *Metrics) ObserveCall(target, call, result string, took time.Duration) {
	m.calls.WithLabelValues(target, call, result).Inc()
	m.callTime.WithLabelValues(target, call).Observe(took.Seconds())
}

// Watch adds a gauge that is read when the metrics are fetched.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}
