package commands

import (
	"fmt"
	"text/tabwriter"

	"github.com/corianderhook/corianderhook/version/config"
)

// ConfigCommand checks, shows and publishes settings.
type ConfigCommand struct {
	Check ConfigCheckCommand `cmd:"" help:"Check a settings folder and list every error in it."`
	Show  ConfigShowCommand  `cmd:"" help:"Show the merged settings and the file that each value comes from."`
	Keys  ConfigKeysCommand  `cmd:"" help:"List every section and key with its unit and default."`

	Publish  ConfigPublishCommand  `cmd:"" help:"Publish one change of one file to every process."`
	Diff     ConfigDiffCommand     `cmd:"" help:"Compare a file with its published version in force."`
	History  ConfigHistoryCommand  `cmd:"" help:"List the published changes and their results."`
	Rollback ConfigRollbackCommand `cmd:"" help:"Publish an earlier version of a file as a new change."`
}

// ConfigCheckCommand validates a settings folder, or the settings file of a dispatcher or
// sidecar.
type ConfigCheckCommand struct {
	Path string `arg:"" help:"Settings folder, or with --role the settings file of a dispatcher or sidecar."`
	Role string `enum:"none,dispatcher,sidecar" default:"none" help:"Role of the process that reads the file: ${enum}."`
}

// Run prints the number of kinds, teams and values, or fails with every error found.
func (c *ConfigCheckCommand) Run(s *Streams) error {
	merged, err := c.merged()
	if err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "settings are valid: kinds=%d teams=%d values=%d\n",
		len(merged.KindNames()), len(merged.TeamNames()), len(merged.Values()))
	return nil
}

func (c *ConfigCheckCommand) merged() (*config.Config, error) {
	switch c.Role {
	case "dispatcher":
		return readSettingsFile(c.Path, config.RoleDispatcher)
	case "sidecar":
		return readSettingsFile(c.Path, config.RoleSidecar)
	}
	return mergeFolder(c.Path)
}

func mergeFolder(folder string) (*config.Config, error) {
	files, err := config.ReadFolder(folder)
	if err != nil {
		return nil, usageError{err}
	}
	merged, err := config.Merge(files)
	if err != nil {
		return nil, usageError{err}
	}
	return merged, nil
}

// ConfigShowCommand prints the merged settings of a folder.
type ConfigShowCommand struct {
	Folder string `arg:"" help:"Settings folder."`
}

// Run prints a table of all values, defaults included.
func (c *ConfigShowCommand) Run(s *Streams) error {
	merged, err := mergeFolder(c.Folder)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SECTION\tKEY\tVALUE\tFILE")
	for _, v := range merged.Values() {
		file := v.File
		if file == "" {
			file = "(default)"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", v.Section, v.Key, v.Value, file)
	}
	return table.Flush()
}

// ConfigKeysCommand lists the available settings.
type ConfigKeysCommand struct{}

// Run prints a table of sections and keys.
func (c *ConfigKeysCommand) Run(s *Streams) error {
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SECTION\tKEY\tUNIT\tDEFAULT\tMEANING")
	for _, section := range config.Sections() {
		name := section.Name
		if section.Named {
			name += " NAME"
		}
		for _, f := range section.Fields {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", name, f.Key, f.Unit, f.Default, f.Doc)
		}
	}
	return table.Flush()
}
