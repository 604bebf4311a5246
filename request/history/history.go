// Package history reconstructs what happened to one request from the logs of
// several processes. A log may be truncated and may span several runs of a process,
// and the clocks of the processes may differ.
package history

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// contextBefore and contextAfter limit how far from the request's lines other
	// events of its processes are shown. A session or an endpoint that is lost is
	// given up within half a second.
	contextBefore = time.Second
	contextAfter  = 300 * time.Millisecond
	// maxLineBytes limits the length of a log line.
	maxLineBytes = 1 << 20
	// maxListedPerEvent limits how many lines of one event are listed as a cause.
	maxListedPerEvent = 3
)

// History holds the log lines of a request and the events of its processes.
type History struct {
	id           string
	lines        []Line
	contextLines []Line
	// skipped counts lines that could not be parsed.
	skipped int
	// lastLine is the last line of each process run.
	lastLine map[processRun]Line
}

// New returns an empty history of a request.
func New(id string) *History { return &History{id: id, lastLine: map[processRun]Line{}} }

// Read adds a log. Lines that cannot be parsed are skipped and counted.
func (h *History) Read(source string, log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		text := lines.Text()
		name := source
		if prefix, _, found := strings.Cut(text, " I"); found && strings.TrimSpace(prefix) != "" {
			// Collected logs have the name of the process before each line.
			words := strings.Fields(prefix)
			name = words[len(words)-1]
		}
		l, complete := parse(name, text)
		switch {
		case !complete:
			h.skipped++
			continue
		case l.Field("job") == h.id:
			h.lines = append(h.lines, l)
		case isProcessEvent(l):
			h.contextLines = append(h.contextLines, l)
		}
		if previous, known := h.lastLine[l.run]; !known || l.at.After(previous.at) {
			h.lastLine[l.run] = l
		}
	}
	return errors.Wrapf(lines.Err(), "log %q", source)
}

// isProcessEvent reports whether a line is about its process rather than a job.
// CH1221 is about a request that matched no queue and got no job ID.
func isProcessEvent(l Line) bool { return l.Field("job") == "" && l.event != "CH1221" }

// Skipped returns how many lines could not be parsed.
func (h *History) Skipped() int { return h.skipped }

// Found reports whether any line is about the request.
func (h *History) Found() bool { return len(h.lines) > 0 }

// Lines returns the request's lines and the events of its processes around them in
// chronological order, on the clock of the entry.
func (h *History) Lines() []Line {
	shifts := h.clockShifts()
	lines := shifted(h.lines, shifts)
	if len(lines) == 0 {
		return nil
	}
	sources := map[string]bool{}
	for _, l := range lines {
		sources[l.run.source] = true
	}
	from, to := lines[0].at.Add(-contextBefore), lines[len(lines)-1].at.Add(contextAfter)
	for _, l := range shifted(h.contextLines, shifts) {
		// Events of other runs of these processes are included.
		if sources[l.run.source] && l.at.After(from) && l.at.Before(to) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.at.Compare(b.at) })
	return lines
}

func shifted(lines []Line, shifts map[string]time.Duration) []Line {
	list := slices.Clone(lines)
	for i := range list {
		list[i].at = list[i].at.Add(shifts[list[i].run.source])
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.at.Compare(b.at) })
	return list
}

// clockShifts returns the correction that aligns the clock of each log with that of
// the entry. A task cannot reach an agent before it was offered, and the fastest
// offer takes almost no time, so the smallest gap between offer and arrival is taken
// as the difference of the clocks.
func (h *History) clockShifts() map[string]time.Duration {
	type offer struct{ entry, agent, task string }
	offered := map[offer]time.Time{}
	shifts := map[string]time.Duration{}
	for _, l := range h.lines {
		if l.event == "CH1027" {
			o := offer{l.run.source, l.Field("agent"), l.Field("first")}
			if _, known := offered[o]; !known {
				offered[o] = l.at
			}
		}
	}
	gaps := map[string]time.Duration{}
	for _, l := range h.lines {
		if l.event != "CH1126" {
			continue
		}
		arrived := l.at.Add(-l.duration("waited"))
		for o, at := range offered {
			// If there was only one offer, the log need not have the agent's name.
			if o.task != l.Field("index") || o.agent != l.run.source && len(offered) > 1 {
				continue
			}
			gap := arrived.Sub(at)
			if previous, known := gaps[l.run.source]; !known || abs(gap) < abs(previous) {
				gaps[l.run.source] = gap
			}
		}
	}
	for source, gap := range gaps {
		shifts[source] = -gap
	}
	return shifts
}

func abs(d time.Duration) time.Duration { return max(d, -d) }

// linesOf returns the request's lines from one process run in chronological order.
func (h *History) linesOf(run processRun) []Line {
	var list []Line
	for _, l := range h.lines {
		if l.run == run {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.at.Compare(b.at) })
	return list
}

// entryRuns returns the process runs of entries that logged the request, in
// chronological order.
func (h *History) entryRuns() []processRun {
	began := map[processRun]time.Time{}
	for _, l := range h.lines {
		if isEntryEvent(l.event) {
			if at, known := began[l.run]; !known || l.at.Before(at) {
				began[l.run] = l.at
			}
		}
	}
	list := make([]processRun, 0, len(began))
	for run := range began {
		list = append(list, run)
	}
	slices.SortFunc(list, func(a, b processRun) int {
		return cmp.Or(began[a].Compare(began[b]), cmp.Compare(a.String(), b.String()))
	})
	return list
}

// isEntryEvent reports whether an event is logged by entries.
func isEntryEvent(event string) bool { return event < "CH1100" || event >= "CH1200" }
