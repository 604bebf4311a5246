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

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/eventlog"
	"github.com/corianderhook/corianderhook/common/logsink"
	"github.com/corianderhook/corianderhook/connection/doorway"
	"github.com/corianderhook/corianderhook/process/metrics"
	"github.com/corianderhook/corianderhook/process/runner"
	"github.com/corianderhook/corianderhook/version/config"
)

const (
	// settingsPollInterval is how often the settings file is checked for changes.
	settingsPollInterval = time.Second
	// exitMargin is the part of the grace time that the drain leaves unused, so that the
	// process exits before it is killed.
	exitMargin = 400 * time.Millisecond
	// metricsHeaderTimeout bounds how long a client may take to send the headers of a
	// request for metrics.
	metricsHeaderTimeout = 5 * time.Second
	// metricsIdleTimeout applies to an unused connection, metricsHeaderBytes to the headers.
	metricsIdleTimeout = 2 * time.Minute
	metricsHeaderBytes = 16 << 10
	// logFlushTimeout bounds how long a process waits at exit for its last log lines to be
	// written.
	logFlushTimeout = 200 * time.Millisecond
	// heapLimitPercent is the soft memory limit of the Go runtime as a share of the VM's
	// memory; the rest is for stacks, kernel buffers and the program itself.
	heapLimitPercent = 60
	// gcPercent is the heap growth between garbage collections (GOGC). The heap is small, so
	// that more growth than this costs more memory than it saves processor time.
	gcPercent = 200
)

// readSettingsFile reads one settings file and checks that the role has all settings it
// needs. A resubmission time within which the tasks of a lost process may still run is
// rejected, since a task could then run twice at the same time.
func readSettingsFile(path string, role config.Role) (*config.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{errors.Wrap(err, "settings")}
	}
	settings, err := config.Merge([]config.File{{Name: filepath.Base(path), Text: string(text)}})
	if err != nil {
		return nil, usageError{err}
	}
	if err := settings.CheckRole(role); err != nil {
		return nil, usageError{err}
	}
	if stopTime := runner.OrphanTime(); settings.Runtime().Resubmission <= stopTime {
		return nil, usageError{config.ValidationError{
			File: filepath.Base(path), Section: "runtime", Key: "resubmission", Value: settings.Runtime().Resubmission.String(),
			Reason: fmt.Sprintf("must be longer than %s, the time within which the tasks of a lost process are stopped", stopTime),
		}}
	}
	return settings, nil
}

// watchSettings calls apply with the new settings when their file has changed or a hang-up
// signal arrives. An invalid file is logged and otherwise ignored.
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
			klog.ErrorS(err, "CH1302 invalid settings ignored, the previous ones stay in force", "file", path, "cause", cause)
			continue
		}
		klog.InfoS("CH1301 settings reloaded", "file", path, "cause", cause)
		apply(settings)
	}
}

// modificationTime returns the zero time for a file that cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// startEventLog sends log lines to the writer without ever blocking on it. The returned
// function flushes the remaining lines and stops.
func startEventLog(out io.Writer) (stop func()) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// Setting flags that exist cannot fail.
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("alsologtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	_ = flags.Set("one_output", "true")
	log := eventlog.New(out)
	klog.SetOutput(log)
	klog.SetLogger(logr.New(logsink.New(log, realClock())))
	return func() {
		klog.ClearLogger()
		log.Close(logFlushTimeout)
	}
}

// limitMemory sets the garbage collector's limits from the memory of the VM.
func limitMemory(memoryMiB int) {
	debug.SetMemoryLimit(int64(memoryMiB) << 20 * heapLimitPercent / 100)
	debug.SetGCPercent(gcPercent)
}

// listenAll opens a TCP listener at each ip:port.
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

// serveMetrics serves metrics until the context ends. It does nothing without an address.
func serveMetrics(ctx context.Context, settings *config.Config, m *metrics.Metrics) {
	address := settings.Runtime().Metrics
	if address == "" {
		return
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		klog.ErrorS(err, "CH1303 metrics are not served", "address", address)
		return
	}
	door := doorway.New("metrics", doorway.Allot(settings).Probes(), realClock(), m, doorway.WithoutBodies())
	go door.Run(ctx)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	server := &http.Server{
		Handler: door.Handler(mux), ConnContext: doorway.ConnContext,
		ReadHeaderTimeout: metricsHeaderTimeout, IdleTimeout: metricsIdleTimeout, MaxHeaderBytes: metricsHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(door.Guard(l)); err != nil && ctx.Err() == nil {
		klog.ErrorS(err, "CH1303 metrics are not served", "address", address)
	}
}

// process holds the functions that run, reload and drain a dispatcher or sidecar.
type process struct {
	// settings are those that the process was started with.
	settings *config.Config
	file     string
	role     config.Role
	metrics  *metrics.Metrics
	run      func(context.Context) error
	reload   func(*config.Config)
	drain    func(ctx context.Context, within time.Duration)
}

// reloadableKeys returns the settings that take effect while a process runs; changes of the
// others need a restart.
func reloadableKeys() []string {
	return []string{"runtime memory", "runtime grace", "dispatcher peers", "sidecar dispatchers"}
}

// apply puts changed settings into force where that is possible, and logs the keys that
// need a restart.
func (p process) apply(inForce *atomic.Pointer[config.Config], c *config.Config) {
	inForce.Store(c)
	limitMemory(c.Runtime().Memory)
	p.reload(c)
	needRestart := slices.DeleteFunc(c.ChangedKeys(p.settings), func(key string) bool { return slices.Contains(reloadableKeys(), key) })
	if len(needRestart) > 0 {
		klog.InfoS("CH1304 changed settings need a restart", "file", p.file, "keys", needRestart)
	}
}

// runProcess runs a process until it fails or a signal stops it. The first signal drains
// it; a SIGINT after that, or the end of the grace time, stops it at once.
func runProcess(s *Streams, p process) error {
	defer startEventLog(s.Out)()
	limitMemory(p.settings.Runtime().Memory)
	graceful, immediate, stop := shutdownContexts()
	defer stop()
	ctx, cancel := context.WithCancel(immediate)
	defer cancel()
	go serveMetrics(ctx, p.settings, p.metrics)
	var inForce atomic.Pointer[config.Config]
	inForce.Store(p.settings)
	go watchSettings(ctx, p.file, p.role, s.HangUps, func(c *config.Config) { p.apply(&inForce, c) })
	done := make(chan error, 1)
	go func() { done <- p.run(ctx) }()
	select {
	case err := <-done:
		return err
	case <-graceful.Done():
	}
	drainTime := inForce.Load().Runtime().Grace - exitMargin
	klog.InfoS("CH0004 stopping as planned", "bound", drainTime)
	drainCtx, cancelDrain := context.WithTimeout(ctx, drainTime)
	defer cancelDrain()
	p.drain(drainCtx, drainTime)
	return nil
}
