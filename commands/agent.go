package commands

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/node/agent"
	"github.com/corianderhook/corianderhook/version/config"
)

// AgentCommand runs an agent process.
type AgentCommand struct {
	Config string `required:"" placeholder:"DIR" help:"Settings folder; its *.ini files are merged in the order of their names."`
}

// Run runs the agent until a signal or an operator stops it.
func (c *AgentCommand) Run() error {
	settings, files, err := readSettingsFolder(c.Config, config.RoleAgent)
	if err != nil {
		return err
	}
	secured, err := loadSecurity(settings)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", settings.Agent().Admin)
	if err != nil {
		return usageError{errors.Wrap(err, "setting [agent] admin")}
	}
	if settings.IsSet("runtime", "memory") {
		limitMemory(settings.Runtime().Memory)
	}
	a := agent.New(agent.Dependencies{Config: settings, Files: files, Clock: realClock(), System: newActorSystem(), Security: secured})
	return runUntilSignal(lifecycle{
		drainTime:      settings.DrainTime(),
		run:            func(ctx context.Context) error { return a.Run(ctx, admin) },
		drain:          a.Drain,
		drainRequested: a.DrainRequested(),
	})
}
