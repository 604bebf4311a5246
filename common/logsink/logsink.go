// Package logsink formats structured log lines as klog does, at a fraction of the cost: a busy
// dispatcher logs a thousand decisions per second.
package logsink

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// Severities, the first characters of lines.
const (
	severityInfo  = 'I'
	severityError = 'E'
)

// sinkFrames is the number of stack frames from runtime.Callers to the caller of klog: Callers,
// caller, appendHeader, write, Info or Error of the sink, the same of the logger, and two
// functions of klog.
const sinkFrames = 8

// Sink is a logr.LogSink, to be passed to klog.SetLogger. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	clock   clockwork.Clock
	pid     int
	buffers sync.Pool
	// callers holds the source position by program counter.
	callers sync.Map
}

// New returns a sink that writes each line to out in one call.
func New(out io.Writer, clock clockwork.Clock) *Sink {
	return &Sink{out: out, clock: clock, pid: os.Getpid(), buffers: sync.Pool{New: func() any { return new([]byte) }}}
}

// Init implements logr.LogSink.
func (s *Sink) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink. klog has applied its verbosity before.
func (s *Sink) Enabled(int) bool { return true }

// Info implements logr.LogSink.
func (s *Sink) Info(_ int, message string, keysAndValues ...any) {
	s.write(severityInfo, nil, message, keysAndValues)
}

// Error implements logr.LogSink.
func (s *Sink) Error(err error, message string, keysAndValues ...any) {
	s.write(severityError, err, message, keysAndValues)
}

// WithValues implements logr.LogSink. The processes log through klog's functions, which have no
// values of their own.
func (s *Sink) WithValues(...any) logr.LogSink { return s }

// WithName implements logr.LogSink.
func (s *Sink) WithName(string) logr.LogSink { return s }

func (s *Sink) write(severity byte, err error, message string, keysAndValues []any) {
	buffer := s.buffers.Get().(*[]byte)
	line := s.appendHeader((*buffer)[:0], severity)
	line = appendQuoted(line, message)
	if err != nil {
		line = appendPair(line, "err", err)
	}
	for i := 0; i < len(keysAndValues); i += 2 {
		var value any = "(MISSING)"
		if i+1 < len(keysAndValues) {
			value = keysAndValues[i+1]
		}
		line = appendPair(line, keysAndValues[i], value)
	}
	line = append(line, '\n')
	// A failed write cannot be reported, since this is the log itself.
	_, _ = s.out.Write(line)
	*buffer = line
	s.buffers.Put(buffer)
}

// appendHeader appends severity, time, process and source position: Lmmdd hh:mm:ss.uuuuuu pid file:line].
func (s *Sink) appendHeader(line []byte, severity byte) []byte {
	now := s.clock.Now()
	line = append(line, severity)
	line = now.AppendFormat(line, "0102 15:04:05.000000 ")
	pid := strconv.Itoa(s.pid)
	for range 7 - len(pid) {
		line = append(line, ' ')
	}
	line = append(line, pid...)
	line = append(line, ' ')
	line = append(line, s.caller()...)
	return append(line, "] "...)
}

// caller returns the source position of the log call.
func (s *Sink) caller() string {
	var pcs [1]uintptr
	if runtime.Callers(sinkFrames, pcs[:]) == 0 {
		return "???:1"
	}
	if position, known := s.callers.Load(pcs[0]); known {
		return position.(string)
	}
	frame, _ := runtime.CallersFrames(pcs[:]).Next()
	position := filepath.Base(frame.File) + ":" + strconv.Itoa(frame.Line)
	s.callers.Store(pcs[0], position)
	return position
}

func appendPair(line []byte, key, value any) []byte {
	line = append(line, ' ')
	if k, isString := key.(string); isString {
		line = append(line, k...)
	} else {
		line = fmt.Append(line, key)
	}
	switch v := value.(type) {
	case string:
		return appendText(line, v)
	case time.Duration:
		line = append(line, `="`...)
		line = append(line, v.String()...)
		return append(line, '"')
	case int:
		return strconv.AppendInt(append(line, '='), int64(v), 10)
	case int64:
		return strconv.AppendInt(append(line, '='), v, 10)
	case uint64:
		return strconv.AppendUint(append(line, '='), v, 10)
	case uint32:
		return strconv.AppendUint(append(line, '='), uint64(v), 10)
	case bool:
		return strconv.AppendBool(append(line, '='), v)
	case fmt.Stringer:
		return appendText(line, textOf(v.String))
	case error:
		return appendText(line, textOf(v.Error))
	default:
		return appendJSON(append(line, '='), v)
	}
}

// textOf returns the text of a value. A method that panics must not end the process.
func textOf(method func() string) (text string) {
	defer func() {
		if err := recover(); err != nil {
			text = fmt.Sprintf("<panic: %s>", err)
		}
	}()
	return method()
}

func appendJSON(line []byte, value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Appendf(line, `"<internal error: %v>"`, err)
	}
	return append(line, text...)
}

// appendText appends a text as a value: quoted, or on lines of its own if it has several.
func appendText(line []byte, text string) []byte {
	if !strings.Contains(text, "\n") {
		return appendQuoted(append(line, '='), text)
	}
	line = append(line, "=<\n"...)
	for part := range strings.Lines(text) {
		line = append(line, '\t')
		line = append(line, part...)
	}
	if !strings.HasSuffix(text, "\n") {
		line = append(line, '\n')
	}
	return append(line, " >"...)
}

// appendQuoted appends a text in quotes. Most texts need no escapes.
func appendQuoted(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return strconv.AppendQuote(line, text)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
