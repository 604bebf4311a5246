package commands

import (
	"fmt"
	"text/tabwriter"

	"github.com/corianderhook/corianderhook/version/config"
)

// ConfigCommand checks and shows settings.
type ConfigCommand struct {
	Check ConfigCheckCommand `cmd:"" help:"Check a settings folder and list all that is wrong with it."`
	Show  ConfigShowCommand  `cmd:"" help:"Show the merged settings and the file that each value came from."`
	Keys  ConfigKeysCommand  `cmd:"" help:"List every section and key with unit and default."`

	Publish  ConfigPublishCommand  `cmd:"" help:"Publish one change of one file to every process."`
	Diff     ConfigDiffCommand     `cmd:"" help:"Compare a file with the published one in force."`
	History  ConfigHistoryCommand  `cmd:"" help:"List the changes and what each led to."`
	Rollback ConfigRollbackCommand `cmd:"" help:"Publish an old text of a file as a new change."`
}

// ConfigCheckCommand checks a folder, or the file of a dispatcher or sidecar.
type ConfigCheckCommand struct {
	Path string `arg:"" help:"Settings folder, or with --role the settings file of a dispatcher or sidecar."`
	Role string `enum:"none,dispatcher,sidecar" default:"none" help:"Check a file for the process that reads it: ${enum}."`
}

// Run prints how much was read, or every fault.
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

// ConfigShowCommand shows a merged folder.
type ConfigShowCommand struct {
	Folder string `arg:"" help:"Settings folder."`
}

// Run prints a table of the values in force.
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

// ConfigKeysCommand lists what may be set.
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
