package commander

import (
	"context"
	"encoding/json"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/azuretrestle/azuretrestle/internal/administrator"
	"github.com/azuretrestle/azuretrestle/internal/parser"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// callTimeout limits a call to an entry; it exceeds the largest PatchPatience of the settings.
const callTimeout = 75 * time.Second

// call runs f with a client of the entry given by the flags and returns the exit status.
func (a adminFlags) call(f func(context.Context, *administrator.Client) error) int {
	e := a.environment
	c, err := a.client()
	if err != nil {
		return e.fail(err)
	}
	defer c.Close()
	ctx, cancel := e.context()
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	if err := f(ctx, c); err != nil {
		return e.fail(err)
	}
	return ExitOK
}

func (e *environment) printJSON(v any) error {
	enc := json.NewEncoder(e.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func patch(e *environment, args []string) int {
	f := e.flagSet("patch", "<patch file>", "Submits a patch against the version that its Base names and prints the verdict.\n"+
		"A stale Base is refused; read the new version with config, adapt the patch and submit again.")
	admin := e.newAdminFlags(f)
	if status, ok := e.parse(f, args, 1, 1); !ok {
		return status
	}
	p, err := parser.LoadPatch(f.Arg(0))
	if err != nil {
		return e.fail(err)
	}
	if p.ID == "" {
		p.ID = uuid.Must(uuid.NewV7()).String()
	}
	status := admin.call(func(ctx context.Context, c *administrator.Client) error { return e.submit(ctx, c, p, *admin.json) })
	if status == ExitFailure || status == ExitPending {
		e.printError("the patch may have taken effect; to submit it again without a second effect, set ID = " + p.ID + " in its section [Patch]")
		return ExitPending
	}
	return status
}

func (e *environment) submit(ctx context.Context, c *administrator.Client, p patcher.Patch, asJSON bool) error {
	reply, err := c.Patch(ctx, p)
	if err != nil {
		return err
	}
	if asJSON {
		return e.printJSON(reply)
	}
	e.printf("accepted as version %d\n", reply.Version)
	return nil
}

func config(e *environment, args []string) int {
	f := e.flagSet("config", "", "Prints the configuration in force at an entry.")
	admin := e.newAdminFlags(f)
	asPatch := f.Bool("patch", false, "print it as a patch file against this version, to be edited")
	if status, ok := e.parse(f, args, 0, 0); !ok {
		return status
	}
	return admin.call(func(ctx context.Context, c *administrator.Client) error {
		cfg, err := c.Config(ctx)
		if err != nil {
			return err
		}
		if *admin.json {
			return e.printJSON(cfg)
		}
		if !*asPatch {
			e.printf("# version %d\n", cfg.Version)
		}
		return parser.WritePatch(e.stdout, cfg)
	})
}

func audit(e *environment, args []string) int {
	f := e.flagSet("audit", "", "Prints the newest lines of the audit trail that the entry holds, oldest first.")
	admin := e.newAdminFlags(f)
	if status, ok := e.parse(f, args, 0, 0); !ok {
		return status
	}
	return admin.call(func(ctx context.Context, c *administrator.Client) error {
		lines, err := c.Audit(ctx)
		if err != nil {
			return err
		}
		if *admin.json {
			return e.printJSON(lines)
		}
		for _, l := range lines {
			e.printf("%s %s %s %s version %d: %s\n", l.At.Format(time.RFC3339), l.Actor, l.Action, l.Subject, l.Version, l.Cause)
		}
		return nil
	})
}

func status(e *environment, args []string) int {
	f := e.flagSet("status", "", "Prints what an entry tells about itself.")
	admin := e.newAdminFlags(f)
	if status, ok := e.parse(f, args, 0, 0); !ok {
		return status
	}
	return admin.call(func(ctx context.Context, c *administrator.Client) error {
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if *admin.json {
			return e.printJSON(s)
		}
		return e.printStatus(s)
	})
}

func (e *environment) printStatus(s administrator.Status) error {
	e.printf("entry %s in %s, callers at %s, state %s\n", s.Name, s.DataCentre, s.CallerAddress, s.State)
	e.printf("configuration version %d, newest heard of %d, evidence until %s, log reachable: %t\n",
		s.Version, s.Newest, s.EvidenceExpiresAt.Format(time.RFC3339Nano), s.LogReachable)
	e.printf("audit records waiting for the log: %d, lost: %d\n\n", s.AuditBuffered, s.AuditLost)
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	writeRow(w, "entry", "data centre", "callers", "state", "suspected", "version")
	for _, m := range s.Members {
		writeRow(w, m.Name, m.DataCentre, m.CallerAddress, m.State, m.Suspected, m.Version)
	}
	writeRow(w, "")
	writeRow(w, "service", "upstream", "state", "reason", "in flight", "latency")
	for _, svc := range s.Services {
		for _, u := range svc.Upstreams {
			writeRow(w, svc.Name, u.Name, u.State, u.Reason, u.InFlight, u.Latency)
		}
	}
	return w.Flush()
}
