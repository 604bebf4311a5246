package history

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// header matches a line of the log; what stands before it was put there by whoever
// collected the logs.
var header = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +(\d+) \S+\] "(CH\d{4}) ([^"]*)"(.*)$`)

// stamp is how a line gives its time; the year is not told.
const stamp = "0102 15:04:05.000000"

// Line is one event of a log.
type Line struct {
	at     time.Time
	life   life
	event  string
	text   string
	fields map[string]string
	rest   string
}

// life is one run of a process: its log and its number in the system.
type life struct{ source, process string }

func (l life) String() string { return l.source + "/" + l.process }

// parse reads one line; false means that it is not an event or was cut off.
func parse(source, text string) (Line, bool) {
	parts := header.FindStringSubmatch(text)
	if parts == nil {
		return Line{}, false
	}
	at, err := time.Parse(stamp, parts[1])
	if err != nil {
		return Line{}, false
	}
	l := Line{at: at, life: life{source, parts[2]}, event: parts[3], text: parts[4], fields: map[string]string{}, rest: strings.TrimSpace(parts[5])}
	d := logfmt.NewDecoder(strings.NewReader(parts[5]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	return l, d.Err() == nil
}

// At returns the time of the event, on the clock of the request's entry.
func (l Line) Time() time.Time { return l.at }

// Event returns the number of the event.
func (l Line) Event() string { return l.event }

// Source returns the log that holds the line.
func (l Line) Source() string { return l.life.source }

// Field returns a field, empty where the line has none.
func (l Line) Field(key string) string { return l.fields[key] }

// span returns a field that is a time, 0 where it is none.
func (l Line) span(key string) time.Duration {
	// A field that is missing or cut off says nothing.
	d, _ := time.ParseDuration(l.fields[key])
	return d
}

// String returns the line as it was logged, without its header.
func (l Line) String() string { return fmt.Sprintf("%s %s %s", l.event, l.text, l.rest) }
