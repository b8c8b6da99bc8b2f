package commander

import (
	"text/tabwriter"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/loader"
)

// demoReport is the result of a demo.
type demoReport struct {
	Deployment string
	Entries    int
	Upstreams  int
	Rate       float64
	Load       *loader.Report
	Measuring  []measuringCost
	Faults     []demoEvent
	// LateWork counts new requests that reached a draining upstream more than 3 s after the drain began.
	LateWork int
	// Broken lists all violations of invariants.
	Broken []string
}

func (d *demo) report(l demoFlags, load *loader.Report) *demoReport {
	rep := &demoReport{
		Deployment: *l.deployment, Entries: *l.entries, Upstreams: len(d.system.upstreams), Rate: *l.rate,
		Load: load, Measuring: d.watcher.checkMeasuringBudgets(d.system), Faults: d.events, LateWork: d.system.lateRequests(),
	}
	rep.Broken = append(append([]string{}, load.Broken...), d.watcher.list()...)
	return rep
}

func (e *environment) reportDemo(rep *demoReport, l demoFlags) int {
	var err error
	if *l.json {
		err = e.printJSON(rep)
	} else {
		err = e.printDemo(rep)
	}
	if err == nil && *l.plot != "" {
		err = rep.Load.Plot(*l.plot)
	}
	if err != nil {
		return e.fail(err)
	}
	if len(rep.Broken) > 0 {
		return ExitInvariantViolated
	}
	if !rep.answered() {
		e.printError("no request was answered")
		return ExitFailure
	}
	return ExitOK
}

func (rep *demoReport) answered() bool {
	for _, r := range rep.Load.Ranks {
		if r.Within+r.Late > 0 {
			return true
		}
	}
	return false
}

func (e *environment) printDemo(rep *demoReport) error {
	e.printf("\n%s: %d entries, %d upstreams, %v requests/s for %s, seed %d\n",
		rep.Deployment, rep.Entries, rep.Upstreams, rep.Rate, rep.Load.Duration, rep.Load.Seed)
	for _, f := range rep.Faults {
		e.printf("%5.1fs  %s\n", f.At.Seconds(), f.Text)
	}
	e.printf("\n")
	if err := rep.Load.WriteText(e.stdout); err != nil {
		return err
	}
	e.printf("\n")
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	writeRow(w, "measuring", "budget a second", "busiest second", "total")
	for _, m := range rep.Measuring {
		writeRow(w, m.Service, m.Budget, m.Busiest, m.Total)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	e.printf("new work at a leaving upstream after %s: %d\n", drainLimit.Round(time.Second), rep.LateWork)
	if len(rep.Broken) == 0 {
		e.printf("no invariant broke\n")
	}
	for _, b := range rep.Broken[min(len(rep.Load.Broken), len(rep.Broken)):] {
		e.printf("BROKEN: %s\n", b)
	}
	return nil
}
