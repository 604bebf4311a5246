package history

import (
	"fmt"
	"strings"
	"time"
)

// Causes returns one sentence for each process run of an entry that logged the
// request, in chronological order: how the request ended there and why.
func (h *History) Causes() []string {
	var all []string
	for _, run := range h.entryRuns() {
		all = append(all, run.source+": "+h.explainRun(run))
	}
	if len(all) == 0 && h.Found() {
		all = append(all, "the files hold no log of the entry that received the request")
	}
	return all
}

func (h *History) explainRun(run processRun) string {
	lines := h.linesOf(run)
	var accepted, ended *Line
	for i := range lines {
		switch l := &lines[i]; l.event {
		case "CH1022": // job refused
			return describeRefusal(l)
		case "CH1028": // job refused by an entry under pressure
			return fmt.Sprintf("refused, nothing has run: the entry was short of CPU time, requests waited for %s", l.Field("standing"))
		case "CH1222": // job refused before it was read
			return "refused before it was read: " + l.Field("error")
		case "CH1021", "CH1023": // job accepted, job parked
			accepted = l
		case "CH1026": // job ended
			ended = l
		}
	}
	switch {
	case ended != nil:
		return describeEnd(ended) + describeProblems(lines, ended)
	case accepted != nil:
		return "accepted, but no end is logged: " + h.explainMissingEnd(run, *accepted)
	}
	return "the log has only: " + lines[0].text
}

func describeRefusal(l *Line) string {
	if l.Field("reason") != "overload" {
		return fmt.Sprintf("refused, nothing has run: %s, %s endpoints are known", l.Field("reason"), l.Field("endpoints"))
	}
	why := fmt.Sprintf("all queued work takes %s, the limit for its urgency is %s", l.Field("backlog"), l.Field("limit"))
	switch {
	case l.duration("ends") > l.duration("budget"):
		why = fmt.Sprintf("it would have ended after %s, its caller waits %s", l.Field("ends"), l.Field("budget"))
	case l.duration("ends") > l.duration("objective"):
		why = fmt.Sprintf("it would have ended after %s, its objective is %s", l.Field("ends"), l.Field("objective"))
	}
	return fmt.Sprintf("refused, nothing has run: overload over %s endpoints; %s", l.Field("endpoints"), why)
}

// describeEnd describes how a request ended.
func describeEnd(l *Line) string {
	took, objective := l.duration("took"), l.duration("objective")
	text := fmt.Sprintf("ended %s (%s) after %s", l.Field("outcome"), l.Field("reason"), took.Round(time.Millisecond))
	switch {
	case l.Field("outcome") != "complete":
		return text + ": " + l.Field("detail")
	case took > objective:
		return text + fmt.Sprintf(", late: its objective is %s", objective.Round(time.Millisecond))
	}
	return text + fmt.Sprintf(", in time: its objective is %s", objective.Round(time.Millisecond))
}

// problemEvents returns the events that can make a request late or fail: a task was
// not held by its agent, failed, lost, withdrawn, overdue or returned, its agent's zone was
// evacuated, or there was a health verdict on its agent.
func problemEvents() []string {
	return []string{"CH1031", "CH1032", "CH1033", "CH1034", "CH1035", "CH1036", "CH1038", "CH1041"}
}

// describeProblems lists what went wrong with the tasks before the request ended.
func describeProblems(lines []Line, ended *Line) string {
	var all []string
	counts := map[string]int{}
	for _, event := range problemEvents() {
		for _, l := range lines {
			if l.event != event {
				continue
			}
			if counts[event]++; counts[event] <= maxListedPerEvent {
				all = append(all, fmt.Sprintf("%s at %s (%s)", l.text, l.Field("agent"), problemDetail(l)))
			}
		}
		if unlisted := counts[event] - maxListedPerEvent; unlisted > 0 {
			all = append(all, fmt.Sprintf("%d more of the same kind", unlisted))
		}
	}
	if len(all) == 0 && ended.Field("outcome") == "complete" && ended.duration("took") > ended.duration("objective") {
		return "; every task ran where it was first sent: compare the fields waited and wait below"
	}
	if len(all) == 0 {
		return ""
	}
	return "; " + strings.Join(all, ", ")
}

func problemDetail(l Line) string {
	for _, key := range []string{"reason", "verdict", "since", "task"} {
		if value := l.Field(key); value != "" {
			return strings.TrimSpace(key + " " + value)
		}
	}
	return l.rawFields
}

// explainMissingEnd explains why the log of a process run has no end of the request.
func (h *History) explainMissingEnd(run processRun, accepted Line) string {
	last := h.lastLine[run]
	if last.event == "CH1005" { // dispatcher stopped
		return "the entry stopped as planned with " + last.Field("jobs") + " under way"
	}
	for _, l := range h.contextLines {
		if l.run.source == run.source && l.run.process != run.process && l.event == "CH1002" && l.at.After(accepted.at) {
			return fmt.Sprintf("the entry restarted %s later", l.at.Sub(accepted.at).Round(time.Millisecond))
		}
	}
	return fmt.Sprintf("the log of this process run ends %s later", last.at.Sub(accepted.at).Round(time.Millisecond))
}
