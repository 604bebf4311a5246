package history

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// linePattern matches an event in a log. It is not anchored at the start of the line,
// because log collectors put a prefix before it.
var linePattern = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +(\d+) \S+\] "(CH\d{4}) ([^"]*)"(.*)$`)

// timeLayout is the layout of a line's time, which has no year.
const timeLayout = "0102 15:04:05.000000"

// Line is one event in a log.
type Line struct {
	at        time.Time
	run       processRun
	event     string
	text      string
	fields    map[string]string
	rawFields string
}

// processRun identifies one run of a process by its log and its process ID.
type processRun struct{ source, process string }

func (r processRun) String() string { return r.source + "/" + r.process }

// parse parses one line. It returns false if the line is not an event or is truncated.
func parse(source, text string) (Line, bool) {
	parts := linePattern.FindStringSubmatch(text)
	if parts == nil {
		return Line{}, false
	}
	at, err := time.Parse(timeLayout, parts[1])
	if err != nil {
		return Line{}, false
	}
	l := Line{at: at, run: processRun{source, parts[2]}, event: parts[3], text: parts[4], fields: map[string]string{}, rawFields: strings.TrimSpace(parts[5])}
	d := logfmt.NewDecoder(strings.NewReader(parts[5]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	return l, d.Err() == nil
}

// Time returns the time of the event, on the clock of the entry if the line comes
// from History.Lines.
func (l Line) Time() time.Time { return l.at }

// Event returns the number of the event.
func (l Line) Event() string { return l.event }

// Source returns the name of the log that the line comes from.
func (l Line) Source() string { return l.run.source }

// Field returns the value of a field, or an empty string if the line does not have it.
func (l Line) Field(key string) string { return l.fields[key] }

// duration returns a field as a duration, or 0 if it is missing or invalid.
func (l Line) duration(key string) time.Duration {
	// A missing or truncated field counts as 0.
	d, _ := time.ParseDuration(l.fields[key])
	return d
}

// String returns the line as it was logged, without time, process ID and source file.
func (l Line) String() string { return fmt.Sprintf("%s %s %s", l.event, l.text, l.rawFields) }
