package commander

import (
	"context"
	"text/tabwriter"

	"github.com/azuretrestle/azuretrestle/pkg/caller"
)

func entries(e *environment, args []string) int {
	f := e.flagSet("entries", "", "Asks the system which entries a caller should use now, as the client library does.")
	var seeds addressListFlag
	f.Var(&seeds, "entries", "caller addresses of entries to ask, `IP:port,...`")
	centre := f.String("data-centre", "", "data `centre` of the caller")
	asJSON := f.Bool("json", false, "print data as JSON")
	if status, ok := e.parse(f, args, 0, 0); !ok {
		return status
	}
	if len(seeds) == 0 {
		e.printError("want -entries")
		return ExitUsage
	}
	c := caller.New(seeds, caller.WithDataCentre(*centre))
	defer c.Close()
	ctx, cancel := e.context()
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	list, err := c.Entries(ctx)
	if err != nil {
		return e.fail(err)
	}
	if *asJSON {
		err = e.printJSON(list)
	} else {
		err = e.printEntries(list)
	}
	if err != nil {
		return e.fail(err)
	}
	return ExitOK
}

func (e *environment) printEntries(list []caller.Entry) error {
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	writeRow(w, "entry", "data centre", "address")
	for _, en := range list {
		writeRow(w, en.Name, en.DataCentre, en.Address)
	}
	return w.Flush()
}
