package logsink_test

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"regexp"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"github.com/corianderhook/corianderhook/common/logsink"
)

// setSink has klog write to out, in its own format or through a sink.
func setSink(t *testing.T, out io.Writer, sink bool) {
	t.Helper()
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL", "-one_output"}); err != nil {
		t.Fatal(err)
	}
	klog.SetOutput(out)
	klog.ClearLogger()
	if sink {
		klog.SetLogger(logr.New(logsink.New(out, clockwork.NewRealClock())))
	}
	t.Cleanup(func() {
		klog.ClearLogger()
		klog.LogToStderr(true)
	})
}

// headerPattern matches what differs between two lines of the same call: the time and the line.
var headerPattern = regexp.MustCompile(`(?m)^([IE])\d{4} \d\d:\d\d:\d\d\.\d{6}( +\d+ \w+\.go):\d+\]`)

type panics struct{}

func (panics) String() string { panic("no text") }

type level int

func (level) String() string { return "a level" }

// logEverything logs values of all types in use.
func logEverything(text string, number int64, float float64) {
	klog.InfoS("CH1021 job accepted", "job", text, "tasks", int(number), "wait", time.Duration(number), "share", float, "sent", number > 0)
	klog.ErrorS(errors.New(text), "CH1006 "+text, "version", uint64(number), "size", uint32(number), "list", []string{text, "b"})
	klog.V(0).InfoS("message", "none", nil, "level", level(3), "panic", panics{}, "at", number, "odd")
	klog.InfoS("message", "error", errors.New(text), "map", map[string]int{"a": 1}, "channel", make(chan int), "numbers", []int{1, 2})
}

// Lines are read by programs that know klog's format.
func TestLinesAreThoseOfKlog(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		i := is.New(t)
		text := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"", "one\ntwo", "one\ntwo\n", "\n", `"quoted" \ back`})).Draw(r, "text")
		number, float := rapid.Int64().Draw(r, "number"), rapid.Float64().Draw(r, "float")
		var expected, got bytes.Buffer
		setSink(t, &expected, false)
		logEverything(text, number, float)
		setSink(t, &got, true)
		logEverything(text, number, float)
		i.Equal(headerPattern.ReplaceAllString(got.String(), "$1$2"), headerPattern.ReplaceAllString(expected.String(), "$1$2"))
		i.True(headerPattern.MatchString(got.String()))
	})
}

func TestLineNamesItsCaller(t *testing.T) {
	i := is.New(t)
	var out bytes.Buffer
	setSink(t, &out, true)
	for range 2 {
		klog.InfoS("CH1021 job accepted", "job", "a")
	}
	klog.ErrorS(nil, "CH1021 job accepted")
	i.Equal(len(regexp.MustCompile(`logsink_test\.go:\d+\] "CH1021`).FindAllString(out.String(), -1)), 3)
}

// BenchmarkLine compares klog's own lines with those of the sink.
func BenchmarkLine(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	defer klog.LogToStderr(true)
	for _, name := range []string{"klog", "sink"} {
		b.Run(name, func(b *testing.B) {
			if name == "sink" {
				klog.SetLogger(logr.New(logsink.New(io.Discard, clockwork.NewRealClock())))
				defer klog.ClearLogger()
			}
			b.ReportAllocs()
			for b.Loop() {
				klog.InfoS("CH1027 tasks offered", "job", "18b6e0d34394263f", "agent", "side-cascadia-a-1", "tasks", 2, "sent", true, "wait", time.Duration(0),
					"heard", 31*time.Millisecond, "slowness", 1.0034567, "first", uint32(0))
			}
		})
	}
}
