package reducer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/checker"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
)

const (
	// longFaultDuration exceeds the evidence period, the silence period and the 6 s of I7 together.
	longFaultDuration = 14 * time.Second
	// patchOffset is the time from the start of the run to the patch; faults start before and after it.
	patchOffset    = 4 * time.Second
	offsetStep     = 500 * time.Millisecond
	lookupPeriod   = 100 * time.Millisecond
	afterLongFault = 4 * time.Second
)

// longFaultCase is a fault that outlasts the evidence period.
type longFaultCase struct {
	name   string
	inject func(s *scenario)
	// refuses lists the indices of entries that must refuse work before the fault ends.
	refuses []int
	// serves lists the indices of entries that must accept work throughout the fault.
	serves []int
}

var longFaultCases = []longFaultCase{
	{"log down", func(s *scenario) {
		s.logFault = func() fault { return faultLost }
		s.after(longFaultDuration, func() { s.logFault = nil })
	}, nil, []int{0, 1, 2, 3, 4}},
	{"entry isolated", func(s *scenario) { s.isolate(4) }, []int{4}, []int{0, 1, 2, 3}},
	{"submitter isolated", func(s *scenario) { s.isolate(0) }, []int{0}, []int{1, 2, 3, 4}},
	{"minority isolated", func(s *scenario) { s.isolate(3, 4) }, []int{3, 4}, []int{0, 1, 2}},
	{"entry paused", func(s *scenario) { s.hosts[4].pause(longFaultDuration) }, nil, []int{0, 1, 2, 3}},
	{"minority paused", func(s *scenario) { s.hosts[3].pause(longFaultDuration); s.hosts[4].pause(longFaultDuration) }, nil, []int{0, 1, 2}},
}

// isolate disconnects hosts from the log and from all other hosts for longFaultDuration.
func (s *scenario) isolate(hosts ...int) {
	for _, i := range hosts {
		s.hosts[i].isolated = true
		s.after(longFaultDuration, func() { s.hosts[i].isolated = false })
	}
}

// runLongFault runs lookups at every entry, a patch, and a fault that starts at the given offset.
func runLongFault(f longFaultCase, offset time.Duration) (s *scenario, from, to time.Time) {
	s = newScenarioOf("a", "b", "c", "d", "e")
	from = s.now.Add(offset)
	to = from.Add(longFaultDuration)
	s.after(offset, func() { f.inject(s) })
	s.after(patchOffset, func() { s.patch = s.hosts[0].submit(targetPatch(40 * time.Millisecond)) })
	end := patchOffset + longFaultDuration + afterLongFault
	s.every(lookupPeriod, int(end/lookupPeriod), func() {
		for i := range s.hosts {
			s.lookup(i)
		}
	})
	s.runUntil(s.now.Add(end + operatorTimeout))
	return s, from, to
}

// TestLongFaults guards against an entry that serves an old version (I7), and
// against a majority that stops, while a fault outlasts the evidence that versions
// are current.
func TestLongFaults(t *testing.T) {
	for _, f := range longFaultCases {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for offset := time.Duration(0); offset <= 2*patchOffset; offset += offsetStep * stepInterval {
				s, from, to := runLongFault(f, offset)
				for _, v := range s.violations() {
					t.Errorf("fault at %s: %s", offset, v)
				}
				is.True(s.patch.answered)
				for i, h := range s.hosts {
					refused := s.refusedWithin(h.name, from.Add(versioner.EvidenceTTL), to)
					if slices.Contains(f.refuses, i) && !refused {
						t.Errorf("fault at %s: %s accepts work without evidence", offset, h.name)
					}
					if slices.Contains(f.serves, i) && refused {
						t.Errorf("fault at %s: %s refuses work", offset, h.name)
					}
				}
			}
		})
	}
}

// refusedWithin reports whether an entry refused a request between two times.
func (sim *simulation) refusedWithin(name string, from, to time.Time) bool {
	for _, r := range sim.trace {
		s, ok := r.(checker.Step)
		if !ok || s.Node != name || s.At.Before(from) || !s.At.Before(to) {
			continue
		}
		for _, e := range s.Effects {
			if _, refuse := e.(reducer.Refuse); refuse {
				return true
			}
		}
	}
	return false
}
