package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of the command.
const (
	ExitOK = 0
	// ExitFailure reports a failure of the network or of the process.
	ExitFailure = 1
	// ExitUsage reports a wrong command line.
	ExitUsage = 2
	// ExitRefused reports a call that an entry refused with a numbered code.
	ExitRefused = 3
	// ExitInvalidFile reports a settings or patch file with problems.
	ExitInvalidFile = 4
	// ExitInvariantViolated reports a run in which an invariant was violated.
	ExitInvariantViolated = 5
	// ExitPending reports a patch whose result is unknown, or that is not yet in force everywhere.
	ExitPending = 6
)

// entryCommand runs an entry on the platform.
const entryCommand = "entry"

const exitStatusHelp = `exit status:
  0  success
  1  the network or the process failed
  2  wrong command line
  3  an entry refused the call; the code is printed
  4  a settings or patch file has problems; all are printed
  5  an invariant broke during a run
  6  the verdict on a patch is not known, or it is not yet in force everywhere
`

// command describes a subcommand.
type command struct {
	name    string
	summary string
	run     func(e *environment, args []string) int
}

// environment gives a subcommand access to the output streams, the environment
// variables and the signals of the process.
type environment struct {
	stdout io.Writer
	stderr io.Writer
	getenv func(string) string
	// signals delivers SIGTERM and interrupt, and SIGHUP to the entry command.
	signals <-chan os.Signal
}

func (e *environment) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stdout, format, args...)
}

func (e *environment) printError(problem any) {
	_, _ = fmt.Fprintln(e.stderr, problem)
}

// context returns a context that is cancelled by the first signal.
func (e *environment) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-e.signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func commands() []command {
	return []command{
		{"serve", "run an entry", serve},
		{entryCommand, "run an entry on the platform", runEntry},
		{"check", "check settings and patch files offline", check},
		{"patch", "submit a patch file to an entry", patch},
		{"config", "print the configuration in force", config},
		{"audit", "print the audit trail", audit},
		{"status", "print the state of an entry", status},
		{"entries", "print which entries a caller should use", entries},
		{"load", "offer a load to a running system", load},
		{"demo", "run a whole system with faults on this host", runDemo},
		{"fake", "run a stand-in: log, list or upstream", fake},
		{"version", "print the version", version},
	}
}

// Main runs the subcommand named by the first argument and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	if len(args) > 0 && args[0] == entryCommand {
		// Other commands keep the default action and end when their terminal hangs up.
		signal.Notify(signals, syscall.SIGHUP)
	}
	defer signal.Stop(signals)
	e := &environment{stdout: stdout, stderr: stderr, getenv: os.Getenv, signals: signals}
	return e.dispatch(args)
}

func (e *environment) dispatch(args []string) int {
	if len(args) == 0 {
		usage(e.stderr)
		return ExitUsage
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(e, args[1:])
		}
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		usage(e.stdout)
		return ExitOK
	default:
		_, _ = fmt.Fprintf(e.stderr, "unknown command %q\n", args[0])
		usage(e.stderr)
		return ExitUsage
	}
}

func usage(w io.Writer) {
	_, _ = fmt.Fprintln(w, "usage: azuretrestle <command> [flags] [arguments]")
	_, _ = fmt.Fprintln(w, "       azuretrestle <command> -h")
	for _, c := range commands() {
		_, _ = fmt.Fprintf(w, "  %-8s %s\n", c.name, c.summary)
	}
	_, _ = fmt.Fprint(w, exitStatusHelp)
}

const programVersion = "0.1.0"

func version(e *environment, _ []string) int {
	e.printf("azuretrestle %s\n", programVersion)
	return ExitOK
}
