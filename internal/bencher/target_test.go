//go:build !race

// The simulation is single-threaded; the race detector only makes these tests
// five times slower. TestRepeatable runs under it as well.

package bencher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/bencher"
)

// targetSeeds is the number of seeds of a target test; the bounds are those of section 1.6 of the design.
const targetSeeds = 3

func deployments(t *testing.T, f func(*testing.T, bencher.Deployment)) {
	for _, d := range []bencher.Deployment{bencher.Koshi(), bencher.Siam()} {
		t.Run(d.Name, func(t *testing.T) { f(t, d) })
	}
}

func medianP99(sc bencher.Scenario, p bencher.Policy) float64 {
	median, _ := spread(runs(sc, p, targetSeeds), quantile("Lookup", 99))
	return median
}

// TestStaleReports guards against old reports that make entries herd or choose
// worse than a plain policy, with one entry and with all of them.
func TestStaleReports(t *testing.T) {
	deployments(t, func(t *testing.T, d bencher.Deployment) {
		for _, entries := range []int{1, d.Entries} {
			sc := scenario(t, d, "stale 500 ms")
			sc.Entries = entries
			ours := medianP99(sc, bencher.Ours)
			for _, p := range bencher.Baselines() {
				if b := medianP99(sc, p); ours > b {
					t.Errorf("%d entries: p99 %.1f ms, %s %.1f ms", entries, ours, p, b)
				}
			}
		}
	})
}

// TestStraggler guards against a straggler that shows in the tail of the lookups.
func TestStraggler(t *testing.T) {
	deployments(t, func(t *testing.T, d bencher.Deployment) {
		is := is.New(t)
		with := medianP99(scenario(t, d, "straggler 20x"), bencher.Ours)
		without := medianP99(scenario(t, d, "steady 70%"), bencher.Ours)
		is.True(with <= 1.3*without)
	})
}

// TestBulkFlood guards against lookups that suffer from a flood of bulk work.
func TestBulkFlood(t *testing.T) {
	deployments(t, func(t *testing.T, d bencher.Deployment) {
		for _, r := range runs(scenario(t, d, "bulk flood 20x"), bencher.Ours, targetSeeds) {
			if served := r.Rank("Lookup").Served(); served < 0.995 {
				t.Errorf("lookups in target %.4f", served)
			}
		}
	})
}

// TestUrgentFlood guards against a flood of lookups that wastes slots, refuses
// late, or takes from other ranks what their floors promise.
func TestUrgentFlood(t *testing.T) {
	deployments(t, func(t *testing.T, d bencher.Deployment) {
		for _, r := range runs(scenario(t, d, "urgent flood 3x"), bencher.Ours, targetSeeds) {
			k := r.Rank("Lookup")
			others := r.Rank("Record").Busy + r.Rank("Bulk").Busy
			useful := k.Busy * float64(k.InTarget) / float64(k.Answered)
			if useful < 0.95*(1-others) {
				t.Errorf("lookups in target use %.3f of the slot time, others %.3f", useful, others)
			}
			if k.RefusedLate+k.Unknown > 0 {
				t.Errorf("%d refused late, %d unknown", k.RefusedLate, k.Unknown)
			}
		}
		for _, r := range runs(scenario(t, d, "both floods"), bencher.Ours, targetSeeds) {
			for _, k := range d.Ranks[1:] {
				got := r.Rank(k.Name)
				if got.Busy < k.Floor && float64(got.Answered) < 0.99*float64(got.Offered) {
					t.Errorf("%s holds %.3f of the slots, floor %.2f", k.Name, got.Busy, k.Floor)
				}
			}
		}
	})
}

// TestInvariants guards against breaks of the invariants in any scenario:
// attempts on one upstream twice, work for a leaving upstream, two answers, a
// request that ran but was refused as not run, and probes beyond the budget.
func TestInvariants(t *testing.T) {
	deployments(t, func(t *testing.T, d bencher.Deployment) {
		for _, sc := range bencher.Scenarios(d) {
			for _, r := range runs(sc, bencher.Ours, 1) {
				if r.Violations != (bencher.Violations{}) {
					t.Errorf("%s: %+v", sc.Name, r.Violations)
				}
				if r.ProbesPerSecond > 48 {
					t.Errorf("%s: %d probes in 1 s", sc.Name, r.ProbesPerSecond)
				}
			}
		}
	})
}

// TestFailingUpstream guards against lookups that are lost to one upstream that
// fails, is lost, drains or goes silent, and against silence that is not noticed.
func TestFailingUpstream(t *testing.T) {
	deployments(t, func(t *testing.T, d bencher.Deployment) {
		for _, name := range []string{"fast failure", "upstream lost", "rolling drain", "silent connections"} {
			for _, r := range runs(scenario(t, d, name), bencher.Ours, targetSeeds) {
				k := r.Rank("Lookup")
				if k.Served() < 0.995 || k.Wrong > 0 {
					t.Errorf("%s: lookups in target %.4f, wrong %d", name, k.Served(), k.Wrong)
				}
				if name == "silent connections" && r.CloseIdle == 0 {
					t.Errorf("no idle connections closed")
				}
			}
		}
	})
}
