package soaker

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Exit statuses of the command.
const (
	ExitOK = 0
	// ExitFailure means that the run violated a promise or could not be completed.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
)

// Bounds of the flags; they limit a run to what one host can execute.
const (
	maxEntries   = 200
	maxUpstreams = 100
	maxLength    = time.Hour
)

// flags holds the parsed command line.
type flags struct {
	Options
	program string
	folder  string
	quiet   bool
}

// Main runs the soak command and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	f, err := parse(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f.Out = stdout
	if f.quiet {
		f.Out = io.Discard
	}
	report, err := f.run(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "run of seed %d failed: %v\n", f.Seed, err)
		return ExitFailure
	}
	_, _ = fmt.Fprintf(stdout, "seed %d: ", f.Seed)
	report.Write(stdout)
	if len(report.Violations) > 0 {
		return ExitFailure
	}
	return ExitOK
}

func parse(args []string, stderr io.Writer) (*flags, error) {
	f := &flags{}
	set := flag.NewFlagSet("soak", flag.ContinueOnError)
	set.SetOutput(stderr)
	set.Uint64Var(&f.Seed, "seed", 1, "seed of the plan")
	set.DurationVar(&f.Length, "for", 30*time.Second, "length of the run")
	set.IntVar(&f.Entries, "entries", 4, "number of entries")
	set.IntVar(&f.Upstreams, "upstreams", 6, "number of upstreams")
	set.IntVar(&f.Callers, "callers", 12, "number of callers")
	set.StringVar(&f.program, "program", "", "azuretrestle `program`; it is built if this is empty")
	set.StringVar(&f.folder, "logs", "", "`folder` for settings and logs, kept after the run")
	set.BoolVar(&f.quiet, "quiet", false, "suppress the line for each fault")
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	const minimum = 2
	switch {
	case f.Entries < minimum || f.Entries > maxEntries:
		return nil, errors.Errorf("-entries must be %d to %d", minimum, maxEntries)
	case f.Upstreams < 2*minimum || f.Upstreams > maxUpstreams:
		return nil, errors.Errorf("-upstreams must be %d to %d", 2*minimum, maxUpstreams)
	case f.Callers < 1 || f.Length <= 0 || f.Length > maxLength:
		return nil, errors.Errorf("-callers and -for must be positive, and -for at most %s", maxLength)
	}
	return f, nil
}

func (f *flags) run(ctx context.Context) (*Report, error) {
	temporary, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	f.Folder, f.Program = f.folder, f.program
	if f.Folder == "" {
		f.Folder = temporary
	}
	if err := os.MkdirAll(f.Folder, 0o700); err != nil {
		return nil, err
	}
	if f.Program == "" {
		f.Program = filepath.Join(temporary, "azuretrestle")
		if err := Build(ctx, f.Program); err != nil {
			return nil, err
		}
	}
	return Run(ctx, f.Options)
}

// Build builds the azuretrestle program at a path. It only works inside the repository.
func Build(ctx context.Context, path string) error {
	c := exec.CommandContext(ctx, "go", "build", "-o", path, "github.com/azuretrestle/azuretrestle/cmd/azuretrestle")
	out, err := c.CombinedOutput()
	return errors.Wrapf(err, "go build failed: %s", out)
}
