package commander

import (
	"fmt"
	"io"
)

// Exit statuses of the command.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// command is one subcommand.
type command struct {
	name    string
	summary string
	run     func(args []string, stdout, stderr io.Writer) int
}

func commands() []command {
	return []command{
		{"version", "print the version", version},
	}
}

// Main runs the subcommand named by the first argument and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr)
		return ExitUsage
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(args[1:], stdout, stderr)
		}
	}
	usage(stderr)
	return ExitUsage
}

func usage(w io.Writer) {
	_, _ = fmt.Fprintln(w, "usage: azuretrestle <command> [flags]")
	for _, c := range commands() {
		_, _ = fmt.Fprintf(w, "  %-10s %s\n", c.name, c.summary)
	}
}

const programVersion = "0.1.0"

func version(_ []string, stdout, _ io.Writer) int {
	_, _ = fmt.Fprintln(stdout, "azuretrestle", programVersion)
	return ExitOK
}
