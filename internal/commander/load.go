package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/internal/loader"
	"github.com/azuretrestle/azuretrestle/internal/parser"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// addressListFlag is a flag with a list of IP addresses and ports.
type addressListFlag []netip.AddrPort

// String returns the list in the format of fmt.Sprint.
func (a *addressListFlag) String() string { return fmt.Sprint([]netip.AddrPort(*a)) }

// Set adds a comma-separated list.
func (a *addressListFlag) Set(s string) error {
	for part := range strings.SplitSeq(s, ",") {
		p, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return err
		}
		*a = append(*a, p)
	}
	return nil
}

// rankValuesFlag is a flag that maps ranks, written "Service/Rank", to numbers.
type rankValuesFlag map[string]float64

// String returns the map in the format of fmt.Sprint.
func (n rankValuesFlag) String() string { return fmt.Sprint(map[string]float64(n)) }

// Set adds one "Service/Rank=number".
func (n rankValuesFlag) Set(s string) error {
	name, value, ok := strings.Cut(s, "=")
	x, err := strconv.ParseFloat(value, 64)
	if !ok || err != nil || !(x >= 0 && x <= maxRate) {
		return errors.Errorf("%q is not Service/Rank=number with a number from 0 to %d", s, maxRate)
	}
	n[name] = x
	return nil
}

const (
	// maxRate limits the load on the host that generates it, in requests per second.
	maxRate = 1_000_000
	// defaultRate is the rate of a rank without a -rate flag, in requests per second.
	defaultRate = 50
	maxDuration = time.Hour
)

type loadFlags struct {
	entries     addressListFlag
	rates       rankValuesFlag
	sizes       rankValuesFlag
	patchFile   *string
	dataCentres *string
	duration    *time.Duration
	seed        *uint64
	json        *bool
	plot        *string
	count       *bool
	direct      *bool
}

func newLoadFlags(f *flag.FlagSet) *loadFlags {
	l := &loadFlags{rates: make(rankValuesFlag), sizes: make(rankValuesFlag)}
	f.Var(&l.entries, "entries", "caller addresses of entries to ask first, `IP:port,...`")
	f.Var(l.rates, "rate", "`Service/Rank=requests` a second, may be given for each rank; 50 otherwise")
	f.Var(l.sizes, "size", "`Service/Rank=bytes` of a request body; none otherwise")
	l.patchFile = f.String("patch", "", "patch `file` that names the ranks with their targets, and the upstreams")
	l.dataCentres = f.String("data-centres", "", "data `centres` of the callers, with commas")
	l.duration = f.Duration("duration", 10*time.Second, "time during which requests start")
	l.seed = f.Uint64("seed", 1, "seed of the intended starts")
	l.json = f.Bool("json", false, "print the report as JSON")
	l.plot = f.String("plot", "", "write p99 over time to this `file`, .svg or .png")
	l.count = f.Bool("count", true, "ask the upstream stand-ins how often each request ran")
	l.direct = f.Bool("direct", false, "send the requests to the upstreams of the patch file in turn, without an entry")
	return l
}

func load(e *environment, args []string) int {
	f := e.flagSet("load", "", "Offers an open-loop load to a running system with upstream stand-ins and prints a table by rank.\n"+
		"Latency counts from the intended start of a request.")
	l := newLoadFlags(f)
	if status, ok := e.parse(f, args, 0, 0); !ok {
		return status
	}
	if len(l.entries) == 0 == !*l.direct || *l.patchFile == "" || *l.duration <= 0 || *l.duration > maxDuration {
		e.printError("want -entries, -patch and a duration of at most " + maxDuration.String() + "; -direct replaces -entries")
		return ExitUsage
	}
	p, err := parser.LoadPatch(*l.patchFile)
	if err != nil {
		return e.fail(err)
	}
	o, err := l.options(e, p)
	if err != nil {
		e.printError(err)
		return ExitUsage
	}
	ctx, cancel := e.context()
	defer cancel()
	rep, err := loader.Run(ctx, o)
	if err != nil {
		return e.fail(err)
	}
	return e.reportLoad(rep, l)
}

func (e *environment) reportLoad(rep *loader.Report, l *loadFlags) int {
	var err error
	if *l.json {
		err = e.printJSON(rep)
	} else {
		err = rep.WriteText(e.stdout)
	}
	if err == nil && *l.plot != "" {
		err = rep.Plot(*l.plot)
	}
	if err != nil {
		return e.fail(err)
	}
	if len(rep.Broken) > 0 {
		return ExitInvariantViolated
	}
	return ExitOK
}

func (l *loadFlags) options(e *environment, p patcher.Patch) (loader.Options, error) {
	o := loader.Options{Seeds: l.entries, Duration: *l.duration, Seed: *l.seed}
	if *l.direct {
		o.Direct = upstreamsByService(p)
	}
	if *l.dataCentres != "" {
		o.DataCentres = strings.Split(*l.dataCentres, ",")
	}
	known := make(map[string]bool)
	for _, r := range ranksOf(p) {
		name := r.Service + "/" + r.Name
		known[name] = true
		r.Rate = defaultRate
		if rate, ok := l.rates[name]; ok {
			r.Rate = rate
		}
		r.Body = int(l.sizes[name])
		o.Ranks = append(o.Ranks, r)
	}
	for _, m := range []rankValuesFlag{l.rates, l.sizes} {
		for name := range m {
			if !known[name] {
				return o, errors.Errorf("the patch file has no rank %s", name)
			}
		}
	}
	if *l.count {
		o.Runs = countRuns(upstreamsOf(p))
	}
	if !*l.json {
		o.Progress = func(p loader.Progress) {
			_, _ = fmt.Fprintf(e.stderr, "%s: %d offered, %d ended\n", p.Elapsed.Round(time.Second), p.Offered, p.Answered)
		}
	}
	return o, nil
}

func ranksOf(p patcher.Patch) []loader.Rank {
	var list []loader.Rank
	for _, op := range p.Operations {
		if r, ok := op.(patcher.PutRank); ok {
			list = append(list, loader.Rank{
				Service: r.InService, Name: r.Name, OnceOnly: r.Kind == patcher.OnceOnly,
				Target: r.Target.Duration, Patience: r.Patience.Duration,
			})
		}
	}
	return list
}

func upstreamsOf(p patcher.Patch) []netip.AddrPort {
	var list []netip.AddrPort
	for _, op := range p.Operations {
		if u, ok := op.(patcher.PutUpstream); ok {
			list = append(list, u.Address)
		}
	}
	return list
}

func upstreamsByService(p patcher.Patch) map[string][]netip.AddrPort {
	list := make(map[string][]netip.AddrPort)
	for _, op := range p.Operations {
		if u, ok := op.(patcher.PutUpstream); ok {
			list[u.InService] = append(list[u.InService], u.Address)
		}
	}
	return list
}

// maxRunsBytes limits the size of a fake upstream's response with the run counts of all keys.
const maxRunsBytes = 256 << 20

// countRuns returns a function that returns the number of runs of a key. That function must not
// be called before the load has ended, since its first call fetches all counts from each fake upstream.
func countRuns(upstreams []netip.AddrPort) func(string) (int, error) {
	var total map[string]int
	var lastErr error
	return func(key string) (int, error) {
		if total == nil {
			total = make(map[string]int)
			for _, a := range upstreams {
				if err := addRuns(a, total); err != nil {
					lastErr = err
				}
			}
		}
		return total[key], lastErr
	}
}

const runsTimeout = 30 * time.Second

func addRuns(a netip.AddrPort, total map[string]int) error {
	ctx, cancel := context.WithTimeout(context.Background(), runsTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: a.String(), Path: "/fake/runs"}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("GET /fake/runs at %s: %s", a, resp.Status)
	}
	var runs map[string]int
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRunsBytes)).Decode(&runs); err != nil {
		return err
	}
	for k, n := range runs {
		total[k] += n
	}
	return nil
}
