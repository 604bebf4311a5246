// Package usage counts what a process does by kind of work, and relates it to the processor time
// that the process has used. A load that costs more than it should shows in the counts before it
// shows in late answers. The package does no I/O.
package usage

import (
	"sync/atomic"
	"time"
)

// ReportInterval is the time between two reports in the log. A burst lasts for some seconds.
const ReportInterval = 5 * time.Second

// Kind is a kind of work.
type Kind uint8

//go:generate stringer -type=Kind -linecomment

const (
	// Requests are the requests of callers.
	Requests Kind = iota // requests
	// IdleRequests are those on a connection that was idle for so long that nothing proves their age.
	IdleRequests // idle-requests
	// HeldRequests are those that something has held back.
	HeldRequests // held-requests
	// InquirySent is a message about jobs to another dispatcher.
	InquirySent // inquiry-messages-sent
	// InquiryReceived is a message about jobs from another dispatcher.
	InquiryReceived // inquiry-messages-received
	// FramesSent are the messages sent on the sessions between dispatchers and sidecars.
	FramesSent // frames-sent
	// FramesReceived are the messages received on them.
	FramesReceived // frames-received
	// Exchanges are the messages between dispatchers about their state.
	Exchanges // exchanges
	// Decisions are the logged decisions on jobs and tasks.
	Decisions // decisions
	// DecisionTime is the time, in microseconds, in which the one actor that decides was at work. It
	// includes the time for which the process waited for the processor meanwhile.
	DecisionTime // decision-time-us
	kindCount
)

// Kinds returns all kinds of work.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for k := range kinds {
		kinds[k] = Kind(k)
	}
	return kinds
}

// Meter counts the work of one process. The zero value has counted nothing. It is safe for
// concurrent use.
type Meter struct{ counts [kindCount]atomic.Uint64 }

// Add counts n pieces of work.
func (m *Meter) Add(k Kind, n int) { m.counts[k].Add(uint64(n)) }

// AddTime counts time as work, in microseconds.
func (m *Meter) AddTime(k Kind, d time.Duration) { m.counts[k].Add(uint64(max(0, d.Microseconds()))) }

// Total returns what has been counted since the start of the process.
func (m *Meter) Total(k Kind) uint64 { return m.counts[k].Load() }

// Report is what a process has done in an interval.
type Report struct {
	Interval time.Duration
	// Processor is the processor time that the process has used in the interval.
	Processor time.Duration
	counts    [kindCount]uint64
}

// Count returns how much work of a kind was done.
func (r Report) Count(k Kind) uint64 { return r.counts[k] }

// Share returns the share of one core that was used.
func (r Report) Share() float64 {
	if r.Interval <= 0 {
		return 0
	}
	return r.Processor.Seconds() / r.Interval.Seconds()
}

// Details returns the report as keys and values for a log line. Kinds without work are left out.
func (r Report) Details() []any {
	details := []any{"interval", r.Interval, "processor", r.Processor}
	for _, k := range Kinds() {
		if n := r.counts[k]; n > 0 {
			details = append(details, k.String(), n)
		}
	}
	return details
}

// Reporter makes reports about successive intervals. It is not safe for concurrent use.
type Reporter struct {
	meter     *Meter
	at        time.Time
	processor time.Duration
	counts    [kindCount]uint64
}

// NewReporter returns a reporter whose first interval begins now. Processor is the processor time
// that the process has used so far.
func NewReporter(m *Meter, now time.Time, processor time.Duration) *Reporter {
	r := &Reporter{meter: m}
	r.Next(now, processor)
	return r
}

// Due reports whether the interval has lasted for ReportInterval.
func (r *Reporter) Due(now time.Time) bool { return now.Sub(r.at) >= ReportInterval }

// Next ends an interval, returns the report about it and begins the next one.
func (r *Reporter) Next(now time.Time, processor time.Duration) Report {
	report := Report{Interval: now.Sub(r.at), Processor: processor - r.processor}
	for k := range r.counts {
		total := r.meter.counts[k].Load()
		report.counts[k] = total - r.counts[k]
		r.counts[k] = total
	}
	r.at, r.processor = now, processor
	return report
}
