// Package history puts together what became of one request from the logs of several
// processes. Logs may be cut off, hold several lives of a process, and come from
// clocks that differ.
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
	// before and after are how far from a request's lines events of its processes
	// are shown: sessions and endpoints are given up within half a second.
	before = time.Second
	after  = 300 * time.Millisecond
	// longestLine bounds a line of a log.
	longestLine = 1 << 20
	// mostTasks is how many lines of one kind are named as a reason.
	mostTasks = 3
)

// History is the request's lines and those around them.
type History struct {
	id      string
	lines   []Line
	context []Line
	// skipped counts lines that could not be read.
	skipped int
	// last is the last line of each life.
	last map[life]Line
}

// New returns the history of a request of which nothing has been read.
func New(id string) *History { return &History{id: id, last: map[life]Line{}} }

// Read takes the log of one process. A line that cannot be read is counted.
func (h *History) Read(source string, log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		text := lines.Text()
		name := source
		if prefix, _, found := strings.Cut(text, " I"); found && strings.TrimSpace(prefix) != "" {
			// Collected logs name the process before each line.
			words := strings.Fields(prefix)
			name = words[len(words)-1]
		}
		l, whole := parse(name, text)
		switch {
		case !whole:
			h.skipped++
			continue
		case l.Field("job") == h.id:
			h.lines = append(h.lines, l)
		case ofProcess(l):
			h.context = append(h.context, l)
		}
		if former, known := h.last[l.life]; !known || l.at.After(former.at) {
			h.last[l.life] = l
		}
	}
	return errors.Wrapf(lines.Err(), "log %q", source)
}

// ofProcess reports whether a line is about its process rather than a request.
func ofProcess(l Line) bool { return l.Field("job") == "" && l.event != "CH1221" }

// Skipped returns how many lines could not be read.
func (h *History) Skipped() int { return h.skipped }

// Found reports whether any line is about the request.
func (h *History) Found() bool { return len(h.lines) > 0 }

// Lines returns what happened in order, on the clock of the entry, with what happened
// to the processes meanwhile.
func (h *History) Lines() []Line {
	shifts := h.align()
	own := moved(h.lines, shifts)
	if len(own) == 0 {
		return nil
	}
	sources := map[string]bool{}
	for _, l := range own {
		sources[l.life.source] = true
	}
	from, to := own[0].at.Add(-before), own[len(own)-1].at.Add(after)
	for _, l := range moved(h.context, shifts) {
		// Another life of a process that had the request counts as well.
		if sources[l.life.source] && l.at.After(from) && l.at.Before(to) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.at.Compare(b.at) })
	return own
}

func moved(lines []Line, shifts map[string]time.Duration) []Line {
	list := slices.Clone(lines)
	for i := range list {
		list[i].at = list[i].at.Add(shifts[list[i].life.source])
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.at.Compare(b.at) })
	return list
}

// align returns by how much each log's clock is moved to that of the request's first
// entry: a task cannot reach an agent before it was offered, and the quickest one
// takes hardly any time.
func (h *History) align() map[string]time.Duration {
	type offer struct{ entry, agent, task string }
	offered := map[offer]time.Time{}
	shifts := map[string]time.Duration{}
	for _, l := range h.lines {
		if l.event == "CH1027" {
			o := offer{l.life.source, l.Field("agent"), l.Field("first")}
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
		arrived := l.at.Add(-l.span("waited"))
		for o, at := range offered {
			if o.task != l.Field("index") || o.agent != l.life.source && len(offered) > 1 {
				continue
			}
			gap := arrived.Sub(at)
			if former, known := gaps[l.life.source]; !known || abs(gap) < abs(former) {
				gaps[l.life.source] = gap
			}
		}
	}
	for source, gap := range gaps {
		shifts[source] = -gap
	}
	return shifts
}

func abs(d time.Duration) time.Duration { return max(d, -d) }

// ofLife returns the request's lines of one life, in order.
func (h *History) ofLife(one life) []Line {
	var list []Line
	for _, l := range h.lines {
		if l.life == one {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.at.Compare(b.at) })
	return list
}

// entries returns the lives of entries that had the request, in the order of time.
func (h *History) entries() []life {
	began := map[life]time.Time{}
	for _, l := range h.lines {
		if ofEntry(l.event) {
			if at, known := began[l.life]; !known || l.at.Before(at) {
				began[l.life] = l.at
			}
		}
	}
	list := make([]life, 0, len(began))
	for one := range began {
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b life) int {
		return cmp.Or(began[a].Compare(began[b]), cmp.Compare(a.String(), b.String()))
	})
	return list
}

// ofEntry reports whether an event is logged by entries.
func ofEntry(event string) bool { return event < "CH1100" || event >= "CH1200" }
