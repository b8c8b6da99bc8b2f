package commander

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/internal/loader"
)

// Limits of the demo's flags, which keep the demo within the capacity of one small host.
const (
	minDemoEntries  = 3
	maxDemoEntries  = 6
	maxDemoRate     = 20_000
	maxDemoDuration = 10 * time.Minute
)

type demoFlags struct {
	deployment *string
	entries    *int
	rate       *float64
	seed       *uint64
	duration   *time.Duration
	faults     *string
	json       *bool
	plot       *string
}

func newDemoFlags(f *flag.FlagSet) demoFlags {
	return demoFlags{
		deployment: f.String("deployment", "Koshi", "size of the system, `Koshi or SiamLens`"),
		entries:    f.Int("entries", 4, "number of entries, 3 to 6"),
		rate:       f.Float64("rate", 300, "requests a second, all ranks together"),
		seed:       f.Uint64("seed", 1, "seed of the intended starts"),
		duration:   f.Duration("duration", 15*time.Second, "time during which requests start"),
		faults:     f.String("faults", defaultFaults, "faults with commas: "+strings.Join(faultNames, ", ")+", or none"),
		json:       f.Bool("json", false, "print the report as JSON"),
		plot:       f.String("plot", "", "write p99 over time to this `file`, .svg or .png"),
	}
}

// demo holds the state of one run of the demo command.
type demo struct {
	environment *environment
	system      *demoSystem
	watcher     watcher
	faults      map[string]bool
	begin       time.Time
	duration    time.Duration
	background  sync.WaitGroup
	// floodText describes the flood in the report.
	floodText string

	mu     sync.Mutex
	events []demoEvent
}

func runDemo(e *environment, args []string) int {
	f := e.flagSet("demo", "", "Runs a whole system in one process on loopback: stand-ins of the log, the host list and the\n"+
		"upstreams of a deployment, and several entries. It offers a mixed load, causes faults on the way\n"+
		"and prints what each rank got. Distances between data centres are not imitated.")
	l := newDemoFlags(f)
	if status, ok := e.parse(f, args, 0, 0); !ok {
		return status
	}
	faults, err := l.check()
	if err != nil {
		e.printError(err)
		return ExitUsage
	}
	ctx, cancel := e.context()
	defer cancel()
	d := &demo{environment: e, faults: faults, duration: *l.duration}
	rep, err := d.run(ctx, l)
	if err != nil {
		return e.fail(err)
	}
	return e.reportDemo(rep, l)
}

func (l demoFlags) check() (map[string]bool, error) {
	if _, ok := deployments[*l.deployment]; !ok {
		return nil, errors.Errorf("no deployment %q, want Koshi or SiamLens", *l.deployment)
	}
	if *l.entries < minDemoEntries || *l.entries > maxDemoEntries {
		return nil, errors.Errorf("want %d to %d entries", minDemoEntries, maxDemoEntries)
	}
	if !(*l.rate > 0 && *l.rate <= maxDemoRate) || *l.duration <= 0 || *l.duration > maxDemoDuration {
		return nil, errors.Errorf("want a rate up to %d and a duration up to %s", maxDemoRate, maxDemoDuration)
	}
	faults := make(map[string]bool)
	for name := range strings.SplitSeq(*l.faults, ",") {
		if *l.faults == "none" || name == "" {
			continue
		}
		if !slices.Contains(faultNames, name) {
			return nil, errors.Errorf("no fault %q, want some of %s", name, strings.Join(faultNames, ", "))
		}
		faults[name] = true
	}
	return faults, nil
}

func (d *demo) run(ctx context.Context, l demoFlags) (*demoReport, error) {
	var err error
	d.system, err = startDemo(ctx, deployments[*l.deployment], *l.entries)
	if err != nil {
		return nil, err
	}
	defer d.system.close()
	ranks := d.system.deployment.load(*l.rate)
	if d.faults["flood"] {
		d.floodText = d.system.deployment.flood(ranks, d.fraction(floodFrom), d.fraction(floodTo))
	}
	d.begin = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	d.background.Go(func() { d.watcher.watchVersions(ctx, d.system) })
	d.background.Go(func() { d.runFaults(ctx) })
	load, err := loader.Run(ctx, loader.Options{
		Seeds: d.system.callers(), DataCentres: d.system.deployment.dataCentres,
		Ranks: ranks, Duration: d.duration, Seed: *l.seed,
		Runs: d.system.runs, Progress: d.progress,
	})
	cancel()
	d.background.Wait()
	if err != nil {
		return nil, err
	}
	return d.report(l, load), nil
}

// fraction returns the fraction x of the duration.
func (d *demo) fraction(x float64) time.Duration { return time.Duration(x * float64(d.duration)) }

func (d *demo) progress(p loader.Progress) {
	_, _ = fmt.Fprintf(d.environment.stderr, "%4.1fs  %d offered, %d ended\n", p.Elapsed.Seconds(), p.Offered, p.Answered)
}

func (d *demo) recordEvent(at time.Duration, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, demoEvent{At: at, Text: text})
	_, _ = fmt.Fprintf(d.environment.stderr, "%4.1fs  %s\n", at.Seconds(), text)
}
