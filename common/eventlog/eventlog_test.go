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

// gatedWriter blocks writes until gate is closed.
type gatedWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
	gate chan struct{}
}

func (w *gatedWriter) Write(b []byte) (int, error) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// While the output blocks, writes return at once and lines that do not fit are dropped and
// counted.
func TestSlowOutputDoesNotBlockLogging(t *testing.T) {
	i := is.New(t)
	w := &gatedWriter{gate: make(chan struct{})}
	l := eventlog.New(w)
	line := []byte(strings.Repeat("x", 999) + "\n")
	began := time.Now()
	for range 5000 {
		n, err := l.Write(line)
		i.NoErr(err)
		i.Equal(n, len(line))
	}
	i.True(time.Since(began) < 2*time.Second)
	i.True(l.Dropped() > 1000)
	close(w.gate)
	l.Close(5 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	i.True(strings.Contains(w.text.String(), "CH0005 log lines dropped"))
	i.True(w.text.Len() < 4<<20)
}

func TestLinesAreCompleteAndInOrder(t *testing.T) {
	i := is.New(t)
	w := &gatedWriter{gate: make(chan struct{})}
	close(w.gate)
	l := eventlog.New(w)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, err := l.Write([]byte(line))
		i.NoErr(err)
	}
	l.Close(5 * time.Second)
	i.Equal(w.text.String(), "one\ntwo\nthree\n")
}

// BenchmarkLogLine measures the cost to the caller of logging a decision.
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
