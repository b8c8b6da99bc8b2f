package sizer_test

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/sizer"
)

// samples returns the samples of the last full run of the slope tests.
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

// TestParse guards against samples that are skipped or misread, and against a
// slope that is fitted through too few sizes.
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

// TestRequiredEntries guards against a number of entries that can't carry the target's calls
// after the loss of a region, the largest unit that may fail.
func TestRequiredEntries(t *testing.T) {
	is := is.New(t)
	s := samples(t)
	target := sizer.TargetSize()
	required := target.RequiredEntries(s)
	is.Equal(required%target.DataCentres, 0)
	is.True(target.UtilizationAfter(s, 0) <= target.Utilization)
	is.True(target.UtilizationAfter(s, 1/float64(target.Regions)) < 1)
	t.Logf("a call takes %s of a core; %d entries of %d cores, %.0f%% in use, %.0f%% without a region, %.0f%% without a data centre",
		s.ProcessorTimePerCall(), required, target.Cores, 100*target.UtilizationAfter(s, 0),
		100*target.UtilizationAfter(s, 1/float64(target.Regions)), 100*target.UtilizationAfter(s, 1/float64(target.DataCentres)))
	for _, cores := range []int{2, 8} {
		other := target
		other.Cores = cores
		t.Logf("with %d cores: %d entries", cores, other.RequiredEntries(s))
	}
}

// TestKeyLimit guards against key tables that fill up before the keys of the target
// size expire, so that once-only calls are refused. A fifth of each table stays free.
func TestKeyLimit(t *testing.T) {
	const maxUtilisation = 0.8
	s := samples(t)
	target := sizer.TargetSize()
	rows, err := sizer.DataPath(target, s)
	is.New(t).NoErr(err)
	for _, r := range rows {
		t.Logf("data path: %s %.1f %s", r.Name, r.Value, r.Unit)
	}
	keysPerSecond := target.OnceOnlyShare * float64(target.CallsPerSecond) / float64(target.RequiredEntries(s))
	is.New(t).True(keysPerSecond <= maxUtilisation*sizer.KeyLimit())
}

var unitNames = map[sizer.Unit]string{sizer.Processor: "Processor", sizer.Memory: "Memory", sizer.Traffic: "Traffic"}

// TestBounds guards against a control-plane part that costs more at the target
// size than the bound for the whole control plane of a node, and prints the table.
func TestBounds(t *testing.T) {
	s := samples(t)
	for _, entries := range []int{0, 42, 240} {
		target := sizer.TargetSize()
		target.Entries = entries
		rows, err := sizer.Rows(target, s)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d entries\n%s", target.RequiredEntries(s), sizer.Table(rows))
		if entries > 0 {
			continue // printed for comparison, not checked
		}
		for _, r := range rows {
			t.Run(unitNames[r.Unit]+" "+r.Name, func(t *testing.T) {
				is.New(t).True(!r.Over())
			})
		}
	}
}
