package commander

import (
	"flag"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/loader"
)

// TestBusiest guards against a count that misses a burst across the boundary of two seconds.
func TestBusiest(t *testing.T) {
	at := func(ms ...int) []time.Time {
		var list []time.Time
		for _, m := range ms {
			list = append(list, time.UnixMilli(int64(m)))
		}
		return list
	}
	for _, c := range []struct {
		times []time.Time
		want  int
	}{
		{nil, 0},
		{at(5), 1},
		{at(0, 1000, 2000), 1},
		{at(0, 999), 2},
		{at(1100, 100, 900, 1050, 950), 4},
	} {
		is.New(t).Equal(busiest(c.times, time.Second), c.want)
	}
}

// TestWatcher guards against a demo that misses a decreasing version or an exceeded measuring budget.
func TestWatcher(t *testing.T) {
	is := is.New(t)
	s, err := startDemo(t.Context(), deployments["SiamLens"], minDemoEntries)
	is.NoErr(err)
	defer s.close()
	var w watcher
	en := s.entries[0]
	w.checkVersion(en, 1)
	w.checkVersion(en, 2)
	w.checkMeasuringBudgets(s)
	is.Equal(len(w.list()), 0)
	w.checkVersion(en, 1)
	is.Equal(len(w.list()), 1)
	// The entries probe the upstreams of s, so the excess is recorded at a separate upstream.
	up := newDemoUpstream(s.deployment, s.upstreams[0].service, "idle", 1)
	for range 41 {
		up.measurements = append(up.measurements, time.Now())
	}
	alone := &demoSystem{deployment: s.deployment, upstreams: []*demoUpstream{up}}
	is.Equal(w.checkMeasuringBudgets(alone)[0].Busiest, 41)
	is.Equal(len(w.list()), 2)
}

// TestDemoExitStatus guards against a demo that exits with success although an invariant was
// violated or no request was answered.
func TestDemoExitStatus(t *testing.T) {
	good := []loader.RankReport{{Offered: 1, Within: 1}}
	for _, c := range []struct {
		broken []string
		ranks  []loader.RankReport
		want   int
	}{
		{nil, good, ExitOK},
		{[]string{"version went back"}, good, ExitInvariantViolated},
		{nil, []loader.RankReport{{Offered: 1, NotRun: 1}}, ExitFailure},
	} {
		e := &environment{stdout: io.Discard, stderr: io.Discard}
		rep := &demoReport{Load: &loader.Report{Ranks: c.ranks}, Broken: c.broken}
		flags := newDemoFlags(flag.NewFlagSet("demo", flag.ContinueOnError))
		is.New(t).Equal(e.reportDemo(rep, flags), c.want)
	}
}
