// Package commands holds the command line: one file per command, and App, which
// runs them.
package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailed: the command ran and did not succeed.
	exitFailed = 1
	// exitUsage: flags, addresses or settings are wrong; nothing was started.
	exitUsage = 2
)

// App is the command line.
type App struct {
	Verbose int `short:"v" help:"Log detail: 0 for events, 1 for connections too." default:"0"`

	Entry      EntryCommand      `cmd:"" help:"Run an entry process: takes callers' jobs and owns their keys."`
	Agent      AgentCommand      `cmd:"" help:"Run the agent process beside an endpoint."`
	Dispatcher DispatcherCommand `cmd:"" help:"Run an entry process for jobs that may run again, on the users' platform."`
	Sidecar    SidecarCommand    `cmd:"" help:"Run the agent process beside an endpoint of the users' platform."`
	Log        LogCommand        `cmd:"" help:"Run the stand-in for the platform's log, for tests and local use."`
	Sample     SampleCommand     `cmd:"" help:"Run a sample endpoint, for tests and local use."`
	Demo       DemoCommand       `cmd:"" help:"Run a whole system on loopback and send it jobs."`
	Submit     SubmitCommand     `cmd:"" help:"Submit a job and wait for its answer."`
	Job        JobCommand        `cmd:"" help:"Show or cancel a job."`
	Config     ConfigCommand     `cmd:"" help:"Check and show a settings folder."`
	Audit      AuditCommand      `cmd:"" help:"Show the trail of changes: who changed what, when, from where."`
	Status     StatusCommand     `cmd:"" help:"Show what processes say of themselves."`
	Drain      DrainCommand      `cmd:"" help:"Stop a process as planned: no new work, nothing cut."`
	Bench      BenchCommand      `cmd:"" help:"Run an experiment on loopback."`
	Explain    ExplainCommand    `cmd:"" help:"Tell what became of a request, from the logs of dispatchers and sidecars."`
	Soak       SoakCommand       `cmd:"" help:"Run the real programs on loopback, harm them, and check what callers and endpoints see."`
	Eject      EjectCommand      `cmd:"" help:"Give an agent no more tasks until it is readmitted."`
	Readmit    ReadmitCommand    `cmd:"" help:"Give an agent tasks again that an operator has ejected."`
	Token      TokenCommand      `cmd:"" help:"Make a token for a team or an operator, and print its digest for the settings."`
	Version    VersionCommand    `cmd:"" help:"Show the version."`
}

// Streams are where a command writes.
type Streams struct {
	Out io.Writer
	Err io.Writer
	// HangUps brings hang-up signals, also those from before a process was set up.
	HangUps <-chan os.Signal
}

// usageError marks an error of flags or settings.
type usageError struct{ error }

// Main runs the command line and returns the exit code: 0 for success, 1 where
// the command failed, 2 for wrong flags or settings.
func Main(args []string, out, errOut io.Writer) int {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	var app App
	code := -1
	parser, err := kong.New(&app,
		kong.Name("corianderhook"),
		kong.Description("A dispatcher for jobs of sub-second tasks.\n\nExit codes: 0 success, 1 the command failed, 2 wrong flags or settings."),
		kong.Writers(out, errOut),
		kong.Exit(func(c int) { code = c }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		fmt.Fprintln(errOut, "corianderhook:", err)
		return exitUsage
	}
	command, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintln(errOut, "corianderhook:", err)
		return exitUsage
	}
	setUpLogging(app.Verbose)
	defer klog.Flush()
	if !reloadsOnHangUp(command.Command()) {
		signal.Stop(hangUps)
	}
	if err := command.Run(&Streams{Out: out, Err: errOut, HangUps: hangUps}); err != nil {
		fmt.Fprintln(errOut, "corianderhook:", err)
		var usage usageError
		if errors.As(err, &usage) {
			return exitUsage
		}
		return exitFailed
	}
	return exitOK
}

// readsAgain reports whether a command reads its settings again on a hang-up; the
// others end.
func reloadsOnHangUp(command string) bool { return command == "dispatcher" || command == "sidecar" }

// setUpLogs sends klog to standard error.
func setUpLogging(verbose int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// The flags exist, so that setting them cannot fail.
	_ = flags.Set("logtostderr", "true")
	_ = flags.Set("v", fmt.Sprint(verbose))
}

// quietLogs shows only errors, for commands that print a report.
func logErrorsOnly() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// The flags exist, so that setting them cannot fail.
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("stderrthreshold", "ERROR")
	klog.SetOutput(io.Discard)
}

// newSystem returns an actor system that logs warnings only.
func newActorSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	}))
}

// signals returns a context that ends with the first SIGTERM or SIGINT, and one
// that ends with an interrupt after that. A process manager may ask twice: a second
// SIGTERM cuts nothing short.
func shutdownContexts() (first, second context.Context, stop func()) {
	first, cancelFirst := context.WithCancel(context.Background())
	second, cancelSecond := context.WithCancel(context.Background())
	caught := make(chan os.Signal, 2)
	signal.Notify(caught, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-caught
		cancelFirst()
		for s := range caught {
			if s == syscall.SIGINT {
				cancelSecond()
				return
			}
			klog.InfoS("CH0006 stopping already", "signal", s)
		}
	}()
	return first, second, func() {
		signal.Stop(caught)
		close(caught)
		cancelFirst()
		cancelSecond()
	}
}

func realClock() clockwork.Clock { return clockwork.NewRealClock() }
