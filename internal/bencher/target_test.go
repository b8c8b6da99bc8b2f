//go:build !race

// The simulation is single-threaded, so the race detector only makes these tests
// five times slower. TestRepeatable also runs with it.

package bencher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/bencher"
)

// targetSeeds is the number of seeds of each target test. The bounds in these tests are
// those of section 1.6 of the design.
const targetSeeds = 3

func forEachDeployment(t *testing.T, f func(*testing.T, bencher.Deployment)) {
	for _, d := range []bencher.Deployment{bencher.Koshi(), bencher.Siam()} {
		t.Run(d.Name, func(t *testing.T) { f(t, d) })
	}
}

func medianP99(sc bencher.Scenario, p bencher.Policy) float64 {
	median, _ := medianAndWorst(runSeeds(sc, p, targetSeeds), quantile("Lookup", 99))
	return median
}

// TestStaleReports guards against stale reports that make entries herd or choose
// worse than a baseline policy, with one entry and with all entries.
func TestStaleReports(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d bencher.Deployment) {
		for _, entries := range []int{1, d.Entries} {
			sc := scenario(t, d, "stale 500 ms")
			sc.Entries = entries
			reducerP99 := medianP99(sc, bencher.Reducer)
			for _, p := range bencher.Baselines() {
				if b := medianP99(sc, p); reducerP99 > b {
					t.Errorf("%d entries: p99 of lookups %.1f ms, worse than policy %q with %.1f ms", entries, reducerP99, p, b)
				}
			}
		}
	})
}

// TestStraggler guards against a straggler that raises the p99 latency of lookups.
func TestStraggler(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d bencher.Deployment) {
		is := is.New(t)
		with := medianP99(scenario(t, d, "straggler 20x"), bencher.Reducer)
		without := medianP99(scenario(t, d, "steady 70%"), bencher.Reducer)
		is.True(with <= 1.3*without) // p99 of lookups with and without the straggler
	})
}

// TestBulkFlood guards against lookups that miss their target during a flood of bulk work.
func TestBulkFlood(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d bencher.Deployment) {
		for _, r := range runSeeds(scenario(t, d, "bulk flood 20x"), bencher.Reducer, targetSeeds) {
			if served := r.Rank("Lookup").Served(); served < 0.995 {
				t.Errorf("share of lookups answered within target: got %.4f, want at least 0.995", served)
			}
		}
	})
}

// TestUrgentFlood guards against a flood of lookups that wastes slot time, is refused
// late, or takes slots that the floors reserve for other ranks.
func TestUrgentFlood(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d bencher.Deployment) {
		for _, r := range runSeeds(scenario(t, d, "urgent flood 3x"), bencher.Reducer, targetSeeds) {
			k := r.Rank("Lookup")
			others := r.Rank("Record").Busy + r.Rank("Bulk").Busy
			useful := k.Busy * float64(k.InTarget) / float64(k.Answered)
			if useful < 0.95*(1-others) {
				t.Errorf("lookups answered within target used %.3f of the slot time, other ranks %.3f", useful, others)
			}
			if k.RefusedLate+k.Unknown > 0 {
				t.Errorf("%d lookups refused late and %d with outcome Unknown, want none", k.RefusedLate, k.Unknown)
			}
		}
		for _, r := range runSeeds(scenario(t, d, "both floods"), bencher.Reducer, targetSeeds) {
			for _, k := range d.Ranks[1:] {
				got := r.Rank(k.Name)
				if got.Busy < k.Floor && float64(got.Answered) < 0.99*float64(got.Offered) {
					t.Errorf("%s used %.3f of the slot time, below its floor of %.2f", k.Name, got.Busy, k.Floor)
				}
			}
		}
	})
}

// TestInvariants guards against violations of the invariants in any scenario:
// concurrent attempts on one upstream, a dispatch to a leaving upstream, two responses to
// a request, a refusal as not run of an executed request, and probes beyond the budget.
func TestInvariants(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d bencher.Deployment) {
		for _, sc := range bencher.Scenarios(d) {
			for _, r := range runSeeds(sc, bencher.Reducer, 1) {
				if r.Violations != (bencher.Violations{}) {
					t.Errorf("%s: invariants violated: %+v", sc.Name, r.Violations)
				}
				if r.ProbesPerSecond > 48 {
					t.Errorf("%s: %d probes in 1 s, want at most 48", sc.Name, r.ProbesPerSecond)
				}
			}
		}
	})
}

// TestFailingUpstream guards against lookups that fail because one upstream fails,
// is lost, drains or goes silent, and against silent connections that are not detected.
func TestFailingUpstream(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d bencher.Deployment) {
		for _, name := range []string{"fast failure", "upstream lost", "rolling drain", "silent connections"} {
			for _, r := range runSeeds(scenario(t, d, name), bencher.Reducer, targetSeeds) {
				k := r.Rank("Lookup")
				if k.Served() < 0.995 || k.Wrong > 0 {
					t.Errorf("%s: share of lookups answered within target %.4f, want at least 0.995; %d wrong responses, want none", name, k.Served(), k.Wrong)
				}
				if name == "silent connections" && r.CloseIdle == 0 {
					t.Errorf("silent connections: no idle connection was closed")
				}
			}
		}
	})
}
