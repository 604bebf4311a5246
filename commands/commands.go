// Package commands implements the command line. Main parses the arguments and runs the
// selected command of App.
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
	// exitFailed: the command ran and failed.
	exitFailed = 1
	// exitUsage: flags, addresses or settings are invalid; nothing was started.
	exitUsage = 2
)

// App declares the global flags and the commands.
type App struct {
	Verbose int `short:"v" help:"Log verbosity: 0 for events, 1 for connections too." default:"0"`

	Entry      EntryCommand      `cmd:"" help:"Run an entry process: accepts callers' jobs and owns their keys."`
	Agent      AgentCommand      `cmd:"" help:"Run the agent process beside an endpoint."`
	Dispatcher DispatcherCommand `cmd:"" help:"Run an entry process on the users' platform, for jobs whose tasks may be run again from the start."`
	Sidecar    SidecarCommand    `cmd:"" help:"Run the agent process beside an endpoint of the users' platform."`
	Log        LogCommand        `cmd:"" help:"Run the stand-in for the platform's log, for tests and local use."`
	Sample     SampleCommand     `cmd:"" help:"Run a sample endpoint, for tests and local use."`
	Demo       DemoCommand       `cmd:"" help:"Run a whole system on loopback and send it jobs."`
	Submit     SubmitCommand     `cmd:"" help:"Submit a job and wait for its answer."`
	Job        JobCommand        `cmd:"" help:"Show or cancel a job."`
	Config     ConfigCommand     `cmd:"" help:"Check, show and publish settings."`
	Audit      AuditCommand      `cmd:"" help:"Show the audit trail: who changed what, when and from where."`
	Status     StatusCommand     `cmd:"" help:"Show the status of processes."`
	Drain      DrainCommand      `cmd:"" help:"Drain and stop a process: it accepts no new work and finishes what it has."`
	Bench      BenchCommand      `cmd:"" help:"Run a benchmark on loopback."`
	Explain    ExplainCommand    `cmd:"" help:"Show what happened to a request, from the logs of dispatchers and sidecars."`
	Soak       SoakCommand       `cmd:"" help:"Run the real processes on loopback, inject faults, and check what callers and endpoints see."`
	Eject      EjectCommand      `cmd:"" help:"Send an agent no more tasks until it is readmitted."`
	Readmit    ReadmitCommand    `cmd:"" help:"Send tasks again to an agent that an operator ejected."`
	Evacuate   EvacuateCommand   `cmd:"" help:"Start no more tasks in an availability zone until the evacuation is lifted."`
	Lift       LiftCommand       `cmd:"" help:"Lift the evacuation of an availability zone."`
	Token      TokenCommand      `cmd:"" help:"Create a token for a team or an operator, and print its digest for the settings."`
	Version    VersionCommand    `cmd:"" help:"Show the version."`
}

// Streams holds the output streams of a command and its hang-up signals.
type Streams struct {
	Out io.Writer
	Err io.Writer
	// HangUps delivers SIGHUP, including signals that arrived while the process started.
	HangUps <-chan os.Signal
}

// usageError marks invalid flags, addresses or settings; the exit code is exitUsage.
type usageError struct{ error }

// Main runs the command line and returns the exit code: 0 for success, 1 if the
// command failed, 2 for invalid flags or settings.
func Main(args []string, out, errOut io.Writer) int {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	var app App
	code := -1
	parser, err := kong.New(&app,
		kong.Name("corianderhook"),
		kong.Description("A dispatcher for jobs of sub-second tasks.\n\nExit codes: 0 success, 1 the command failed, 2 invalid flags or settings."),
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

// reloadsOnHangUp reports whether a command reloads its settings on SIGHUP; the signal
// ends the others.
func reloadsOnHangUp(command string) bool { return command == "dispatcher" || command == "sidecar" }

// setUpLogging sends klog's output to standard error.
func setUpLogging(verbose int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// Setting flags that exist cannot fail.
	_ = flags.Set("logtostderr", "true")
	_ = flags.Set("v", fmt.Sprint(verbose))
}

// logErrorsOnly logs only errors, so that logs don't mix with the output of a report.
func logErrorsOnly() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// Setting flags that exist cannot fail.
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("stderrthreshold", "ERROR")
	klog.SetOutput(io.Discard)
}

// newActorSystem returns an actor system that logs warnings and errors only.
func newActorSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	}))
}

// shutdownContexts returns a context that is canceled by the first SIGTERM or SIGINT, and
// one that is canceled by a SIGINT after that. A further SIGTERM is ignored: process
// managers may send it repeatedly, and that must not interrupt the drain.
func shutdownContexts() (graceful, immediate context.Context, stop func()) {
	graceful, cancelGraceful := context.WithCancel(context.Background())
	immediate, cancelImmediate := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		cancelGraceful()
		for s := range received {
			if s == syscall.SIGINT {
				cancelImmediate()
				return
			}
			klog.InfoS("CH0006 already stopping", "signal", s)
		}
	}()
	return graceful, immediate, func() {
		signal.Stop(received)
		close(received)
		cancelGraceful()
		cancelImmediate()
	}
}

func realClock() clockwork.Clock { return clockwork.NewRealClock() }
