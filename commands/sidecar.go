package commands

import (
	"context"
	"time"

	"github.com/corianderhook/corianderhook/common/skewedclock"
	"github.com/corianderhook/corianderhook/platform"
	"github.com/corianderhook/corianderhook/version/config"
)

// SidecarCommand runs a sidecar process.
type SidecarCommand struct {
	Settings string `required:"" env:"CORIANDERHOOK_NODE_FILE" placeholder:"FILE" help:"Settings file in INI format; reloaded when it changes."`
	// ClockOffset is for the soak test, which runs processes with wrong clocks.
	ClockOffset time.Duration `hidden:"" help:"Offset of the process's time of day."`
}

// Run runs the sidecar until a signal stops it.
func (c *SidecarCommand) Run(s *Streams) error {
	settings, err := readSettingsFile(c.Settings, config.RoleSidecar)
	if err != nil {
		return err
	}
	sockets, err := listenAll(settings.Sidecar().Announcements)
	if err != nil {
		return usageError{err}
	}
	a := platform.NewAgent(settings, skewedclock.New(realClock(), c.ClockOffset), newActorSystem())
	return runProcess(s, process{
		settings: settings, file: c.Settings, role: config.RoleSidecar,
		metrics: a.Sidecar().Metrics(), reload: a.Reload,
		run:   func(ctx context.Context) error { return a.Run(ctx, sockets[0]) },
		drain: func(ctx context.Context, _ time.Duration) { a.Drain(ctx) },
	})
}
