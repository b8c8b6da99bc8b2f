package commander

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/azuretrestle/azuretrestle/internal/administrator"
	"github.com/azuretrestle/azuretrestle/internal/parser"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// flagSet returns the flag set of a subcommand, with a usage text that shows its arguments,
// a description and the exit statuses.
func (e *environment) flagSet(name, arguments, text string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(e.stderr)
	f.Usage = func() {
		_, _ = fmt.Fprintf(f.Output(), "usage: azuretrestle %s [flags] %s\n\n%s\n\n", name, arguments, text)
		f.PrintDefaults()
		_, _ = fmt.Fprint(f.Output(), exitStatusHelp)
	}
	return f
}

// parse parses the arguments and checks the number of positional ones; a negative maxArgs
// means no limit. It returns false and the exit status if the command must not run.
func (e *environment) parse(f *flag.FlagSet, args []string, minArgs, maxArgs int) (status int, ok bool) {
	for _, a := range args {
		if a == "-h" || a == "-help" || a == "--help" {
			f.SetOutput(e.stdout)
		}
	}
	err := f.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK, false
	}
	if err != nil {
		return ExitUsage, false
	}
	if f.NArg() < minArgs || maxArgs >= 0 && f.NArg() > maxArgs {
		_, _ = fmt.Fprintf(e.stderr, "wrong number of arguments\n")
		f.Usage()
		return ExitUsage, false
	}
	return ExitOK, true
}

// addressFlag is a flag with an IP address and port.
type addressFlag struct{ netip.AddrPort }

// String returns the address, or an empty string if it isn't set.
func (a *addressFlag) String() string {
	if !a.IsValid() {
		return ""
	}
	return a.AddrPort.String()
}

// Set parses the address.
func (a *addressFlag) Set(s string) (err error) {
	a.AddrPort, err = netip.ParseAddrPort(s)
	return err
}

func (e *environment) address(f *flag.FlagSet, name, defaultAddress, text string) *addressFlag {
	a := &addressFlag{}
	if defaultAddress != "" {
		a.AddrPort = netip.MustParseAddrPort(defaultAddress)
	}
	f.Var(a, name, text)
	return a
}

const tokenVariable = "AZURETRESTLE_TOKEN"

// adminFlags holds the flags of commands that call the administration interface of an entry.
type adminFlags struct {
	environment *environment
	entry       *addressFlag
	tokenFile   *string
	authority   *string
	json        *bool
}

func (e *environment) newAdminFlags(f *flag.FlagSet) adminFlags {
	return adminFlags{
		environment: e,
		entry:       e.address(f, "entry", "127.0.0.1:8301", "administration address of the entry, `IP:port`"),
		tokenFile:   f.String("token-file", "", "`file` with the operator's token; without it $"+tokenVariable+" is used"),
		authority:   f.String("authority", "", "`file` of certificate authorities; turns on TLS"),
		json:        f.Bool("json", false, "print data as JSON"),
	}
}

// client returns a client of the entry. The token comes from a file or an environment
// variable, since other users could read it on the command line.
func (a adminFlags) client() (*administrator.Client, error) {
	token := a.environment.getenv(tokenVariable)
	if *a.tokenFile != "" {
		b, err := os.ReadFile(*a.tokenFile)
		if err != nil {
			return nil, err
		}
		token = string(b)
	}
	return administrator.NewClient(a.entry.AddrPort, strings.TrimSpace(token), *a.authority)
}

// fail prints an error and returns the corresponding exit status.
func (e *environment) fail(err error) int {
	e.printError(err)
	var refusal administrator.Refusal
	var problems parser.Problems
	switch {
	case errors.As(err, &refusal) && refusal.Code == classifier.PatchPending:
		return ExitPending
	case errors.As(err, &refusal):
		return ExitRefused
	case errors.As(err, &problems):
		return ExitInvalidFile
	default:
		return ExitFailure
	}
}
