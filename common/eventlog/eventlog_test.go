package eventlog_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/eventlog"
)

// reader takes lines only while it is open.
type reader struct {
	mu   sync.Mutex
	text bytes.Buffer
	gate chan struct{}
}

func (r *reader) Write(b []byte) (int, error) {
	<-r.gate
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(b)
}

// A reader that stops reading costs lines, never time; the lost ones are counted.
func TestSlowOutputDoesNotBlockLogging(t *testing.T) {
	i := is.New(t)
	r := &reader{gate: make(chan struct{})}
	l := eventlog.New(r)
	line := []byte(strings.Repeat("x", 999) + "\n")
	began := time.Now()
	for range 5000 {
		n, err := l.Write(line)
		i.NoErr(err)
		i.Equal(n, len(line))
	}
	i.True(time.Since(began) < 2*time.Second)
	i.True(l.Dropped() > 1000)
	close(r.gate)
	l.Close(5 * time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	i.True(strings.Contains(r.text.String(), "CH0005 log lines dropped"))
	i.True(r.text.Len() < 4<<20)
}

func TestLinesAreCompleteAndInOrder(t *testing.T) {
	i := is.New(t)
	r := &reader{gate: make(chan struct{})}
	close(r.gate)
	l := eventlog.New(r)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, err := l.Write([]byte(line))
		i.NoErr(err)
	}
	l.Close(5 * time.Second)
	i.Equal(r.text.String(), "one\ntwo\nthree\n")
}

// BenchmarkLine is what a decision's line costs the one who logs it.
func BenchmarkLogLine(b *testing.B) {
	l := eventlog.New(io.Discard)
	defer l.Close(time.Second)
	klog.LogToStderr(false)
	klog.SetOutput(l)
	defer klog.LogToStderr(true)
	b.ReportAllocs()
	for b.Loop() {
		klog.InfoS("CH1021 job accepted", "job", "18b6e0d34394263f", "queue", "checks", "tasks", 7, "ends", 96*time.Millisecond,
			"objective", 213*time.Millisecond, "budget", 1934*time.Millisecond, "backlog", time.Duration(0), "endpoints", 11, "version", uint64(2))
	}
}
