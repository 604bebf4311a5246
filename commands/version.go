package commands

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// VersionCommand prints the version.
type VersionCommand struct{}

// Run prints the module version, the commit if known, and the Go version.
func (c *VersionCommand) Run(s *Streams) error {
	version, commit := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				commit = setting.Value
			}
		}
	}
	fmt.Fprintf(s.Out, "corianderhook %s commit=%s %s\n", version, commit, runtime.Version())
	return nil
}
