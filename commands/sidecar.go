package commands

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/platform"
	"github.com/corianderhook/corianderhook/process/sidecar"
	"github.com/corianderhook/corianderhook/version/config"
)

// SidecarCommand runs a sidecar.
type SidecarCommand struct {
	Settings string `required:"" env:"CORIANDERHOOK_NODE_FILE" placeholder:"FILE" help:"Settings file in INI; read again when it changes."`
}

// Run runs the sidecar until a signal ends it.
func (c *SidecarCommand) Run(s *Streams) error {
	settings, err := readSettingsFile(c.Settings, config.RoleSidecar)
	if err != nil {
		return err
	}
	defer startLogs(s.Out)()
	limitMemory(settings.Runtime().Memory)
	first, second, stop := signals()
	defer stop()
	ctx, cancel := context.WithCancel(second)
	defer cancel()
	clock := realClock()
	side := sidecar.New(sidecar.Dependencies{
		Name: settings.Process().Name, Zone: settings.Process().Zone, Dispatchers: settings.Sidecar().Dispatchers,
		Endpoint: platform.NewEndpoint(settings.Sidecar().Endpoint, clock), Clock: clock, System: newSystem(),
	})
	listeners, err := listenAll(settings.Sidecar().Announcements)
	if err != nil {
		return usageError{err}
	}
	failed := make(chan error, 1)
	announcements := &http.Server{Handler: platform.Announcements(side), ReadHeaderTimeout: callerHeaderTime}
	go func() { failed <- errors.Wrap(announcements.Serve(listeners[0]), "announcements") }()
	go serveMetrics(ctx, settings.Runtime().Metrics, side.Metrics().Handler())
	go platform.FollowMembers(platform.NewStore(settings.Store()), clock, func(address string) { side.Learn([]string{address}) }).Run(ctx)
	go watchSettings(ctx, c.Settings, config.RoleSidecar, func(c *config.Config) { side.Learn(c.Sidecar().Dispatchers) })
	go side.Run(ctx)
	select {
	case err := <-failed:
		return err
	case <-first.Done():
	}
	draining, cancelDrain := context.WithTimeout(ctx, settings.Runtime().Grace-exitMargin)
	defer cancelDrain()
	side.Drain(draining)
	return nil
}
