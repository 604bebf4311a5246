package commands

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/connection/certificate"
	"github.com/corianderhook/corianderhook/connection/logclient"
	"github.com/corianderhook/corianderhook/connection/security"
	"github.com/corianderhook/corianderhook/node/entry"
	"github.com/corianderhook/corianderhook/version/config"
)

// EntryCommand runs an entry process.
type EntryCommand struct {
	Config string `required:"" placeholder:"DIR" help:"Settings folder; its *.ini files are merged in the order of their names."`
	Seed   uint64 `default:"0" help:"Seed for breaking ties and for the jitter of Retry-After; 0 takes the current time."`
}

// Run runs the entry until a signal or an operator stops it.
func (c *EntryCommand) Run() error {
	settings, files, err := readSettingsFolder(c.Config, config.RoleEntry)
	if err != nil {
		return err
	}
	secured, err := loadSecurity(settings)
	if err != nil {
		return err
	}
	listeners, err := entry.Listen(settings)
	if err != nil {
		return usageError{err}
	}
	if settings.IsSet("runtime", "memory") {
		limitMemory(settings.Runtime().Memory)
	}
	e := entry.New(entry.Dependencies{
		Config:   settings,
		Files:    files,
		Log:      logclient.New(settings.Process().Log),
		Clock:    realClock(),
		System:   newActorSystem(),
		Security: secured,
		Seed:     seedOrTime(c.Seed),
	})
	return runUntilSignal(lifecycle{
		drainTime:      settings.DrainTime(),
		run:            func(ctx context.Context) error { return e.Run(ctx, listeners) },
		drain:          e.Drain,
		drainRequested: e.DrainRequested(),
	})
}

// loadSecurity loads the certificate that the settings name. Without one, connections are
// not secured.
func loadSecurity(settings *config.Config) (security.Security, error) {
	files := settings.TLS()
	if files == (config.TLS{}) {
		return security.Security{}, nil
	}
	loaded, err := certificate.New(certificate.Files(files), realClock())
	if err != nil {
		return security.Security{}, usageError{err}
	}
	return security.New(loaded), nil
}

func seedOrTime(seed uint64) uint64 {
	if seed != 0 {
		return seed
	}
	return uint64(time.Now().UnixNano())
}

// readSettingsFolder reads and merges the settings files of a folder and checks that the
// role has all settings it needs.
func readSettingsFolder(folder string, role config.Role) (*config.Config, []config.File, error) {
	files, err := config.ReadFolder(folder)
	if err != nil {
		return nil, nil, usageError{err}
	}
	settings, err := config.Merge(files)
	if err != nil {
		return nil, nil, usageError{err}
	}
	if err := settings.CheckRole(role); err != nil {
		return nil, nil, usageError{err}
	}
	return settings, files, nil
}

// lifecycle holds the functions that run and drain a process.
type lifecycle struct {
	drainTime time.Duration
	run       func(context.Context) error
	drain     func(context.Context) error
	// drainRequested is closed when an operator requests a drain.
	drainRequested <-chan struct{}
}

// runUntilSignal runs a process until it ends. The first signal or a request of an
// operator drains it; a SIGINT after a signal, or the end of the drain time, stops it at
// once.
func runUntilSignal(l lifecycle) error {
	graceful, immediate, stop := shutdownContexts()
	defer stop()
	done := make(chan error, 1)
	go func() { done <- l.run(immediate) }()
	select {
	case err := <-done:
		return err
	case <-graceful.Done():
	case <-l.drainRequested:
	}
	klog.InfoS("CH0004 stopping as planned", "bound", l.drainTime)
	ctx, cancel := context.WithTimeout(immediate, l.drainTime)
	defer cancel()
	if err := l.drain(ctx); err != nil {
		return err
	}
	return <-done
}
