package sizer_test

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/sizer"
)

// samples reads what the last full run of the slope tests measured.
func samples(t *testing.T) sizer.Samples {
	t.Helper()
	f, err := os.Open("testdata/samples.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	s, err := sizer.Parse(f)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestParse guards against samples that are lost or misread, and against a
// slope drawn through too few sizes.
func TestParse(t *testing.T) {
	is := is.New(t)
	text := "=== RUN x\n    a_test.go:1: " + sizer.Sample{Quantity: "bytes", Size: 10, Value: 25}.String() +
		"\nsample bytes 100 205\nsample bytes 1000 2005\nsample few 1 1\nok\n"
	s, err := sizer.Parse(strings.NewReader(text))
	is.NoErr(err)
	l, err := s.Line("bytes")
	is.NoErr(err)
	is.True(math.Abs(l.Slope-2) < 1e-9)
	is.True(math.Abs(l.At(1300)-2605) < 1e-6)
	is.True(math.Abs(l.Growth-2005.0/25) < 1e-9)
	_, err = s.Line("few")
	is.True(err != nil)
	for _, bad := range []string{"sample a 1", "sample a x 1", "sample a 1 x", "sample a 1 2 3"} {
		_, err := sizer.Parse(strings.NewReader(bad))
		is.True(err != nil)
	}
}

// TestNeed guards against a number of entries that can't carry the calls of
// the target once the largest unit that may fail, a region, is lost.
func TestNeed(t *testing.T) {
	is := is.New(t)
	s := samples(t)
	target := sizer.AtTarget()
	need := target.Need(s)
	is.Equal(need%target.DataCentres, 0)
	is.True(target.UtilizationAfter(s, 0) <= target.Utilization)
	is.True(target.UtilizationAfter(s, 1/float64(target.Regions)) < 1)
	t.Logf("a call takes %s of a core; %d entries of %d cores, %.0f%% in use, %.0f%% without a region, %.0f%% without a data centre",
		s.CallTime(), need, target.Cores, 100*target.UtilizationAfter(s, 0),
		100*target.UtilizationAfter(s, 1/float64(target.Regions)), 100*target.UtilizationAfter(s, 1/float64(target.DataCentres)))
	for _, cores := range []int{2, 8} {
		other := target
		other.Cores = cores
		t.Logf("with %d cores: %d entries", cores, other.Need(s))
	}
}

// TestKeyLimit guards against tables that are full before the keys of the target
// size expire, which refuses once-only calls; a fifth stays free.
func TestKeyLimit(t *testing.T) {
	const used = 0.8
	s := samples(t)
	target := sizer.AtTarget()
	rows, err := sizer.DataPath(target, s)
	is.New(t).NoErr(err)
	for _, r := range rows {
		t.Logf("data path: %s %.1f %s", r.Name, r.Value, r.Unit)
	}
	each := target.OnceOnlyShare * float64(target.CallsPerSecond) / float64(target.Need(s))
	is.New(t).True(each <= used*sizer.KeyLimit())
}

var kinds = map[sizer.Unit]string{sizer.Processor: "Processor", sizer.Memory: "Memory", sizer.Traffic: "Traffic"}

// TestBounds guards against a part of control that takes more at the target
// size than a node may spend for all of control, and prints the table.
func TestBounds(t *testing.T) {
	s := samples(t)
	for _, entries := range []int{0, 42, 240} {
		target := sizer.AtTarget()
		target.Entries = entries
		rows, err := sizer.Rows(target, s)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d entries\n%s", target.Need(s), sizer.Table(rows))
		if entries > 0 {
			continue // printed to show the slope
		}
		for _, r := range rows {
			t.Run(kinds[r.Unit]+" "+r.Name, func(t *testing.T) {
				is.New(t).True(!r.Over())
			})
		}
	}
}
