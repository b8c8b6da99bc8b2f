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

// flagSet returns the flags of a subcommand with a help text.
func (e *environment) flagSet(name, arguments, text string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(e.stderr)
	f.Usage = func() {
		_, _ = fmt.Fprintf(f.Output(), "usage: azuretrestle %s [flags] %s\n\n%s\n\n", name, arguments, text)
		f.PrintDefaults()
		_, _ = fmt.Fprint(f.Output(), statuses)
	}
	return f
}

// parse reports false with the exit status if the command is not to run.
func (e *environment) parse(f *flag.FlagSet, args []string, least, most int) (status int, ok bool) {
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
	if f.NArg() < least || most >= 0 && f.NArg() > most {
		_, _ = fmt.Fprintf(e.stderr, "wrong number of arguments\n")
		f.Usage()
		return ExitUsage, false
	}
	return ExitOK, true
}

// addressFlag is an IP address and port.
type addressFlag struct{ netip.AddrPort }

// String returns the address, or nothing if it isn't set.
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

func (e *environment) address(f *flag.FlagSet, name, standard, text string) *addressFlag {
	a := &addressFlag{}
	if standard != "" {
		a.AddrPort = netip.MustParseAddrPort(standard)
	}
	f.Var(a, name, text)
	return a
}

const tokenVariable = "AZURETRESTLE_TOKEN"

// remote holds the flags of commands that call an entry's administration.
type remote struct {
	environment *environment
	entry       *addressFlag
	tokenFile   *string
	authority   *string
	json        *bool
}

func (e *environment) remote(f *flag.FlagSet) remote {
	return remote{
		environment: e,
		entry:       e.address(f, "entry", "127.0.0.1:8301", "administration address of the entry, `IP:port`"),
		tokenFile:   f.String("token-file", "", "`file` with the operator's token; without it $"+tokenVariable+" is used"),
		authority:   f.String("authority", "", "`file` of certificate authorities; turns on TLS"),
		json:        f.Bool("json", false, "print data as JSON"),
	}
}

// client keeps the token off the command line, where other users could read it.
func (r remote) client() (*administrator.Client, error) {
	token := r.environment.getenv(tokenVariable)
	if *r.tokenFile != "" {
		b, err := os.ReadFile(*r.tokenFile)
		if err != nil {
			return nil, err
		}
		token = string(b)
	}
	return administrator.NewClient(r.entry.AddrPort, strings.TrimSpace(token), *r.authority)
}

// fail prints an error and returns the exit status that goes with it.
func (e *environment) fail(err error) int {
	e.complain(err)
	var refusal administrator.Refusal
	var problems parser.Problems
	switch {
	case errors.As(err, &refusal) && refusal.Code == classifier.PatchPending:
		return ExitPending
	case errors.As(err, &refusal):
		return ExitRefused
	case errors.As(err, &problems):
		return ExitFaulty
	default:
		return ExitFailure
	}
}
