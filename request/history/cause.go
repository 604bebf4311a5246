package history

import (
	"fmt"
	"strings"
	"time"
)

// Causes returns a sentence for each sending of the request, in the order of time: how
// it ended and why.
func (h *History) Causes() []string {
	var all []string
	for _, one := range h.entries() {
		all = append(all, one.source+": "+h.cause(one))
	}
	if len(all) == 0 && h.Found() {
		all = append(all, "no log of the entry that took the request is among the files")
	}
	return all
}

func (h *History) cause(one life) string {
	lines := h.ofLife(one)
	var accepted, ended *Line
	for i := range lines {
		switch l := &lines[i]; l.event {
		case "CH1022":
			return refused(l)
		case "CH1028":
			return fmt.Sprintf("refused, nothing has run: the entry was short of processor time, requests waited for %s", l.Field("standing"))
		case "CH1222":
			return "refused before it was read: " + l.Field("error")
		case "CH1021", "CH1023":
			accepted = l
		case "CH1026":
			ended = l
		}
	}
	switch {
	case ended != nil:
		return outcome(ended) + reasons(lines, ended)
	case accepted != nil:
		return "taken, and no end is logged: " + h.cut(one, *accepted)
	}
	return "the log tells only: " + lines[0].text
}

func refused(l *Line) string {
	if l.Field("reason") != "overload" {
		return fmt.Sprintf("refused, nothing has run: %s, %s endpoints are known", l.Field("reason"), l.Field("endpoints"))
	}
	why := fmt.Sprintf("the work that waits everywhere takes %s, the limit for its urgency is %s", l.Field("backlog"), l.Field("limit"))
	switch {
	case l.span("ends") > l.span("budget"):
		why = fmt.Sprintf("it would have ended after %s, its caller waits %s", l.Field("ends"), l.Field("budget"))
	case l.span("ends") > l.span("objective"):
		why = fmt.Sprintf("it would have ended after %s, its objective is %s", l.Field("ends"), l.Field("objective"))
	}
	return fmt.Sprintf("refused, nothing has run: overload over %s endpoints; %s", l.Field("endpoints"), why)
}

// outcome is how a request ended.
func outcome(l *Line) string {
	took, objective := l.span("took"), l.span("objective")
	text := fmt.Sprintf("ended %s (%s) after %s", l.Field("outcome"), l.Field("reason"), took.Round(time.Millisecond))
	switch {
	case l.Field("outcome") != "complete":
		return text + ": " + l.Field("detail")
	case took > objective:
		return text + fmt.Sprintf(", late: its objective is %s", objective.Round(time.Millisecond))
	}
	return text + fmt.Sprintf(", in time: its objective is %s", objective.Round(time.Millisecond))
}

// trouble are events that make a request late or fail.
func trouble() []string {
	return []string{"CH1031", "CH1032", "CH1033", "CH1034", "CH1035", "CH1036", "CH1041"}
}

// reasons names what went otherwise than foretold before the end.
func reasons(lines []Line, ended *Line) string {
	var all []string
	counts := map[string]int{}
	for _, event := range trouble() {
		for _, l := range lines {
			if l.event != event {
				continue
			}
			if counts[event]++; counts[event] <= mostTasks {
				all = append(all, fmt.Sprintf("%s at %s (%s)", l.text, l.Field("agent"), detail(l)))
			}
		}
		if more := counts[event] - mostTasks; more > 0 {
			all = append(all, fmt.Sprintf("%d more like it", more))
		}
	}
	if len(all) == 0 && ended.Field("outcome") == "complete" && ended.span("took") > ended.span("objective") {
		return "; every task ran where it was first sent: compare waited with wait below"
	}
	if len(all) == 0 {
		return ""
	}
	return "; " + strings.Join(all, ", ")
}

func detail(l Line) string {
	for _, key := range []string{"reason", "verdict", "since", "task"} {
		if value := l.Field(key); value != "" {
			return strings.TrimSpace(key + " " + value)
		}
	}
	return l.rest
}

// cut says why a life has no end of a request.
func (h *History) cut(one life, accepted Line) string {
	last := h.last[one]
	if last.event == "CH1005" {
		return "the entry stopped as planned with " + last.Field("jobs") + " under way"
	}
	for _, l := range h.context {
		if l.life.source == one.source && l.life.process != one.process && l.event == "CH1002" && l.at.After(accepted.at) {
			return fmt.Sprintf("the entry ended and started anew %s later", l.at.Sub(accepted.at).Round(time.Millisecond))
		}
	}
	return fmt.Sprintf("the log of this life ends %s later", last.at.Sub(accepted.at).Round(time.Millisecond))
}
