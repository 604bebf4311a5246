package commands

// BenchCommand runs experiments.
type BenchCommand struct {
	Idle BenchIdleCommand `cmd:"" help:"Response time against the ideal at half load."`
}

// BenchIdleCommand is the experiment at half load.
type BenchIdleCommand struct{}

// Run runs the experiment.
func (c *BenchIdleCommand) Run() error { return nil }
