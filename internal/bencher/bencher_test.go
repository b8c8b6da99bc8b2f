package bencher_test

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/bencher"
)

var (
	deployment = flag.String("deployment", "Koshi", "deployment to size the benchmark as: Koshi or Siam")
	table      = flag.String("table", "", "file to write the table of BenchmarkPolicy to")
	seeds      = flag.Int("seeds", 3, "number of seeds of each scenario")
)

func selectedDeployment() bencher.Deployment {
	if *deployment == "Siam" {
		return bencher.Siam()
	}
	return bencher.Koshi()
}

func runSeeds(sc bencher.Scenario, p bencher.Policy, n int) []*bencher.Result {
	out := make([]*bencher.Result, n)
	var work sync.WaitGroup
	for seed := range n {
		work.Go(func() { out[seed] = bencher.Run(sc, p, uint64(seed+1)) })
	}
	work.Wait()
	return out
}

// medianAndWorst returns the median and the largest value of a measure over the seeds.
func medianAndWorst(rs []*bencher.Result, f func(*bencher.Result) float64) (median, worst float64) {
	var list []float64
	for _, r := range rs {
		list = append(list, f(r))
	}
	slices.Sort(list)
	return list[len(list)/2], list[len(list)-1]
}

func quantile(rank string, q float64) func(*bencher.Result) float64 {
	return func(r *bencher.Result) float64 { return float64(r.Rank(rank).Quantile(q)) / float64(time.Millisecond) }
}

// missed returns the share of the requests of a rank that were not answered correctly
// within the target, in percent.
func missed(rank string) func(*bencher.Result) float64 {
	return func(r *bencher.Result) float64 { return 100 * (1 - r.Rank(rank).Served()) }
}

// BenchmarkPolicy runs each scenario with each policy and writes one table row for each
// pair; latencies are in ms.
func BenchmarkPolicy(b *testing.B) {
	out := io.Writer(os.Stdout)
	if *table != "" {
		f, err := os.Create(*table)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = f.Close() }()
		out = f
	}
	_, _ = fmt.Fprintln(out, header)
	for _, sc := range bencher.Scenarios(selectedDeployment()) {
		for _, p := range append([]bencher.Policy{bencher.Reducer}, bencher.Baselines()...) {
			b.Run(fmt.Sprintf("%s/%s", sc.Name, p), func(b *testing.B) {
				var rs []*bencher.Result
				for range b.N {
					rs = runSeeds(sc, p, *seeds)
				}
				_, _ = fmt.Fprintln(out, row(sc, p, rs))
			})
		}
	}
}

const header = `| scenario | policy | p50 | p99 | p99.9 | missed % Lookup | Record | Bulk | extra % | probes/s | violations |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |`

// row returns a table row with the median and, in brackets, the worst value over the seeds; latencies are those of lookups.
func row(sc bencher.Scenario, p bencher.Policy, rs []*bencher.Result) string {
	line := fmt.Sprintf("| %s | %s |", sc.Name, p)
	for _, f := range []func(*bencher.Result) float64{
		quantile("Lookup", 50), quantile("Lookup", 99), quantile("Lookup", 99.9),
		missed("Lookup"), missed("Record"), missed("Bulk"), extra, probes, violations,
	} {
		median, worst := medianAndWorst(rs, f)
		line += fmt.Sprintf(" %.3g (%.3g) |", median, worst)
	}
	return line
}

func probes(r *bencher.Result) float64 { return float64(r.ProbesPerSecond) }

func violations(r *bencher.Result) float64 {
	v := r.Violations
	return float64(v.SameUpstream + v.LateDrain + v.TwoAnswers + v.NotRunButRan)
}

// extra returns the number of attempts beyond the first of each request, in percent of the requests.
func extra(r *bencher.Result) float64 {
	n := 0
	for _, k := range r.Ranks {
		n += k.Offered
	}
	return 100 * float64(r.Extra) / float64(n)
}
