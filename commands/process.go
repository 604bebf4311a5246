package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/eventlog"
	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/version/config"
)

const (
	// lookEvery is the time between two looks at the settings file.
	settingsPollInterval = time.Second
	// exitMargin is left of the time until the process is killed.
	exitMargin = 400 * time.Millisecond
	// headerTime bounds the header of a request for metrics.
	metricsHeaderTimeout = 5 * time.Second
	// lastLines bounds the wait for log lines at the end.
	logFlushTimeout = 200 * time.Millisecond
	// heapShare of the VM's memory is where the collector works harder, in percent;
	// the rest is for stacks, buffers of the kernel and the program itself.
	heapLimitPercent = 70
	// collectAt is the growth of the heap between collections in percent: the heap is
	// small, so that fewer collections cost little memory.
	gcPercent = 400
)

// readSettingsFile reads one settings file and checks it for a role.
func readSettingsFile(path string, role config.Role) (*config.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{errors.Wrap(err, "settings")}
	}
	settings, err := config.Merge([]config.File{{Name: filepath.Base(path), Text: string(text)}})
	if err != nil {
		return nil, usageError{err}
	}
	if err := settings.Require(role); err != nil {
		return nil, usageError{err}
	}
	if total := runner.SilenceTimeout + runner.LeaseLapseTime(); settings.Runtime().Resubmission <= total {
		return nil, usageError{config.Fault{
			File: filepath.Base(path), Section: "runtime", Key: "resubmission", Value: settings.Runtime().Resubmission.String(),
			Reason: fmt.Sprintf("must be longer than %s, within which tasks of a lost process are stopped", total),
		}}
	}
	return settings, nil
}

// watchSettings hands on the settings whenever their file has changed, or a hang-up
// signal says so. A file with faults changes nothing.
func watchSettings(ctx context.Context, path string, role config.Role, hangUps <-chan os.Signal, apply func(*config.Config)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := modificationTime(path)
	for {
		cause := "the file has changed"
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			cause = "hang-up signal"
		case <-ticker.C:
			if modificationTime(path).Equal(last) {
				continue
			}
		}
		last = modificationTime(path)
		settings, err := readSettingsFile(path, role)
		if err != nil {
			klog.ErrorS(err, "CH1302 settings have faults, the former ones stay in force", "file", path, "cause", cause)
			continue
		}
		klog.InfoS("CH1301 settings read again", "file", path, "cause", cause)
		apply(settings)
	}
}

func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// startLogs sends log lines to the writer without ever waiting for it. The returned
// function writes the last ones.
func startEventLog(out io.Writer) (stop func()) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// The flags exist, so that setting them cannot fail.
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("alsologtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	_ = flags.Set("one_output", "true")
	log := eventlog.New(out)
	klog.SetOutput(log)
	return func() {
		klog.Flush()
		log.Close(logFlushTimeout)
	}
}

// limitMemory has the collector keep the process under its VM's memory, in MiB.
func limitMemory(mebibytes int) {
	debug.SetMemoryLimit(int64(mebibytes) << 20 * heapLimitPercent / 100)
	debug.SetGCPercent(gcPercent)
}

// listenAll opens sockets at ip:port.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return nil, errors.Wrapf(err, "address %q", a)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// serveMetrics serves metrics until the context ends; without an address there are none.
func serveMetrics(ctx context.Context, address string, handler http.Handler) {
	if address == "" {
		return
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		klog.ErrorS(err, "CH1303 metrics are not served", "address", address)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		klog.ErrorS(err, "CH1303 metrics are not served", "address", address)
	}
}

// process is how a dispatcher or sidecar is run and stopped.
type process struct {
	// settings are those of the start.
	settings *config.Config
	file     string
	role     config.Role
	metrics  http.Handler
	run      func(context.Context) error
	reload   func(*config.Config)
	drain    func(ctx context.Context, within time.Duration)
}

// liveKeys are taken while a process runs; the others need a restart.
func reloadableKeys() []string {
	return []string{"runtime memory", "runtime grace", "dispatcher peers", "sidecar dispatchers"}
}

// apply takes what can be taken of changed settings, and names the rest.
func (p process) apply(inForce *atomic.Pointer[config.Config], c *config.Config) {
	inForce.Store(c)
	limitMemory(c.Runtime().Memory)
	p.reload(c)
	waiting := slices.DeleteFunc(c.Changed(p.settings), func(key string) bool { return slices.Contains(reloadableKeys(), key) })
	if len(waiting) > 0 {
		klog.InfoS("CH1304 settings wait for a restart", "file", p.file, "keys", waiting)
	}
}

// runProcess runs a process until it fails or a signal ends it. The first signal
// drains it; an interrupt after it, or the end of the grace time, stops it at once.
func runProcess(s *Streams, p process) error {
	defer startEventLog(s.Out)()
	limitMemory(p.settings.Runtime().Memory)
	first, second, stop := shutdownContexts()
	defer stop()
	ctx, cancel := context.WithCancel(second)
	defer cancel()
	go serveMetrics(ctx, p.settings.Runtime().Metrics, p.metrics)
	var inForce atomic.Pointer[config.Config]
	inForce.Store(p.settings)
	go watchSettings(ctx, p.file, p.role, s.HangUps, func(c *config.Config) { p.apply(&inForce, c) })
	ended := make(chan error, 1)
	go func() { ended <- p.run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-first.Done():
	}
	within := inForce.Load().Runtime().Grace - exitMargin
	klog.InfoS("CH0004 stopping as planned", "bound", within)
	draining, cancelDrain := context.WithTimeout(ctx, within)
	defer cancelDrain()
	p.drain(draining, within)
	return nil
}
