package commands

import (
	"context"
	"time"

	"github.com/corianderhook/corianderhook/common/skewedclock"
	"github.com/corianderhook/corianderhook/platform"
	"github.com/corianderhook/corianderhook/version/config"
)

// DispatcherCommand runs a dispatcher process.
type DispatcherCommand struct {
	Settings string `required:"" env:"CORIANDERHOOK_NODE_FILE" placeholder:"FILE" help:"Settings file in INI format; reloaded when it changes."`
	// ClockOffset is for the soak test, which runs processes with wrong clocks.
	ClockOffset time.Duration `hidden:"" help:"Offset of the process's time of day."`
}

// Run runs the dispatcher until a signal stops it.
func (c *DispatcherCommand) Run(s *Streams) error {
	settings, err := readSettingsFile(c.Settings, config.RoleDispatcher)
	if err != nil {
		return err
	}
	to := settings.Dispatcher()
	sockets, err := listenAll(to.Listen, to.Callers, to.Ready)
	if err != nil {
		return usageError{err}
	}
	e := platform.NewEntry(settings, skewedclock.New(realClock(), c.ClockOffset), newActorSystem())
	return runProcess(s, process{
		settings: settings, file: c.Settings, role: config.RoleDispatcher,
		metrics: e.Dispatcher().Metrics(), reload: e.Reload,
		run: func(ctx context.Context) error {
			return e.Run(ctx, platform.EntryListeners{Processes: sockets[0], Callers: sockets[1], Ready: sockets[2]})
		},
		drain: e.Drain,
	})
}
